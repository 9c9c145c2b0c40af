"""Unit tests of the scheduler's decisions."""

import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.scheduling.evacuation import may_interrupt
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.planner import StopCommand
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.records import Phase
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import LEASE_S
from tests.lib.scheduling import step

LOST = failures.WORKER_UNREACHABLE.with_ran_unknown()


class TestRuns(testtools.TestCase):
    """Guards against tasks with two runs, or that never run or end twice."""

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1", "w2")

    def test_done_task_completes_its_job(self):
        """Guards against run ends that are lost when the leader changes.

        Workers drop acknowledged ends, so these are persisted first.
        """
        job = self.leader.submit("j1")
        (run,) = self.leader.place()
        self.leader.end(run)
        self.assertIs(Phase.COMPLETED, job.phase)
        worker = self.leader.scheduler.workers[run.worker_id]
        worker.advance_acks()
        self.assertEqual(0, worker.acked_sequence)
        self.leader.scheduler.mark_written(job, job.change, 11)
        worker.advance_acks()
        self.assertEqual(1, worker.acked_sequence)
        self.assertEqual([], self.leader.place())

    def test_unreadable_row_hides_no_run(self):
        """Guards against a second start of a run whose row is malformed.

        The run was taken for lost, as the report had no valid row for it.
        """
        self.leader.submit("j1")
        (run,) = self.leader.place()
        worker = self.leader.scheduler.workers[run.worker_id]
        self.leader.now_s += 1.0
        report = WorkerReport(clock_ms=0, refused=("RunRow: no text",))
        self.leader.scheduler.on_report(
            worker, report, self.leader.now_s, self.leader.now_s
        )
        self.assertEqual([run], run.task.runs)
        self.leader.report(run.worker_id)
        self.assertEqual([], run.task.runs)

    def test_refused_start_goes_elsewhere(self):
        """Guards against repeated starts on a worker that has no room.

        It is paused briefly after a refusal.
        """
        self.leader.submit("j1")
        run = self.leader.planner.place(1000.0, 1e6)[0].run
        refused = failures.RUN_NO_ROOM
        self.leader.scheduler.on_start_answer(run, refused, 1000.0)
        (other,) = self.leader.place()
        self.assertNotEqual(run.worker_id, other.worker_id)
        self.assertGreater(other.number, run.number)

    def test_silent_worker_keeps_its_tasks_until_the_lease_ends(self):
        """Guards against a task that runs twice (rule TWICE).

        A silent worker may continue the run until its lease ends.
        """
        self.leader.submit("j1")
        (run,) = self.leader.place()
        worker = self.leader.scheduler.workers[run.worker_id]
        worker.lease_until_ms = worker.clock.lease_end_ms(1000.0, LEASE_S)
        other = "w2" if run.worker_id == "w1" else "w1"
        for after_s, is_free in ((5.9, False), (6.1, False), (6.6, True)):
            self.leader.now_s = 1000.0 + after_s
            self.leader.report(other)
            self.leader.scheduler.expire_workers(self.leader.now_s)
            self.assertEqual(is_free, bool(self.leader.place()))

    def test_restarted_worker_has_lost_its_runs(self):
        """Guards against tasks that wait for runs lost in a restart.

        The new incarnation of the worker has the same identifier.
        """
        self.leader.submit("j1")
        (run,) = self.leader.place()
        worker = self.leader.scheduler.workers[run.worker_id]
        entries = [w.entry for w in self.leader.scheduler.workers.values()]
        entries.remove(worker.entry)
        entries.append(
            self.leader.entry(run.worker_id).__class__(
                worker_id=run.worker_id,
                started_unix_ms=2,
                pool="p",
                address="h:1",
                capacity=worker.entry.capacity,
            )
        )
        self.leader.scheduler.set_workers(entries, 1000.0)
        # The list does not tell which runs the new incarnation has accepted.
        self.assertFalse(run.task.is_waiting)
        self.leader.now_s += 0.1
        self.leader.report(run.worker_id, started_unix_ms=2)
        self.assertTrue(run.task.is_waiting)

    def test_replaced_worker_is_not_added_again(self):
        """Guards against a dead worker that is used again (rule LOST).

        A worker list that lagged behind a move restored it, and jobs were
        lost.
        """
        scheduler = self.leader.scheduler
        scheduler.workers["w1"].is_replaced = True
        self.assertEqual(["w1"], scheduler.expire_workers(1000.0))
        entries = [self.leader.entry("w1"), self.leader.entry("w2")]
        self.assertEqual([], scheduler.set_workers(entries, 1000.0))

    def test_removed_worker_without_a_lease_releases_its_runs(self):
        """Guards against a task that is blocked for ever.

        Its planned run had no lease to expire when the worker was removed.
        """
        self.leader.submit("j1")
        run = self.leader.planner.place(1000.0, 1e6)[0].run
        scheduler = self.leader.scheduler
        scheduler.set_workers([], 1000.0)
        scheduler.expire_workers(1001.0)
        self.assertNotIn(run.worker_id, scheduler.workers)
        self.assertTrue(run.task.is_waiting)
        self.assertEqual(0, scheduler.usage["o"].cpu_millicores)

    def test_failure_limit_of_a_removed_queue(self):
        """Guards against jobs that fail too early (rule LOST).

        After their queue had been removed from the configuration, jobs had no
        policy and ended with the first failed run.
        """
        job = self.leader.submit("j1")
        configuration = self.leader.scheduler.configuration
        self.leader.scheduler.configuration = type(configuration)(
            version=2, revision=2
        )
        for attempt in range(3):
            self.assertFalse(job.phase.is_final)
            (run,) = self.leader.place()
            self.leader.end(run, EndKind.FAILED)
        self.assertIs(Phase.FAILED, job.phase)

    def test_run_missing_from_a_report_is_lost(self):
        """Guards against a running task that is taken for lost.

        A report requested before the start was answered may lack the run.
        """
        self.leader.submit("j1")
        (run,) = self.leader.place()
        self.leader.now_s += 1.0
        self.leader.report(run.worker_id, asked_before_s=1.5)
        self.assertEqual([run], run.task.runs)
        self.leader.report(run.worker_id)
        self.assertTrue(run.task.is_waiting)

    def test_cancelled_job_is_stopped(self):
        """Guards against a lost stop order, which has to be repeated."""
        self.leader.submit("j1")
        (run,) = self.leader.place()
        self.leader.scheduler.cancel("j1")
        commands = self.leader.planner.reconcile_runs(1000.0)
        self.assertIsInstance(commands[0], StopCommand)
        self.assertEqual([], self.leader.planner.reconcile_runs(1000.5))
        self.assertEqual(1, len(self.leader.planner.reconcile_runs(1001.5)))

    def test_cancellation_before_its_job(self):
        """Guards against a lost cancellation that is read before its job."""
        self.leader.scheduler.cancel("j1")
        job = self.leader.submit("j1")
        self.assertIs(Phase.CANCELLED, job.phase)
        self.assertEqual([], self.leader.place())

    def test_stuck_task_is_stopped(self):
        """Guards against a task that stays on a worker where it hangs."""
        self.leader.submit("j1")
        (run,) = self.leader.place()
        for _ in range(4):
            self.leader.advance(1.0)
        commands = self.leader.planner.reconcile_runs(self.leader.now_s)
        self.assertEqual([run], [each.run for each in commands])
        self.assertIn(run.worker_id, run.task.failed_workers)

    def test_worker_on_which_every_run_fails_is_avoided(self):
        """Guards against a faulty worker that fails one job after another."""
        for number in range(4):
            self.leader.submit(f"j{number}", job_spec(step(cpu=4000)))
        runs = self.leader.place()
        bad = runs[0].worker_id
        for run in runs:
            if run.worker_id == bad:
                self.leader.end(run, EndKind.FAILED)
        again = self.leader.place()
        self.assertNotIn(bad, {run.worker_id for run in again})


