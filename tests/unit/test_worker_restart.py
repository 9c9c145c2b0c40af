"""Tests of a worker that restarts under its identifier.

It then has no runs and counts anew: its clock and the numbers of run ends.
"""

from concurrent import futures
import socket
import threading
import types

import attrs
import testtools

from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import WORKER_UNREACHABLE
from rosemarynotch._internal.platform import HttpWorkerChannel
from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.order_sender import OrderSender
from rosemarynotch._internal.scheduling.planner import StopCommand
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.ports import StartOrder
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.worker_feed import WorkerFeed
from rosemarynotch._internal.scheduling import worker_link
from rosemarynotch._internal.scheduling.worker_link import WorkerLink
from rosemarynotch._internal.scheduling.workers import Worker
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.http import HttpClient
from standins.fleet.http import Answer
from standins.fleet.http import JsonServer
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import LEASE_S
from tests.lib.scheduling import step
from tests.unit.test_worker_link import FakeController

LOST = WORKER_UNREACHABLE.with_ran_unknown()
NEW_CLOCK_MS = 400
WAIT_S = 10.0
LONG_MS = 60_000


class RestartTest(testtools.TestCase):
    """Guards against runs that are judged by an earlier incarnation."""

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1", "w2")
        self.leader.submit("j1")
        (self.run_,) = self.leader.place()
        self.task = self.run_.task
        self.name = self.run_.worker_id
        self.worker = self.leader.scheduler.workers[self.name]

    def list_restart(self):
        """List the worker as restarted."""
        entries = [
            attrs.evolve(
                worker.entry,
                started_unix_ms=2 if worker is self.worker else 1,
            )
            for worker in self.leader.scheduler.workers.values()
        ]
        self.leader.scheduler.set_workers(entries, self.leader.now_s)

    def report_restart(self, running=(), **fields):
        """Apply a report of the new incarnation."""
        self.leader.report(
            self.name,
            running,
            started_unix_ms=2,
            clock_ms=NEW_CLOCK_MS,
            **fields,
        )

    def test_list_that_is_newer_than_the_reports(self):
        """Guards against a second run of a task that runs (rule TWICE).

        The list showed the new incarnation before its first report, and all
        runs of the worker were dropped, also those that it had accepted.
        """
        self.list_restart()
        self.leader.now_s += 0.1
        self.assertEqual([], self.leader.place())
        self.report_restart([(self.task.task_id, 1, 10)])
        self.assertEqual([self.run_], self.task.runs)

    def test_run_that_the_new_incarnation_lacks(self):
        """Guards against tasks that wait for runs lost in a restart."""
        self.list_restart()
        self.leader.now_s += 0.1
        self.report_restart()
        self.assertTrue(self.task.is_waiting)

    def test_run_accepted_after_the_report_was_requested(self):
        """Guards against dropping a run that a report cannot contain."""
        self.report_restart(asked_before_s=0.5)
        self.assertEqual([self.run_], self.task.runs)

    def test_listed_restart_gets_no_new_runs(self):
        """Guards against leases by the clock of an earlier incarnation."""
        self.list_restart()
        now_s = self.leader.now_s
        self.assertFalse(self.worker.accepts_work(now_s))
        self.report_restart([(self.task.task_id, 1, 10)])
        self.assertTrue(self.worker.accepts_work(now_s))

    def test_repeated_start_waits_for_the_first_report(self):
        """Guards against a repeated start with a lease of another clock."""
        scheduler, now_s = self.leader.scheduler, self.leader.now_s
        self.leader.submit("j2")
        (command,) = self.leader.planner.place(now_s, now_s * 1000)
        command.run.lease_until_ms = 7
        scheduler.on_start_answer(command.run, LOST, now_s)
        self.worker = command.worker
        self.name = command.run.worker_id
        self.list_restart()
        self.assertEqual([], self.leader.planner.reconcile_runs(now_s))
        self.report_restart()
        (again,) = self.leader.planner.reconcile_runs(now_s)
        self.assertIs(command.run, again.run)
        self.assertEqual(0, command.run.lease_until_ms)

    def test_entry_of_an_earlier_incarnation(self):
        """Guards against a start by the labels of a former life (rule ROUTE).

        A worker may come back as one of another kind. Its first report was
        received before the list that says so.
        """
        self.leader.now_s += 0.1
        self.report_restart()
        (other,) = self.leader.place()
        self.assertNotEqual(self.name, other.worker_id)
        self.leader.submit("j2", job_spec(step(16)))
        self.assertEqual(
            {other.worker_id}, {run.worker_id for run in self.leader.place()}
        )
        self.list_restart()
        self.assertTrue(self.worker.accepts_work(self.leader.now_s))

    def test_repeated_start_on_a_worker_of_another_kind(self):
        """Guards against the same for a start that had no answer."""
        scheduler, now_s = self.leader.scheduler, self.leader.now_s
        self.leader.submit("j2", job_spec(step(required_label="rack-1")))
        (command,) = self.leader.planner.place(now_s, now_s * 1000)
        command.run.is_sent = True
        scheduler.on_start_answer(command.run, LOST, now_s)
        self.worker, self.name = command.worker, command.run.worker_id
        self.report_restart()
        self.assertEqual([], self.leader.planner.reconcile_runs(now_s))
        self.list_restart()
        self.worker.entry = attrs.evolve(
            self.worker.entry, labels=("b", "rack-2")
        )
        (again,) = self.leader.planner.reconcile_runs(now_s)
        self.assertIsInstance(again, StopCommand)

    def test_ends_are_numbered_anew(self):
        """Guards against ends of a new incarnation that count as known."""
        self.worker.seen_sequence = self.worker.acked_sequence = 5
        end = RunEnd(
            sequence=1, task=self.task.task_id, run=1, kind=EndKind.DONE
        )
        self.report_restart(ends=[end])
        self.assertTrue(self.task.is_done)
        self.assertEqual(0, self.worker.acked_sequence)

    def expires_after_s(self, lost_at_s):
        """Return how long the run is kept after the worker was lost."""
        for tenth in range(1, 400):
            now_s = lost_at_s + tenth / 10
            self.leader.scheduler.expire_workers(now_s)
            if self.task.is_waiting:
                return tenth / 10
        return None

    def test_lease_by_the_clock_of_the_new_incarnation(self):
        """Guards against runs that are kept for ever (rule LOST).

        The end of the lease was a time on the clock of the earlier
        incarnation, so it seemed to last as long as that had lived.
        """
        self.worker.lease_until_ms = self.worker.clock_ms + 5000
        self.report_restart([(self.task.task_id, 1, 10)])
        lost_s = self.expires_after_s(self.leader.now_s)
        # Another leader may have granted a lease to the new incarnation.
        self.assertGreater(lost_s, LEASE_S)
        self.assertLess(lost_s, LEASE_S + 1)

    def test_lease_of_an_earlier_leader(self):
        """Guards against runs that are kept for ever (rule LOST).

        The worker was lost after the first report to a new leader, which had
        granted no lease yet.
        """
        leader = Leader(term=2, started_revision=20)
        leader.submit("j1")
        leader.scheduler.set_workers([leader.entry("w1")], leader.now_s)
        leader.report("w1", [(self.task.task_id, 1, 10)])
        (run,) = leader.scheduler.workers["w1"].runs.values()
        leader.scheduler.expire_workers(leader.now_s + LEASE_S)
        self.assertFalse(run.task.is_waiting)
        leader.scheduler.expire_workers(leader.now_s + LEASE_S + 1)
        self.assertTrue(run.task.is_waiting)


