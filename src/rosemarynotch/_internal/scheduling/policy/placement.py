"""Placement of the tasks of a step on the workers of a pool."""

import abc
from collections.abc import Sequence

import attrs

from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.jobs import Task
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = [
    "BestFit",
    "FirstFit",
    "FreeCapacity",
    "Placement",
    "PoolCapacity",
    "StepPlacer",
]


@attrs.define(eq=False)
class FreeCapacity:
    """Free capacity of a worker during one planning pass.

    :ivar free: resources that are not reserved
    :ivar is_cold: whether tasks may be slower there at first
    :ivar serving_tasks: tasks on the worker that have a latency target
    :ivar best_effort_tasks: tasks on the worker that use idle processors
    :ivar tasks_by_step: number of tasks on the worker, by identity of the
        step
    """

    worker: Worker
    free: Resources
    is_cold: bool = False
    serving_tasks: int = 0
    best_effort_tasks: int = 0
    tasks_by_step: dict[int, int] = attrs.field(factory=dict)

    @classmethod
    def of(cls, worker: Worker, now_s: float) -> "FreeCapacity":
        """Return the free capacity of a worker, counting its runs."""
        capacity = cls(worker, worker.free, now_s < worker.cold_until_s)
        for run in worker.runs.values():
            capacity.count(run.task.step)
        return capacity

    def count(self, step: Step) -> None:
        """Count a task of a step as placed on the worker."""
        self.tasks_by_step[id(step)] = self.tasks_by_step.get(id(step), 0) + 1
        self.serving_tasks += step.spec.latency_target_ms > 0
        self.best_effort_tasks += step.spec.uses_idle_cpu

    def reserve(self, step: Step) -> None:
        """Reserve resources for a task of a step."""
        self.free = self.free.minus(step.spec.reserved)
        self.count(step)

    def room_for(self, step: Step, limit: int) -> int:
        """Return how many tasks of a step the worker has room for.

        :param limit: the most that are counted
        """
        spec = step.spec
        if spec.required_label not in ("", *self.worker.entry.labels):
            return 0
        if spec.max_per_worker:
            running = self.tasks_by_step.get(id(step), 0)
            limit = max(0, min(limit, spec.max_per_worker - running))
        return _count_fits(self.free, spec.reserved, limit)

    def admits(self, task: Task, tickets: dict[str, str] | None) -> bool:
        """Tell whether a task may start on the worker.

        :param tickets: tickets of the advice service by worker, None if the
            queue does not use the service
        """
        spec = task.step.spec
        entry = self.worker.entry
        if not self.free.covers(spec.reserved):
            return False
        if spec.required_label and spec.required_label not in entry.labels:
            return False
        if tickets is not None and self.worker.worker_id not in tickets:
            return False
        limit = spec.max_per_worker
        return not limit or self.tasks_by_step.get(id(task.step), 0) < limit


class PoolCapacity:
    """Free capacities of a pool in one pass, and sizes that did not fit.

    Free capacity only shrinks within a pass, so a task that is at least as
    large as one that did not fit is not tried. Without this, hundreds of jobs
    that wait for a full pool used the leader's whole processor, since each of
    their tasks was tried on each worker.
    """

    def __init__(self, capacities: Sequence[FreeCapacity]) -> None:
        self.capacities = capacities
        self._unplaceable_sizes: list[Resources] = []

    def room_for(self, size: Resources, limit: int) -> int:
        """Return how many tasks of a size fit on the workers, or the limit.

        Some of them may not be admitted for other reasons than their size.
        """
        room = 0
        for capacity in self.capacities:
            room += _count_fits(capacity.free, size, limit)
            if room >= limit:
                return limit
        return room

    def may_fit(self, size: Resources) -> bool:
        """Tell whether a size may fit on a worker.

        :returns: False if this size or a smaller one is known not to fit
        """
        return not any(size.covers(each) for each in self._unplaceable_sizes)

    def record_too_large(self, size: Resources) -> None:
        """Record that a size fits on no worker."""
        self._unplaceable_sizes = [
            each for each in self._unplaceable_sizes if not each.covers(size)
        ]
        self._unplaceable_sizes.append(size)


