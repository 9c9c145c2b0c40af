"""Tests of ejection, probes, warm-up and routing of targets."""

import random

import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.policy.routing import Candidate
from rosemarynotch._internal.policy.routing import TwoChoicesRouter
from rosemarynotch._internal.targets.health import HealthTable
from tests.lib.clocks import ManualClock
from tests.lib.entries import fleet_record

OK = Answer(status=200, headers=(), body=b"")
ERROR = Answer(status=500, headers=(), body=b"")
LEAVING = Answer(
    status=503,
    headers=(("Connection", "close"), ("Rosemarynotch-Not-Run", "1")),
    body=b"",
)


class HealthTableTest(testtools.TestCase):
    """Guards against requests to failing targets and against lost capacity."""

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

    def record(self, outcomes):
        for vm, outcome, count in outcomes:
            for _ in range(count):
                self.health.record_outcome(vm, outcome)

    def test_target_that_fails_is_ejected_and_probed_by_one_request(self):
        """Guards against requests lost to a failing target.

        It must be used again after it has recovered, at first with few slots.
        """
        self.record([(f"vm-{n}", OK, 20) for n in range(6)])
        self.record([("vm-0", failures.TARGET_TIMEOUT, 11)])
        self.assertEqual(("vm-0",), self.health.ejected())
        self.assertNotIn("vm-0", self.usable())
        self.clock.advance(5.0)
        self.assertEqual(1, self.usable()["vm-0"])
        self.assertNotIn("vm-0", self.usable(vm_0=1))
        self.record([("vm-0", ERROR, 1)])
        self.assertNotIn("vm-0", self.usable())
        self.clock.advance(5.0)
        self.record([("vm-0", OK, 1)])
        self.assertEqual((), self.health.ejected())
        self.clock.advance(5.0)
        self.assertEqual(4, self.usable()["vm-0"])
        self.clock.advance(5.0)
        self.assertEqual(8, self.usable()["vm-0"])

    def test_failures_of_all_targets_eject_none(self):
        """Guards against a pool without targets if all of them fail."""
        self.record([(f"vm-{n}", ERROR, 20) for n in range(6)])
        self.assertEqual(6, len(self.usable()))

    def test_at_most_a_third_is_ejected(self):
        """Guards against overloading the remaining targets of a pool."""
        self.record([(f"vm-{n}", OK, 20) for n in range(6)])
        self.record([(f"vm-{n}", ERROR, 20) for n in range(3)])
        self.assertEqual(2, len(self.health.ejected()))
        self.assertEqual(4, len(self.usable()))

    def test_announced_leave_stops_new_work_at_once(self):
        """Guards against new requests to a target that is leaving.

        It has not failed, so it must not be reported as ejected.
        """
        self.record([("vm-1", LEAVING, 1)])
        self.assertNotIn("vm-1", self.usable())
        self.assertEqual((), self.health.ejected())

    def test_slots_of_a_new_target_grow_during_warm_up(self):
        """Guards against a full load on a target that has just started."""
        self.vms = list(fleet_record("abcdefg").vms.items())
        self.assertEqual(
            (8, 1), (self.usable()["vm-0"], self.usable()["vm-6"])
        )
        self.clock.advance(5.0)
        self.assertEqual(4, self.usable()["vm-6"])

    def test_pool_that_was_idle_needs_no_warm_up(self):
        """Guards against fewer slots after a time without requests."""
        self.clock.advance(61.0)
        self.health.remove_expired()
        self.assertEqual({8}, set(self.usable().values()))

    def test_fast_failures_do_not_attract_work(self):
        """Guards against preferring a target because it fails fast."""
        # A target that fails fast has no requests in flight, while the other
        # one is half busy. With two targets, none may be ejected, so only
        # recent failures keep the router away from it.
        router = TwoChoicesRouter(random.Random(1))
        picks = []
        for _ in range(100):
            fast = Candidate("fast", "", 8, 0, recent_failures=8)
            busy = Candidate("busy", "", 8, 4)
            picks.append(router.pick([fast, busy]).vm)
        self.assertEqual({"busy"}, set(picks))
