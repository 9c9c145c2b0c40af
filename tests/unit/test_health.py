"""Tests of ejection, probes, warm-up and routing."""

import random

import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.policy.routing import Candidate
from rosemarynotch._internal.policy.routing import TwoChoicesRouter
from rosemarynotch._internal.targets.health import HealthTable
from tests.lib.clocks import ManualClock
from tests.lib.entries import fleet_record

GOOD = Answer(status=200, headers=(), body=b"")
BAD = Answer(status=500, headers=(), body=b"")
LEAVING = Answer(
    status=503,
    headers=(("Connection", "close"), ("Rosemarynotch-Not-Run", "1")),
    body=b"",
)


class HealthTableTest(testtools.TestCase):
    """Guards against targets that fail requests or lose capacity."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.health = HealthTable(self.clock)
        self.vms = list(fleet_record("abcdef").vms.items())
        self.usable()

    def usable(self, **in_flight):
        in_flight = {n.replace("_", "-"): c for n, c in in_flight.items()}
        found = self.health.usable("quotes", self.vms, in_flight)
        return {candidate.vm: candidate.slots for candidate in found}

    def note(self, outcomes):
        for vm, outcome, count in outcomes:
            for _ in range(count):
                self.health.note(vm, outcome)

    def test_target_that_fails_is_ejected_and_probed_by_one_request(self):
        self.note([(f"vm-{n}", GOOD, 20) for n in range(6)])
        self.note([("vm-0", failures.TARGET_TIMEOUT, 11)])
        self.assertEqual(("vm-0",), self.health.ejected())
        self.assertNotIn("vm-0", self.usable())
        self.clock.advance(5.0)
        self.assertEqual(1, self.usable()["vm-0"])
        self.assertNotIn("vm-0", self.usable(vm_0=1))
        self.note([("vm-0", BAD, 1)])
        self.assertNotIn("vm-0", self.usable())
        self.clock.advance(5.0)
        self.note([("vm-0", GOOD, 1)])
        self.assertEqual((), self.health.ejected())
        self.clock.advance(5.0)
        self.assertEqual(4, self.usable()["vm-0"])
        self.clock.advance(5.0)
        self.assertEqual(8, self.usable()["vm-0"])

    def test_common_failures_eject_nobody(self):
        self.note([(f"vm-{n}", BAD, 20) for n in range(6)])
        self.assertEqual(6, len(self.usable()))

    def test_at_most_a_third_is_ejected(self):
        self.note([(f"vm-{n}", GOOD, 20) for n in range(6)])
        self.note([(f"vm-{n}", BAD, 20) for n in range(3)])
        self.assertEqual(2, len(self.health.ejected()))
        self.assertEqual(4, len(self.usable()))

    def test_announced_leave_stops_new_work_at_once(self):
        self.note([("vm-1", LEAVING, 1)])
        self.assertNotIn("vm-1", self.usable())
        self.assertEqual((), self.health.ejected())

    def test_new_target_gets_work_in_steps(self):
        self.vms = list(fleet_record("abcdefg").vms.items())
        self.assertEqual(
            (8, 1), (self.usable()["vm-0"], self.usable()["vm-6"])
        )
        self.clock.advance(5.0)
        self.assertEqual(4, self.usable()["vm-6"])

    def test_pool_that_was_idle_has_all_its_slots(self):
        self.clock.advance(61.0)
        self.health.remove_expired()
        self.assertEqual({8}, set(self.usable().values()))

    def test_fast_failures_do_not_attract_work(self):
        # The failing target is always free and the others are half busy;
        # with two targets, it may not be ejected.
        router = TwoChoicesRouter(random.Random(1))
        picks = []
        for _ in range(100):
            fast = Candidate("fast", "", 8, 0, recent_failures=8)
            busy = Candidate("busy", "", 8, 4)
            picks.append(router.pick([fast, busy]).vm)
        self.assertEqual({"busy"}, set(picks))
