"""Tests of what the leader takes in from the intake, and when."""

import threading
from unittest import mock

import testtools

from rosemarynotch._internal.exceptions import STORE_HISTORY_LOST
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.intake_feed import IntakeFeed
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.progress_writer import ProgressWriter
from rosemarynotch._internal.scheduling.progress_writer import RETENTION_S
from rosemarynotch._internal.scheduling.records import CANCELLATIONS_PREFIX
from rosemarynotch._internal.scheduling.records import INTAKE_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import StepRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.workers import MAX_WITHHELD_ENDS
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import QUEUE

FENCE = 20
KNOWN = "a" * 16
NEW = "b" * 16
ODD = "c" * 16


def job_row(job_id, revision):
    """Return the row of an accepted job."""
    record = SubmissionRecord(
        policy=QUEUE,
        organisation="o",
        spec=job_spec(),
        accepted_unix_ms=1,
        attempt_id="a",
    )
    return Item(
        key=JOBS_PREFIX + job_id, revision=revision, value=encode(record)
    )


def cancellation_row(job_id, revision):
    """Return the row of a cancellation."""
    return Item(
        key=CANCELLATIONS_PREFIX + job_id, revision=revision, value=b""
    )


class IntakeCase(testtools.TestCase):
    """Base of tests with a feed, a scheduler and a mocked store."""

    def setUp(self):
        super().setUp()
        self.leader = Leader(term=2, started_revision=FENCE)
        self.scheduler = self.leader.scheduler
        self.store = mock.Mock()
        self.store.pages = lambda prefix: CoordinationStore.pages(
            self.store, prefix
        )
        self.posted = []
        self.controller = mock.Mock(
            lock=threading.RLock(),
            scheduler=self.scheduler,
            is_running=True,
            post=self.posted.append,
        )
        self.controller.ports.store = self.store
        self.controller.clock.monotonic_s = lambda: self.leader.now_s
        self.controller.clock.wall_s = lambda: self.leader.now_s
        self.feed = IntakeFeed(self.controller)

    def apply_posted(self):
        """Apply the queued events as the scheduling thread does."""
        while self.posted:
            self.posted.pop(0)(self.leader.now_s)

    def load(self, items=(), progress=(), revision=30):
        """Load the jobs at the start of the term."""
        listings = {
            INTAKE_PREFIX: Listing(items=tuple(items), revision=revision)
        }
        empty = Listing(items=tuple(progress), revision=revision)
        self.store.list_prefix = lambda prefix: listings.get(prefix, empty)
        return self.feed.load()

    def watch(self, items, revision):
        """Let the feed watch until it has received some items."""

        def end(*args):
            self.controller.is_running = False
            return STORE_UNAVAILABLE

        changes = Listing(items=tuple(items), revision=revision)
        answers = iter((lambda *args: changes, end))
        self.store.watch = lambda *args: next(answers)()
        self.feed.run()
        self.controller.is_running = True
        self.apply_posted()

    def read_hinted(self, answer):
        """Let the feed read a hinted key that the watch has not reported."""
        self.store.get = mock.Mock(return_value=answer)
        self.feed._read_hinted(JOBS_PREFIX + NEW)
        self.apply_posted()


class EndedTermTest(IntakeCase):
    """Guards against a detached leader that starts a job of the next term.

    The next leader does not count a job that was accepted in its own term as
    inherited. It starts it at once, without waiting for any worker, and the
    job's tasks ran twice (rule TWICE).
    """

    def setUp(self):
        super().setUp()
        self.rows = (job_row(NEW, 50), cancellation_row(KNOWN, 51))

    def end_term(self, answer):
        """Return a call of the store that outlasts the term."""

        def call(*args):
            self.controller.is_running = False
            return answer

        return call

    def load_known(self):
        self.assertTrue(self.load([job_row(KNOWN, 10)]))

    def check(self):
        """Check that of what was received only the cancellation is used."""
        self.apply_posted()
        self.controller.log.assert_called_with(
            "jobs not added", count=1, why="received after the term"
        )
        self.assertEqual({KNOWN}, set(self.scheduler.jobs))
        self.assertTrue(self.scheduler.jobs[KNOWN].phase.is_final)

    def test_first_listing(self):
        """Guards against jobs that are loaded when the term is over."""
        listing = Listing(items=self.rows, revision=52)
        self.store.list_prefix = self.end_term(listing)
        self.assertFalse(self.feed.load())
        self.assertEqual({}, self.scheduler.jobs)

    def test_watch(self):
        self.load_known()
        listing = Listing(items=self.rows, revision=52)
        self.store.watch = self.end_term(listing)
        self.feed.run()
        self.check()

    def test_listing_after_lost_history(self):
        self.load_known()
        self.store.watch = mock.Mock(return_value=STORE_HISTORY_LOST)
        listing = Listing(items=self.rows, revision=52)
        self.store.list_prefix = self.end_term(listing)
        self.feed.run()
        self.check()

    def test_hinted_keys(self):
        self.load_known()
        rows = {row.key: row for row in self.rows}
        for key in rows:
            self.controller.is_running = True
            self.store.get = self.end_term(rows[key])
            self.feed._read_hinted(key)
        self.check()


