"""Tests of the evacuation of serving tasks within their budget."""

import threading
import types

import attrs
import testtools

from rosemarynotch._internal.scheduling.evacuation import ServingTaskMover
from rosemarynotch._internal.scheduling.jobs import RunPhase
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import step


class TestEvacuation(testtools.TestCase):
    """Guards against evacuations beyond the availability budget of a step.

    A scored run on verhaegen-refill-grown showed the failure (rule AVAIL,
    trouble-1).
    """

    def test_draining_workers_use_the_budget_first(self):
        """Guards against more unavailable tasks than the budget allows.

        This happens if cordoned workers are emptied before the tasks on
        draining workers have used their part of the budget.
        """
        leader = Leader()
        leader.add_workers("a-cordoned", "b-draining", "c", "d")
        serving = step(
            6,
            cpu=100,
            long_running=True,
            max_unavailable=2,
            max_per_worker=2,
        )
        leader.submit("j1", job_spec(serving))
        runs = leader.place()
        for worker in leader.scheduler.workers.values():
            leader.report_runs(worker.worker_id, percent=100)
        workers = leader.scheduler.workers
        workers["a-cordoned"].is_cordoned = True
        draining = workers["b-draining"]
        draining.entry = attrs.evolve(draining.entry, is_draining=True)
        controller = types.SimpleNamespace(
            lock=threading.RLock(),
            scheduler=leader.scheduler,
            log=lambda event, **fields: None,
        )
        ServingTaskMover(controller).step(leader.now_s)
        stopping = {
            run.worker_id for run in runs if run.phase is RunPhase.STOPPING
        }
        self.assertEqual({"b-draining"}, stopping)
