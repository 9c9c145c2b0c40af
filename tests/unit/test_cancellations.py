"""Tests of cancellations beside submissions that the store writes late."""

from concurrent import futures
import threading

from rosemarynotch._internal.exceptions import JOB_UNKNOWN
from rosemarynotch._internal.exceptions import JOB_WITHDRAWN
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.access import CallerAccess
from rosemarynotch._internal.scheduling.intake import JobIntake
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.progress_writer import ProgressWriter
from rosemarynotch._internal.scheduling.progress_writer import RETENTION_S
from rosemarynotch._internal.scheduling.records import INTAKE_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from tests.lib.clocks import ManualClock
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import QUEUE
from tests.unit.test_intake_feed import IntakeCase
from tests.unit.test_roster import Store

JOB_ID = "a" * 16
OTHER_ID = "b" * 16
OWNER = CallerAccess("o", "q")
STRANGER = CallerAccess("stranger", "q")
WAIT_MS = 3000
RECORD = SubmissionRecord(
    policy=QUEUE,
    organisation="o",
    spec=job_spec(),
    accepted_unix_ms=1,
    attempt_id="a",
)


class IntakeStore(Store):
    """A store that also lists and deletes, and allows stale reads."""

    pages = CoordinationStore.pages

    def get(self, key, allow_stale=False):
        return super().get(key)

    def list_prefix(self, prefix):
        items = [self.items[k] for k in self.items if k.startswith(prefix)]
        return Listing(items=tuple(items), revision=self.revision)

    def commit(self, conditions, writes, deletes=()):
        answer = super().commit(conditions, writes, deletes)
        if isinstance(answer, int):
            for key in deletes:
                self.items.pop(key, None)
        return answer


class CancellationCase(IntakeCase):
    """Base of tests with an intake, its store, and the next leader."""

    def setUp(self):
        super().setUp()
        self.store = self.controller.ports.store = IntakeStore()
        self.configuration_revision = self.store.apply(
            [], [Write("config", b"")]
        )
        self.written = []
        self.intake = JobIntake(
            self.store,
            ManualClock(),
            "config",
            lambda event, **fields: None,
            self.written.extend,
        )

    def submit(self, job_id, record=RECORD):
        """Queue a submission; return the future of its result."""
        result = futures.Future()
        count = self.intake._queue.qsize()

        def submit():
            revision = self.configuration_revision
            result.set_result(
                self.intake.submit(job_id, record, revision, WAIT_MS)
            )

        threading.Thread(target=submit, daemon=True).start()
        while self.intake._queue.qsize() == count:
            threading.Event().wait(0.001)
        return result

    def send(self):
        """Send one batch of the queued submissions to the store."""
        self.intake._write(self.intake._next_batch())

    def accept(self, job_id):
        """Submit a job that is stored at once."""
        result = self.submit(job_id)
        self.send()
        self.assertIsNone(result.result(5))

    def active_jobs(self):
        """Return the jobs that a leader runs with the state of the store."""
        self.assertTrue(self.feed.load())
        return set(self.scheduler.active)

    def assert_unknown(self, answer):
        self.assertIsNotNone(answer)
        self.assertTrue(answer.is_a(JOB_UNKNOWN), answer)


