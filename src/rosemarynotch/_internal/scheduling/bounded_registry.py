"""Keeps the jobs in memory within a bound; performs no I/O."""

from collections.abc import Callable

from rosemarynotch._internal.scheduling.job_memory import LOADED_SHARE
from rosemarynotch._internal.scheduling.job_memory import OPENED_SHARE
from rosemarynotch._internal.scheduling.job_registry import JobRegistry
from rosemarynotch._internal.scheduling.job_sizes import occurrence_bytes
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.unloaded_jobs import is_idle
from rosemarynotch._internal.scheduling.unloaded_jobs import next_start_ms
from rosemarynotch._internal.scheduling.unloaded_jobs import UNLOAD_AHEAD_MS
from rosemarynotch._internal.scheduling.unloaded_jobs import UnloadedJob

__all__ = ["BoundedRegistry"]


class BoundedRegistry(JobRegistry):
    """Decides what is opened, started and read within the memory for jobs."""

    def measure_memory(self) -> None:
        """Count the memory of all jobs anew."""
        self.memory.measure(self.jobs.values(), self.ended.values())

    def has_room_to_open(self, job: Job) -> bool:
        """Return whether there is memory for more occurrences of a job."""
        submission = job.submission
        size = occurrence_bytes(submission.spec)
        return self.memory.has_room(
            submission.organisation, size, OPENED_SHARE
        )

    def startable_count(self, step: Step) -> int:
        """Return how many tasks of a step there is memory to start.

        The first one always has room, so that each job can go on.
        """
        organisation = step.occurrence.job.submission.organisation
        count = self.memory.startable_tasks(organisation)
        return count if step.running_count else max(1, count)

    def choose_loads(
        self, wall_ms: float, can_complete: Callable[[Job], bool]
    ) -> tuple[list[str], list[Job]]:
        """Return which jobs are to be read, and those that gave way to them.

        Jobs that are due and can complete give way to none.

        :param can_complete: tells whether the fleet can run a job
        """
        if not len(self.unloaded):
            return [], []
        idle = [
            (next_start_ms(job, wall_ms, can_complete), job)
            for job in self.active.values()
            if is_idle(job)
        ]
        idle = [row for row in idle if row[0] > wall_ms + UNLOAD_AHEAD_MS]
        idle.sort(key=lambda row: row[0])
        given_way: list[Job] = []

        def make_room(wanted: UnloadedJob) -> bool:
            name, size = wanted.organisation, wanted.size_bytes
            while not self.memory.has_room(name, size, LOADED_SHARE):
                is_own = self.memory.is_share_used(name, size, LOADED_SHARE)
                victim = next(
                    (
                        row
                        for row in reversed(idle)
                        if not is_own or row[1].submission.organisation == name
                    ),
                    None,
                )
                if victim is None:
                    return False
                idle.remove(victim)
                given_way.append(victim[1])
                self._unload(*victim)
            self.memory.add(name, size)
            return True

        return self.unloaded.choose(wall_ms, make_room), given_way

    def _unload(self, start_ms: float, job: Job) -> None:
        """Leave a job in the store and drop it from memory."""
        self.unloaded.add(UnloadedJob.of(job, start_ms))
        del self.jobs[job.job_id], self.active[job.job_id]
        self.memory.add(job.submission.organisation, -job.memory_bytes)
