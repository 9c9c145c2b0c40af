"""What the callers of a soak were told."""

import threading
import time

import attrs

__all__ = ["History", "JobHistory"]


@attrs.define
class JobHistory:
    """A job as its caller saw it.

    :ivar cpu_millicores: what one of its tasks requests
    :ivar sent_at_s: first attempt to submit it
    :ivar accepted_at_s: first 2xx, None without one
    :ivar is_refused: every attempt was answered, and with a refusal
    :ivar cancelled_at_s: answer to its cancellation, None without one
    :ivar completed_at_s: when it was first shown as completed
    :ivar is_failed: it was shown as failed
    """

    job_id: str
    spec: str
    team: str
    task_count: int
    cpu_millicores: int
    is_lasting: bool
    sent_at_s: float
    accepted_at_s: float | None = None
    is_refused: bool = False
    cancel_sent_at_s: float | None = None
    cancelled_at_s: float | None = None
    completed_at_s: float | None = None
    is_failed: bool = False


class History:
    """Jobs by identifier, and answers that no caller may get."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._jobs: dict[str, JobHistory] = {}
        self.wrong_answers: list[str] = []

    def add(self, job: JobHistory) -> None:
        """Note a job before its first attempt."""
        with self._lock:
            self._jobs[job.job_id] = job

    def jobs(self) -> list[JobHistory]:
        """Return all jobs."""
        with self._lock:
            return list(self._jobs.values())

    def find(self, job_id: str) -> JobHistory | None:
        """Return a job."""
        with self._lock:
            return self._jobs.get(job_id)

    def note_wrong(self, what: str) -> None:
        """Note an answer that breaks a promise."""
        with self._lock:
            self.wrong_answers.append(f"{time.monotonic():.3f} {what}")
