"""Tests of the numbers that the runs of a task get."""

import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.scheduling.job_registry import RUNS_PER_TERM
from tests.lib.scheduling import Leader


class ManyRunsTest(testtools.TestCase):
    """Guards against run numbers that two leaders use (rule TWICE).

    Each refused start takes a number. The numbers of a term were bounded by
    nothing but the pauses after a refusal.
    """

    def setUp(self):
        super().setUp()
        self.leader = Leader(term=3, started_revision=50)
        self.leader.add_workers("w1")
        self.job = self.leader.submit("j1", revision=40)

    def refuse_all(self):
        """Let starts be refused until nothing starts any more."""
        numbers = []
        for _ in range(3 * RUNS_PER_TERM):
            now_s = self.leader.now_s
            commands = self.leader.planner.place(now_s, now_s * 1000)
            if not commands:
                break
            run = commands[0].run
            numbers.append(run.number)
            refused = failures.RUN_NO_ROOM
            self.leader.scheduler.on_start_answer(run, refused, now_s)
            self.leader.advance(0.5)
        return numbers

    def persist(self):
        """Store the progress of the job; return the record."""
        record = self.job.progress()
        self.leader.scheduler.mark_written(self.job, self.job.change, 60)
        return record

    def test_numbers_of_a_term(self):
        """Guards against a number that the next leader uses again."""
        numbers = self.refuse_all()
        first = 2 * RUNS_PER_TERM + 1
        self.assertEqual(list(range(first, first + RUNS_PER_TERM)), numbers)
        # Nothing more starts before the reservation is recorded.
        self.assertIn("j1", self.leader.scheduler.dirty)
        self.assertEqual([], self.refuse_all())
        record = self.persist()
        further = self.refuse_all()
        self.assertEqual(RUNS_PER_TERM, len(further))
        self.assertEqual(numbers[-1] + 1, further[0])
        later = Leader(term=4, started_revision=70)
        later.add_workers("w1")
        later.submit("j1", revision=40, progress=record)
        self.persist_of(later)
        (run,) = later.place()
        self.assertGreater(run.number, further[-1])

    def persist_of(self, later):
        """Let a later leader reserve numbers of its own."""
        job = later.scheduler.jobs["j1"]
        self.assertEqual([], later.place())
        later.scheduler.mark_written(job, job.change, 80)

    def test_usual_start(self):
        """Guards against a write before each start."""
        now_s = self.leader.now_s
        (command,) = self.leader.planner.place(now_s, now_s * 1000)
        self.assertEqual(2 * RUNS_PER_TERM + 1, command.run.number)
        self.assertEqual({}, self.leader.scheduler.dirty)