class ForgottenJobTest(IntakeCase):
    """Guards against a job that starts anew after it was forgotten.

    It was added without its progress, and its tasks ran again long after it
    had been shown as completed (rule TWICE).
    """

    def setUp(self):
        super().setUp()
        self.load()
        self.row = job_row(NEW, 50)

    def assert_no_jobs(self):
        """Check that nothing is left of any job."""
        self.assertEqual({}, self.scheduler.jobs)
        self.assertEqual({}, self.scheduler.ended)

    def complete(self):
        """Complete the job, write that, and let its retention end."""
        job = self.scheduler.jobs[NEW]
        self.scheduler.finish(job, Phase.COMPLETED)
        job.finished_unix_ms = round(self.leader.now_s * 1000)
        self.scheduler.mark_written(job, job.change, 60)
        self.remove_expired()
        self.leader.now_s += RETENTION_S + 1

    def remove_expired(self):
        self.store.commit = mock.Mock(return_value=70)
        ProgressWriter(self.controller)._remove_expired()

    def forget_during(self, answer):
        """Return a read that lasts until the job has been forgotten."""

        def read(*args):
            self.remove_expired()
            self.assert_no_jobs()
            return answer

        return read

    def test_listing_under_way(self):
        self.watch((self.row,), 50)
        self.complete()
        rows = (self.row, cancellation_row(NEW, 51))
        self.watch((), 69)
        listing = Listing(items=rows, revision=69)
        self.store.list_prefix = self.forget_during(listing)
        self.feed._list_again()
        self.apply_posted()
        self.assert_no_jobs()
        self.assertEqual(set(), self.scheduler.cancelled_ids)
        self.controller.log.assert_has_calls(
            [
                mock.call("jobs removed", count=1, revision=70),
                mock.call(
                    "job not added",
                    job=NEW,
                    revision=50,
                    intake_revision=69,
                    why="refused or forgotten before",
                ),
            ]
        )

    def test_hint_under_way(self):
        def read(key):
            self.watch((self.row,), 50)
            self.complete()
            return self.forget_during(self.row)()

        self.store.get = read
        self.feed._read_hinted(self.row.key)
        self.apply_posted()
        self.assert_no_jobs()

    def test_watch_that_fell_behind(self):
        """Guards against a watch that returns the history since long ago.

        The job, which was known from a hint, is then kept until the watch has
        reported it.
        """
        self.read_hinted(self.row)
        self.complete()
        self.remove_expired()
        self.watch((self.row,), 50)
        self.assertTrue(self.scheduler.ended[NEW].phase.is_final)
        self.remove_expired()
        self.assert_no_jobs()

    def test_submission_after_the_removal(self):
        """Guards against a new job that is taken for the forgotten one."""
        self.watch((self.row,), 50)
        self.complete()
        self.remove_expired()
        self.watch((job_row(NEW, 80),), 80)
        self.assertFalse(self.scheduler.jobs[NEW].phase.is_final)

    def test_wall_clock_that_is_set_forward(self):
        """Guards against a job that is not shown any more after its end."""
        self.watch((self.row,), 50)
        job = self.scheduler.jobs[NEW]
        self.scheduler.finish(job, Phase.COMPLETED)
        job.finished_unix_ms = 1
        self.scheduler.mark_written(job, job.change, 60)
        for _ in range(2):
            self.remove_expired()
            self.assertTrue(self.scheduler.is_known(NEW))
            self.leader.now_s += RETENTION_S - 1

    def test_hinted_key_that_was_removed(self):
        self.read_hinted(STORE_KEY_MISSING)
        self.assert_no_jobs()
        self.assertEqual({}, self.feed._hinted_keys)


