"""Tests of the reports that a leader without the store uses."""

import types

import testtools

from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling import worker_link
from rosemarynotch._internal.scheduling.worker_link import WorkerLink
from tests.lib.scheduling import Leader
from tests.unit.test_worker_link import FakeController

STARTED_REVISION = 20


class DetachedLeaderTest(testtools.TestCase):
    """Guards against tasks that a leader without the store starts again.

    The next leader has heard the worker and taken note of the ends of its
    runs. The worker has restarted since, so that it accepts the lower fence
    again and knows nothing of the runs (rule TWICE).
    """

    def setUp(self):
        super().setUp()
        self.patch(worker_link, "APPLY_WAIT_S", 0.0)
        self.leader = Leader(term=2, started_revision=STARTED_REVISION)
        self.scheduler = self.leader.scheduler
        self.leader.submit("j1")
        self.leader.add_workers("w2")
        worker = self.scheduler.workers["w2"]
        worker.granted_until_ms = worker.clock_ms + 5000
        self.controller = FakeController()
        self.controller.scheduler = self.scheduler
        self.controller.clock = types.SimpleNamespace(
            monotonic_s=lambda: self.leader.now_s
        )
        self.controller.post = lambda event: event(self.leader.now_s)

    def hear(self, worker, is_running):
        """Request a report of a restarted worker without runs."""
        self.controller.is_running = is_running
        report = WorkerReport(clock_ms=100, started_unix_ms=2)
        channel = types.SimpleNamespace(report=lambda *arguments: report)
        WorkerLink(self.controller, worker, channel)._request_report()

    def starts(self):
        """Return the workers on which a leader without the store starts."""
        now_s = self.leader.now_s
        commands = self.leader.planner.place(now_s, 1e6, 2.0, now_s)
        return [command.worker.worker_id for command in commands]

    def test_worker_that_has_restarted(self):
        (run,) = self.leader.place()
        self.leader.add_workers("w3")
        self.leader.now_s += 0.1
        self.hear(self.scheduler.workers[run.worker_id], False)
        self.assertFalse(run.task.is_waiting)
        self.hear(self.scheduler.workers[run.worker_id], True)
        self.assertTrue(run.task.is_waiting)

    def test_worker_that_was_not_heard_before(self):
        (worker,) = self.scheduler.set_workers(
            [Leader.entry("w2"), Leader.entry("w1")],
            self.leader.now_s,
            are_inherited=True,
        )
        self.hear(worker, False)
        self.assertEqual([], self.starts())
        self.hear(worker, True)
        self.assertEqual(["w2"], self.starts())