class ChannelTest(testtools.TestCase):
    """Guards against numbers of one incarnation that reach another."""

    def setUp(self):
        super().setUp()
        self.bodies = []
        self.is_silent = False
        self.started_unix_ms = 1
        self.called = threading.Semaphore(0)
        self.closing = threading.Event()
        self.server = JsonServer(self.respond)
        self.addCleanup(self.server.close)
        self.addCleanup(self.closing.set)
        self.channel = HttpWorkerChannel(
            lambda timeout_s, check: HttpClient(
                self.server.address, SystemClock(), timeout_s, check=check
            ),
            "w1",
            lambda repeats: 0.25,
        )
        self.addCleanup(self.channel.close)

    def respond(self, call):
        self.bodies.append(call.body)
        if self.is_silent:
            self.called.release()
            self.closing.wait(LONG_MS / 1000)
        return Answer(200, {"clock-ms": 1, "born": self.started_unix_ms})

    def end_connections(self):
        """End the connections, as the end of the worker does."""
        for connection in list(self.server.connections):
            connection.shutdown(socket.SHUT_RDWR)

    def test_connection_of_the_last_report(self):
        """Guards against ends that a restarted worker forgets unread.

        Each report was requested with the number of the last known end, and
        a call without an answer was repeated on a new connection.
        """
        self.channel.report(1, 0, 0, 0)
        self.channel.report(1, 5, 9000, 10)
        self.end_connections()
        report = self.channel.report(1, 5, 9000, 10)
        if not isinstance(report, WorkerReport):
            report = self.channel.report(1, 5, 9000, 10)
        self.assertIsInstance(report, WorkerReport)
        bound = {"fencing-token": 1, "last-seen": 5, "deadline-ms": 9000}
        plain = {"fencing-token": 1, "last-seen": 0}
        self.assertEqual([plain, {**bound, "wait-ms": 10}], self.bodies[:2])
        self.assertEqual(plain, self.bodies[-1])

    def order(self, worker_started_unix_ms):
        """Send a start by the clock of an incarnation; return the answer."""
        return self.channel.start(
            1,
            StartOrder(
                task=TaskId("j", 0, 0, 0),
                run=1,
                payload="",
                lease_until_worker_ms=9000,
                worker_started_unix_ms=worker_started_unix_ms,
            ),
        )

    def test_start_on_a_new_connection(self):
        """Guards against leases by the clock of an earlier incarnation.

        The new one shortens them to its longest lease, so that its runs
        outlast what the leader assumes.
        """
        self.assertEqual(1, self.order(1))
        self.assertEqual(1, self.order(1))
        plain = {"fencing-token": 1, "last-seen": 0}
        self.assertEqual(plain, self.bodies[0])
        self.assertEqual(
            [9000, 9000], [b["deadline-ms"] for b in self.bodies[1:]]
        )
        self.started_unix_ms = 2
        self.end_connections()
        while (answer := self.order(1)).ran is not Ran.NO:
            # The end of the connection was not noticed before the call.
            continue
        self.assertTrue(answer.is_a(WORKER_UNREACHABLE))
        self.assertEqual(plain, self.bodies[-1])
        self.assertEqual(1, self.order(2))

    def test_call_that_waits_can_be_ended(self):
        """Guards against a call to an incarnation that has ended silently."""
        self.channel.report(1, 0, 0, 0)
        self.is_silent = True
        with futures.ThreadPoolExecutor(1) as threads:
            call = threads.submit(self.channel.report, 1, 0, 9000, LONG_MS)
            self.assertTrue(self.called.acquire(timeout=WAIT_S))
            self.channel.abort_report()
            answer = call.result(WAIT_S)
        self.assertIs(Ran.UNKNOWN, answer.ran)


