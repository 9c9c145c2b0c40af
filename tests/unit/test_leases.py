"""Tests of how long leases on workers last, and what relies on their end."""

import threading
import types

import testtools

from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.controller import LEASE_S
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling import worker_link
from rosemarynotch._internal.scheduling.worker_link import WorkerLink
from rosemarynotch._internal.scheduling.workers import Worker
from rosemarynotch._internal.scheduling.workers import WorkerClock
from tests.lib.scheduling import Leader
from tests.unit.test_worker_link import FakeController


class LeaseLengthTest(testtools.TestCase):
    """Guards against leases that outlast what the next leader assumes.

    It starts inherited tasks of a worker that it cannot reach elsewhere when
    the longest lease is over (rule TWICE).
    """

    def setUp(self):
        super().setUp()
        self.patch(worker_link, "APPLY_WAIT_S", 0.0)
        self.now_s = 1000.0
        self.leases_s = []
        self.controller = FakeController()
        self.controller.clock = types.SimpleNamespace(
            monotonic_s=lambda: self.now_s
        )
        self.controller.extend_lease = lambda worker, clock: (
            Controller.extend_lease(self.controller, worker, clock)
        )
        self.controller.post = lambda event: event(self.now_s)
        self.worker = Worker(entry=Leader.entry("w1"))
        channel = types.SimpleNamespace(report=self.report)
        self.link = WorkerLink(self.controller, self.worker, channel)

    def report(self, fence, acked_sequence, lease_ms, wait_ms):
        """Answer after the long-poll time, with the clock of the answer."""
        if lease_ms:
            self.leases_s.append(lease_ms / 1000 - self.now_s)
        self.now_s += wait_ms / 1000
        return WorkerReport(clock_ms=round(self.now_s * 1000))

    def test_lease_after_a_long_poll(self):
        """Guards against leases that last longer by the long-poll time.

        A report of an idle worker had waited 2 s, and the next lease was
        counted from its request, so that it lasted 7 s.
        """
        for _ in range(4):
            self.link._request_report()
        self.assertEqual([LEASE_S] * 3, self.leases_s)

    def test_lease_on_a_slow_clock(self):
        """Guards against leases that last longer on a slow clock."""
        clock = WorkerClock(1000, self.now_s)
        until_ms = clock.lease_end_ms(self.now_s + 10, LEASE_S)
        self.assertEqual(1000 + 9800 + LEASE_S * 1000, until_ms)

    def test_suspended_before_the_lease_is_calculated(self):
        """Guards against leases that are counted from a later term.

        The process was suspended after it had checked its permission. The
        order then reached a worker that had not heard the next leader.
        """
        test = self

        class SuspendedController:
            scheduler = self.controller.scheduler
            clock = self.controller.clock
            _lease_lock = threading.Lock()
            _is_granting = True

            @property
            def is_running(self):
                test.now_s += 10
                return True

        clock = WorkerClock(1000, self.now_s)
        until_ms = Controller.extend_lease(
            SuspendedController(), self.worker, clock
        )
        self.assertEqual(1000 + LEASE_S * 1000, until_ms)

    def test_lease_left_between_long_polls(self):
        """Guards against a detached leader that starts nothing.

        It starts tasks on workers with a lease of 2 s. The newest report of
        an idle worker is requested 4 s before the next one is answered.
        """
        for _ in range(4):
            self.link._request_report()
        self.assertEqual(LEASE_S - 2, self.worker.lease_left_s(self.now_s))


