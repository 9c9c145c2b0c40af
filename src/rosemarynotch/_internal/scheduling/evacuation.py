"""Empties workers that are to be maintained, within availability budgets."""

from typing import TYPE_CHECKING

from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Step

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["Evacuation", "may_interrupt"]

# Other tasks of a step count as at work from this percentage on.
AT_WORK_PERCENT = 100


def may_interrupt(step: Step) -> bool:
    """Tell whether one more task of a serving step may be away.

    A task counts as away while it has no run, or one that is not yet at
    work or is being stopped.
    """
    most = max(1, step.spec.max_unavailable)
    return sum(_is_away(task.runs) for task in step.tasks) < most


def _is_away(runs: list[Run]) -> bool:
    return not any(
        run.phase is RunPhase.ACTIVE and run.percent >= AT_WORK_PERCENT
        for run in runs
    )


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
            for worker in controller.scheduler.workers.values():
                is_leaving = worker.entry.is_draining
                if not worker.is_cordoned and not is_leaving:
                    continue
                for run in worker.runs.values():
                    self._consider(run, is_leaving)

    def _consider(self, run: Run, is_leaving: bool) -> None:
        spec = run.task.step.spec
        if not spec.long_running or run.phase is not RunPhase.ACTIVE:
            return
        if is_leaving or may_interrupt(run.task.step) or _is_away([run]):
            run.phase = RunPhase.STOPPING
            self._controller.log(
                "serving task evacuated",
                task=str(run.task.task_id),
                worker=run.worker_id,
            )