class TestOrder(testtools.TestCase):
    """Guards against starts that violate a constraint of the job."""

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1", "w2")

    def test_step_waits_for_its_dependencies(self):
        """Guards against a step that starts before its dependencies end."""
        spec = job_spec(step(2), step(1, after=(0,)))
        self.leader.submit("j1", spec)
        first = self.leader.place()
        self.assertEqual(2, len(first))
        self.leader.end(first[0])
        self.assertEqual([], self.leader.place())
        self.leader.end(first[1])
        self.assertEqual(1, self.leader.place()[0].task.step.number)

    def test_cap_of_an_organisation(self):
        """Guards against a cap applied per job, not per organisation."""
        self.leader.set_cap(Resources(cpu_millicores=2500))
        self.leader.submit("j1", job_spec(step(2)))
        self.leader.submit("j2", job_spec(step(2)))
        runs = self.leader.place()
        self.assertEqual(2, len(runs))
        self.leader.end(runs[0])
        self.assertEqual(1, len(self.leader.place()))

    def test_gang_starts_completely_or_not_at_all(self):
        """Guards against partial gangs and members with other run numbers."""
        self.leader.submit("j1", job_spec(step(20, is_gang=True)))
        self.assertEqual([], self.leader.place())
        self.leader.submit("j2", job_spec(step(16, is_gang=True)))
        runs = self.leader.place()
        self.assertEqual(16, len(runs))
        self.assertEqual({1}, {run.number for run in runs})

    def test_limit_per_worker_and_label(self):
        """Guards against starts that ignore a step's limit or label."""
        self.leader.submit("j1", job_spec(step(4, max_per_worker=1)))
        self.assertEqual(2, len(self.leader.place()))
        self.leader.submit("j2", job_spec(step(1, required_label="b")))
        self.assertEqual([], self.leader.place())

    def test_occurrences_start_when_they_are_due(self):
        """Guards against occurrences of a scheduled job that start early."""
        spec = job_spec(
            step(),
            repeat_count=2,
            first_run_unix_ms=1_001_000,
            interval_ms=1000,
        )
        self.leader.submit("j1", spec)
        self.assertEqual([], self.leader.place())
        self.leader.now_s = 1001.0
        self.leader.report_runs("w1")
        self.leader.report_runs("w2")
        self.assertEqual(1, len(self.leader.place()))

    def test_no_starts_on_draining_or_cordoned_workers(self):
        """Guards against starts of runs that would soon be interrupted."""
        workers = self.leader.scheduler.workers
        workers["w1"].is_cordoned = True
        entry = self.leader.entry("w2", is_draining=True)
        self.leader.scheduler.set_workers([workers["w1"].entry, entry], 1000.0)
        self.leader.submit("j1")
        self.assertEqual([], self.leader.place())

    def test_data_rack_is_preferred(self):
        """Guards against a task that runs far from its data without need."""
        self.leader.add_workers("w3", labels=("a", "rack-9"))
        self.leader.submit("j1", job_spec(step(1, data_rack="rack-9")))
        self.assertEqual("w3", self.leader.place()[0].worker_id)