class LinkTest(testtools.TestCase):
    """Guards against a link that mixes the counts of two incarnations."""

    def setUp(self):
        super().setUp()
        self.patch(worker_link, "APPLY_WAIT_S", 0.0)
        self.patch(worker_link, "PERSIST_WAIT_S", 0.0)
        self.controller = FakeController()
        self.acked = []
        self.started_unix_ms = 1
        self.aborts = 0
        self.worker = Worker(entry=Leader.entry("w1"), started_unix_ms=1)
        self.link = self.make_link()

    def make_link(self):
        channel = types.SimpleNamespace(
            report=self.report, abort_report=self.abort, close=lambda: None
        )
        return WorkerLink(self.controller, self.worker, channel)

    def abort(self):
        self.aborts += 1

    def report(self, fence, acked_sequence, lease_ms, wait_ms):
        self.acked.append(acked_sequence)
        return WorkerReport(clock_ms=100, started_unix_ms=self.started_unix_ms)

    def apply(self):
        """Apply the events so far, as the scheduling thread does."""
        while self.controller.events:
            self.controller.events.pop(0)(1000.0)

    def test_report_that_is_not_applied_yet(self):
        """Guards against acknowledging unread ends (rule TWICE).

        The numbers of the earlier incarnation are known until the first
        report of the new one has been applied.
        """
        self.link._request_report()
        self.apply()
        self.worker.acked_sequence = 7
        self.link._request_report()
        self.started_unix_ms = 2
        self.link._request_report()
        self.link._request_report()
        self.assertEqual([0, 7, 7, 0], self.acked)
        self.apply()
        self.worker.acked_sequence = 1
        self.link._request_report()
        self.assertEqual(1, self.acked[-1])

    def test_discarded_link(self):
        """Guards against reports of a worker that was removed."""
        self.link._request_report()
        self.link.discard()
        self.apply()
        self.assertEqual(0.0, self.worker.clock_received_at_s)

    def test_listed_restart_ends_the_call_once(self):
        """Guards against calls that a list interrupts again and again."""
        self.link.follow_restart(2)
        self.link.follow_restart(2)
        self.assertEqual(1, self.aborts)

    def test_worker_at_another_address(self):
        """Guards against a link to the address of an earlier incarnation."""
        controller = self.controller
        controller.order_timeout = None
        controller.writer = types.SimpleNamespace(
            request_roster_write=lambda: None
        )
        controller.start_thread = lambda target, name: None
        controller.ports = types.SimpleNamespace(
            connect_worker=lambda entry, timeout: self.make_link().channel
        )
        feed = WorkerFeed(controller)
        feed._set_workers([Leader.entry("w1")], 1000.0)
        first = feed.link("w1")
        entry = attrs.evolve(
            Leader.entry("w1"), address="h:2", started_unix_ms=2
        )
        feed._set_workers([entry], 1000.0)
        self.assertEqual("h:2", feed.link("w1").address)
        self.assertTrue(first._discarded)


