"""Health of workers, judged by the outcome of jobs."""

from rosemarynotch._internal.utils.clock import Clock

__all__ = ["WorkerHealth"]

MAX_FAILED_JOBS = 3
AVOIDANCE_S = 60.0
# A worker that refuses a task is full or down, which the next VM list or task
# list will show.
REFUSAL_AVOIDANCE_S = 5.0


class WorkerHealth:
    """Excludes workers on which several jobs failed without a success."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failed: dict[str, set[str]] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._refused_until_s: dict[str, float] = {}

    def record_success(self, worker: str) -> None:
        """Clear the failures of a worker."""
        self._failed.pop(worker, None)
        self._avoid_until_s.pop(worker, None)

    def record_failure(self, worker: str, job_id: str) -> None:
        """Count a failed job, and avoid the worker after too many."""
        jobs = self._failed.setdefault(worker, set())
        jobs.add(job_id)
        if len(jobs) >= MAX_FAILED_JOBS:
            now_s = self._clock.monotonic_s()
            self._avoid_until_s[worker] = now_s + AVOIDANCE_S

    def record_refusal(self, worker: str) -> None:
        """Avoid a worker for a short time after a refused start."""
        now_s = self._clock.monotonic_s()
        self._refused_until_s[worker] = now_s + REFUSAL_AVOIDANCE_S

    def may_start(self, worker: str, active_jobs: int) -> bool:
        """Return whether a worker may get another job.

        After the avoidance time, it gets one job at a time until one
        succeeds.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._refused_until_s.get(worker, now_s):
            return False
        until_s = self._avoid_until_s.get(worker)
        if until_s is None:
            return True
        return now_s >= until_s and not active_jobs
