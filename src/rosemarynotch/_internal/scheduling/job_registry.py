"""Registry of the jobs known to the leader."""

from collections.abc import Callable

from rosemarynotch._internal.scheduling.ended_jobs import EndedJob
from rosemarynotch._internal.scheduling.job_memory import JobMemory
from rosemarynotch._internal.scheduling.job_memory import LOADED_SHARE
from rosemarynotch._internal.scheduling.job_times import measure_chain
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.unloaded_jobs import UnloadedJob
from rosemarynotch._internal.scheduling.unloaded_jobs import UnloadedJobs

__all__ = ["JobRegistry", "RUNS_PER_TERM"]

# Run numbers per task that are reserved for each term. Runs of a later term
# thereby get higher numbers than those of an earlier one. Further numbers are
# reserved in the progress record of a job, as many at a time.
RUNS_PER_TERM = 1000
# Until then workers may still report runs and ends of a job that has ended.
COMPACT_AFTER_S = 10.0


class JobRegistry:
    """Holds jobs, their unsaved changes and the usage by organisation.

    :param term: number of this leader's term; run numbers of later terms are
        higher
    :param started_revision: store revision at which the term started; jobs
        created after it cannot have been started by an earlier leader
    :param log: called with the name of an event and its fields
    :ivar jobs: all jobs by identifier
    :ivar active: jobs that have not ended, by identifier
    :ivar ended: all that is kept of jobs that ended some time ago
    :ivar unloaded: jobs that are left in the store
    :ivar memory: what the jobs take
    :ivar cancelled_ids: cancelled jobs, including those not read yet
    :ivar intake_revision: store revision up to which all accepted jobs have
        been passed to this registry
    :ivar refused_ids: jobs that an earlier leader may have started, but whose
        records this version cannot decode
    :ivar unstarted_ids: jobs of earlier terms that were certainly not started
    :ivar dirty: jobs with changes that are not persisted, by identifier
    :ivar usage: resources of ordered and running tasks, by organisation
    :ivar batch_millicores: processors of those tasks that are not
        long-running, by organisation
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
        self.ended: dict[str, EndedJob] = {}
        self.unloaded = UnloadedJobs()
        self.memory = JobMemory()
        self.cancelled_ids: set[str] = set()
        self.intake_revision = 0
        self.refused_ids: set[str] = set()
        self.unstarted_ids: frozenset[str] = frozenset()
        self.configuration = Configuration(version=0, revision=0)
        self.dirty: dict[str, Job] = {}
        self.usage: dict[str, Resources] = {}
        self.batch_millicores: dict[str, int] = {}

    def add_job(
        self,
        job_id: str,
        submission: SubmissionRecord,
        created_revision: int,
        progress: ProgressRecord | None = None,
        progress_revision: int = 0,
        is_needed: bool = False,
    ) -> Job | None:
        """Add an accepted job, or return it if it is already known.

        If there is no memory for it, it is left in the store and read later.

        :param is_needed: add the job whether there is memory for it or not
        :returns: None if the progress is not that of the submitted job
        """
        known = self.jobs.get(job_id)
        if known is not None:
            return known
        job = Job.from_submission(job_id, submission, created_revision)
        if progress is not None and not job.can_restore(progress):
            return None
        is_from_earlier_term = created_revision <= self._started_revision
        job.is_inherited = (
            is_from_earlier_term and job_id not in self.unstarted_ids
        )
        if progress is not None:
            job.restore(progress)
            job.progress_revision = progress_revision
        job.run_limit = max(self._term * RUNS_PER_TERM, job.highest_run)
        if is_from_earlier_term:
            floor = (self._term - 1) * RUNS_PER_TERM
            job.run_floor = max(floor, job.highest_run)
        is_ending = (
            job.phase.is_final
            or job_id in self.cancelled_ids
            or submission.is_withdrawn
        )
        if job.phase.is_final and not is_needed:
            self.ended[job_id] = EndedJob.of(job)
            return job
        organisation, size = submission.organisation, job.memory_bytes
        if not (is_needed or is_ending) and not self.memory.has_room(
            organisation, size, LOADED_SHARE
        ):
            self.unloaded.add(UnloadedJob.of(job, job.next_due_ms))
            return job
        self.ended.pop(job_id, None)
        unloaded = self.unloaded.pop(job_id)
        if unloaded is not None:
            # Not all of its runs need be in its progress record.
            job.highest_run = max(job.highest_run, unloaded.highest_run)
            job.run_floor = max(job.run_floor, job.highest_run)
        else:
            self.memory.add(organisation, size)
        self.jobs[job_id] = job
        if not job.phase.is_final:
            self.active[job_id] = job
        if job_id in self.cancelled_ids or submission.is_withdrawn:
            self.cancel(job_id)
        return job

    def was_never_started(self, job_id: str) -> bool:
        """Return whether no leader has ever ordered a run of a job."""
        job = self.jobs.get(job_id)
        return job is not None and not job.is_inherited and not job.highest_run

    def was_passed(self, created_revision: int) -> bool:
        """Return whether a job has already been passed to this registry.

        If it is not known now, it was refused or forgotten. It must not be
        added then, as it would start anew without its progress. Reads that
        began before, and watches of the history, may still return it.
        """
        return created_revision <= self.intake_revision

    def refuse(self, job_id: str, created_revision: int) -> None:
        """Leave out a job whose records cannot be decoded.

        Workers may have runs and ends of it only if it is from an earlier
        term. A next leader of another version may know the job.
        """
        if created_revision <= self._started_revision:
            self.refused_ids.add(job_id)

    def advance_intake(self, revision: int) -> None:
        """Record that all jobs created up to a revision were passed on."""
        self.intake_revision = max(self.intake_revision, revision)

    def cancel(self, job_id: str) -> None:
        """Cancel a job; the next scheduling pass stops its runs.

        The identifier is kept if the job has not been read yet.
        """
        self.cancelled_ids.add(job_id)
        if job_id in self.unloaded:
            self.want(job_id)
        job = self.jobs.get(job_id)
        if job is not None and not job.phase.is_final:
            self.finish(job, Phase.CANCELLED)

    def queue_of(self, job: Job) -> QueuePolicy:
        """Return the current policy of a job's queue.

        If the queue was removed, return its policy at submission.
        """
        policy = job.submission.policy
        return self.configuration.queues_by_name.get(policy.name, policy)

    def may_use_pool(self, job: Job, pool: str) -> bool:
        """Return whether a later leader knows that a pool may run a job.

        A queue may be routed to another pool while its jobs run. A pool that
        is not recorded yet is going to be; until then the job has to wait.
        """
        change = job.pools.get(pool)
        if change is None:
            job.pools[pool] = self.mark_dirty(job)
            self._log("job changes pool", job=job.job_id, pool=pool)
            return False
        return job.durable_change >= change

    def mark_dirty(self, job: Job) -> int:
        """Mark a job as changed; return the number of the change."""
        self._changes += 1
        job.change = self._changes
        self.dirty[job.job_id] = job
        return self._changes

    def mark_written(self, job: Job, change: int, revision: int) -> None:
        """Record that a change of a job is persisted.

        :param revision: store revision of the job's progress record
        """
        job.durable_change = max(job.durable_change, change)
        job.progress_revision = revision
        self.dirty.pop(job.job_id, None)
        if job.change > change:
            # The others are written first.
            self.dirty[job.job_id] = job

    def is_known(self, job_id: str) -> bool:
        """Return whether a job was added, left in the store or refused."""
        return (
            job_id in self.jobs
            or job_id in self.ended
            or job_id in self.unloaded
            or job_id in self.refused_ids
        )

    def find_ended(self, job_id: str) -> EndedJob | None:
        """Return a job whose end is recorded in the store, None if none is."""
        job = self.jobs.get(job_id)
        if job is None:
            return self.ended.get(job_id)
        is_recorded = job.durable_change >= job.change
        return EndedJob.of(job) if job.phase.is_final and is_recorded else None

    def expired_jobs(self, now_s: float, retention_s: float) -> list[str]:
        """Return jobs whose retention period is over.

        It begins when this leader first finds that a job has ended. The time
        in the record is of a wall clock, which may be set. A job stays as long
        as its final state is not persisted, or a watch may still report that
        it was created, see :meth:`was_passed`.
        """
        for job in list(self.jobs.values()):
            if not job.finished_unix_ms:
                continue
            if job.retained_since_s is None:
                job.retained_since_s = now_s
            if (
                job.durable_change >= job.change
                and not job.held_tasks
                and now_s - job.retained_since_s > COMPACT_AFTER_S
            ):
                self.ended[job.job_id] = EndedJob.of(job)
                del self.jobs[job.job_id]
        expired = []
        for ended in self.ended.values():
            if ended.retained_since_s is None:
                ended.retained_since_s = now_s
            if (
                self.was_passed(ended.created_revision)
                and now_s - ended.retained_since_s > retention_s
            ):
                expired.append(ended.job_id)
        return expired

    def forget(self, job_id: str) -> None:
        """Remove a job that was deleted from the store."""
        self.jobs.pop(job_id, None)
        self.ended.pop(job_id, None)
        self.cancelled_ids.discard(job_id)

    def want(self, job_id: str) -> None:
        """Request a job that is in the store, but not in memory.

        A worker has a run or an end of it, or its caller has cancelled it.
        """
        ended = self.ended.get(job_id)
        if ended is not None and job_id not in self.unloaded:
            self.unloaded.add(UnloadedJob.of_ended(ended))
        self.unloaded.want(job_id)

    def mark_running(self, job: Job) -> None:
        """Mark a queued job as running.

        This must only be called once a worker has confirmed a run: an order
        without an answer may never be carried out, so its job still counts as
        waiting.
        """
        if job.phase is Phase.QUEUED:
            job.phase = Phase.RUNNING
            self.mark_dirty(job)

    def complete_if_done(self, job: Job) -> None:
        """Complete a job if all of its tasks are done."""
        if job.is_done:
            self.finish(job, Phase.COMPLETED)

    def finish(self, job: Job, phase: Phase) -> None:
        """Move a job to a final phase."""
        job.phase = phase
        self.active.pop(job.job_id, None)
        self.mark_dirty(job)
        times = measure_chain(job) if phase is Phase.COMPLETED else None
        queue = self.queue_of(job)
        self._log(
            "job ended",
            job=job.job_id,
            phase=phase.value,
            queue=queue.name,
            objective_ms=queue.objective_ms(times.run_ms) if times else None,
            started_ms=times.started_ms if times else None,
            step_wait_ms=times.step_wait_ms if times else None,
            run_ms=times.run_ms if times else None,
            lost_runs=job.lost_runs,
        )
        job.release_unused()

    def adjust_usage(self, run: Run, sign: int) -> None:
        """Add a run to the usage of its organisation, or subtract it.

        :param sign: 1 to add, -1 to subtract
        """
        submission = run.task.step.occurrence.job.submission
        name, size = submission.organisation, run.task.step.spec.size
        if not run.task.step.spec.long_running:
            known = self.batch_millicores.get(name, 0)
            self.batch_millicores[name] = known + sign * size.cpu_millicores
        used = self.usage.get(name, Resources())
        self.usage[name] = used.plus(size) if sign > 0 else used.minus(size)
