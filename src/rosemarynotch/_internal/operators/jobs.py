"""Listing and cancellation of jobs by operators."""

from typing import Protocol

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.jobs import JobRow
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.jobs import JobStatus
from rosemarynotch._internal.models.jobs import SHARD_COUNT
from rosemarynotch._internal.models.jobs import table_key
from rosemarynotch._internal.reference.records import RecordStore

__all__ = ["Intake", "JobSummary", "OperatorJobs"]

MAX_JOBS = 200


class Intake(Protocol):
    """The methods of ``admission.jobs.JobIntake`` used for operators."""

    def status(self, team: str, job_id: str) -> JobStatus | Failure:
        """Return the state of a team's job."""

    def cancel(self, team: str, job_id: str) -> None | Failure:
        """Record a cancellation."""


@attrs.frozen(kw_only=True)
class JobSummary:
    """A row of the list of jobs."""

    job_id: str
    team: str
    queue: str
    state: JobState
    attempt: int
    worker: str
    reason: str


class OperatorJobs:
    """Lists jobs from the table and cancels them through the intake."""

    def __init__(self, records: RecordStore, intake: Intake) -> None:
        self._records = records
        self._intake = intake

    def list_jobs(self, team: str) -> list[JobSummary] | Failure:
        """Return jobs, unfinished ones first, and then by age, oldest first.

        Accepted jobs that control has not yet added to the table are missing.

        :param team: list only jobs of this team; all jobs if empty
        :returns: at most :data:`MAX_JOBS` jobs, or STORE_UNAVAILABLE
        """
        rows: list[tuple[str, JobRow]] = []
        for number in range(SHARD_COUNT):
            read = self._records.read(table_key(number), JobShard, True)
            if isinstance(read, Failure):
                if read.is_a(STORE_KEY_MISSING):
                    continue
                return read
            rows += read.value.jobs.items()
        wanted = [row for row in rows if not team or row[1].team == team]
        wanted.sort(
            key=lambda row: (row[1].state.is_final, row[1].accepted_at_s)
        )
        return [_summary(job_id, row) for job_id, row in wanted[:MAX_JOBS]]

    def cancel(self, team: str, job_id: str) -> None | Failure:
        """Cancel a job.

        :returns: None, JOB_UNKNOWN or STORE_UNAVAILABLE
        """
        status = self._intake.status(team, job_id)
        if isinstance(status, Failure):
            return status
        return self._intake.cancel(team, job_id)


def _summary(job_id: str, row: JobRow) -> JobSummary:
    return JobSummary(
        job_id=job_id,
        team=row.team,
        queue=row.queue,
        state=row.state,
        attempt=row.attempt,
        worker=row.worker,
        reason=row.reason,
    )
