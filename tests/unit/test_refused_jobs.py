"""Tests of workers with runs and ends of jobs that the leader refuses."""

import testtools

from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import step

STARTED_REVISION = 20


class RefusedJobTest(testtools.TestCase):
    """Guards against runs that are taken for absent as their job is unknown.

    The job's records cannot be decoded; a worker reports a run of it.
    """

    def setUp(self):
        super().setUp()
        self.leader = Leader(term=2, started_revision=STARTED_REVISION)
        self.leader.scheduler.refuse("c" * 16, 10)
        self.leader.add_workers("w1")
        self.worker = self.leader.scheduler.workers["w1"]
        self.leader.report("w1", [(TaskId("c" * 16, 0, 0, 0), 1, 50)])

    def test_worker_that_is_moved(self):
        """Guards against a move or maintenance that ends such a run."""
        self.assertFalse(self.worker.is_empty)

    def test_start_beside_a_run_of_unknown_size(self):
        """Guards against more tasks than fit on the worker (rule LIMIT)."""
        self.leader.submit("j2", job_spec(step(cpu=8000)), revision=30)
        self.assertEqual([], self.leader.place())