class DetachedLeaderTest(testtools.TestCase):
    """Guards against tasks that a leader without the store starts again.

    Another leader may exist, have heard a worker that this one cannot reach,
    and have extended the lease on its runs (rule TWICE).
    """

    def make_controller(self, leader):
        """Return a controller that leads at present."""
        return types.SimpleNamespace(
            scheduler=leader.scheduler,
            planner=leader.planner,
            clock=types.SimpleNamespace(
                wall_s=lambda: leader.now_s, monotonic_s=lambda: leader.now_s
            ),
            worker_feed=types.SimpleNamespace(close_link=lambda name: None),
            evacuations=types.SimpleNamespace(is_fresh=lambda now_s: True),
            mover=types.SimpleNamespace(
                move_from_evacuated=lambda now_s: None
            ),
            is_running=True,
            is_detached=True,
            _lease_lock=threading.Lock(),
            _is_granting=True,
            _reconciled_at_s=0.0,
            _led_at_s=0.0,
            _policies=types.SimpleNamespace(
                pacer=types.SimpleNamespace(plan=lambda workers, now_s: [])
            ),
        )

    def starts(self, leader, controller, is_running):
        """Return the workers on which a pass starts tasks."""
        controller.is_running = is_running
        commands = Controller._plan(controller, leader.now_s)
        return [command.worker.worker_id for command in commands]

    def hear(self, leader, name):
        """Apply a report of a worker whose lease lasts long."""
        leader.report(name)
        worker = leader.scheduler.workers[name]
        worker.lease_until_ms = worker.clock_ms + 9000
        worker.granted_until_ms = worker.lease_until_ms

    def test_lease_that_has_lapsed_meanwhile(self):
        """Guards against a lease that the next leader has extended."""
        leader = Leader()
        leader.add_workers("w1")
        leader.submit("j1")
        (run,) = leader.place()
        leader.add_workers("w2")
        worker = leader.scheduler.workers["w1"]
        worker.lease_until_ms = worker.clock_ms + 1000
        controller = self.make_controller(leader)
        leader.now_s += 2
        self.hear(leader, "w2")
        self.assertEqual([], self.starts(leader, controller, False))
        self.assertEqual([run], run.task.runs)
        self.assertEqual(["w2"], self.starts(leader, controller, True))

    def test_worker_of_the_roster_that_was_not_heard(self):
        """Guards against inherited tasks of a worker that another heard."""
        leader = Leader(term=2, started_revision=20)
        leader.submit("j1", revision=10)
        leader.scheduler.set_workers(
            [leader.entry("w1")], leader.now_s, are_inherited=True
        )
        leader.add_workers("w2")
        controller = self.make_controller(leader)
        self.assertEqual([], self.starts(leader, controller, True))
        leader.now_s += LEASE_S + 2
        self.hear(leader, "w2")
        self.assertEqual([], self.starts(leader, controller, False))
        self.assertEqual(["w2"], self.starts(leader, controller, True))

    def test_worker_that_is_first_heard(self):
        """Guards against leases that a detached leader extends by guessing.

        It assumes that an earlier leader granted the longest lease just before
        the first report. It repeated that lease in orders, and the next leader
        did not expect it.
        """
        leader = Leader(term=2, started_revision=20)
        task = leader.submit("j1").occurrences[0].steps[0].tasks[0]
        leader.submit("j2")
        (worker,) = leader.scheduler.set_workers(
            [leader.entry("w1")], leader.now_s, are_inherited=True
        )
        worker.is_enrolled = True
        controller = self.make_controller(leader)
        leader.report("w1", [(task.task_id, 1, 10)])
        self.assertEqual([], self.starts(leader, controller, False))
        until_ms = Controller.extend_lease(controller, worker, worker.clock)
        self.assertEqual(0, until_ms)
        leader.scheduler.expire_workers(leader.now_s + LEASE_S)
        self.assertFalse(task.is_waiting)

    def test_worker_that_has_restarted(self):
        """Guards against leases by the clock of an earlier incarnation.

        The first report of the new one had not been applied yet. A worker
        shortens such a lease to its longest one, which exceeds LEASE_S.
        """
        leader = Leader()
        leader.add_workers("w1")
        self.hear(leader, "w1")
        controller = self.make_controller(leader)
        controller.is_running = False
        worker = leader.scheduler.workers["w1"]
        clock = WorkerClock(400, leader.now_s, started_unix_ms=2)
        self.assertEqual(0, Controller.extend_lease(controller, worker, clock))
        until_ms = Controller.extend_lease(controller, worker, worker.clock)
        self.assertEqual(worker.granted_until_ms, until_ms)
