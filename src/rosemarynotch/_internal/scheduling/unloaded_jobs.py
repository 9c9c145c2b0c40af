"""Accepted jobs that the leader leaves in the store; performs no I/O.

Intended for a leader whose memory does not hold all accepted jobs, as after
one on a larger machine, or of a version that had no bound.
"""

from collections.abc import Callable

import attrs

from rosemarynotch._internal.scheduling.ended_jobs import EndedJob
from rosemarynotch._internal.scheduling.job_sizes import spec_bytes
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.records import Phase

__all__ = [
    "is_idle",
    "next_start_ms",
    "UNLOAD_AHEAD_MS",
    "UnloadedJob",
    "UnloadedJobs",
]

# A scheduled job is read this long before it is due.
LOAD_AHEAD_MS = 10_000
# A job that starts later than this can give way to one that is due.
UNLOAD_AHEAD_MS = 60_000
# A job that no VM can run gives way for this time.
IMPOSSIBLE_PAUSE_MS = 600_000
# Jobs that are read in one turn.
MAX_CHOSEN = 100
# Later than the time of any job.
NEVER_MS = 2**62


@attrs.frozen(kw_only=True)
class UnloadedJob:
    """A job that is left in the store.

    :ivar created_revision: store revision at which it was accepted
    :ivar due_unix_ms: when it can start, 0 if at once
    :ivar is_queued: whether nothing of it has started
    :ivar highest_run: highest run number used for it so far
    :ivar size_bytes: memory that it takes when it is read
    """

    job_id: str
    queue: str
    organisation: str
    created_revision: int
    due_unix_ms: int
    is_queued: bool
    highest_run: int
    size_bytes: int

    @classmethod
    def of(cls, job: Job, due_unix_ms: float) -> "UnloadedJob":
        """Return what is kept of a job."""
        return cls(
            job_id=job.job_id,
            queue=job.submission.queue,
            organisation=job.submission.organisation,
            created_revision=job.created_revision,
            due_unix_ms=round(due_unix_ms),
            is_queued=job.phase is Phase.QUEUED,
            highest_run=job.highest_run,
            size_bytes=spec_bytes(job.submission.spec),
        )

    @classmethod
    def of_ended(cls, job: EndedJob) -> "UnloadedJob":
        """Return a job that has ended, which is read only if requested."""
        return cls(
            job_id=job.job_id,
            queue=job.queue,
            organisation=job.organisation,
            created_revision=job.created_revision,
            due_unix_ms=NEVER_MS,
            is_queued=False,
            highest_run=0,
            size_bytes=0,
        )


class UnloadedJobs:
    """The unloaded jobs, and which of them are read next."""

    def __init__(self) -> None:
        self._jobs: dict[str, UnloadedJob] = {}
        self._wanted: set[str] = set()

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def add(self, job: UnloadedJob) -> None:
        """Add a job."""
        self._jobs[job.job_id] = job

    def pop(self, job_id: str) -> UnloadedJob | None:
        """Remove and return a job, None if it is not unloaded."""
        self._wanted.discard(job_id)
        return self._jobs.pop(job_id, None)

    def want(self, job_id: str) -> None:
        """Request a job, which is read whether there is room or not."""
        if job_id in self._jobs:
            self._wanted.add(job_id)

    def queued_by_queue(self) -> dict[str, int]:
        """Return the number of jobs that have not started, by queue."""
        counts: dict[str, int] = {}
        for job in self._jobs.values():
            if job.is_queued:
                counts[job.queue] = counts.get(job.queue, 0) + 1
        return counts

    def choose(
        self, wall_ms: float, make_room: Callable[[UnloadedJob], bool]
    ) -> list[str]:
        """Return the jobs to read now, those that are due first.

        :param make_room: tries to provide the memory of a job; returns whether
            there is enough
        """
        chosen = list(self._wanted)
        due = [
            job
            for job in self._jobs.values()
            if job.due_unix_ms <= wall_ms + LOAD_AHEAD_MS
            and job.job_id not in self._wanted
        ]
        due.sort(key=lambda job: (job.due_unix_ms, job.created_revision))
        without_room: set[str] = set()
        for job in due:
            if len(chosen) >= MAX_CHOSEN:
                break
            if job.organisation in without_room:
                continue
            if make_room(job):
                chosen.append(job.job_id)
            else:
                without_room.add(job.organisation)
        return chosen


def is_idle(job: Job) -> bool:
    """Tell whether nothing is lost if a job leaves the memory."""
    return (
        not job.phase.is_final
        and not job.held_tasks
        and job.durable_change >= job.change
    )


def next_start_ms(
    job: Job, wall_ms: float, can_complete: Callable[[Job], bool]
) -> float:
    """Return when a job has to be in memory again.

    A job that the fleet cannot run is looked at again after some time, as VMs
    may be added.
    """
    if can_complete(job):
        return job.next_due_ms
    return max(job.next_due_ms, wall_ms + IMPOSSIBLE_PAUSE_MS)
