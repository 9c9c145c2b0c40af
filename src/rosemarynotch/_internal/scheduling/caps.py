"""Keeps the running tasks of organisations below their caps; no I/O."""

from collections.abc import Iterable

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Task
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.worker_registry import WorkerRegistry

__all__ = ["CapGuard"]


class CapGuard:
    """Decides which tasks fit under the cap of their organisation.

    Runs of earlier leaders that were not reported yet use the cap as well, so
    the most that they can use is reserved for the organisations of their jobs.

    :param registry: workers, configuration and the usage of known runs
    """

    def __init__(self, registry: WorkerRegistry) -> None:
        self._registry = registry
        self._unknown: dict[str, Resources] = {}

    def reserve_unknown(self, jobs: Iterable[Job], now_s: float) -> None:
        """Reserve what unknown runs of some jobs may use.

        It is at most the size of all tasks that may run, and what the workers
        that were not heard have room for, if that is known.

        :param jobs: jobs that may have unknown runs
        """
        capped = [job for job in jobs if self._has_cap(job)]
        self._unknown = {}
        room = self._registry.unheard_capacity(now_s) if capped else None
        in_room: dict[str, Resources] = {}
        for job in capped:
            name = job.submission.organisation
            for spec, count in job.waiting_counts():
                # The processors of filling tasks take no room of a worker.
                filling = spec.size.minus(spec.reserved)
                _add(in_room, name, spec.reserved.times(count))
                _add(self._unknown, name, filling.times(count))
        for name, size in in_room.items():
            if room is not None:
                size = size.at_most(room)
            _add(self._unknown, name, size)

    def select(self, job: Job, tasks: list[Task]) -> list[Task]:
        """Return the first tasks of a job that fit under the cap."""
        name = job.submission.organisation
        organisation = self._registry.configuration.organisations.get(name)
        if organisation is None:
            return tasks
        used = self._registry.usage.get(name, Resources())
        used = used.plus(self._unknown.get(name, Resources()))
        allowed = []
        for task in tasks:
            used = used.plus(task.step.spec.size)
            if _exceeds(used, organisation.cap):
                break
            allowed.append(task)
        return allowed

    def _has_cap(self, job: Job) -> bool:
        name = job.submission.organisation
        organisation = self._registry.configuration.organisations.get(name)
        return organisation is not None and organisation.cap != Resources()


def _add(totals: dict[str, Resources], name: str, size: Resources) -> None:
    totals[name] = totals.get(name, Resources()).plus(size)


def _exceeds(used: Resources, cap: Resources) -> bool:
    """Tell whether a usage is above a cap; 0 in a cap means unlimited."""
    return (
        0 < cap.cpu_millicores < used.cpu_millicores
        or 0 < cap.memory_mb < used.memory_mb
        or 0 < cap.gpu_count < used.gpu_count
    )
