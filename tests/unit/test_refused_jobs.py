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


class WithheldEndsTest(testtools.TestCase):
    """Guards against inherited jobs that wait for ever (rule LOST).

    A worker lists 500 ends behind one of a refused job. As long as that was
    not acknowledged, every report of the worker was cut.
    """

    def test_list_that_is_full(self):
        leader = Leader(term=2, started_revision=STARTED_REVISION)
        leader.scheduler.refuse("c" * 16, 10)
        leader.submit("j1")
        entries = [leader.entry("w1")]
        for worker in leader.scheduler.set_workers(
            entries, leader.now_s, are_inherited=True
        ):
            worker.is_enrolled = True
        ends = [
            RunEnd(
                sequence=number,
                task=TaskId("c" * 16, 0, 0, number),
                run=1,
                kind=EndKind.DONE,
            )
            for number in range(1, 501)
        ]
        leader.report("w1", ends=ends, is_cut=True)
        self.assertEqual(500, worker.acked_sequence)
        leader.now_s += 0.1
        leader.report("w1")
        self.assertEqual(1, len(leader.place()))
