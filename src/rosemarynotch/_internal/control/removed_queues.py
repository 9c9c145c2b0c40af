"""Ends jobs whose queue or team was removed (rule R9)."""

from rosemarynotch._internal.control.job_rows import end_removed
from rosemarynotch._internal.control.job_rows import with_rows
from rosemarynotch._internal.control.job_table import JobTable
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.jobs import JobRow
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["RemovedQueues"]

# An entry may accept a job under a newer document than this process has; a
# document is in force everywhere within 18 s. The remaining time lets an
# operator revert a mistake.
REMOVED_GRACE_S = 30.0


class RemovedQueues:
    """Ends queued jobs that can no longer run under the document."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._removed_since_s: dict[str, float] = {}

    def step(self, table: JobTable, document: Document) -> None:
        """End jobs whose queue or team has been removed for the grace time."""
        reasons = _reasons(table, document)
        now_s = self._clock.monotonic_s()
        self._removed_since_s = {
            job_id: self._removed_since_s.get(job_id, now_s)
            for job_id in reasons
        }
        shards: dict[int, dict[str, str]] = {}
        for job_id, reason in reasons.items():
            if now_s - self._removed_since_s[job_id] >= REMOVED_GRACE_S:
                shards.setdefault(shard_of(job_id), {})[job_id] = reason
        wall_s = self._clock.wall_s()
        for number, ending in shards.items():
            table.update(
                number,
                lambda shard, e=ending: _with_ended_jobs(shard, e, wall_s),
            )


def _reasons(table: JobTable, document: Document) -> dict[str, str]:
    """Return the reasons why queued jobs cannot run, by job id."""
    teams = {team.name for team in document.teams}
    workers = {
        pool.name for pool in document.pools if pool.kind is PoolKind.WORKERS
    }
    queues = {q.name for q in document.queues if q.pool in workers}
    reasons = {}
    for job_id, row in table.open_rows():
        if row.state is not JobState.QUEUED:
            continue
        if row.team not in teams:
            reasons[job_id] = f"team {row.team} was removed"
        elif row.queue not in queues:
            reasons[job_id] = f"queue {row.queue} no longer takes jobs"
    return reasons


def _with_ended_jobs(
    shard: JobShard, reasons: dict[str, str], now_s
) -> JobShard:
    rows: dict[str, JobRow] = {}
    for job_id, reason in reasons.items():
        row = shard.jobs.get(job_id)
        if row is not None and row.state is JobState.QUEUED:
            rows[job_id] = end_removed(row, reason, now_s)
    return with_rows(shard, rows)
