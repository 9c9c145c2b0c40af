"""Empties workers that are to be maintained, within availability budgets."""

from typing import TYPE_CHECKING

from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.placement import Room
from rosemarynotch._internal.scheduling.workers import Worker

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["Evacuation", "may_interrupt"]

# Other tasks of a step count as at work from this percentage on.
AT_WORK_PERCENT = 100
# Workers with runs report at least once a second.
FRESH_S = 1.6


def may_interrupt(
    step: Step, workers: dict[str, Worker], now_s: float
) -> bool:
    """Tell whether one more task of a serving step may be away."""
    most = max(1, step.spec.max_unavailable)
    away = sum(_is_away(task.runs, workers, now_s) for task in step.tasks)
    return away < most


def _is_away(
    runs: list[Run], workers: dict[str, Worker], now_s: float
) -> bool:
    """Tell whether a task may not be at work.

    It is at work if a worker has recently reported a run that is.
    """
    for run in runs:
        worker = workers.get(run.worker_id)
        if (
            worker is not None
            and now_s - worker.clock_received_at_s < FRESH_S
            and run.phase is RunPhase.ACTIVE
            and run.percent >= AT_WORK_PERCENT
        ):
            return False
    return True


class Evacuation:
    """Stops serving tasks on workers that are to be empty.

    On cordoned workers one of a step at a time; a draining worker ends its
    tasks anyhow, so they leave it at once. Other tasks end by themselves.
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller

    def step(self, now_s: float) -> None:
        """Order the next stops."""
        controller = self._controller
        with controller.lock:
            workers = list(controller.scheduler.workers.values())
            leaving = [w for w in workers if w.entry.is_draining]
            cordoned = [
                w for w in workers if w.is_cordoned and not w.entry.is_draining
            ]
            # Tasks that leave anyhow use the budget first.
            for worker in leaving + cordoned:
                for run in worker.runs.values():
                    self._consider(run, worker.entry.is_draining, now_s)

    def _consider(self, run: Run, is_leaving: bool, now_s: float) -> None:
        spec = run.task.step.spec
        if not spec.long_running or run.phase is not RunPhase.ACTIVE:
            return
        workers = self._controller.scheduler.workers
        if is_leaving or (
            may_interrupt(run.task.step, workers, now_s)
            and self._has_room_elsewhere(run, now_s)
        ):
            run.phase = RunPhase.STOPPING
            self._controller.log(
                "serving task evacuated",
                job=run.task.task_id.job_id,
                task=str(run.task.task_id),
                worker=run.worker_id,
            )

    def _has_room_elsewhere(self, run: Run, now_s: float) -> bool:
        workers = self._controller.scheduler.workers
        pool = workers[run.worker_id].entry.pool
        return any(
            Room.of(worker).admits(run.task, None)
            for worker in workers.values()
            if worker.entry.pool == pool and worker.accepts_work(now_s)
        )