class TestTakeover(testtools.TestCase):
    """Guards against runs and ends that a new leader does not know of."""

    def test_run_numbers_increase_with_terms(self):
        """Guards against a late order of an earlier leader that takes effect.

        Its run number has to be lower than those of the new leader.
        """
        leader = Leader(term=3, started_revision=50)
        leader.add_workers("w1")
        leader.submit("old", revision=40)
        leader.submit("new", revision=60)
        numbers = {
            run.task.task_id.job_id: run.number for run in leader.place()
        }
        self.assertEqual({"old": 2001, "new": 1}, numbers)

    def test_unreported_runs_block_inherited_tasks(self):
        """Guards against a second start of a run that is not yet reported.

        It may be on any worker of the roster that has not reported.
        """
        leader = Leader(term=2, started_revision=50)
        entries = [leader.entry("w1"), leader.entry("w2")]
        leader.scheduler.set_workers(entries, 1000.0, are_inherited=True)
        for worker in leader.scheduler.workers.values():
            worker.is_enrolled = True
        leader.report("w1")
        leader.submit("old", revision=40)
        leader.submit("new", revision=60)
        runs = leader.place()
        self.assertEqual(["new"], [run.task.task_id.job_id for run in runs])
        leader.report("w2")
        self.assertEqual(1, len(leader.place()))

    def test_reported_runs_are_adopted(self):
        """Guards against a second start of a run of an earlier leader."""
        leader = Leader(term=2, started_revision=50)
        job = leader.submit("old", revision=40)
        entries = [leader.entry("w1")]
        leader.scheduler.set_workers(entries, 1000.0, are_inherited=True)
        task_id = job.occurrences[0].steps[0].tasks[0].task_id
        leader.report("w1", [(task_id, 1, 30)])
        leader.scheduler.workers["w1"].is_enrolled = True
        self.assertEqual([], leader.place())
        self.assertIs(Phase.RUNNING, job.phase)

    def test_recorded_failure_is_not_counted_again(self):
        """Guards against one failure that is counted twice.

        A worker repeats an end that was recorded but not acknowledged. A job
        failed after two of three allowed failures (soak test, seed 23).
        """
        first = Leader(term=1)
        first.add_workers("w1")
        job = first.submit("j1", revision=10)
        run = first.place()[0]
        first.end(run, EndKind.FAILED)
        second = Leader(term=2, started_revision=20)
        second.add_workers("w1")
        again = second.submit("j1", revision=10, progress=job.progress())
        second.end(run, EndKind.FAILED)
        self.assertEqual(1, again.occurrences[0].steps[0].tasks[0].failures)

    def test_progress_is_restored(self):
        """Guards against tasks that run again though recorded as done."""
        first = Leader()
        first.add_workers("w1")
        job = first.submit("j1", job_spec(step(2)))
        first.end(first.place()[0])
        second = Leader(term=2, started_revision=50)
        second.add_workers("w1")
        restored = second.submit("j1", job_spec(step(2)), 10, job.progress())
        self.assertEqual(1, restored.occurrences[0].steps[0].done_count)
        self.assertEqual(1, len(second.place()))


