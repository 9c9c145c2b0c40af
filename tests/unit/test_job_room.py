"""Tests of full job table shards, removed queues and teams, and retention."""

import base64
import itertools
import json
import random

import attrs
import testtools

from rosemarynotch._internal.control.job_rows import FINISHED_PER_SHARD
from rosemarynotch._internal.control.job_rows import FINISHED_RETENTION_S
from rosemarynotch._internal.control.job_rows import prune
from rosemarynotch._internal.control.job_rows import RESULT_BYTES
from rosemarynotch._internal.control.job_rows import RESULTS_BYTES_PER_SHARD
from rosemarynotch._internal.control.removed_queues import REMOVED_GRACE_S
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.jobs import job_id_of
from rosemarynotch._internal.models.jobs import JobRow
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.jobs import JobSubmission
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.models.records import VmState
from tests.lib.job_fakes import StandinTasks
from tests.lib.stores import MemoryStore
from tests.unit.test_jobs import BATCH
from tests.unit.test_jobs import JobsTestCase

VALUE_BYTES = 1_000_000
PADDING_BYTES = 12_000
SHARD = 3


class LimitedStore(MemoryStore):
    """Refuses values that are too large, as the platform's store does.

    :ivar too_large: keys of the refused values
    """

    def __init__(self, core):
        super().__init__(core)
        self.too_large = []

    def put(self, key, value, expected, lease=""):
        """Write a value if it is not too large."""
        if len(value) > VALUE_BYTES:
            self.too_large.append(key)
            return failures.STORE_UNAVAILABLE.with_reason("too large")
        return super().put(key, value, expected, lease)


class ResultTasks(StandinTasks):
    """Tasks whose result does not come from their payload."""

    result = ""

    def start(self, task, lease_ms):
        """Start a task that ends with the result."""
        behaviour = json.dumps({"run_ms": 100, "result": self.result})
        return super().start(attrs.evolve(task, payload=behaviour), lease_ms)


class RoomTestCase(JobsTestCase):
    """Base for tests of jobs with random, hardly compressible payloads."""

    def setUp(self):
        super().setUp()
        self.store = LimitedStore(self.core)
        self.intake._records._store = self.store
        self.rng = random.Random(5)
        self.keys = (
            key
            for key in map(str, itertools.count())
            if shard_of(job_id_of("ann", key)) == SHARD
        )
        self.job_controller = self.new_job_controller("c1.1")

    def submit_padded(self, key):
        """Submit a job with a payload of several kilobytes."""
        padding = base64.b64encode(self.rng.randbytes(PADDING_BYTES))
        payload = json.dumps(
            {"run_ms": 100, "result": "ok", "padding": padding.decode()}
        )
        return self.intake.submit(
            "ann", BATCH, JobSubmission(payload=payload, idempotency_key=key)
        )


