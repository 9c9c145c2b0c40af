"""Tests of what a new leader knows of the runs of earlier terms."""

import attrs
import testtools

from rosemarynotch._internal.exceptions import WORKER_REPLACED
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.records import ProgressRecord
from tests.lib.scheduling import Leader
from tests.lib.scheduling import LEASE_S
from tests.lib.scheduling import QUEUE

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
        task = self.job.occurrences[0].steps[0].tasks[0].task_id
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
        moved = attrs.evolve(self.entries[0], pool="p2")
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

    def test_replaced_worker_with_an_end_that_is_not_written(self):
        """Guards against a roster without a worker that tells of an end."""
        task = self.job.occurrences[0].steps[0].tasks[0].task_id
        end = RunEnd(sequence=1, task=task, run=1, kind=EndKind.DONE)
        self.leader.report("w1", ends=[end])
        self.scheduler.workers["w1"].mark_replaced("test")
        self.advance(0.1)
        self.assertIn("w1", self.scheduler.workers)
        self.scheduler.mark_written(self.job, self.job.change, 30)
        self.scheduler.advance_acks()
        self.advance(0.1)
        self.assertNotIn("w1", self.scheduler.workers)

    def test_replaced_worker_with_a_run(self):
        """Guards against a run that is dropped before its lease is over."""
        self.report_run()
        self.scheduler.workers["w1"].mark_replaced("test")
        self.advance(LEASE_S / 2)
        self.assertEqual([], self.place())
        self.advance(LEASE_S)
        self.assertEqual(["w2"], self.place())


class AnswerOfAnotherWorkerTest(TakeoverCase):
    """Guards against tasks and orders that wait for a worker that is gone."""

    def setUp(self):
        super().setUp()
        self.leader.report("w1")
        (command,) = self.leader.planner.place(
            self.leader.now_s, self.leader.now_s * 1000
        )
        self.run = command.run
        self.worker = command.worker

    def answer(self):
        """Let another worker answer the start."""
        self.scheduler.on_start_answer(
            self.run, WORKER_REPLACED, self.leader.now_s
        )

    def test_first_start_frees_its_task(self):
        self.answer()
        self.assertTrue(self.worker.is_replaced)
        self.assertTrue(self.run.task.is_waiting)

    def test_repeated_start_keeps_its_task(self):
        """Guards against a run that an earlier order may have started."""
        self.run.is_resent = True
        self.answer()
        self.assertFalse(self.run.task.is_waiting)
        reconcile = self.leader.planner.reconcile_runs
        self.assertEqual([], reconcile(self.leader.now_s))


class RoutedQueueTest(TakeoverCase):
    """Guards against a task that starts beside its earlier run (TWICE).

    Its queue was routed to another pool, whose workers have all reported.
    """

    def setUp(self):
        super().setUp()
        self.entries[1] = attrs.evolve(self.entries[1], pool="p2")
        self.scheduler.workers["w2"].pools.clear()
        self.scheduler.set_workers(self.entries, self.leader.now_s)
        self.scheduler.workers["w2"].is_enrolled = True
        self.route("p2")

    def route(self, pool):
        """Route the queue to another pool."""
        queue = attrs.evolve(QUEUE, pool=pool)
        self.scheduler.configuration = attrs.evolve(
            self.scheduler.configuration, queues=(queue,)
        )

    def record(self):
        """Record the changes of the job; return the record."""
        self.scheduler.mark_written(self.job, self.job.change, 30)
        return decode(encode(self.job.progress()), ProgressRecord)

    def test_run_in_the_former_pool(self):
        self.place()
        self.record()
        self.assertEqual([], self.place())
        self.leader.report("w1")
        self.assertEqual(["w2"], self.place())

    def test_pool_that_is_not_recorded(self):
        """Guards against runs that the next leader does not look for."""
        self.leader.report("w1")
        self.assertEqual([], self.place())
        self.record()
        self.assertEqual(["w2"], self.place())

    def test_pool_between_two_others(self):
        """Guards against a leader that knows only the first and last pool."""
        self.place()
        record = self.record()
        leader = Leader(term=3, started_revision=40)
        self.job = leader.submit("j1", progress=record)
        self.leader, self.scheduler = leader, leader.scheduler
        inherited = attrs.evolve(leader.entry("w3"), pool="p2")
        self.scheduler.set_workers(
            [inherited], leader.now_s, are_inherited=True
        )
        self.route("p3")
        leader.add_workers("w4")
        self.scheduler.workers["w4"].entry = attrs.evolve(
            leader.entry("w4"), pool="p3"
        )
        self.place()
        self.record()
        self.assertEqual([], self.place())
        leader.report("w3")
        self.assertEqual(["w4"], self.place())


class LivingWorkerTest(TakeoverCase):
    """Guards against a worker that gets no work for the rest of the term.

    An order for a VM that was maintained before counts as carried out,
    although its worker lives on.
    """

    def test_worker_that_lives_on_is_added_again(self):
        self.scheduler.workers["w2"].mark_replaced("test")
        self.scheduler.expire_workers(self.leader.now_s)
        later_s = self.leader.now_s + 5.0
        self.assertEqual([], self.scheduler.set_workers(self.entries, later_s))
        added = self.scheduler.set_workers(self.entries, later_s + 6.0)
        self.assertEqual(["w2"], [worker.worker_id for worker in added])
