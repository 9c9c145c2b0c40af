"""Workers that fail whatever is started on them."""

from rosemarynotch._internal.utils.clock import Clock

__all__ = ["WorkerHealth"]

JOBS_IN_A_ROW = 3
AVOID_S = 60.0
# A worker that refuses a task is full or not up, which the next VM list or
# task list shows.
REFUSED_AVOID_S = 5.0


class WorkerHealth:
    """Avoids a worker on which several different jobs failed in a row."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failed: dict[str, set[str]] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._refused_until_s: dict[str, float] = {}

    def note_success(self, worker: str) -> None:
        """Use a worker normally again."""
        self._failed.pop(worker, None)
        self._avoid_until_s.pop(worker, None)

    def note_failure(self, worker: str, job_id: str) -> None:
        """Count a failed job."""
        jobs = self._failed.setdefault(worker, set())
        jobs.add(job_id)
        if len(jobs) >= JOBS_IN_A_ROW:
            now_s = self._clock.monotonic_s()
            self._avoid_until_s[worker] = now_s + AVOID_S

    def note_refusal(self, worker: str) -> None:
        """Avoid a worker on which the platform refused to start a task."""
        now_s = self._clock.monotonic_s()
        self._refused_until_s[worker] = now_s + REFUSED_AVOID_S

    def may_start(self, worker: str, active_jobs: int) -> bool:
        """Tell whether a worker may get another job.

        After the time of avoidance it gets one job at a time until one of
        them succeeds.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._refused_until_s.get(worker, now_s):
            return False
        until_s = self._avoid_until_s.get(worker)
        if until_s is None:
            return True
        return now_s >= until_s and not active_jobs
