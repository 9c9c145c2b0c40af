"""Tests of the record of jobs that no leader has started."""

from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.planner import Planner
from rosemarynotch._internal.scheduling.policy import BestFit
from rosemarynotch._internal.scheduling.policy import ObjectiveOrder
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.records import UNSTARTED_KEY
from rosemarynotch._internal.scheduling.records import UnstartedRecord
from rosemarynotch._internal.scheduling.unstarted_jobs import UnstartedJobs
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import QUEUE
from tests.lib.scheduling import step
from tests.unit.test_roster import RosterCase

JOBS = 40


class BacklogCase(RosterCase):
    """A leader with a backlog of several seconds on one worker of 8 cores."""

    def lead(self, term=1, now_s=1000.0):
        """Begin a term; the worker is in the roster but silent."""
        super().lead(term, now_s)
        self.unstarted = UnstartedJobs(self.controller)
        self.assertTrue(self.unstarted.load())
        self.scheduler.unstarted_ids = self.unstarted.inherited
        self.leader.planner = self.controller.planner = Planner(
            self.scheduler,
            ObjectiveOrder(),
            BestFit(),
            self.leader.advice,
            may_start=self.unstarted.may_start,
        )
        if term > 1:
            self.read_jobs(revision=10)

    def read_jobs(self, revision):
        for number in range(JOBS):
            self.scheduler.add_job(
                f"{number:016x}",
                SubmissionRecord(
                    policy=QUEUE,
                    organisation="o",
                    spec=job_spec(step(8)),
                    accepted_unix_ms=1000_000,
                    attempt_id="a",
                ),
                revision,
            )

    def setUp(self):
        super().setUp()
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.leader.report("w1")
        # Accepted within the first term, so not inherited by its leader.
        self.read_jobs(revision=30)

    def record(self):
        """Return the jobs that the store names."""
        item = self.store.items.get(UNSTARTED_KEY)
        if item is None:
            return set()
        return set(decode(item.value, UnstartedRecord).jobs)

    def started(self):
        """Start what has room; return the jobs."""
        return {run.task.task_id.job_id for run in self.leader.place()}


class NextLeaderTest(BacklogCase):
    """Guards against a backlog that waits for the lease of a silent worker.

    After the leader was lost, 200 jobs that had never had a run waited for
    5 s, since a worker that was lost just before might have had runs of them.
    """

    def take_over(self):
        """Lead the next term beside a silent worker of the last leader."""
        self.lead(term=2)
        self.list_workers(Leader.entry("w2"))
        self.assertTrue(self.writer._write())
        self.leader.report("w2")

    def test_jobs_that_were_never_started(self):
        self.assertEqual(1, len(self.started()))
        self.assertTrue(self.unstarted._renew())
        named = self.record()
        self.assertLess(JOBS - 5, len(named))
        self.take_over()
        self.assertEqual(set(), self.started())
        self.assertTrue(self.unstarted._renew())
        started = self.started()
        self.assertEqual(1, len(started))
        self.assertLessEqual(started, named)

    def test_jobs_that_may_have_been_started(self):
        """Guards against a second run of a task (rule TWICE)."""
        self.assertEqual(1, len(self.started()))
        self.assertTrue(self.unstarted._renew())
        unnamed = self.scheduler.jobs.keys() - self.record()
        self.take_over()
        blocked = self.scheduler.jobs_with_unknown_runs(
            {"p"}, self.leader.now_s
        )
        self.assertEqual(set(unnamed), set(blocked))

    def test_record_of_an_earlier_term(self):
        """Guards against a leader in between that knows no such record."""
        self.assertTrue(self.unstarted._renew())
        self.lead(term=3)
        self.assertEqual(frozenset(), self.unstarted.inherited)
        self.assertEqual(self.record(), set(self.unstarted._withheld))

    def test_leader_that_ends_before_it_replaces_the_record(self):
        """Guards against a job that is started and still named."""
        self.assertTrue(self.unstarted._renew())
        named = self.record()
        self.take_over()
        self.assertEqual(set(), self.started() & named)


class WithheldJobTest(BacklogCase):
    """Guards against a start of a job that the store may still name."""

    def test_write_without_an_answer(self):
        self.store.loses_calls = True
        self.assertFalse(self.unstarted._renew())
        self.store.loses_calls = False
        withheld = set(self.unstarted._withheld)
        self.assertTrue(withheld)
        self.assertFalse(self.started() & withheld)
        self.store.apply_late()
        self.assertEqual(withheld, self.record())

    def test_late_write_after_a_newer_record(self):
        """Guards against a record that comes back after a start."""
        self.store.loses_calls = True
        self.assertFalse(self.unstarted._renew())
        self.store.loses_calls = False
        for job in list(self.scheduler.active.values()):
            self.unstarted.may_start(job)
        self.assertTrue(self.unstarted._renew())
        self.assertEqual(1, len(self.started()))
        self.store.apply_late()
        self.assertEqual(set(), self.record())

    def test_room_for_a_withheld_job(self):
        """Guards against room that stays free while jobs are withheld."""
        self.assertTrue(self.unstarted._renew())
        for number in range(2, 9):
            self.list_workers(
                *(Leader.entry(f"w{each}") for each in range(1, number + 1))
            )
        self.assertTrue(self.writer._write())
        for number in range(2, 9):
            self.leader.report(f"w{number}")
        first = len(self.started())
        self.assertTrue(self.unstarted._renew())
        self.assertEqual(8, first + len(self.started()))

    def test_short_backlog_is_not_recorded(self):
        """Guards against writes to the store in calm."""
        for job_id in list(self.scheduler.active)[10:]:
            self.scheduler.cancel(job_id)
        count = len(self.store.entry_counts)
        self.assertTrue(self.unstarted._renew())
        self.assertEqual(count, len(self.store.entry_counts))


class RecordTest(RosterCase):
    """Guards against a record that this version cannot read."""

    def test_unreadable_record(self):
        """Another leader may still start the jobs that it names."""
        self.store.items[UNSTARTED_KEY] = Item(
            key=UNSTARTED_KEY, revision=15, value=b"\xc1"
        )
        unstarted = UnstartedJobs(self.controller)
        self.assertTrue(unstarted.load())
        self.assertEqual(frozenset(), unstarted.inherited)
        job = self.leader.submit("j1", revision=10)
        self.assertFalse(unstarted.may_start(job))
        self.assertTrue(unstarted._renew())
        self.assertTrue(unstarted.may_start(job))
        item = self.store.items[UNSTARTED_KEY]
        self.assertEqual(encode(UnstartedRecord(term=1)), item.value)
