"""Stops serving tasks on workers that have to be empty.

Tasks that may be interrupted are limited by the availability budget
(`max_unavailable`) of their step.
"""

from typing import TYPE_CHECKING

from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.policy import FreeCapacity
from rosemarynotch._internal.scheduling.workers import Worker

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["Evacuation", "may_interrupt"]

# A serving task counts as available from this percentage on.
SERVING_PERCENT = 100
# Older reports do not show that a task is available. Workers with runs report
# at least once a second.
MAX_REPORT_AGE_S = 1.6


def may_interrupt(
    step: Step, workers: dict[str, Worker], now_s: float
) -> bool:
    """Tell whether the budget of a step allows one more unavailable task."""
    max_unavailable = max(1, step.spec.max_unavailable)
    unavailable = sum(
        _is_unavailable(task.runs, workers, now_s) for task in step.tasks
    )
    return unavailable < max_unavailable


def _is_unavailable(
    runs: list[Run], workers: dict[str, Worker], now_s: float
) -> bool:
    """Tell whether a task has no run that is known to be serving.

    A run is known to be serving if its worker has recently reported it as
    such.
    """
    for run in runs:
        worker = workers.get(run.worker_id)
        if (
            worker is not None
            and now_s - run.listed_at_s < MAX_REPORT_AGE_S
            and run.phase is RunPhase.ACTIVE
            and run.percent >= SERVING_PERCENT
        ):
            return False
    return True


class Evacuation:
    """Stops serving tasks on cordoned and draining workers.

    On cordoned workers, tasks are stopped within the budget of their step,
    and only if another worker of the pool has capacity for them. A draining
    worker ends its tasks in any case, so they are stopped at once. Tasks that
    are not long-running are left to end by themselves.
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller

    def step(self, now_s: float) -> None:
        """Mark the runs that are to stop next as stopping."""
        controller = self._controller
        with controller.lock:
            workers = list(controller.scheduler.workers.values())
            draining = [w for w in workers if w.entry.is_draining]
            cordoned = [
                w for w in workers if w.is_cordoned and not w.entry.is_draining
            ]
            # Tasks on draining workers stop in any case, so they are counted
            # against the budget first.
            for worker in draining + cordoned:
                for run in worker.runs.values():
                    self._evacuate_if_allowed(
                        run, worker.entry.is_draining, now_s
                    )

    def _evacuate_if_allowed(
        self, run: Run, is_draining: bool, now_s: float
    ) -> None:
        spec = run.task.step.spec
        if not spec.long_running or run.phase is not RunPhase.ACTIVE:
            return
        workers = self._controller.scheduler.workers
        if is_draining or (
            may_interrupt(run.task.step, workers, now_s)
            and self._fits_elsewhere(run, now_s)
        ):
            run.phase = RunPhase.STOPPING
            self._controller.log(
                "serving task evacuated",
                job=run.task.task_id.job_id,
                task=str(run.task.task_id),
                worker=run.worker_id,
            )

    def _fits_elsewhere(self, run: Run, now_s: float) -> bool:
        workers = self._controller.scheduler.workers
        pool = workers[run.worker_id].entry.pool
        return any(
            FreeCapacity.of(worker).admits(run.task, None)
            for worker in workers.values()
            if worker.entry.pool == pool and worker.accepts_work(now_s)
        )
