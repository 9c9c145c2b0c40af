"""Estimates of the remaining work of jobs; performs no I/O."""

import attrs

from rosemarynotch._internal.scheduling.durations import DurationEstimator
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Occurrence

__all__ = ["RemainingWork", "WorkEstimates"]


@attrs.frozen(kw_only=True)
class RemainingWork:
    """Cached estimate of a job's work; valid until one of its tasks ends.

    :ivar key: occurrence and number of completed tasks that it is valid for
    :ivar path_ms: run time of the longest chain of all steps
    """

    key: tuple[int, int]
    path_ms: float
    remaining_ms: float
    remaining_core_ms: float


class WorkEstimates:
    """Caches the remaining work of jobs.

    :param durations: observed run times by queue
    """

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations
        self._work_by_job: dict[str, RemainingWork] = {}

    def remaining(
        self, job: Job, queue: str, occurrence: Occurrence
    ) -> RemainingWork:
        """Return the remaining work, recalculated when a task has ended.

        :param queue: queue whose run times are used
        """
        done = sum(step.done_count for step in occurrence.steps)
        cached = self._work_by_job.get(job.job_id)
        if cached is not None and cached.key == (occurrence.number, done):
            return cached
        work = RemainingWork(
            key=(occurrence.number, done),
            path_ms=self._path_ms(queue, occurrence, all_steps=True),
            remaining_ms=self._path_ms(queue, occurrence, all_steps=False),
            remaining_core_ms=sum(
                (step.spec.task_count - step.done_count)
                * step.spec.size.cpu_millicores
                / 1000
                * step.spec.estimated_ms
                for step in occurrence.steps
            ),
        )
        self._work_by_job[job.job_id] = work
        return work

    def forget(self, job_id: str) -> None:
        """Drop the cached estimate of a job."""
        self._work_by_job.pop(job_id, None)

    def _path_ms(
        self, queue: str, occurrence: Occurrence, *, all_steps: bool
    ) -> float:
        """Return the expected run time of the longest chain of steps.

        :param all_steps: include the steps that are done
        """
        ends: list[float] = []
        for step in occurrence.steps:
            start_ms = max((ends[n] for n in step.spec.after), default=0.0)
            step_ms = 0.0
            if all_steps or not step.is_done:
                step_ms = self._durations.expected_ms(
                    queue, step.spec.estimated_ms
                )
            ends.append(start_ms + step_ms)
        return max(ends, default=0.0)
