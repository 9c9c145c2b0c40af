"""The jobs that a leader knows, and what changes their state."""

from collections.abc import Callable

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord

__all__ = ["JobBook"]

# Runs of one task that a leader numbers before the numbers of the next.
RUNS_PER_TERM = 1000


class JobBook:
    """Jobs by identifier, those that have changed, and usage.

    :param term: counts the leaders; run numbers of later leaders are higher
    :param started_revision: jobs created later were never started before
    :param log: receives the name of an event and its fields
    """

    def __init__(
        self,
        term: int,
        started_revision: int,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self._term = term
        self._started_revision = started_revision
        self._log = log
        self._changes = 0
        self.jobs: dict[str, Job] = {}
        self.active: dict[str, Job] = {}
        self.cancelled_ids: set[str] = set()
        self.configuration = Configuration(version=0, revision=0)
        self.dirty: dict[str, Job] = {}
        self.usage: dict[str, Resources] = {}
        # Processors of runs that are not lasting, by organisation.
        self.batch_millicores: dict[str, int] = {}

    def add_job(
        self,
        job_id: str,
        submission: SubmissionRecord,
        created_revision: int,
        progress: ProgressRecord | None = None,
        progress_revision: int = 0,
    ) -> Job:
        """Take an accepted job into account; repeating it is harmless."""
        known = self.jobs.get(job_id)
        if known is not None:
            return known
        job = Job.from_submission(job_id, submission, created_revision)
        job.is_inherited = created_revision <= self._started_revision
        if progress is not None:
            job.restore(progress)
            job.progress_revision = progress_revision
        if job.is_inherited:
            floor = (self._term - 1) * RUNS_PER_TERM
            job.run_floor = max(floor, job.highest_run)
        self.jobs[job_id] = job
        if not job.phase.is_final:
            self.active[job_id] = job
        if job_id in self.cancelled_ids:
            self.cancel(job_id)
        return job

    def cancel(self, job_id: str) -> None:
        """End a job; its runs are stopped by the next pass."""
        self.cancelled_ids.add(job_id)
        job = self.jobs.get(job_id)
        if job is not None and not job.phase.is_final:
            self.finish(job, Phase.CANCELLED)

    def queue_of(self, job: Job) -> QueuePolicy:
        """Return the policy of a job's queue, also of a removed queue."""
        policy = job.submission.policy
        return self.configuration.queues_by_name.get(policy.name, policy)

    def touch(self, job: Job) -> int:
        """Note that a job has to be written; return the change's number."""
        self._changes += 1
        job.change = self._changes
        self.dirty[job.job_id] = job
        return self._changes

    def mark_written(self, job: Job, change: int, revision: int) -> None:
        """Note that a change is safe in the store."""
        job.durable_change = max(job.durable_change, change)
        job.progress_revision = revision
        if job.change <= change:
            self.dirty.pop(job.job_id, None)

    def expired_jobs(self, wall_ms: float, retention_ms: float) -> list[Job]:
        """Return jobs whose state has been shown long enough."""
        return [
            job
            for job in self.jobs.values()
            if job.finished_unix_ms
            and job.durable_change >= job.change
            and wall_ms - job.finished_unix_ms > retention_ms
        ]

    def forget(self, job: Job) -> None:
        """Drop a job that was removed from the store."""
        self.jobs.pop(job.job_id, None)
        self.cancelled_ids.discard(job.job_id)

    def note_begun(self, job: Job) -> None:
        """Show a job as running once a worker has confirmed a run of it.

        An order without an answer may never be carried out, and its job is
        still counted as waiting.
        """
        if job.phase is Phase.QUEUED:
            job.phase = Phase.RUNNING
            self.touch(job)

    def complete_if_done(self, job: Job) -> None:
        """End a job all of whose tasks are done."""
        if all(occurrence.is_done for occurrence in job.occurrences):
            self.finish(job, Phase.COMPLETED)

    def finish(self, job: Job, phase: Phase) -> None:
        """End a job."""
        job.phase = phase
        self.active.pop(job.job_id, None)
        self.touch(job)
        self._log("job ended", job=job.job_id, phase=phase.value)

    def count(self, run: Run, sign: int) -> None:
        """Add a run to what its organisation has running, or remove it."""
        submission = run.task.step.occurrence.job.submission
        name, size = submission.organisation, run.task.step.spec.size
        if not run.task.step.spec.long_running:
            known = self.batch_millicores.get(name, 0)
            self.batch_millicores[name] = known + sign * size.cpu_millicores
        used = self.usage.get(name, Resources())
        self.usage[name] = used.plus(size) if sign > 0 else used.minus(size)
