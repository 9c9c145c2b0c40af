"""Tests of slots and targets under overload."""

import threading
import time

import testtools

from rosemarynotch._internal.admission.grants import Grant
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.policy.routing import Candidate
from rosemarynotch._internal.policy.routing import own_slots
from rosemarynotch._internal.policy.routing import OwnSlotsRouter
from tests.lib.entries import caller_request
from tests.lib.entries import EntryUnderTest
from tests.lib.targets import answer_bytes
from tests.lib.targets import ScriptedTarget

# Time-out of a test that hangs.
WAIT_S = 20.0


class LateAnswerTest(testtools.TestCase):
    """Guards against slots in use after their request has ended."""

    def start(self, behave):
        self.target = ScriptedTarget(behave)
        self.addCleanup(self.target.close)
        self.entry = EntryUnderTest([self.target.address])
        self.queue = self.entry.in_force.current.document.queue("quotes")

    def run_request(self, remaining_ms):
        request = caller_request(remaining_ms=remaining_ms, idempotent=False)
        return self.entry.forwarder.run(request, self.queue)

    def running(self):
        return sum(
            row.running_requests for row in self.entry.dispatcher.demand()
        )

    def wait_for_slots(self):
        end_s = time.monotonic() + WAIT_S
        while self.running() and time.monotonic() < end_s:
            self.entry.dispatcher.tick()
            time.sleep(0.01)
        return self.running()

    def test_late_answer_frees_its_slot_before_the_hold_expires(self):
        """Guards against unused slots under overload.

        After a time-out the slot is held, as the request may still run. A late
        answer shows that it has ended.
        """
        release = threading.Event()

        def behave(connection, _):
            release.wait(WAIT_S)
            connection.sendall(answer_bytes())

        self.start(behave)
        outcome = self.run_request(remaining_ms=100)
        self.assertIsInstance(outcome, Failure)
        self.assertEqual("unknown", outcome.ran)
        self.assertEqual(1, self.running())
        release.set()
        self.assertEqual(0, self.wait_for_slots())

    def test_connection_closed_without_an_answer_keeps_the_slot(self):
        """Guards against freeing the slot of a request that may still run."""
        self.start(lambda *_: False)
        self.run_request(remaining_ms=100)
        self.entry.dispatcher.tick()
        self.assertEqual(1, self.running())

    def test_time_outs_of_short_deadlines_are_not_target_failures(self):
        """Guards against ejecting targets because of short deadlines."""
        slow = threading.Event()

        def behave(connection, _):
            time.sleep(0.2 if slow.is_set() else 0)
            connection.sendall(answer_bytes())

        self.start(behave)
        for _ in range(25):
            self.run_request(remaining_ms=5_000)
        slow.set()
        for _ in range(3):
            self.run_request(remaining_ms=50)
            self.wait_for_slots()
        serving = self.entry.fleet.serving("quotes")
        candidates = self.entry.health.usable("quotes", serving, {})
        self.assertEqual([0], [each.recent_failures for each in candidates])

    def test_request_that_cannot_finish_in_time_is_not_sent(self):
        """Guards against work on requests that will miss their deadline."""
        self.start(lambda c, _: (time.sleep(0.3), c.sendall(answer_bytes())))
        self.run_request(remaining_ms=5_000)
        grant = self.entry.dispatcher.admit(caller_request(), self.queue)
        self.assertIsInstance(grant, Grant)
        sent = len(self.target.requests)
        outcome = self.run_request(remaining_ms=100)
        self.assertEqual("deadline-unreachable", outcome.code)
        self.assertEqual(sent, len(self.target.requests))


class OwnSlotsTest(testtools.TestCase):
    """Guards against entries that prefer the same slots or failing targets."""

    def test_own_slots_of_all_entries_cover_each_slot_once(self):
        """Guards against slots that no entry or two entries prefer."""
        slots = [(f"vm-{n}", count) for n, count in enumerate((8, 4, 8, 6))]
        bounds = (0.0, 3.5, 3.5, 12.25, 20.0, 26.0)
        total = dict.fromkeys((vm for vm, _ in slots), 0.0)
        for start, end in zip(bounds, bounds[1:], strict=False):
            for vm, own in own_slots(slots, start, end).items():
                total[vm] += own
        self.assertEqual(dict(slots), total)

    def test_target_that_fails_fast_is_not_preferred(self):
        """Guards against preferring own slots of a failing target."""
        router = OwnSlotsRouter(_Random())
        failing = Candidate("a", "", 8, 0, recent_failures=5, own_slots=4)
        healthy = Candidate("b", "", 8, 3, own_slots=0)
        self.assertIs(healthy, router.pick([failing, healthy]))


class _Random:
    def random(self):
        return 0.0
