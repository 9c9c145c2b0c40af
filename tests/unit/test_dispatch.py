"""Tests of the dispatcher: queues, slots, permits and grants."""

import threading
import time

import attrs
import testtools

from rosemarynotch._internal.admission.grants import Grant
from rosemarynotch._internal.admission.pools import shareable_slots
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.records import VmState
from tests.lib.clocks import ManualClock
from tests.lib.entries import caller_request
from tests.lib.entries import document
from tests.lib.entries import EntryUnderTest
from tests.lib.entries import fleet_record

ANSWER = Answer(status=200, headers=(), body=b"")


class DispatcherTest(testtools.TestCase):
    """Guards against requests beyond limits and against wrong refusals."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.start()

    def start(self, addresses=("a",), **fields):
        self.entry = EntryUnderTest(addresses, clock=self.clock, **fields)
        self.dispatcher = self.entry.dispatcher
        self.results = []

    def admit(self, queue="quotes", gone=lambda: False, **fields):
        spec = self.entry.in_force.current.document.queue(queue)
        request = caller_request(queue=queue, **fields)
        return self.dispatcher.admit(request, spec, gone)

    def admit_in_thread(self, **fields):
        """Submit a request in a thread; return once it is queued."""
        before = self.queued()

        def run():
            result = self.admit(**fields)
            self.results.append(result)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.wait_for(lambda: self.queued() > before)
        return thread

    def queued(self):
        return sum(row.queued_requests for row in self.dispatcher.demand())

    def wait_for(self, condition):
        end_s = time.monotonic() + 10
        while not condition():
            self.assertTrue(time.monotonic() < end_s, "condition timed out")
            time.sleep(0.002)

    def fill(self, count=8, **fields):
        return [self.admit(**fields) for _ in range(count)]

    def expect_refusal(self, thread, code):
        thread.join(10)
        self.assertEqual(code, self.results[-1].code)
        self.assertEqual("no", self.results[-1].ran)
        self.assertEqual(0, self.queued())

    def test_target_gets_no_more_than_its_slots(self):
        """Guards against more requests at a target than it has slots.

        A request that ends twice must not free two slots.
        """
        grants = self.fill()
        thread = self.admit_in_thread()
        grants[0].finish(ANSWER, 1.0)
        grants[0].finish(ANSWER, 1.0)
        thread.join(10)
        self.assertIsInstance(self.results[0], Grant)
        self.assertEqual(8, self.entry.permits.running("red"))
        self.admit_in_thread(remaining_ms=1_000)
        self.clock.advance(2)

    def test_nothing_starts_without_a_permit(self):
        """Guards against more requests of a team than its portion."""
        self.entry.permits.portions["red"] = 2
        grants = self.fill(2)
        thread = self.admit_in_thread()
        self.assertEqual(("red",), self.dispatcher.short_teams())
        self.assertIsInstance(self.admit(team="blue"), Grant)
        self.entry.permits.portions["red"] = 1
        grants[0].finish(ANSWER, 1.0)
        self.assertEqual(1, self.queued())
        grants[1].finish(ANSWER, 1.0)
        thread.join(10)
        self.assertEqual((), self.dispatcher.short_teams())
        self.assertEqual(2, self.entry.permits.peak_running)

    def test_lowered_limit_does_not_affect_running_requests(self):
        """Guards against lost permits of requests that are running."""
        grants = self.fill(4)
        self.entry.permits.portions["red"] = 1
        self.dispatcher.tick()
        self.assertEqual(4, self.entry.permits.running("red"))
        for grant in grants:
            grant.finish(ANSWER, 1.0)
        self.assertEqual(0, self.entry.permits.running("red"))

    def test_unknown_outcome_keeps_slot_and_permit(self):
        """Guards against exceeding limits by requests that may still run."""
        grants = self.fill()
        grants[0].hold(30_000)
        thread = self.admit_in_thread(remaining_ms=60_000)
        self.clock.advance(29.9)
        self.dispatcher.tick()
        self.assertEqual(1, self.queued())
        self.assertEqual(8, self.entry.permits.running("red"))
        self.assertFalse(self.dispatcher.wait_idle(0.01))
        self.clock.advance(0.2)
        self.dispatcher.tick()
        thread.join(10)
        self.assertIsInstance(self.results[0], Grant)

    def test_changes_while_queued_refuse_what_did_not_run(self):
        """Guards against running requests that are no longer permitted.

        Their key, team or queue is removed while they are queued.
        """
        now = document()
        key = attrs.evolve(now.teams[0].keys[0], key_id="k2")
        rekeyed = attrs.evolve(now.teams[0], keys=(key,))
        changes = {
            "key-withdrawn": attrs.evolve(now, teams=(rekeyed, now.teams[1])),
            "team-unknown": attrs.evolve(now, teams=now.teams[1:]),
            "queue-unknown": attrs.evolve(now, queues=now.queues[1:]),
        }
        for code, changed in changes.items():
            self.start()
            grants = self.fill()
            thread = self.admit_in_thread()
            self.entry.change_document(changed)
            grants[0].finish(ANSWER, 1.0)
            self.expect_refusal(thread, code)
            self.assertEqual(7, self.entry.permits.running("red"))

    def test_stale_configuration_refuses_at_dispatch(self):
        """Guards against a start with a key that may have been withdrawn."""
        grants = self.fill()
        thread = self.admit_in_thread()
        self.entry.stale = failures.CONFIGURATION_STALE
        grants[0].finish(ANSWER, 1.0)
        self.expect_refusal(thread, "configuration-stale")

    def test_request_of_a_disconnected_caller_is_dropped(self):
        """Guards against running a request that nobody waits for."""
        grants = self.fill()
        gone = threading.Event()
        thread = self.admit_in_thread(gone=gone.is_set)
        gone.set()
        grants[0].finish(ANSWER, 1.0)
        self.expect_refusal(thread, "caller-gone")
        counts = self.entry.metrics.counts
        self.assertEqual(1, counts["refused", "caller-gone"])

    def test_deadline_passes_while_queued(self):
        """Guards against a request that waits beyond its deadline."""
        self.fill()
        thread = self.admit_in_thread(remaining_ms=1_000)
        self.clock.advance(1.1)
        self.expect_refusal(thread, "deadline-passed")

    def test_refusals_on_arrival(self):
        """Guards against queueing requests that cannot run in time."""
        self.assertEqual("no-target", self.admit_without_targets().code)
        grants = self.fill()
        grants.pop().finish(ANSWER, 4_000)
        grants += self.fill(1)
        threads = [
            self.admit_in_thread(remaining_ms=60_000) for _ in range(64)
        ]
        full = self.admit(remaining_ms=600_000)
        self.assertEqual("queue-full", full.code)
        # The 64 requests ahead of it take 4 s each, 8 at a time: 32 s.
        late = self.admit(remaining_ms=31_000)
        self.assertEqual("deadline-unreachable", late.code)
        self.dispatcher.begin_shutdown()
        self.assertEqual("shutting-down", self.admit().code)
        self.results += grants
        while any(thread.is_alive() for thread in threads) or self.results:
            if self.results:
                self.results.pop().finish(ANSWER, 1.0)
        self.assertTrue(self.dispatcher.wait_idle(1.0))

    def admit_without_targets(self):
        fleet = self.entry.fleet
        fleet.apply(fleet_record("a", state=VmState.DRAINING), 2)
        result = self.admit()
        fleet.apply(fleet_record("a"), 3)
        return result

    def test_draining_vm_gets_no_requests_and_is_reported(self):
        """Guards against rebooting a VM with requests that go unreported."""
        grants = self.fill(3)
        self.assertEqual({}, self.dispatcher.running_by_vm())
        record = fleet_record("a", state=VmState.DRAINING)
        self.entry.fleet.apply(record, 2)
        self.assertEqual({"vm-0": 3}, self.dispatcher.running_by_vm())
        self.assertEqual("no-target", self.admit().code)
        for grant in grants:
            grant.finish(ANSWER, 1.0)
        self.assertEqual({}, self.dispatcher.running_by_vm())

    def run_saturated(self, rounds, work, running):
        """Run with full queues; return how many requests of each kind ran.

        :param work: queue and team of the requests that are kept waiting
        :param running: grants of the requests that run at the start
        """
        served = []
        for row in work * 3:
            self.admit_in_thread(remaining_ms=10**6, **row)
        for _ in range(rounds):
            running.pop(0).finish(ANSWER, 1_000)
            self.wait_for(lambda: self.results)
            grant = self.results.pop()
            running.append(grant)
            served.append((grant.team, grant.urgent))
            queue = "rush" if grant.urgent else "quotes"
            self.admit_in_thread(
                remaining_ms=10**6, queue=queue, team=grant.team
            )
            self.clock.advance(0.125)
        self.clock.advance(10**6)
        for grant in running:
            grant.finish(ANSWER, 1.0)
        return {kind: served.count(kind) for kind in set(served)}

    def test_teams_are_served_by_share(self):
        """Guards against teams that get more or less than their share."""
        now = document()
        teams = (attrs.evolve(now.teams[0], share=3.0), now.teams[1])
        self.start(current=attrs.evolve(now, teams=teams))
        self.entry.shares.spare = 8.0
        work = [{"team": "red"}, {"team": "blue"}]
        running = self.fill(4, team="red") + self.fill(4, team="blue")
        served = self.run_saturated(200, work, running)
        self.assertTrue(
            2.7 < served["red", False] / served["blue", False] < 3.3
        )

    def test_reserve_is_kept_for_urgent_requests(self):
        """Guards against other requests in slots kept for urgent ones."""
        current = document(reserve=2)
        self.start(current=current)
        self.entry.shares.spare = shareable_slots(
            self.entry.fleet, current, "quotes"
        )
        grants = self.fill(6)
        thread = self.admit_in_thread()
        grants += [self.admit(queue="rush") for _ in range(2)]
        self.assertTrue(all(isinstance(grant, Grant) for grant in grants))
        grants[-1].finish(ANSWER, 1.0)
        self.assertEqual(1, self.queued())
        grants[0].finish(ANSWER, 1.0)
        thread.join(10)
        self.assertIsInstance(self.results[0], Grant)

    def test_urgent_requests_go_first_without_starving_others(self):
        """Guards against urgent requests that wait or starve others."""
        self.start(current=document(reserve=2))
        self.entry.shares.by_team = {"red": 4.0, "blue": 4.0}
        self.entry.shares.spare = 0.0
        work = [{"team": "red"}, {"team": "blue"}]
        work += [{"team": "red", "queue": "rush"}]
        running = self.fill(2) + self.fill(3, team="blue") + self.fill(1)
        running += self.fill(2, queue="rush")
        served = self.run_saturated(200, work, running)
        self.assertTrue(served["red", True] >= 80, served)
        self.assertTrue(served["blue", False] >= 80, served)
