"""Properties of waiting jobs that decide when they start; no I/O."""

import attrs

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.policy import Candidate
from rosemarynotch._internal.scheduling.policy import CUTOFF_FACTOR
from rosemarynotch._internal.scheduling.policy import JobSizes
from rosemarynotch._internal.scheduling.records import backlog_name
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.scheduling.work_estimates import RemainingWork
from rosemarynotch._internal.scheduling.work_estimates import WorkEstimates

__all__ = ["CandidateFactory"]

# An organisation counts as over its share when it uses more than this multiple
# of its fair share. A lower factor would reorder jobs on small differences.
OVER_SHARE_FACTOR = 1.5
# Estimates of jobs that have ended are dropped when there are more than this,
# and more than of active ones.
MIN_CACHED = 100


@attrs.frozen
class _CachedCandidate:
    """A candidate and what it was made from."""

    queue: QueuePolicy
    work: RemainingWork
    is_started: bool
    usage: tuple[float, bool]
    candidate: Candidate


class CandidateFactory:
    """Makes the candidates of a scheduling pass from the jobs.

    A pass needs the candidates of hundreds of waiting jobs, few of which have
    changed since the pass before, so they are cached.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._work = WorkEstimates(scheduler.durations)
        self._fair_millicores = 0.0
        self._usage: dict[str, tuple[float, bool]] = {}
        self._cache: dict[str, _CachedCandidate] = {}
        self._sizes: dict[str, JobSizes] = {}

    def begin_pass(self) -> None:
        """Calculate the fair shares anew, which all candidates use."""
        self._fair_millicores = self._fair_share()
        self._usage = {}
        active = self._scheduler.active
        if len(self._cache) > 2 * len(active) + MIN_CACHED:
            for job_id in self._cache.keys() - active.keys():
                self.forget(job_id)

    def candidate(self, job: Job, wall_ms: float) -> Candidate:
        """Return the properties of a job that decide when it starts."""
        queue = self._scheduler.queue_of(job)
        occurrence = job.first_unfinished()
        work = self._work.remaining(job, queue.name, occurrence)
        is_started = job.highest_run > 0
        usage = self._usage_of(job.submission.organisation)
        cached = self._cache.get(job.job_id)
        if (
            cached is not None
            and cached.work is work
            and cached.queue is queue
            and cached.is_started == is_started
            and cached.usage == usage
        ):
            return cached.candidate
        accepted_ms = job.submission.accepted_unix_ms
        if job.is_scheduled:
            due_ms = job.due_unix_ms(occurrence.number)
            accepted_ms = max(accepted_ms, due_ms)
        if cached is None:
            name = backlog_name(queue)
            sizes = self._sizes.setdefault(name, JobSizes())
            size_rank = sizes.add(work.remaining_core_ms)
        else:
            size_rank = cached.candidate.size_rank
        limit_ms = queue.objective_ms(work.path_ms)
        candidate = Candidate(
            job_id=job.job_id,
            priority=queue.priority,
            is_serving=job.is_long_running,
            is_started=is_started,
            usage_share=usage[0],
            accepted_ms=accepted_ms,
            remaining_ms=work.remaining_ms,
            remaining_core_ms=work.remaining_core_ms,
            objective_ms=accepted_ms + limit_ms,
            cutoff_ms=accepted_ms + CUTOFF_FACTOR * limit_ms,
            is_over_share=usage[1],
            size_rank=size_rank,
        )
        self._cache[job.job_id] = _CachedCandidate(
            queue, work, is_started, usage, candidate
        )
        return candidate

    def large_core_ms(self, name: str) -> float:
        """Return from which work on a job of a backlog counts as large."""
        sizes = self._sizes.get(name)
        return sizes.large_core_ms() if sizes else 0.0

    def forget(self, job_id: str) -> None:
        """Drop the cached estimate of a job."""
        self._work.forget(job_id)
        self._cache.pop(job_id, None)

    def _fair_share(self) -> float:
        """Return the millicores in use by batch jobs per unit of weight."""
        names = {
            job.submission.organisation
            for job in self._scheduler.active.values()
            if not job.is_long_running
        }
        weights = [
            organisation.weight
            for name in names
            if (organisation := self._organisation(name)) is not None
        ]
        used = sum(self._scheduler.batch_millicores.values())
        return used / max(sum(weights), 1e-9)

    def _usage_of(self, name: str) -> tuple[float, bool]:
        """Return the use of an organisation by weight, and if it is too much.

        It is calculated once in a pass.
        """
        known = self._usage.get(name)
        if known is not None:
            return known
        share, is_over_share = 0.0, False
        organisation = self._organisation(name)
        if organisation is not None:
            used = self._scheduler.usage.get(name)
            if used is not None:
                weight = max(organisation.weight, 1e-9)
                share = used.cpu_millicores / weight
            batch = self._scheduler.batch_millicores.get(name, 0)
            fair = self._fair_millicores * organisation.weight
            is_over_share = batch > OVER_SHARE_FACTOR * fair
        self._usage[name] = share, is_over_share
        return share, is_over_share

    def _organisation(self, name: str) -> Organisation | None:
        return self._scheduler.configuration.organisations.get(name)
