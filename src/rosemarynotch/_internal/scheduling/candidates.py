"""Properties of waiting jobs that decide when they start; no I/O."""

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.policy import Candidate
from rosemarynotch._internal.scheduling.policy import CUTOFF_FACTOR
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.scheduling.work_estimates import WorkEstimates

__all__ = ["CandidateFactory"]

# An organisation counts as over its share when it uses more than this multiple
# of its fair share. A lower factor would reorder jobs on small differences.
OVER_SHARE_FACTOR = 1.5


class CandidateFactory:
    """Makes the candidates of a scheduling pass from the jobs."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._work = WorkEstimates(scheduler.durations)
        self._fair_millicores = 0.0

    def begin_pass(self) -> None:
        """Calculate the fair shares anew, which all candidates use."""
        self._fair_millicores = self._fair_share()

    def candidate(self, job: Job, wall_ms: float) -> Candidate:
        """Return the properties of a job that decide when it starts."""
        queue = self._scheduler.queue_of(job)
        accepted_ms = job.submission.accepted_unix_ms
        occurrence = next(
            (o for o in job.occurrences if not o.is_done), job.occurrences[-1]
        )
        if job.is_scheduled:
            accepted_ms = max(accepted_ms, occurrence.due_unix_ms)
        work = self._work.remaining(job, queue.name, occurrence)
        limit_ms = queue.objective_ms(work.path_ms)
        return Candidate(
            job_id=job.job_id,
            priority=queue.priority,
            is_serving=job.is_long_running,
            is_started=job.highest_run > 0,
            usage_share=self._usage_share(job),
            accepted_ms=accepted_ms,
            remaining_ms=work.remaining_ms,
            remaining_core_ms=work.remaining_core_ms,
            objective_ms=accepted_ms + limit_ms,
            cutoff_ms=accepted_ms + CUTOFF_FACTOR * limit_ms,
            is_over_share=self._is_over_share(job.submission.organisation),
        )

    def forget(self, job_id: str) -> None:
        """Drop the cached estimate of a job."""
        self._work.forget(job_id)

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

    def _is_over_share(self, name: str) -> bool:
        organisation = self._organisation(name)
        if organisation is None:
            return False
        used = self._scheduler.batch_millicores.get(name, 0)
        fair = self._fair_millicores * organisation.weight
        return used > OVER_SHARE_FACTOR * fair

    def _usage_share(self, job: Job) -> float:
        name = job.submission.organisation
        used = self._scheduler.usage.get(name)
        organisation = self._organisation(name)
        if used is None or organisation is None:
            return 0.0
        return used.cpu_millicores / max(organisation.weight, 1e-9)

    def _organisation(self, name: str) -> Organisation | None:
        return self._scheduler.configuration.organisations.get(name)
