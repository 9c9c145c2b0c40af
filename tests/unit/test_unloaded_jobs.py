"""Tests of accepted jobs for which the leader has no memory.

They are left in the store until there is memory for them. A leader on a small
machine may follow one on a larger machine, and one of a former version may
have accepted more than any leader can hold.
"""

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.job_loader import JobLoader
from rosemarynotch._internal.scheduling.job_memory import JobMemory
from rosemarynotch._internal.scheduling.job_sizes import spec_bytes
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.policy import FleetCheck
from rosemarynotch._internal.scheduling.policy import NoCheck
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.progress_writer import ProgressWriter
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import QUEUE
from tests.lib.scheduling import step
from tests.unit.test_intake_feed import cancellation_row
from tests.unit.test_intake_feed import IntakeCase

HOUR_MS = 3_600_000
SMALL = job_spec()


def job_name(number):
    """Return an identifier; identifiers are listed in order of number."""
    return f"{number:016x}"


class UnloadedCase(IntakeCase):
    """Base of tests with jobs that exceed the memory of the leader.

    Half of the memory is for one organisation: four small jobs.
    """

    def setUp(self):
        super().setUp()
        self.items = {}
        self.store.get = lambda key: self.items.get(key, STORE_KEY_MISSING)
        limit = 8 * spec_bytes(SMALL) / 0.75 + 1000
        self.scheduler.memory = JobMemory(int(limit))
        self.controller.planner = self.leader.planner
        self.controller.advice = self.leader.advice
        self.controller.completion = NoCheck()
        self.loader = JobLoader(self.controller, self.feed)

    def put(self, number, spec=SMALL, organisation="o", progress=None):
        """Store an accepted job."""
        record = SubmissionRecord(
            policy=QUEUE,
            organisation=organisation,
            spec=spec,
            accepted_unix_ms=1,
            attempt_id="a",
        )
        key = JOBS_PREFIX + job_name(number)
        item = Item(key=key, revision=10 + number, value=encode(record))
        self.items[key] = item
        if progress is not None:
            key = PROGRESS_PREFIX + job_name(number)
            self.items[key] = Item(
                key=key, revision=15, value=encode(progress)
            )

    def load_all(self):
        """Load what is stored, as at the start of a term."""
        items = sorted(self.items.items())
        jobs = [item for key, item in items if key.startswith(JOBS_PREFIX)]
        progress = [
            item for key, item in items if key.startswith(PROGRESS_PREFIX)
        ]
        self.assertTrue(self.load(jobs, progress, revision=100))

    def read_more(self):
        """Measure the memory and let the loader read jobs."""
        self.scheduler.measure_memory()
        for job_id in self.loader._choose():
            self.loader._load(job_id)
        self.apply_posted()

    def loaded(self):
        """Return the numbers of the jobs in memory."""
        return sorted(int(name, 16) for name in self.scheduler.active)


class LoadingTest(UnloadedCase):
    """Guards against a leader that reads more than it has memory for."""

    def test_jobs_in_the_store(self):
        """Guards against accepted jobs that end each leader in turn."""
        for number in range(10):
            self.put(number)
        self.load_all()
        self.assertEqual([0, 1, 2, 3], self.loaded())
        self.assertEqual(6, len(self.scheduler.unloaded))
        self.read_more()
        self.assertEqual([0, 1, 2, 3], self.loaded())

    def test_all_are_run_in_the_end(self):
        """Guards against an accepted job that waits for ever."""
        for number in range(10):
            self.put(number)
        self.load_all()
        self.leader.add_workers("w1")
        for _ in range(10):
            self.leader.now_s += 1.0
            for run in self.leader.place():
                self.leader.end(run)
            for job in list(self.scheduler.jobs.values()):
                if job.phase.is_final:
                    self.scheduler.mark_written(job, job.change, 200)
                    self.scheduler.forget(job.job_id)
            self.read_more()
        self.assertEqual([], self.loaded())
        self.assertEqual(0, len(self.scheduler.unloaded))

    def test_other_organisation(self):
        """Guards against jobs of one organisation that keep out others."""
        for number in range(10):
            self.put(number)
        self.put(10, organisation="p")
        self.load_all()
        self.assertEqual([0, 1, 2, 3, 10], self.loaded())

    def test_waiting_jobs_are_counted(self):
        """Guards against counts that lack jobs in the store (rule MIXED)."""
        for number in range(10):
            self.put(number)
        self.load_all()
        self.controller.forecast.turns = ()
        record = ProgressWriter(self.controller)._load()
        self.assertEqual({QUEUE.name: 10}, record.waiting)

    def test_listing_again(self):
        """Guards against a second listing that adds what there is no room."""
        for number in range(10):
            self.put(number)
        self.load_all()
        self.feed._post(tuple(self.items.values()))
        self.apply_posted()
        self.assertEqual([0, 1, 2, 3], self.loaded())