class LateSubmissionTest(CancellationCase):
    """Guards against a job that runs after it was cancelled (rule UNASKED).

    A cancellation that overtook the write of its job was answered with 410
    and not recorded. The write was carried out, or repeated, after that.
    """

    def lose_writes(self, *job_ids):
        """Submit jobs in one batch whose write has no answer."""
        self.store.loses_calls = True
        results = [self.submit(job_id) for job_id in job_ids]
        self.send()
        self.store.loses_calls = False
        return results

    def test_write_carried_out_late(self):
        """Guards also against the loss of the other jobs of its batch."""
        cancelled, other = self.lose_writes(JOB_ID, OTHER_ID)
        self.assert_unknown(self.intake.cancel(JOB_ID, OWNER))
        self.store.apply_late()
        self.assertNotIn(JOB_ID, self.active_jobs())
        while self.intake._queue.qsize():
            self.send()
        self.assertIsNone(other.result(5))
        answer = cancelled.result(5)
        self.assertTrue(answer.is_a(JOB_WITHDRAWN), answer)
        self.assertEqual((503, Ran.NO), (answer.status, answer.ran))
        self.assertEqual({OTHER_ID}, self.active_jobs())

    def test_write_that_is_repeated(self):
        """Guards also against a later submission under the identifier."""
        (cancelled,) = self.lose_writes(JOB_ID)
        self.assert_unknown(self.intake.cancel(JOB_ID, OWNER))
        self.send()
        again = self.submit(JOB_ID)
        self.send()
        self.assertEqual(set(), self.active_jobs())
        for result in (cancelled, again):
            self.assertTrue(result.result(5).is_a(JOB_WITHDRAWN))

    def test_write_between_read_and_record(self):
        """Guards against a job that is stored while it is cancelled."""
        for access, active in ((OWNER, set()), (STRANGER, {OTHER_ID})):
            job_id = JOB_ID if access is OWNER else OTHER_ID
            get = self.store.get

            def read(key):
                found = get(key)
                self.store.get = get
                self.accept(job_id)
                return found

            self.store.get = read
            answer = self.intake.cancel(job_id, access)
            if access is OWNER:
                self.assertIsNone(answer)
            else:
                self.assert_unknown(answer)
            self.assertEqual(active, self.active_jobs())

    def test_cancellation_that_may_not_be_recorded(self):
        """Guards against an acknowledgement that does not hold."""
        self.store.loses_calls = True
        answer = self.intake.cancel(JOB_ID, OWNER)
        self.assertTrue(answer.is_a(STORE_UNAVAILABLE), answer)
        self.store.apply_late()
        self.assert_unknown(self.intake.cancel(JOB_ID, OWNER))
        self.assertEqual(set(), self.active_jobs())


class WithdrawnJobTest(CancellationCase):
    """Guards against traces of jobs that were cancelled and never stored."""

    def setUp(self):
        super().setUp()
        self.assert_unknown(self.intake.cancel(JOB_ID, OWNER))

    def test_job_is_not_shown(self):
        """Guards against a job that is shown, but nobody submitted (MIXED).

        Further cancellations also write nothing.
        """
        self.check_unknown()
        self.assertEqual(set(), self.active_jobs())
        progress = encode(self.scheduler.jobs[JOB_ID].progress())
        self.store.apply([], [Write(PROGRESS_PREFIX + JOB_ID, progress)])
        self.check_unknown()

    def check_unknown(self):
        revision = self.store.revision
        for access in (OWNER, STRANGER, CallerAccess(None, "q")):
            self.assert_unknown(self.intake.phase(JOB_ID, access))
            self.assert_unknown(self.intake.cancel(JOB_ID, access))
        self.assertEqual(0, self.intake.waiting_count("q"))
        self.assertEqual(revision, self.store.revision)

    def test_row_is_removed(self):
        """Guards against a store that grows with each such cancellation."""
        self.active_jobs()
        (job,) = self.scheduler.jobs.values()
        self.assertIs(Phase.CANCELLED, job.phase)
        job.finished_unix_ms = round(self.leader.now_s * 1000)
        self.scheduler.mark_written(job, job.change, self.store.revision)
        self.controller.grant.fence = 1
        writer = ProgressWriter(self.controller)
        writer._remove_expired()
        self.leader.now_s += RETENTION_S + 1
        writer._remove_expired()
        self.assertEqual((), self.store.list_prefix(INTAKE_PREFIX).items)
        self.assertEqual(set(), self.scheduler.cancelled_ids)
        self.accept(JOB_ID)


class RemovedJobTest(CancellationCase):
    """Guards against cancellations that are never removed from the store.

    The leader removes a cancellation with its job. One that was written just
    after that stayed in the store, and in the memory of each leader.
    """

    def test_job_removed_while_it_is_cancelled(self):
        self.accept(JOB_ID)
        get = self.store.get

        def read(key):
            found = get(key)
            self.store.items.pop(JOBS_PREFIX + JOB_ID)
            return found

        self.store.get = read
        self.assert_unknown(self.intake.cancel(JOB_ID, OWNER))
        self.active_jobs()
        self.assertEqual({JOB_ID}, set(self.scheduler.jobs))


class AcceptedJobTest(CancellationCase):
    """Guards against a changed cancellation of jobs that are stored."""

    def test_cancellation_that_is_repeated(self):
        """Guards against repetitions after lost answers that fail."""
        self.accept(JOB_ID)
        self.store.loses_calls = True
        answer = self.intake.cancel(JOB_ID, OWNER)
        self.assertTrue(answer.is_a(STORE_UNAVAILABLE), answer)
        self.store.apply_late()
        for _ in range(2):
            self.assertIsNone(self.intake.cancel(JOB_ID, OWNER))
        self.assertEqual(set(), self.active_jobs())
