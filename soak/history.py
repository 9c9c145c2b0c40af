"""Jobs of the soak with the answers that their callers received."""

import threading
import time

import attrs

__all__ = ["History", "JobHistory"]


@attrs.define
class JobHistory:
    """A job as seen by its caller.

    :ivar cpu_millicores: CPU that each of its tasks requests
    :ivar sent_at_s: time of the first attempt to submit it
    :ivar accepted_at_s: time of the first 2xx answer, None without one
    :ivar is_refused: whether all attempts to submit it got 429 or 503
    :ivar cancel_sent_at_s: time of the first attempt to cancel it
    :ivar cancelled_at_s: time of the first 200 or 410 answer to a cancellation
    :ivar completed_at_s: time at which its state was first reported as
        completed
    :ivar is_failed: whether its state was reported as failed
    :ivar queue: prefix of its queue, without slashes
    :ivar repeat_count: number of its occurrences, 0 if it is not scheduled
    :ivar due_at_s: when the first of them is due
    :ivar interval_s: time between two of them
    """

    job_id: str
    spec: str
    team: str
    task_count: int
    cpu_millicores: int
    is_long_running: bool
    sent_at_s: float
    accepted_at_s: float | None = None
    is_refused: bool = False
    cancel_sent_at_s: float | None = None
    cancelled_at_s: float | None = None
    completed_at_s: float | None = None
    is_failed: bool = False
    queue: str = "one"
    repeat_count: int = 0
    due_at_s: float = 0.0
    interval_s: float = 0.0

    @property
    def tasks(self) -> set[str]:
        """Return the names of its tasks."""
        return {
            f"{self.job_id}.{occurrence}.0.{index}"
            for occurrence in range(max(1, self.repeat_count))
            for index in range(self.task_count)
        }


class History:
    """Thread-safe record of jobs and of answers that violate a guarantee."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._jobs: dict[str, JobHistory] = {}
        self.wrong_answers: list[str] = []

    def add(self, job: JobHistory) -> None:
        """Record a job; called before the first attempt to submit it."""
        with self._lock:
            self._jobs[job.job_id] = job

    def jobs(self) -> list[JobHistory]:
        """Return all jobs."""
        with self._lock:
            return list(self._jobs.values())

    def find(self, job_id: str) -> JobHistory | None:
        """Return a job, None if it is unknown."""
        with self._lock:
            return self._jobs.get(job_id)

    def record_wrong_answer(self, description: str) -> None:
        """Record an answer that violates a guarantee."""
        with self._lock:
            self.wrong_answers.append(f"{time.monotonic():.3f} {description}")
