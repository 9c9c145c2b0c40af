"""Moves serving tasks away from workers that have to be empty.

Tasks that may be interrupted are limited by the availability budget
(`max_unavailable`) of their step.
"""

from collections.abc import Collection
from typing import TYPE_CHECKING

from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.jobs import Task
from rosemarynotch._internal.scheduling.policy import FreeCapacity
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.scheduling.worker_registry import MIN_EVACUATION_S
from rosemarynotch._internal.scheduling.workers import Worker

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["count_unavailable", "ServingTaskMover", "may_interrupt"]

# A serving task counts as available from this percentage on.
SERVING_PERCENT = 100
# Older reports do not show that a task is available. Workers with runs report
# at least once a second.
MAX_REPORT_AGE_S = 1.6
# Interval at which tasks are moved out of data centres.
MOVE_INTERVAL_S = 0.15


def may_interrupt(
    step: Step,
    workers: dict[str, Worker],
    now_s: float,
    interrupted: Task | None = None,
) -> bool:
    """Tell whether the budget of a step allows one more unavailable task.

    :param interrupted: task that would be interrupted; if it is unavailable
        already, that costs nothing
    """
    excluded = [] if interrupted is None else [interrupted]
    unavailable = count_unavailable(step, workers, now_s, excluded)
    return unavailable < max(1, step.spec.max_unavailable)


def count_unavailable(
    step: Step,
    workers: dict[str, Worker],
    now_s: float,
    excluded: Collection[Task] = (),
) -> int:
    """Return how many tasks of a step are not known to be serving.

    :param excluded: tasks that are not counted
    """
    available = sum(
        not _is_unavailable(task.runs, workers, now_s)
        for task in step.tasks.held
        if not any(task is each for each in excluded)
    )
    return step.spec.task_count - len(excluded) - available


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


class _SpareCapacity:
    """Capacity that is left for serving tasks that have to move.

    :param moving: tasks that were stopped and have not started again
    """

    def __init__(
        self, scheduler: Scheduler, moving: list[Task], now_s: float
    ) -> None:
        self._scheduler = scheduler
        self._capacities: dict[str, list[FreeCapacity]] = {}
        for worker in scheduler.workers.values():
            if worker.accepts_work(now_s):
                self._capacities.setdefault(worker.entry.pool, []).append(
                    FreeCapacity.of(worker, now_s)
                )
        for task in moving:
            self.take(task)

    def take(self, task: Task) -> bool:
        """Reserve capacity for a task; return whether there is any."""
        pool = self._scheduler.queue_of(task.step.occurrence.job).pool
        for capacity in self._capacities.get(pool, ()):
            if capacity.admits(task, None):
                capacity.reserve(task.step)
                return True
        return False


class ServingTaskMover:
    """Stops serving tasks on workers that have to be empty.

    On cordoned workers and in data centres that are being evacuated, tasks
    are stopped within the budget of their step, and only while another worker
    of their pool has capacity for them. What tasks that were stopped before
    will need is not counted twice. A draining worker ends its tasks in any
    case, so they are stopped at once. Tasks that are not long-running are left
    to end by themselves.
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._moving: list[Task] = []
        self._moved_at_s = 0.0
        # Why tasks on workers that have to be empty were not stopped.
        self.kept_why: dict[str, str] = {}

    def step(self, now_s: float) -> None:
        """Mark the runs on draining and cordoned workers that stop next."""
        controller = self._controller
        with controller.lock:
            workers = list(controller.scheduler.workers.values())
            draining = [w for w in workers if w.entry.is_draining]
            cordoned = [
                w for w in workers if w.is_cordoned and not w.entry.is_draining
            ]
            # Tasks on draining workers stop in any case, so they are counted
            # against the budget first.
            for worker in draining:
                for run in _serving_runs(worker):
                    self._stop(run, "draining")
            self.kept_why.clear()
            self._move(cordoned, "cordoned", now_s)

    def move_from_evacuated(self, now_s: float) -> None:
        """Mark the runs in evacuated data centres that stop next.

        The caller holds the lock. A request that is withdrawn within
        MIN_EVACUATION_S moves nothing.
        """
        scheduler = self._controller.scheduler
        if not scheduler.evacuated_at_s:
            return
        if now_s - self._moved_at_s < MOVE_INTERVAL_S:
            return
        self._moved_at_s = now_s
        due = {
            name
            for name, since_s in scheduler.evacuated_at_s.items()
            if now_s - since_s >= MIN_EVACUATION_S
        }
        workers = [
            worker
            for worker in scheduler.workers.values()
            if worker.entry.data_centre in due
            and not worker.entry.is_draining
            and not worker.is_cordoned
        ]
        self._move(workers, "data centre evacuated", now_s)

    def _move(self, workers: list[Worker], why: str, now_s: float) -> None:
        scheduler = self._controller.scheduler
        runs = [run for worker in workers for run in _serving_runs(worker)]
        if not runs:
            return
        self._moving = [
            task
            for task in self._moving
            if task.step.occurrence.job.job_id in scheduler.active
            and not task.is_done
            and all(run.phase is RunPhase.STOPPING for run in task.runs)
        ]
        spare = _SpareCapacity(scheduler, self._moving, now_s)
        for run in runs:
            task = run.task
            kept_why = "others of the step are unavailable"
            if may_interrupt(task.step, scheduler.workers, now_s, task):
                kept_why = "no other worker has room"
                if spare.take(task):
                    self._stop(run, why)
                    continue
            self.kept_why[run.worker_id] = f"{task.task_id}: {kept_why}"

    def stop_in_place(self, worker: Worker) -> None:
        """Mark all serving runs of a worker to stop, as none can move.

        The caller holds the lock, and has compared them with the budgets.
        """
        for run in _serving_runs(worker):
            self._stop(run, "fits nowhere else")

    def _stop(self, run: Run, why: str) -> None:
        run.phase = RunPhase.STOPPING
        self._moving.append(run.task)
        self._controller.log(
            "serving task evacuated",
            job=run.task.task_id.job_id,
            task=str(run.task.task_id),
            worker=run.worker_id,
            why=why,
        )


def _serving_runs(worker: Worker) -> list[Run]:
    """Return the runs of long-running tasks that may be stopped."""
    return [
        run
        for run in worker.runs.values()
        if run.task.step.spec.long_running and run.phase is RunPhase.ACTIVE
    ]
