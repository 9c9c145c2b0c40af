"""Tests of what a run resumes from, and of what counts as its progress."""

import testtools

from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import step


class RunTest(testtools.TestCase):
    """Guards against runs that begin, or are judged, by a wrong state."""

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1", "w2")

    def test_order_that_waited_is_not_a_stuck_run(self):
        """Guards against stops of runs whose orders waited in a queue.

        The wait counted as time without progress. In a step of 700 tasks, 91
        were stopped that had just started.
        """
        self.leader.submit("j1")
        (command,) = self.leader.planner.place(1000.0, 1e6)
        self.leader.now_s += 4.0
        self.leader.scheduler.on_start_answer(
            command.run, 1004_000, self.leader.now_s
        )
        self.leader.now_s += 0.5
        self.leader.report_runs(command.run.worker_id, percent=0)
        self.assertEqual(
            [], self.leader.planner.reconcile_runs(self.leader.now_s)
        )

    def stop_if_stuck(self, run, silent_s):
        """Report a run without progress for a time; tell if it is stopped."""
        self.leader.report_runs(run.worker_id, percent=0)
        self.leader.now_s += silent_s
        self.leader.report_runs(run.worker_id, percent=0)
        commands = self.leader.planner.reconcile_runs(self.leader.now_s)
        self.leader.end(run, EndKind.STOPPED)
        return bool(commands)

    def test_long_task_is_not_stuck(self):
        """Guards against a long task that is stopped again and again.

        Its percentage is a whole number, and grew by less than one in 2.2 s.
        """
        self.leader.submit("j1", job_spec(step(estimated_ms=300_000)))
        (run,) = self.leader.place()
        self.assertFalse(self.stop_if_stuck(run, 3.0))

    def test_task_that_is_longer_than_estimated(self):
        """Guards against a task that never ends as its estimate is too low."""
        self.leader.submit("j1")
        stops = 0
        for _ in range(8):
            (run,) = self.leader.place()
            stops += self.stop_if_stuck(run, 10.0)
            self.leader.now_s += 10.0
            self.leader.report_runs("w1")
            self.leader.report_runs("w2")
        self.assertEqual(5, stops)

    def test_gang_resumes_from_one_checkpoint(self):
        """Guards against members that resume from different checkpoints.

        After the loss of a worker, each run of the gang ended alone, and its
        job was never done (rule GANG, review/6 at a42bd9e).
        """
        self.leader.submit("j1", job_spec(step(3, is_gang=True)))
        runs = self.leader.place()
        for number, run in enumerate(runs[:2], 1):
            end = RunEnd(
                sequence=number,
                task=run.task.task_id,
                run=run.number,
                kind=EndKind.BROKEN,
                checkpoint=f"{number}",
            )
            worker = self.leader.scheduler.workers[run.worker_id]
            self.leader.scheduler._on_end(worker, end, self.leader.now_s)
        self.leader.scheduler._drop_lost_run(
            self.leader.scheduler.workers[runs[2].worker_id],
            runs[2],
            self.leader.now_s,
            "lost",
        )
        job = self.leader.scheduler.jobs["j1"]
        leader = Leader(term=2)
        leader.add_workers("w1", "w2")
        leader.submit("j1", job.submission.spec, progress=job.progress())
        for each in (self.leader, leader):
            again = each.place()
            self.assertEqual(["2"] * 3, [run.checkpoint for run in again])

    def test_repeated_start_resumes_from_the_same_checkpoint(self):
        """Guards against an order for a run that differs from the first."""
        self.leader.submit("j1")
        (command,) = self.leader.planner.place(1000.0, 1e6)
        command.run.task.checkpoint = "new"
        self.assertEqual("", command.run.checkpoint)