class TestAvailability(testtools.TestCase):
    """Guards against more unavailable tasks of a step than permitted."""

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1", "w2")
        spec = job_spec(
            step(2, max_per_worker=1, long_running=True, max_unavailable=1)
        )
        self.job = self.leader.submit("j1", spec)
        self.leader.place()
        self.step = self.job.occurrences[0].steps[0]

    def may_interrupt_one(self):
        workers = self.leader.scheduler.workers
        return may_interrupt(self.step, workers, self.leader.now_s)

    def test_interruption_requires_the_other_tasks_to_serve(self):
        """Guards against an interruption while another task is not serving.

        A task serves if it was recently reported at 100 %.
        """
        self.leader.report_runs("w1", percent=100)
        self.assertFalse(self.may_interrupt_one())
        self.leader.report_runs("w2", percent=100)
        self.assertTrue(self.may_interrupt_one())

    def test_task_of_a_silent_worker_counts_as_unavailable(self):
        """Guards against an interruption beside a crashed worker (rule AVAIL).

        The task of that worker counted as serving.
        """
        self.leader.report_runs("w1", percent=100)
        self.leader.report_runs("w2", percent=100)
        self.leader.now_s += 2.0
        self.leader.report_runs("w1", percent=100)
        self.assertFalse(self.may_interrupt_one())