class DueJobTest(UnloadedCase):
    """Guards against jobs that are due behind others that are not."""

    def setUp(self):
        super().setUp()
        # The feed is told the wall clock in seconds.
        self.now_ms = round(self.leader.now_s * 1000)
        for number in range(4):
            self.put(number, self.schedule(HOUR_MS + number * 1000))

    def schedule(self, after_ms):
        """Return a scheduled job that takes as much as a small one."""
        return job_spec(
            repeat_count=2,
            first_run_unix_ms=self.now_ms + after_ms,
            interval_ms=HOUR_MS,
        )

    def test_job_that_is_due(self):
        """Guards against a job that waits behind schedules of later days."""
        self.put(7)
        self.load_all()
        self.assertEqual([0, 1, 2, 3], self.loaded())
        self.read_more()
        # The one that is due last has given way.
        self.assertEqual([0, 1, 2, 7], self.loaded())
        self.assertIn(job_name(3), self.scheduler.unloaded)

    def test_schedule_that_comes_due(self):
        """Guards against a schedule that is read after its time."""
        self.put(7, self.schedule(30_000))
        self.load_all()
        self.read_more()
        self.assertEqual([0, 1, 2, 3], self.loaded())
        self.leader.now_s += 21.0
        self.read_more()
        self.assertEqual([0, 1, 2, 7], self.loaded())

    def test_jobs_that_are_due_give_way_to_none(self):
        """Guards against jobs that take turns in memory."""
        for number in range(4):
            self.put(number)
        self.put(7)
        self.load_all()
        self.read_more()
        self.assertEqual([0, 1, 2, 3], self.loaded())

    def test_change_that_is_not_written(self):
        """Guards against a change that is lost with a job that gives way."""
        self.put(7)
        self.load_all()
        for number in range(4):
            job = self.scheduler.jobs[job_name(number)]
            self.scheduler.mark_dirty(job)
        self.read_more()
        self.assertEqual([0, 1, 2, 3], self.loaded())

    def test_run_numbers_rise(self):
        """Guards against a run number that a worker has seen before.

        Starts that were refused are not in the progress record.
        """
        self.put(7)
        self.load_all()
        self.scheduler.jobs[job_name(3)].highest_run = 1234
        self.read_more()
        self.leader.now_s += HOUR_MS / 1000 + 10
        for number in (0, 1, 2, 7):
            self.scheduler.cancel(job_name(number))
            self.scheduler.forget(job_name(number))
        self.read_more()
        self.leader.add_workers("w1")
        (run,) = self.leader.place()
        self.assertEqual(job_name(3), run.task.task_id.job_id)
        self.assertEqual(1235, run.number)


