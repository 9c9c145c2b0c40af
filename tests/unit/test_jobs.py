"""Tests of jobs from submission to result."""

import json
import random
import threading

import attrs
import testtools

from rosemarynotch._internal.admission.jobs import JobIntake
from rosemarynotch._internal.control.jobs import JobController
from rosemarynotch._internal.control.placing import UNPLACED_PER_PASS
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.jobs import JobSubmission
from rosemarynotch._internal.models.jobs import SHARD_COUNT
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.policy.placement import DeclaredSizeFirstFit
from rosemarynotch._internal.policy.placement import LearnedSizeSpread
from rosemarynotch._internal.reference.records import RecordStore
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib.control_fakes import ConfigInForce
from tests.lib.job_fakes import LimitPermits
from tests.lib.job_fakes import StandinTasks
from tests.lib.job_fakes import worker_platform
from tests.lib.stores import Fault
from tests.lib.stores import MemoryStore

BATCH = QueueSpec(name="batch", pool="workers")
URGENT = QueueSpec(name="urgent", pool="workers", urgent=True)


def worker_document(workers=4, cores=4):
    """Return a document with one worker pool in two racks."""
    vms = tuple(
        VmSpec(
            name=f"w{index}",
            data_centre="kochi",
            rack=f"r{index % 2}",
            cores=cores,
            memory_mb=8_000,
        )
        for index in range(workers)
    )
    pool = PoolSpec(
        name="workers", kind=PoolKind.WORKERS, min_available_vms=1, vms=vms
    )
    teams = tuple(
        TeamSpec(name=name, share=1.0, limit_requests=100)
        for name in ("ann", "bob")
    )
    return Document(pools=(pool,), teams=teams, queues=(BATCH, URGENT))


def serving_record(document):
    """Return a fleet record in which every VM serves."""
    return FleetRecord(
        vms={
            spec.name: VmRecord(
                pool=pool.name,
                state=VmState.SERVING,
                instance="1",
                address="a",
                data_centre=spec.data_centre,
                rack=spec.rack,
            )
            for pool in document.pools
            for spec in pool.vms
        }
    )


