"""Tests of what the leader takes in from the intake, and when."""

import threading
from unittest import mock

import testtools

from rosemarynotch._internal.exceptions import STORE_HISTORY_LOST
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.intake_feed import IntakeFeed
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.records import CANCELLATIONS_PREFIX
from rosemarynotch._internal.scheduling.records import INTAKE_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import QUEUE

FENCE = 20
KNOWN = "a" * 16
NEW = "b" * 16


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
        self.posted = []
        self.controller = mock.Mock(
            lock=threading.RLock(),
            scheduler=self.scheduler,
            is_running=True,
            post=self.posted.append,
        )
        self.controller.ports.store = self.store
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