def _count_fits(free: Resources, size: Resources, limit: int) -> int:
    """Return how many requests of a size fit, or the limit."""
    if not free.covers(size):
        return 0
    counts = [limit]
    if size.cpu_millicores:
        counts.append(free.cpu_millicores // size.cpu_millicores)
    if size.memory_mb:
        counts.append(free.memory_mb // size.memory_mb)
    if size.gpu_count:
        counts.append(free.gpu_count // size.gpu_count)
    return min(counts)


@attrs.frozen
class Placement:
    """A task and the worker on which it is placed."""

    task: Task
    capacity: FreeCapacity


class StepPlacer(abc.ABC):
    """Chooses workers for the waiting tasks of a step."""

    @abc.abstractmethod
    def rank(self, task: Task, capacity: FreeCapacity) -> tuple:
        """Return a sort key; the worker with the lowest is chosen."""

    def place(
        self,
        tasks: Sequence[Task],
        capacities: Sequence[FreeCapacity],
        tickets: dict[str, str] | None = None,
    ) -> list[Placement]:
        """Place as many tasks as fit; of a gang, either all or none.

        :param tickets: tickets of the advice service by worker, None if the
            queue does not use the service
        """
        if not tasks:
            return []
        spec = tasks[0].step.spec
        if spec.is_gang or spec.same_rack:
            placed = self._place_in_racks(tasks, capacities, tickets)
        else:
            placed = self._place_each(tasks, capacities, tickets)
        return placed

    def _place_in_racks(self, tasks, capacities, tickets) -> list[Placement]:
        """Place a gang, or tasks that run best on a single rack.

        With `same_rack`, a single rack is preferred to several.
        """
        spec = tasks[0].step.spec
        groups = [capacities]
        if spec.same_rack:
            racks: dict[str, list[FreeCapacity]] = {}
            for capacity in capacities:
                racks.setdefault(capacity.worker.entry.rack, []).append(
                    capacity
                )
            groups = [*racks.values(), capacities]
        largest: list[Placement] = []
        for group in groups:
            placed = self._place_each(tasks, group, tickets)
            if len(placed) == len(tasks):
                return placed
            self._release(placed)
            largest = max(largest, placed, key=len)
        if spec.is_gang:
            return []
        return self._place_each(tasks, capacities, tickets)

    @staticmethod
    def _release(placed: list[Placement]) -> None:
        for placement in placed:
            capacity, step = placement.capacity, placement.task.step
            capacity.free = capacity.free.plus(step.spec.reserved)
            capacity.tasks_by_step[id(step)] -= 1
            capacity.serving_tasks -= step.spec.latency_target_ms > 0
            capacity.best_effort_tasks -= step.spec.uses_idle_cpu

    def _place_each(self, tasks, capacities, tickets) -> list[Placement]:
        placed = []
        for task in tasks:
            capacity = min(
                (
                    capacity
                    for capacity in capacities
                    if capacity.admits(task, tickets)
                ),
                key=lambda capacity: self.rank(task, capacity),
                default=None,
            )
            if capacity is None:
                # The remaining tasks of the step have the same size.
                break
            capacity.reserve(task.step)
            placed.append(Placement(task, capacity))
        return placed


class FirstFit(StepPlacer):
    """Chooses the first worker with enough capacity (baseline)."""

    def rank(self, task, capacity):
        """Rank by the worker's identifier only."""
        return (capacity.worker.worker_id,)


class BestFit(StepPlacer):
    """Prefers data locality, low interference, then the tightest fit.

    Best-effort tasks (which use idle processors) and serving tasks slow each
    other down, so they share a worker only if no other worker has capacity. A
    task that failed on a worker goes to another one if possible, and workers
    that leave orders unanswered come after those that answer. Workers of a
    data centre that was evacuated until shortly before are cold and come after
    others that are equal in all this. Tight packing leaves whole workers
    empty, which can move to another pool or be maintained.
    """

    def rank(self, task, capacity):
        """Rank by failures, answers, locality, interference and fit."""
        spec = task.step.spec
        worker = capacity.worker
        is_remote = (
            bool(spec.data_rack) and worker.entry.rack != spec.data_rack
        )
        interference = (
            capacity.best_effort_tasks
            if spec.latency_target_ms
            else capacity.serving_tasks if spec.uses_idle_cpu else 0
        )
        return (
            worker.worker_id in task.failed_workers,
            worker.unanswered_orders > 1,
            is_remote,
            interference,
            capacity.is_cold,
            capacity.free.cpu_millicores,
            worker.worker_id,
        )
