"""What is kept of a job after its end."""

import attrs

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.records import Phase

__all__ = ["EndedJob"]


@attrs.define(kw_only=True, eq=False)
class EndedJob:
    """A job whose end is recorded in the store.

    :ivar created_revision: store revision at which it was accepted
    :ivar retained_since_s: when this leader first found that it has ended,
        None if it has not looked yet
    """

    job_id: str
    phase: Phase
    queue: str
    organisation: str
    created_revision: int
    retained_since_s: float | None = None

    @classmethod
    def of(cls, job: Job) -> "EndedJob":
        """Return what is kept of a job."""
        return cls(
            job_id=job.job_id,
            phase=job.phase,
            queue=job.submission.queue,
            organisation=job.submission.organisation,
            created_revision=job.created_revision,
            retained_since_s=job.retained_since_s,
        )