class JobsTestCase(testtools.TestCase):
    """Fixture with one entry and one control process."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.core = KeyValue(self.clock.monotonic_s)
        self.store = MemoryStore(self.core)
        self.records = self.new_records(self.store)
        self.document = worker_document()
        self.fleet = serving_record(self.document)
        self.vms, self.task_core, self.ledger = worker_platform(
            self.document, self.clock
        )
        self.tasks = StandinTasks(self.task_core)
        self.permits = LimitPermits({"ann": 100, "bob": 100})
        self.intake = JobIntake(
            self.records, ConfigInForce(self.document), "e1.1", self.clock
        )
        self.job_controller = self.new_job_controller("c1.1")

    def new_records(self, store):
        """Return a record store on the given store."""
        return RecordStore(store, self.clock, random.Random(3))

    def new_job_controller(self, holder, store=None, tasks=None):
        """Return the job controller of a control process."""
        return JobController(
            self.new_records(store or self.store),
            tasks or self.tasks,
            DeclaredSizeFirstFit(),
            self.permits,
            holder,
            self.clock,
        )

    def submit(self, team="ann", queue=BATCH, behaviour=None, **fields):
        """Submit a job whose task has the given behaviour."""
        payload = json.dumps(behaviour or {"run_ms": 2_000})
        submission = JobSubmission(payload=payload, **fields)
        return self.intake.submit(team, queue, submission)

    def steps(self, count=1, job_controller=None):
        """Run passes one second apart."""
        for _ in range(count):
            (job_controller or self.job_controller).step(
                True, self.document, self.fleet
            )
            self.clock.advance(1.0)

    def status(self, accepted, team="ann"):
        """Return the status of a job as its team sees it."""
        return self.intake.status(team, accepted.job_id)

    def starts(self, accepted):
        """Return the workers on which a job was started."""
        return [
            event["worker"]
            for event in self.ledger.events("task-start")
            if event["task"].startswith(accepted.job_id)
        ]

    def set_state(self, worker, state):
        """Change the state of a worker in the fleet record."""
        vm = attrs.evolve(self.fleet.vms[worker], state=state)
        self.fleet = attrs.evolve(
            self.fleet, vms={**self.fleet.vms, worker: vm}
        )


class IntakeTest(JobsTestCase):
    """Guards against jobs that are lost or accepted twice."""

    def test_accepted_job_is_known_before_it_is_merged(self):
        """Guards against an accepted job that is unknown to other entries.

        It is only in a batch until control merges it into the table. Other
        teams must not see it.
        """
        accepted = self.submit()
        self.assertIs(JobState.QUEUED, self.status(accepted).state)
        other = JobIntake(
            self.records, ConfigInForce(self.document), "e2.1", self.clock
        )
        state = other.status("ann", accepted.job_id).state
        self.assertIs(JobState.QUEUED, state)
        unknown = other.status("bob", accepted.job_id)
        self.assertTrue(unknown.is_a(failures.JOB_UNKNOWN))

    def test_refusals(self):
        """Guards against accepting jobs that are invalid or fit no worker."""
        cases = [
            ({"cores": 5.0}, failures.JOB_TOO_LARGE),
            ({"memory_mb": 8_001}, failures.JOB_TOO_LARGE),
            ({"accelerators": 1}, failures.JOB_TOO_LARGE),
            ({"cores": 0.0}, failures.REQUEST_MALFORMED),
            ({"cores": float("nan")}, failures.REQUEST_MALFORMED),
            ({"behaviour": "x" * 20_000}, failures.BODY_TOO_LARGE),
        ]
        for fields, expected in cases:
            self.assertTrue(self.submit(**fields).is_a(expected), fields)

    def test_store_outage_is_refused_as_not_run(self):
        """Guards against a job that runs though it was refused as not run."""
        self.store.fault = Fault.DOWN
        refused = self.submit()
        self.assertIs(Ran.NO, refused.ran)
        self.store.fault = Fault.NONE
        self.steps(2)
        self.assertEqual([], self.ledger.events("task-start"))

    def test_lost_answer_is_read_back(self):
        """Guards against refusing a job whose write took effect.

        The answer to the write is lost, so the batch is read back.
        """
        # The first submission reads the full shards, so that the fault hits
        # the write of the next one.
        self.submit()
        self.store.fault = Fault.LOST_ANSWER
        self.store.fault_calls = 1
        accepted = self.submit()
        self.assertIs(Fault.NONE, self.store.fault)
        self.assertNotIsInstance(accepted, Failure)
        self.steps(5)
        self.assertIs(JobState.DONE, self.status(accepted).state)

    def test_unconfirmed_job_is_reported_as_possibly_accepted(self):
        """Guards against a definite answer while the outcome is unknown.

        All answers of the store are lost. A repeat must not start a second
        run.
        """
        self.store.fault = Fault.LOST_ANSWER
        unclear = self.submit(idempotency_key="k")
        self.assertIs(Ran.UNKNOWN, unclear.ran)
        self.store.fault = Fault.NONE
        accepted = self.submit(idempotency_key="k")
        self.steps(5)
        self.assertEqual(1, len(self.starts(accepted)))

    def test_repeated_submission_is_the_same_job(self):
        """Guards against a second run after a repeated submission."""
        first = self.submit(idempotency_key="k")
        self.steps(5)
        self.assertEqual(first, self.submit(idempotency_key="k"))
        self.steps(3)
        self.assertEqual(1, len(self.starts(first)))

    def test_wave_of_cancellations_costs_few_writes(self):
        """Guards against one write to the store for each cancellation."""
        jobs = [self.submit(behaviour={"run_ms": 60_000}) for _ in range(2000)]
        self.steps(25)
        before = self.core.calls["write"]
        # The write lock is held until every thread has queued its item.
        self.intake._write_lock.acquire()
        threads = [
            threading.Thread(
                target=self.intake.cancel, args=("ann", job.job_id)
            )
            for job in jobs
        ]
        for thread in threads:
            thread.start()
        while len(self.intake._pending) < len(jobs):
            pass
        self.intake._write_lock.release()
        for thread in threads:
            thread.join()
        self.assertEqual(before + 1, self.core.calls["write"])
        self.steps(3)
        # Each shard is written once for cancelled and once for stopped jobs.
        most = before + 2 + 2 * SHARD_COUNT
        self.assertLessEqual(self.core.calls["write"], most)
        states = {self.status(job).state for job in jobs}
        self.assertEqual({JobState.CANCELLED}, states)

    def test_cancellation_does_not_overtake_a_job_of_another_entry(self):
        """Guards against a lost cancellation.

        Control may read the batch with the cancellation before the batch of
        another entry that contains the job.
        """
        other = JobIntake(
            self.records, ConfigInForce(self.document), "a.1", self.clock
        )
        jobs = [self.submit() for _ in range(120)]
        other.cancel("ann", jobs[-1].job_id)
        self.steps(6)
        self.assertIs(JobState.CANCELLED, self.status(jobs[-1]).state)


class JobControllerTest(JobsTestCase):
    """Guards against jobs that run twice, never, or beyond a limit."""

    def test_job_runs_and_returns_its_result(self):
        """Guards against lost results, and against unreleased permits."""
        accepted = self.submit(behaviour={"run_ms": 500, "result": "ok"})
        self.steps(4)
        status = self.status(accepted)
        self.assertEqual((JobState.DONE, "ok"), (status.state, status.result))
        self.assertEqual({"ann": 0}, self.permits.running)
        self.assertEqual([], self.store.keys("jobs/batches/"))

    def test_idle_pass_costs_one_read(self):
        """Guards against load on the store while no jobs change."""
        self.steps(1)
        before = dict(self.core.calls)
        self.steps(4)
        self.assertEqual(before["write"], self.core.calls["write"])
        self.assertEqual(before["read"] + 4, self.core.calls["read"])

    def test_team_limit_holds_over_a_change_of_the_leader(self):
        """Guards against too many tasks after a change of the leader.

        The new leader has to count the tasks that the earlier one started.
        """
        self.permits.limits["ann"] = 3
        for _ in range(8):
            self.submit(behaviour={"run_ms": 20_000})
        self.steps(3)
        other = self.new_job_controller("c2.1")
        self.steps(6, other)
        self.assertEqual(3, len(self.ledger.events("task-start")))
        self.clock.advance(15.0)
        self.steps(1, other)
        self.job_controller.step(False, self.document, self.fleet)
        self.assertEqual({"ann": 0}, self.permits.running)
        self.steps(1, other)
        self.assertEqual(6, len(self.ledger.events("task-start")))

    def test_lost_answers_of_starts_do_not_start_twice(self):
        """Guards against a second run of a job whose start has no answer."""
        self.tasks.lose_answers = 5
        accepted = [self.submit() for _ in range(5)]
        self.steps(8)
        for job in accepted:
            self.assertEqual(1, len(self.starts(job)))
            self.assertIs(JobState.DONE, self.status(job).state)

    def test_job_on_a_lost_worker(self):
        """Guards against a forbidden or missing second run.

        The worker is replaced during the run. Only idempotent jobs may run
        again; the outcome of others is unknown.
        """
        cases = [(True, JobState.DONE, 2), (False, JobState.UNKNOWN, 1)]
        for idempotent, expected, starts in cases:
            job = self.submit(
                idempotent=idempotent, behaviour={"run_ms": 3_000}
            )
            self.steps(2)
            worker = self.starts(job)[0]
            self.vms.replace(worker)
            self.steps(6)
            self.assertIs(expected, self.status(job).state)
            self.assertEqual(starts, len(self.starts(job)))

    def test_refused_start_keeps_the_attempt(self):
        """Guards against counting a refused start as an attempt."""
        self.vms.vm("w0").state = "rebooting"
        job = self.submit()
        self.steps(6)
        self.assertIs(JobState.DONE, self.status(job).state)
        self.assertEqual(1, self.status(job).attempt)

    def test_job_fails_after_failures_on_three_workers(self):
        """Guards against a failing job that is repeated for ever."""
        job = self.submit(
            idempotent=True, behaviour={"run_ms": 100, "fail": "bad"}
        )
        self.steps(15)
        status = self.status(job)
        self.assertIs(JobState.FAILED, status.state)
        self.assertEqual(3, len(set(self.starts(job))))

    def test_first_failure_is_repeated_only_if_idempotent(self):
        """Guards against a forbidden or missing second attempt."""
        behaviour = {"run_ms": 100, "fail": "bad", "fail_count": 1}
        twice = self.submit(idempotent=True, behaviour=behaviour)
        once = self.submit(behaviour={**behaviour, "result": "other"})
        self.steps(8)
        self.assertIs(JobState.DONE, self.status(twice).state)
        self.assertEqual(2, len(set(self.starts(twice))))
        self.assertIs(JobState.FAILED, self.status(once).state)
        self.assertEqual(1, len(self.starts(once)))

    def test_failing_worker_is_avoided_and_probed_later(self):
        """Guards against a worker that fails all jobs but still gets them.

        It must not be excluded for ever either, so one job probes it later.
        """
        self.task_core.set_failing("w0", "disk")
        jobs = [self.submit(idempotent=True) for _ in range(12)]
        self.steps(20)
        for job in jobs:
            self.assertIs(JobState.DONE, self.status(job).state)
        before = sum("w0" in self.starts(job) for job in jobs)
        later = [self.submit(idempotent=True) for _ in range(4)]
        self.steps(10)
        self.assertEqual(0, sum("w0" in self.starts(job) for job in later))
        self.assertTrue(before >= 3)
        self.task_core.set_failing("w0", "")
        self.clock.advance(60.0)
        probes = [self.submit(idempotent=True) for _ in range(4)]
        self.steps(2)
        self.assertEqual(1, sum("w0" in self.starts(job) for job in probes))

    def test_cancelled_job_stops(self):
        """Guards against cancellations that fail or affect other teams."""
        queued = self.submit()
        self.intake.cancel("ann", queued.job_id)
        running = self.submit(behaviour={"run_ms": 60_000})
        foreign = self.submit(team="bob", behaviour={"run_ms": 60_000})
        self.steps(2)
        self.intake.cancel("ann", running.job_id)
        self.intake.cancel("ann", foreign.job_id)
        self.steps(4)
        self.assertEqual([], self.starts(queued))
        for job in (queued, running):
            self.assertIs(JobState.CANCELLED, self.status(job).state)
        state = self.status(foreign, "bob").state
        self.assertIs(JobState.RUNNING, state)

    def test_drain_moves_idempotent_jobs_and_waits_for_others(self):
        """Guards against drains that stop jobs that cannot be repeated."""
        repeatable = self.submit(
            idempotent=True, behaviour={"run_ms": 9_000}, cores=4.0
        )
        once = self.submit(behaviour={"run_ms": 9_000}, cores=4.0)
        self.steps(3)
        workers = {self.starts(repeatable)[0], self.starts(once)[0]}
        for worker in workers:
            self.set_state(worker, VmState.DRAINING)
        self.steps(3)
        self.assertEqual(2, len(self.starts(repeatable)))
        busy = self.job_controller.busy_workers()
        self.assertIn(self.starts(once)[0], busy)
        self.assertNotIn(self.starts(repeatable)[0], busy)
        self.steps(9)
        for job, starts in ((repeatable, 2), (once, 1)):
            self.assertIs(JobState.DONE, self.status(job).state)
            self.assertEqual(starts, len(self.starts(job)))

    def test_unread_table_counts_every_worker_as_busy(self):
        """Guards against a reboot of a worker with unknown jobs.

        A new leader has not read the job table yet.
        """
        job_controller = self.new_job_controller("c2.1")
        self.assertIn("w0", job_controller.busy_workers())
        self.store.fault = Fault.DOWN
        self.steps(1, job_controller)
        self.assertIn("w0", job_controller.busy_workers())

    def test_batch_is_not_merged_again_after_its_job_is_dropped(self):
        """Guards against a second run by a batch that appears again.

        Its job has been dropped from the table after the retention.
        """
        batch = self.submit(behaviour={"run_ms": 100})
        key = self.store.keys("jobs/batches/")[0].key
        data = self.store.get(key).value
        self.steps(3)
        self.clock.advance(3_000.0)
        self.submit()
        self.steps(3)
        self.store.put(key, data, 0)
        self.steps(3)
        self.assertEqual(1, len(self.starts(batch)))

    def test_urgent_queue_goes_first_and_teams_take_turns(self):
        """Guards against a team with many jobs that delays all others."""
        for _ in range(16):
            self.submit(cores=4.0)
        other = self.submit(team="bob", cores=4.0)
        urgent = self.submit(queue=URGENT, cores=4.0)
        self.steps(2)
        self.assertEqual(1, len(self.starts(other)))
        self.assertEqual(1, len(self.starts(urgent)))

    def test_jobs_ten_times_their_declared_size_still_run(self):
        """Guards against a learnt size that exceeds every worker."""
        self.job_controller = JobController(
            self.records,
            self.tasks,
            LearnedSizeSpread(),
            self.permits,
            "c2.1",
            self.clock,
        )
        behaviour = {"run_ms": 500, "cores": 10.0, "memory_mb": 20_000}
        for _ in range(4):
            jobs = [
                self.submit(behaviour=behaviour, cores=1.0, memory_mb=2_000)
                for _ in range(6)
            ]
            self.steps(15)
            for job in jobs:
                self.assertIs(JobState.DONE, self.status(job).state)
                self.assertEqual(1, len(self.starts(job)))

    def test_jobs_that_can_never_run_do_not_stop_others(self):
        """Guards against queued jobs that no longer fit any worker."""
        for team in ("ann", "bob"):
            for _ in range(2 * UNPLACED_PER_PASS):
                self.submit(team=team, cores=4.0)
        self.document = worker_document(cores=2)
        small = [self.submit(team, cores=1.0) for team in ("ann", "bob")]
        self.steps(8)
        for job, team in zip(small, ("ann", "bob"), strict=True):
            self.assertIs(JobState.DONE, self.status(job, team).state)
