"""How long callers wait while the store does not answer."""

import threading

import testtools

from rosemarynotch._internal.exceptions import ACCEPTANCE_UNKNOWN
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.intake import JobIntake
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from tests.lib.clocks import ManualClock
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import QUEUE

RECORD = SubmissionRecord(
    policy=QUEUE,
    organisation="o",
    spec=job_spec(),
    accepted_unix_ms=0,
    attempt_id="a",
)


def no_log(event, **fields):
    """Write no log."""


class SilentStore:
    """Writes have no answer, and take their time."""

    def __init__(self, call_s):
        self._call_s = call_s
        self.commits = 0

    def commit(self, conditions, writes, deletes=[]):
        self.commits += 1
        threading.Event().wait(self._call_s)
        return STORE_UNAVAILABLE.after_start()


class IntakeWaitTest(testtools.TestCase):
    """No caller is held until its deadline."""

    def submit(self, store, count):
        """Submit jobs to one writer; return the results."""
        clock = ManualClock()
        intake = JobIntake(store, clock, "config", no_log)
        stop = threading.Event()
        self.addCleanup(stop.set)
        results = []
        threads = [
            threading.Thread(
                target=lambda n=n: results.append(
                    intake.submit(f"{n:016x}", RECORD, 1 + n, 3000)
                )
            )
            for n in range(count)
        ]
        for thread in threads:
            thread.start()
        return intake, clock, stop, threads, results

    def test_job_that_was_never_sent_is_refused(self):
        """It waited behind a silent store for over half of its deadline."""
        store = SilentStore(0.01)
        intake, clock, stop, threads, results = self.submit(store, 2)
        while intake._queue.qsize() < 2:
            threading.Event().wait(0.01)
        clock.advance(0.7)
        threading.Thread(target=intake.run, args=(stop,), daemon=True).start()
        for thread in threads:
            thread.join(5)
        self.assertEqual(0, store.commits)
        for result in results:
            self.assertTrue(result.is_a(STORE_UNAVAILABLE))
            self.assertEqual(Ran.NO, result.ran)

    def test_job_whose_fate_is_unknown_is_not_refused(self):
        """A 503 would promise that it never runs."""
        store = SilentStore(0.01)
        intake, clock, stop, threads, results = self.submit(store, 1)
        threading.Thread(target=intake.run, args=(stop,), daemon=True).start()
        while not store.commits:
            threading.Event().wait(0.01)
        clock.advance(0.7)
        threads[0].join(5)
        self.assertTrue(results[0].is_a(ACCEPTANCE_UNKNOWN))

    def test_answer_that_cannot_be_read_ends_the_wait(self):
        """The writer ended, and its callers waited for ever."""
        store = SilentStore(0.01)
        store.commit = lambda *arguments: {}["revision"]
        intake, clock, stop, threads, results = self.submit(store, 1)
        writer = threading.Thread(target=intake.run, args=(stop,), daemon=True)
        writer.start()
        threads[0].join(5)
        self.assertTrue(results[0].is_a(ACCEPTANCE_UNKNOWN))
        self.assertTrue(writer.is_alive())


class CountingStore:
    """Lists nothing, and counts how often it is asked."""

    def __init__(self, answer):
        self._answer = answer
        self.listings = 0

    def get(self, key, allow_stale=False):
        return STORE_UNAVAILABLE

    def list_prefix(self, prefix):
        self.listings += 1
        return self._answer


class CountTest(testtools.TestCase):
    """Requests for counts while there is no leader that counts."""

    def ask(self, answer, times):
        """Ask some times within a second and once later."""
        store, clock = CountingStore(answer), ManualClock()
        intake = JobIntake(store, clock, "config", no_log)
        counts = [intake.waiting_count("q") for _ in range(times)]
        first = store.listings
        clock.advance(1.1)
        intake.waiting_count("q")
        return counts, first, store.listings

    def test_callers_share_a_listing(self):
        """All nodes listed the store for each request while the next leader
        had to read it.
        """
        empty = Listing(items=(), revision=1)
        counts, first, later = self.ask(empty, 5)
        self.assertEqual([0] * 5, counts)
        self.assertEqual((2, 4), (first, later))

    def test_callers_share_a_failure(self):
        """Each would wait for the silent store in turn, and keep a thread
        from the callers with jobs.
        """
        counts, first, later = self.ask(STORE_UNAVAILABLE, 5)
        for count in counts:
            self.assertTrue(count.is_a(STORE_UNAVAILABLE))
        self.assertEqual((1, 2), (first, later))
