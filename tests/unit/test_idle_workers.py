"""Tests of starts on workers that have been idle since their last report."""

import testtools

from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import step


class IdleWorkerTest(testtools.TestCase):
    """Guards against starts that are placed and then not sent.

    A request for a report waits for up to 2 s on an idle worker and for 1 s on
    one with runs. A worker counted as silent after the shorter time as soon as
    a run was placed on it, so the start was withheld and placed again, up to
    45 times, and members of a gang ended alone (rule GANG).
    """

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1")
        # The next report is under way.
        self.leader.now_s += 2.0

    def plan(self, spec):
        """Submit a job; return its starts."""
        self.leader.submit("j1", job_spec(spec))
        now_s = self.leader.now_s
        return self.leader.planner.place(now_s, now_s * 1000)

    def test_start_on_an_idle_worker(self):
        commands = self.plan(step(2))
        self.assertEqual(2, len(commands))
        for command in commands:
            self.assertTrue(command.is_current(self.leader.now_s))

    def test_worker_that_stays_silent(self):
        """Guards against starts on a worker that has crashed."""
        (command,) = self.plan(step())
        self.assertFalse(command.is_current(self.leader.now_s + 1.0))

    def test_worker_with_runs(self):
        """Guards against a worker with runs that is silent for longer."""
        self.leader.now_s -= 2.0
        first = self.leader.submit("j0")
        self.assertEqual(1, len(self.leader.place()))
        self.leader.report_runs("w1")
        self.assertFalse(first.phase.is_final)
        self.leader.now_s += 2.0
        self.assertEqual([], self.plan(step()))

    def test_members_of_a_gang(self):
        """Guards against a gang of which only some members are sent."""
        first, second = self.plan(step(2, is_gang=True))
        late_s = self.leader.now_s + 1.0
        self.assertFalse(second.is_current(late_s))
        first.run.is_sent = True
        self.assertTrue(second.is_current(late_s))
