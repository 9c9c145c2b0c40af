"""Tests of how a new leader reads the jobs from the store."""

from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.job_memory import JobMemory
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.records import INTAKE_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ProgressRecord
from tests.lib.scheduling import QUEUE
from tests.unit.test_unloaded_jobs import job_name
from tests.unit.test_unloaded_jobs import UnloadedCase


class PagesTest(UnloadedCase):
    """Guards against a new leader that holds all records at once.

    Records and progress are listed in pages, which end at different jobs.
    """

    def load_pages(self, failing=None):
        """Load in pages of two jobs and of three progress records.

        :param failing: prefix and number of the page that is not answered
        """
        self.read = []

        def pages(prefix):
            size = 2 if prefix == INTAKE_PREFIX else 3
            keys = sorted(key for key in self.items if key.startswith(prefix))
            for number, start in enumerate(range(0, len(keys), size)):
                self.read.append((prefix, number))
                if (prefix, number) == failing:
                    yield STORE_UNAVAILABLE
                    return
                items = tuple(self.items[k] for k in keys[start:][:size])
                yield Listing(items=items, revision=100 + number)

        self.store.pages = pages
        return self.feed.load()

    def put_started(self, numbers):
        """Store jobs, of which those with even numbers have started."""
        self.scheduler.memory = JobMemory(10**9)
        for number in numbers:
            record = ProgressRecord(
                phase=Phase.RUNNING,
                queue=QUEUE.name,
                organisation="o",
                highest_run=number,
            )
            self.put(number, progress=None if number % 2 else record)

    def test_each_job_gets_its_progress(self):
        self.put_started(range(1, 12))
        self.assertTrue(self.load_pages())
        for number in range(1, 12):
            job = self.scheduler.jobs[job_name(number)]
            started = 0 if number % 2 else number
            self.assertEqual(started, job.highest_run)
        self.assertEqual(100, self.scheduler.intake_revision)

    def test_pages_are_read_in_turn(self):
        """Guards against progress that is read long before it is needed."""
        self.put_started(range(1, 12))
        self.load_pages()
        first = self.read.index((PROGRESS_PREFIX, 1))
        self.assertLess(self.read.index((INTAKE_PREFIX, 3)), first)

    def test_page_without_an_answer(self):
        """Guards against a leader that leads with a part of the jobs."""
        self.put_started(range(1, 12))
        for failing in ((INTAKE_PREFIX, 2), (PROGRESS_PREFIX, 1)):
            self.assertFalse(self.load_pages(failing))
            self.assertEqual(0, self.scheduler.intake_revision)
        self.assertTrue(self.load_pages())
        self.assertEqual(11, len(self.scheduler.jobs))

    def test_progress_of_jobs_that_are_gone(self):
        """Guards against progress records that are given to other jobs."""
        self.put_started(range(1, 12))
        for number in (2, 4, 5):
            del self.items[JOBS_PREFIX + job_name(number)]
        self.assertTrue(self.load_pages())
        job = self.scheduler.jobs[job_name(6)]
        self.assertEqual(6, job.highest_run)