class InheritedRunTest(UnloadedCase):
    """Guards against runs of jobs that are not in memory (rule TWICE)."""

    def setUp(self):
        super().setUp()
        for number in range(9):
            self.put(number)
        self.load_all()
        self.task = TaskId(job_name(8), 0, 0, 0)
        entries = [self.leader.entry("w1")]
        self.scheduler.set_workers(entries, 1000.0, are_inherited=True)
        self.worker = self.scheduler.workers["w1"]
        self.worker.is_enrolled = True

    def test_run(self):
        """Guards against a second start of what a worker already runs."""
        self.leader.report("w1", [(self.task, 1, 50)])
        self.assertFalse(self.worker.accepts_work(self.leader.now_s))
        self.read_more()
        self.assertIn(8, self.loaded())
        # The next report may take two seconds.
        self.assertTrue(self.worker.accepts_work(self.leader.now_s))
        started = {run.task.task_id for run in self.leader.place()}
        self.assertNotIn(self.task, started)
        task = self.scheduler.jobs[job_name(8)].task(self.task)
        self.assertEqual([1], [run.number for run in task.runs])

    def report_end(self):
        end = RunEnd(sequence=1, task=self.task, run=1, kind=EndKind.DONE)
        self.leader.report("w1", ends=[end])

    def test_end(self):
        """Guards against an end that is acknowledged and not recorded."""
        self.report_end()
        self.worker.advance_acks()
        self.assertEqual(0, self.worker.acked_sequence)
        self.read_more()
        job = self.scheduler.jobs[job_name(8)]
        self.assertIs(Phase.COMPLETED, job.phase)
        self.worker.advance_acks()
        self.assertEqual(0, self.worker.acked_sequence)
        self.scheduler.mark_written(job, job.change, 200)
        self.worker.advance_acks()
        self.assertEqual(1, self.worker.acked_sequence)

    def test_end_in_a_report_that_is_cut(self):
        """Guards against ends that are given up before their job is read."""
        end = RunEnd(sequence=1, task=self.task, run=1, kind=EndKind.DONE)
        self.leader.report("w1", ends=[end], is_cut=True)
        self.worker.advance_acks()
        self.assertEqual(0, self.worker.acked_sequence)

    def test_job_that_the_store_lacks(self):
        """Guards against an end that is withheld for ever."""
        self.report_end()
        del self.items[JOBS_PREFIX + job_name(8)]
        self.read_more()
        self.assertNotIn(job_name(8), self.scheduler.unloaded)
        self.worker.advance_acks()
        self.assertEqual(1, self.worker.acked_sequence)

    def test_cancellation(self):
        """Guards against a cancellation that is not recorded."""
        self.feed._post((cancellation_row(job_name(8), 150),))
        self.apply_posted()
        self.read_more()
        job = self.scheduler.jobs[job_name(8)]
        self.assertIs(Phase.CANCELLED, job.phase)

    def test_end_of_the_term(self):
        """Guards against a job that is added after the term."""
        self.scheduler.unloaded.want(job_name(8))
        read = self.store.get

        def get(key):
            self.controller.is_running = False
            return read(key)

        self.store.get = get
        self.read_more()
        self.assertNotIn(job_name(8), self.scheduler.jobs)


class RecordedProgressTest(UnloadedCase):
    """Guards against progress that is lost when a job is read later."""

    def test_started_job(self):
        record = ProgressRecord(
            phase=Phase.RUNNING,
            queue=QUEUE.name,
            organisation="o",
            highest_run=7,
        )
        for number in range(4):
            self.put(number)
        self.put(8, job_spec(step(2)), progress=record)
        self.load_all()
        self.assertNotIn(8, self.loaded())
        self.scheduler.unloaded.want(job_name(8))
        self.read_more()
        job = self.scheduler.jobs[job_name(8)]
        self.assertIs(Phase.RUNNING, job.phase)
        self.assertGreaterEqual(job.run_floor, 7)


class ImpossibleJobTest(UnloadedCase):
    """Guards against jobs that wait for ever behind those no VM can run."""

    def setUp(self):
        super().setUp()
        self.controller.completion = FleetCheck()
        self.leader.add_workers("w1")
        entries = [each.entry for each in self.scheduler.workers.values()]
        self.controller.completion.update(entries)
        for number in range(4):
            self.put(number, job_spec(step(required_label="x")))
        for number in range(4, 7):
            self.put(number)
        self.load_all()
        self.assertEqual([0, 1, 2, 3], self.loaded())

    def test_jobs_that_can_run(self):
        self.leader.place()
        self.read_more()
        self.assertEqual([4, 5, 6], [n for n in self.loaded() if n > 3])
        for _ in range(5):
            self.read_more()
        # Those that gave way do not take turns.
        self.assertEqual([4, 5, 6], [n for n in self.loaded() if n > 3])

    def test_vm_that_is_added(self):
        """Guards against jobs that stay in the store when they can run."""
        self.read_more()
        self.leader.add_workers("w2", labels=("a", "rack-1", "x"))
        entries = [each.entry for each in self.scheduler.workers.values()]
        self.controller.completion.update(entries)
        started = set()
        for _ in range(20):
            self.leader.now_s += 60.0
            for name in self.scheduler.workers:
                self.leader.report_runs(name)
            for run in self.leader.place():
                started.add(run.task.task_id.job_id)
                self.leader.end(run)
            for job in list(self.scheduler.dirty.values()):
                self.scheduler.mark_written(job, job.change, 200)
            for name in [*self.scheduler.jobs.keys() - self.scheduler.active]:
                self.scheduler.forget(name)
            self.read_more()
        self.assertEqual({job_name(n) for n in range(7)}, started)
