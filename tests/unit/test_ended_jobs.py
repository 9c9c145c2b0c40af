"""Tests of what the leader keeps of jobs that have ended."""

from rosemarynotch._internal.scheduling.job_registry import COMPACT_AFTER_S
from rosemarynotch._internal.scheduling.planner import StopCommand
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import ProgressRecord
from tests.lib.scheduling import QUEUE
from tests.unit.test_unloaded_jobs import job_name
from tests.unit.test_unloaded_jobs import UnloadedCase


class EndedJobTest(UnloadedCase):
    """Guards against memory that jobs take long after their end."""

    def setUp(self):
        super().setUp()
        self.leader.add_workers("w1")
        self.put(0)
        self.load_all()
        (self.run_,) = self.leader.place()
        self.leader.end(self.run_)
        job = self.scheduler.jobs[job_name(0)]
        job.finished_unix_ms = 1
        self.scheduler.mark_written(job, job.change, 200)
        record = job.progress()
        self.put(0, progress=record)

    def pass_time(self):
        """Let the time pass after which little is kept of the job."""
        for _ in range(2):
            self.scheduler.expired_jobs(self.leader.now_s, 1000.0)
            self.leader.now_s += COMPACT_AFTER_S + 1

    def test_completed_job_is_still_shown(self):
        """Guards against a completion that is not shown during an outage."""
        self.pass_time()
        self.assertEqual({}, self.scheduler.jobs)
        self.assertIs(Phase.COMPLETED, self.scheduler.ended[job_name(0)].phase)

    def test_end_that_is_repeated(self):
        """Guards against ends of ended jobs that are not acknowledged."""
        self.pass_time()
        end = RunEnd(
            sequence=2, task=self.run_.task.task_id, run=1, kind=EndKind.DONE
        )
        self.leader.report("w1", ends=[end])
        worker = self.scheduler.workers["w1"]
        worker.advance_acks()
        self.assertEqual(2, worker.acked_sequence)

    def test_late_run_is_stopped(self):
        """Guards against a run of an ended job that goes on."""
        self.pass_time()
        task = self.run_.task.task_id
        self.leader.report("w1", [(task, 1, 50)])
        self.read_more()
        (command,) = self.leader.planner.reconcile_runs(self.leader.now_s)
        self.assertIsInstance(command, StopCommand)
        self.assertEqual(task, command.run.task.task_id)


class RecordedEndTest(UnloadedCase):
    """Guards against ended jobs that start anew with the next leader."""

    def test_completed_job(self):
        record = ProgressRecord(
            phase=Phase.COMPLETED, queue=QUEUE.name, organisation="o"
        )
        self.put(0, progress=record)
        self.load_all()
        self.assertEqual({}, self.scheduler.jobs)
        self.assertIs(Phase.COMPLETED, self.scheduler.ended[job_name(0)].phase)
        self.leader.add_workers("w1")
        self.assertEqual([], self.leader.place())
