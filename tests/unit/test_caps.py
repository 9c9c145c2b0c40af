"""Tests of the caps of organisations after a change of the leader."""

import attrs
import testtools

from rosemarynotch._internal.scheduling.model import Resources
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import step

STARTED_REVISION = 20


class CapAfterTakeoverTest(testtools.TestCase):
    """Guards against more running tasks than an organisation may have.

    A new leader counts only the runs that it has heard of (rule QUOTA: the
    cap, a tenth of it and one task).
    """

    CAP = Resources(cpu_millicores=4000)
    ALLOWED_MILLICORES = 4000 * 1.1 + 1000

    def setUp(self):
        super().setUp()
        self.leader = Leader(term=2, started_revision=STARTED_REVISION)
        self.leader.set_cap(self.CAP)
        self.scheduler = self.leader.scheduler

    def usage_after(self, pool):
        """Start what may start, then hear the worker with earlier runs.

        :param pool: pool of that worker
        """
        earlier = self.leader.submit("j1", job_spec(step(4)))
        earlier.pools[pool] = 0
        silent = attrs.evolve(self.leader.entry("w1"), pool=pool)
        entries = [silent, self.leader.entry("w2")]
        for worker in self.scheduler.set_workers(
            entries, self.leader.now_s, are_inherited=True
        ):
            worker.is_enrolled = True
        self.leader.report("w2")
        self.leader.place()
        self.leader.report(
            "w1",
            [
                (task.task_id, 1, 50)
                for task in earlier.occurrences[0].steps[0].tasks
            ],
        )
        return self.scheduler.usage["o"].cpu_millicores

    def test_new_job_beside_a_worker_that_was_not_heard(self):
        self.leader.submit("j2", job_spec(step(4)), revision=30)
        self.assertLessEqual(self.usage_after("p"), self.ALLOWED_MILLICORES)

    def test_inherited_job_beside_another_pool(self):
        self.leader.submit("j2", job_spec(step(4)))
        self.assertLessEqual(self.usage_after("p2"), self.ALLOWED_MILLICORES)

    def test_start_beside_a_worker_with_little_room(self):
        """Guards against an organisation that waits without need.

        A worker can run no more than it has room for.
        """
        self.leader.set_cap(Resources(cpu_millicores=9000))
        self.leader.submit("j2", job_spec(step(4)), revision=30)
        self.leader.submit("j1", job_spec(step(8)))
        small = attrs.evolve(
            self.leader.entry("w1"), capacity=Resources(cpu_millicores=4000)
        )
        entries = [small, self.leader.entry("w2")]
        for worker in self.scheduler.set_workers(
            entries, self.leader.now_s, are_inherited=True
        ):
            worker.is_enrolled = True
        self.leader.report("w2")
        started = [run.task.task_id.job_id for run in self.leader.place()]
        self.assertEqual(["j2"] * 4, started)