class FailingItemTest(IntakeCase):
    """Guards against jobs that are lost behind one that cannot be applied.

    The position of the watch is behind them then, so that no later read would
    add them.
    """

    def test_watch(self):
        self.load()
        add_job = self.scheduler.add_job

        def add_unless_odd(job_id, *args):
            if job_id == ODD:
                raise KeyError(job_id)
            return add_job(job_id, *args)

        self.scheduler.add_job = add_unless_odd
        # The scheduling thread logs an event that fails, and goes on.
        self.controller.post = lambda event: Controller._apply(
            self.controller, event, self.leader.now_s
        )
        self.watch((job_row(ODD, 50), job_row(NEW, 51)), 51)
        self.assertEqual({NEW}, set(self.scheduler.jobs))


class RefusedJobTest(IntakeCase):
    """Guards against a job that starts anew as its progress is refused."""

    def setUp(self):
        super().setUp()
        self.row = job_row(NEW, 10)
        progress = Item(key=PROGRESS_PREFIX + NEW, revision=11, value=b"\xc1")
        odd_row = Item(key=JOBS_PREFIX + ODD, revision=10, value=b"\xc1")
        self.assertTrue(self.load([self.row, odd_row], [progress]))
        self.assertEqual({}, self.scheduler.jobs)
        self.leader.add_workers("w1")
        self.worker = self.scheduler.workers["w1"]

    def test_progress_of_another_job(self):
        """Guards against a record that ends the term of each leader."""
        rows = (
            StepRecord(occurrence=1, step=0),
            StepRecord(occurrence=0, step=1),
            StepRecord(occurrence=0, step=0, done=(1,)),
            StepRecord(occurrence=0, step=0, checkpoints={-1: "c"}),
        )
        for row in rows:
            record = ProgressRecord(
                phase=Phase.RUNNING, queue="q", organisation="o", steps=(row,)
            )
            progress = Item(
                key=PROGRESS_PREFIX + KNOWN, revision=11, value=encode(record)
            )
            self.scheduler.refused_ids.clear()
            self.scheduler.intake_revision = 0
            self.assertTrue(self.load([job_row(KNOWN, 10)], [progress]))
            self.assertEqual({}, self.scheduler.jobs)
            self.assertIn(KNOWN, self.scheduler.refused_ids)

    def report_ends(self, *job_ids):
        """Apply a report with an end of each of the given jobs."""
        ends = [
            RunEnd(
                sequence=sequence,
                task=TaskId(job_id, 0, 0, 0),
                run=sequence,
                kind=EndKind.DONE,
            )
            for sequence, job_id in enumerate(job_ids, 1)
        ]
        self.leader.report("w1", ends=ends)

    def test_later_listing(self):
        self.feed._list_again()
        self.apply_posted()
        self.assertEqual({}, self.scheduler.jobs)

    def test_later_hint(self):
        self.read_hinted(self.row)
        self.assertEqual({}, self.scheduler.jobs)

    def test_ends_are_left_to_a_later_leader(self):
        """Guards against an end that is lost as nobody can record it.

        A later leader that can decode the job started its task again.
        """
        self.report_ends(KNOWN, NEW, KNOWN)
        self.assertEqual(1, self.worker.acked_sequence)

    def test_end_of_a_submission_that_is_refused(self):
        self.report_ends(ODD)
        self.assertEqual(0, self.worker.acked_sequence)

    def test_list_of_ends_is_not_filled(self):
        """Guards against hidden ends of the other jobs of a worker."""
        self.leader.submit("j1", revision=40)
        self.report_ends(*[NEW] * MAX_WITHHELD_ENDS)
        self.assertEqual([], self.leader.place())
        self.leader.add_workers("w2")
        self.assertEqual(1, len(self.leader.place()))