class FullShardTest(RoomTestCase):
    """Guards against a shard that is too large for the store.

    Such a shard could not be written, which would stop all jobs.
    """

    def test_jobs_of_a_full_shard_are_refused_and_later_accepted(self):
        """Guards against a full shard that accepts jobs or stays closed.

        Jobs of other shards have to run meanwhile.
        """
        self.permits.limits["ann"] = 0
        accepted = []
        for key in itertools.islice(self.keys, 200):
            result = self.submit_padded(key)
            if isinstance(result, Failure):
                break
            accepted.append(result)
            self.steps(1)
        self.assertTrue(result.is_a(failures.JOB_TABLE_FULL), result)
        self.assertIs(Ran.NO, result.ran)
        self.assertIn("nearly full", result.reason)
        self.assertTrue(len(accepted) > 20)
        refused_id = job_id_of("ann", key)
        elsewhere = next(
            each
            for each in map(str, itertools.count())
            if shard_of(job_id_of("ann", each)) != SHARD
        )
        accepted.append(self.submit_padded(elsewhere))
        self.permits.limits["ann"] = 100
        self.steps(20)
        for job in accepted:
            self.assertEqual("ok", self.status(job).result)
            self.assertEqual(1, len(self.starts(job)))
        started = {e["task"] for e in self.ledger.events("task-start")}
        self.assertNotIn(f"{refused_id}.1", started)
        self.assertNotIsInstance(self.submit_padded(key), Failure)
        self.assertEqual([], self.store.too_large)

    def test_jobs_accepted_before_the_shard_is_reported_full_are_kept(self):
        """Guards against lost jobs that were accepted for a full shard.

        They arrive before control has reported that the shard is full.
        """
        self.permits.limits["ann"] = 0
        accepted = [
            self.submit_padded(key) for key in itertools.islice(self.keys, 150)
        ]
        self.steps(5)
        self.assertTrue(self.store.keys("jobs/batches/"))
        # Another process takes over in between.
        self.job_controller = self.new_job_controller("c2.1")
        self.steps(5)
        self.permits.limits["ann"] = 100
        self.steps(60)
        for job in accepted:
            self.assertEqual("ok", self.status(job).result)
            self.assertEqual(1, len(self.starts(job)))
        self.assertEqual([], self.store.too_large)
        self.assertEqual([], self.store.keys("jobs/batches/"))

    def test_results_do_not_fill_a_shard(self):
        """Guards against results that leave no space for jobs.

        The oldest results are dropped, and a large one is not kept.
        """
        tasks = ResultTasks(self.task_core)
        tasks.result = result = "r" * RESULT_BYTES
        self.job_controller = self.new_job_controller("c1.1", tasks=tasks)
        jobs = []
        for key in itertools.islice(self.keys, 40):
            jobs.append(self.submit_padded(key))
            self.steps(4)
        states = [self.status(job) for job in jobs]
        self.assertEqual({JobState.DONE}, {each.state for each in states})
        kept = [each for each in states if each.result]
        self.assertEqual(RESULTS_BYTES_PER_SHARD // len(result), len(kept))
        self.assertEqual(states[-len(kept) :], kept)
        self.assertIn("dropped", states[0].reason)
        tasks.result += "r"
        large = self.submit_padded(next(self.keys))
        self.steps(4)
        self.assertIs(JobState.DONE, self.status(large).state)
        self.assertIn("not kept", self.status(large).reason)


class RemovedQueueTest(JobsTestCase):
    """Guards against jobs that stay queued for a removed queue or team."""

    def remove_from_document(self, field, name):
        """Remove a queue or a team from the document."""
        rows = getattr(self.document, field)
        kept = tuple(row for row in rows if row.name != name)
        self.document = attrs.evolve(self.document, **{field: kept})

    def check_removed(self, field, name, reason):
        """Remove a queue or a team while one job runs and another waits."""
        self.permits.limits["ann"] = 1
        running = self.submit(behaviour={"run_ms": 10_000, "result": "ok"})
        self.steps(2)
        queued = self.submit()
        self.steps(2)
        self.remove_from_document(field, name)
        self.steps(int(REMOVED_GRACE_S) - 2)
        self.assertIs(JobState.QUEUED, self.status(queued).state)
        self.steps(12)
        status = self.status(queued)
        self.assertEqual(
            (JobState.REFUSED, reason), (status.state, status.reason)
        )
        self.assertEqual([], self.starts(queued))
        self.assertEqual("ok", self.status(running).result)
        self.assertEqual(0, self.permits.running["ann"])

    def test_removed_queue(self):
        """Guards against jobs that stay queued for a removed queue."""
        reason = "queue batch no longer takes jobs"
        self.check_removed("queues", "batch", reason)

    def test_removed_team(self):
        """Guards against jobs that stay queued for a removed team."""
        self.check_removed("teams", "ann", "team ann was removed")

    def test_queue_restored_within_the_grace_period_keeps_its_jobs(self):
        """Guards against jobs refused because of a short removal.

        An operator may remove a queue by mistake and restore it.
        """
        self.permits.limits["ann"] = 0
        queued = self.submit()
        self.steps(2)
        before = self.document
        self.remove_from_document("queues", "batch")
        self.steps(20)
        self.document = before
        self.steps(20)
        self.remove_from_document("queues", "batch")
        self.steps(20)
        self.assertIs(JobState.QUEUED, self.status(queued).state)

    def test_job_that_has_run_does_not_count_as_refused(self):
        """Guards against a job being reported as refused after it ran."""
        job = self.submit(idempotent=True, behaviour={"run_ms": 60_000})
        self.steps(3)
        self.permits.limits["ann"] = 0
        self.set_state(self.starts(job)[0], VmState.DRAINING)
        self.remove_from_document("queues", "batch")
        self.steps(50)
        self.assertIs(JobState.CANCELLED, self.status(job).state)
        self.assertEqual(1, len(self.starts(job)))


class RetentionTest(testtools.TestCase):
    """Guards against repeated runs of a finished job that was dropped."""

    def shard(self, count):
        """Return a shard of finished jobs, every second one idempotent."""
        row = JobRow(
            team="bank",
            queue="batch",
            cores=1.0,
            memory_mb=100,
            accelerators=0,
            payload="",
            idempotent=False,
            accepted_at_s=0.0,
            state=JobState.DONE,
        )
        return JobShard(
            jobs={
                str(n): attrs.evolve(
                    row, idempotent=n % 2 == 0, finished_at_s=float(n)
                )
                for n in range(count)
            }
        )

    def test_only_idempotent_jobs_are_dropped_early(self):
        """Guards against a second run of a job that is not idempotent.

        A repeated submission of a dropped job runs again.
        """
        shard = self.shard(4 * FINISHED_PER_SHARD)
        kept_jobs = prune(shard, 4.0 * FINISHED_PER_SHARD - 1000.0).jobs
        non_idempotent = {n for n, row in shard.jobs.items() if int(n) % 2}
        self.assertEqual(non_idempotent, set(kept_jobs))

    def test_oldest_idempotent_jobs_are_dropped_first(self):
        """Guards against dropping recent jobs while older ones are kept."""
        kept_jobs = prune(self.shard(FINISHED_PER_SHARD + 10), 0.0).jobs
        self.assertEqual(FINISHED_PER_SHARD, len(kept_jobs))
        self.assertNotIn("18", kept_jobs)
        self.assertIn("17", kept_jobs)
        self.assertIn("20", kept_jobs)

    def test_all_jobs_are_dropped_after_the_retention(self):
        """Guards against finished jobs that are kept for ever."""
        kept_jobs = prune(self.shard(10), FINISHED_RETENTION_S + 5).jobs
        self.assertEqual({"5", "6", "7", "8", "9"}, set(kept_jobs))
