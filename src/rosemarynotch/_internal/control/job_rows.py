"""Pure functions that change rows and shards of the job table."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from rosemarynotch._internal.models.jobs import BatchedSubmission
from rosemarynotch._internal.models.jobs import JobBatch
from rosemarynotch._internal.models.jobs import JobRow
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.jobs import MergedMark
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.reference.interface import Task
from rosemarynotch._internal.reference.interface import TaskState

__all__ = [
    "cancel_row",
    "cancel_unstarted",
    "end_removed",
    "apply_task",
    "apply_tasks",
    "merge_batches",
    "prune",
    "requeue_refused",
    "task_id_of",
    "with_rows",
]

# After failures on this many workers the job itself is considered faulty.
MAX_FAILED_WORKERS = 3
# A submission repeated within this time is recognised as the same job.
FINISHED_RETENTION_S = 3_600.0
FINISHED_PER_SHARD = 1_000
# A larger result is not stored, only the state, as for answers to requests.
RESULT_BYTES = 16_384
# The oldest results are dropped first. Their rows stay, so that a repeated
# submission is still recognised.
RESULTS_BYTES_PER_SHARD = 200_000

# (holder, sequence, batch), in ascending sequence for each holder.
NumberedBatch = tuple[str, int, JobBatch]


def task_id_of(job_id: str, row: JobRow) -> str:
    """Return the task id of the current attempt."""
    return f"{job_id}.{row.attempt}"


def with_rows(shard: JobShard, changed: dict[str, JobRow]) -> JobShard:
    """Return the shard with these rows replaced, itself if there are none."""
    if not changed:
        return shard
    return attrs.evolve(shard, jobs={**shard.jobs, **changed})


def merge_batches(
    shard: JobShard,
    number: int,
    batches: Iterable[NumberedBatch],
    now_s: float,
) -> JobShard:
    """Add the jobs and cancellations of batches that are not merged yet.

    All submissions are applied before the cancellations, because a
    cancellation may have been accepted by a different entry than its job.
    """
    jobs = dict(shard.jobs)
    merged = dict(shard.merged)
    cancellations = []
    for holder, sequence, batch in batches:
        mark = shard.merged.get(holder)
        if mark is not None and mark.sequence >= sequence:
            continue
        own_submissions = [
            s for s in batch.submissions if shard_of(s.job_id) == number
        ]
        for item in own_submissions:
            jobs.setdefault(item.job_id, _new_row(item))
        own_cancellations = [
            c for c in batch.cancellations if shard_of(c.job_id) == number
        ]
        cancellations += own_cancellations
        if own_submissions or own_cancellations:
            merged[holder] = MergedMark(sequence=sequence, merged_at_s=now_s)
    for item in cancellations:
        row = jobs.get(item.job_id)
        if row is not None and row.team == item.team:
            jobs[item.job_id] = cancel_row(row, now_s)
    if merged == shard.merged:
        return shard
    return JobShard(jobs=jobs, merged=merged)


def _new_row(item: BatchedSubmission) -> JobRow:
    submission = item.submission
    return JobRow(
        team=item.team,
        queue=submission.queue,
        cores=submission.cores,
        memory_mb=submission.memory_mb,
        accelerators=submission.accelerators,
        payload=submission.payload,
        idempotent=submission.idempotent,
        accepted_at_s=item.accepted_at_s,
    )


def cancel_row(row: JobRow, now_s: float) -> JobRow:
    """Cancel a queued job, or mark an active one for stopping."""
    if row.state.is_final or row.cancelled:
        return row
    if row.state is JobState.QUEUED:
        return _final(row, JobState.CANCELLED, now_s, "cancelled")
    return attrs.evolve(row, cancelled=True)


def cancel_unstarted(row: JobRow, now_s: float) -> JobRow:
    """End a cancelled job whose task the platform never started."""
    return _final(row, JobState.CANCELLED, now_s, "cancelled")


def end_removed(row: JobRow, reason: str, now_s: float) -> JobRow:
    """End a queued job that can no longer run under the document.

    The state is REFUSED only if the job never ran: a job with a permit may
    still be started by a delayed call, and one with an earlier attempt has
    run; these are CANCELLED.
    """
    unstarted = row.attempt == 1 and not row.permit_holder
    state = JobState.REFUSED if unstarted else JobState.CANCELLED
    return _final(row, state, now_s, reason)


def apply_task(row: JobRow, task: Task, now_s: float) -> JobRow:
    """Update a row from the platform's task of its current attempt.

    A queued row may have a task too: a paused controller may have started it
    after the start call of another controller was refused.
    """
    if row.state.is_final:
        return row
    note = ""
    if len(task.result.encode()) > RESULT_BYTES:
        task = attrs.evolve(task, result="")
        note = f"the result took over {RESULT_BYTES} bytes and was not kept"
    if task.state is TaskState.RUNNING:
        if row.state is JobState.RUNNING and row.worker == task.worker:
            return row
        return attrs.evolve(row, state=JobState.RUNNING, worker=task.worker)
    if task.state is TaskState.DONE:
        done = attrs.evolve(row, worker=task.worker, result=task.result)
        return _final(done, JobState.DONE, now_s, note)
    if row.cancelled:
        return _final(row, JobState.CANCELLED, now_s, "cancelled")
    if task.state is TaskState.FAILED:
        return _after_failure(row, task, now_s)
    # Stopped by the platform or for a drain, or lost together with its worker.
    if row.idempotent:
        return _next_attempt(row, task.checkpoint or row.checkpoint)
    return _final(
        row, JobState.UNKNOWN, now_s, f"task {task.state} on {task.worker}"
    )


def _after_failure(row: JobRow, task: Task, now_s: float) -> JobRow:
    workers = row.failed_workers
    if task.worker not in workers:
        workers = (*workers, task.worker)
    row = attrs.evolve(row, failed_workers=workers, result=task.result)
    if not row.idempotent:
        return _final(row, JobState.FAILED, now_s, f"failed on {task.worker}")
    if len(workers) >= MAX_FAILED_WORKERS:
        return _final(
            row, JobState.FAILED, now_s, f"failed on {len(workers)} workers"
        )
    return _next_attempt(row, row.checkpoint)


def requeue_refused(row: JobRow) -> JobRow:
    """Return a job to the queue after the platform refused its task.

    The attempt number stays: the platform starts a task id at most once, so
    a delayed start call of a paused controller and the start on another
    worker cannot both take effect.
    """
    return attrs.evolve(row, state=JobState.QUEUED, worker="")


def _next_attempt(row: JobRow, checkpoint: str) -> JobRow:
    return attrs.evolve(
        row,
        state=JobState.QUEUED,
        worker="",
        permit_holder="",
        attempt=row.attempt + 1,
        checkpoint=checkpoint,
    )


def _final(row: JobRow, state: JobState, now_s: float, reason: str) -> JobRow:
    # The payload is no longer needed and would fill up the shard.
    return attrs.evolve(
        row,
        state=state,
        reason=reason,
        finished_at_s=now_s,
        payload="",
        permit_holder="",
    )


def prune(shard: JobShard, now_s: float) -> JobShard:
    """Drop old ended jobs, old results, and marks of former batch holders.

    A non-idempotent job is kept for the whole retention time, since it would
    run again if it were resubmitted. Shards that become full of such jobs
    refuse new ones.
    """
    oldest_s = now_s - FINISHED_RETENTION_S
    final = sorted(
        (row.finished_at_s, job_id)
        for job_id, row in shard.jobs.items()
        if row.state.is_final
    )
    surplus = max(0, len(final) - FINISHED_PER_SHARD)
    repeatable = [i for _, i in final if shard.jobs[i].idempotent]
    dropped = {i for finished_s, i in final if finished_s < oldest_s}
    dropped.update(repeatable[:surplus])
    merged = {
        holder: mark
        for holder, mark in shard.merged.items()
        if mark.merged_at_s >= oldest_s
    }
    kept = [job_id for _, job_id in reversed(final) if job_id not in dropped]
    cleared = _without_results(shard, kept)
    if not dropped and not cleared and len(merged) == len(shard.merged):
        return shard
    jobs = {
        job_id: cleared.get(job_id, row)
        for job_id, row in shard.jobs.items()
        if job_id not in dropped
    }
    return JobShard(jobs=jobs, merged=merged)


def _without_results(shard: JobShard, job_ids) -> dict[str, JobRow]:
    """Return the rows whose results are dropped to limit the shard's size.

    :param job_ids: ids of ended jobs, most recent first
    """
    cleared = {}
    total_bytes = 0
    for job_id in job_ids:
        row = shard.jobs[job_id]
        total_bytes += len(row.result.encode())
        if row.result and total_bytes > RESULTS_BYTES_PER_SHARD:
            reason = "the result was dropped to make room"
            cleared[job_id] = attrs.evolve(row, result="", reason=reason)
    return cleared


def apply_tasks(
    shard: JobShard, tasks: Mapping[str, Task], now_s: float
) -> JobShard:
    """Update all open rows of a shard from the platform's tasks."""
    changed = {}
    for job_id, row in shard.jobs.items():
        if row.state.is_final:
            continue
        task = tasks.get(task_id_of(job_id, row))
        updated = row if task is None else apply_task(row, task, now_s)
        if updated is not row:
            changed[job_id] = updated
    return with_rows(shard, changed)
