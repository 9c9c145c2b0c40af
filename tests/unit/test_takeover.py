"""Tests of what a new leader knows of the runs of earlier terms."""

import testtools

from tests.lib.scheduling import Leader
from tests.lib.scheduling import LEASE_S

STARTED_REVISION = 20


class TakeoverCase(testtools.TestCase):
    """A leader of the second term with a job and a roster of the first."""

    def setUp(self):
        super().setUp()
        self.leader = Leader(term=2, started_revision=STARTED_REVISION)
        self.scheduler = self.leader.scheduler
        self.job = self.leader.submit("j1")
        self.entries = [self.leader.entry("w1"), self.leader.entry("w2")]
        added = self.scheduler.set_workers(
            self.entries, self.leader.now_s, are_inherited=True
        )
        for worker in added:
            worker.is_enrolled = True
        self.leader.report("w2")

    def advance(self, seconds):
        """Advance the clock; the second worker reports again."""
        self.leader.now_s += seconds
        self.scheduler.expire_workers(self.leader.now_s)
        self.leader.report("w2")

    def place(self):
        """Return the workers on which runs start."""
        return [run.worker_id for run in self.leader.place()]

    def report_run(self):
        """Report the run of the earlier term on the first worker."""
        task = self.job.all_tasks()[0].task_id
        self.leader.report("w1", [(task, 1, 50)])


class GoneWorkerTest(TakeoverCase):
    """Guards against a task that starts beside its earlier run (TWICE).

    The worker with the run was taken for gone before it was heard.
    """

    def test_worker_that_seems_replaced(self):
        self.scheduler.workers["w1"].mark_replaced("test")
        self.advance(0.1)
        self.assertEqual([], self.place())
        self.report_run()
        self.assertEqual([], self.place())

    def test_worker_that_is_not_listed(self):
        self.scheduler.set_workers(self.entries[1:], self.leader.now_s)
        self.advance(LEASE_S / 2)
        self.assertEqual([], self.place())

    def test_worker_that_has_moved_to_another_pool(self):
        moved = self.leader.entry("w1").__class__(
            worker_id="w1", started_unix_ms=1, pool="p2", address="h:1"
        )
        self.scheduler.set_workers([moved, self.entries[1]], self.leader.now_s)
        self.assertEqual([], self.place())

    def test_start_after_the_leases(self):
        """Guards against inherited tasks that wait for ever."""
        self.scheduler.workers["w1"].mark_replaced("test")
        self.advance(LEASE_S + 1.0)
        self.assertEqual(["w2"], self.place())
        self.assertNotIn("w1", self.scheduler.workers)

    def test_replaced_worker_without_runs(self):
        """Guards against waits for a worker that is known to be empty."""
        self.leader.report("w1")
        self.scheduler.workers["w1"].mark_replaced("test")
        self.advance(0.1)
        self.assertNotIn("w1", self.scheduler.workers)
        self.assertEqual(["w2"], self.place())

    def test_replaced_worker_with_a_run(self):
        """Guards against a run that is dropped before its lease is over."""
        self.report_run()
        self.scheduler.workers["w1"].mark_replaced("test")
        self.advance(LEASE_S / 2)
        self.assertEqual([], self.place())
        self.advance(LEASE_S)
        self.assertEqual(["w2"], self.place())