class LeaseRecordTest(testtools.TestCase):
    """Guards against leases that are recorded on the clock of another."""

    def test_lease_of_a_later_incarnation(self):
        leader = Leader()
        leader.add_workers("w1")
        worker = leader.scheduler.workers["w1"]
        controller = types.SimpleNamespace(
            is_running=True,
            clock=types.SimpleNamespace(monotonic_s=lambda: 1),
            _lease_lock=threading.Lock(),
            _is_granting=True,
        )
        worker.lease_until_ms = 9
        clock = attrs.evolve(worker.clock, clock_ms=10**6, started_unix_ms=2)
        Controller.extend_lease(controller, worker, clock)
        self.assertEqual(9, worker.lease_until_ms)

    def test_order_takes_lease_and_clock_at_once(self):
        """Guards against a restart between the two."""
        leader = Leader()
        leader.add_workers("w1")
        leader.submit("j1")
        (command,) = leader.planner.place(1000.0, 1e6)
        held = []

        class Lock:
            def __enter__(self):
                held.append(True)

            def __exit__(self, *args):
                held.pop()

        def extend_lease(worker, clock):
            self.assertEqual([True], held)
            return 7

        controller = types.SimpleNamespace(
            lock=Lock(),
            clock=types.SimpleNamespace(monotonic_s=lambda: 1000.0),
            evacuations=types.SimpleNamespace(is_fresh=lambda now_s: True),
            extend_lease=extend_lease,
        )
        sender = OrderSender(controller)
        self.addCleanup(sender.close)
        is_needed, order = sender._prepare(command)
        self.assertTrue(is_needed)
        self.assertEqual(7, order.lease_until_worker_ms)
        self.assertEqual(1, order.worker_started_unix_ms)
