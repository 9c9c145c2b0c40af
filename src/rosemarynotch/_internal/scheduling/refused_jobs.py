"""Memory of a node about the jobs that it has refused for lack of room."""

from collections import OrderedDict
import threading

__all__ = ["RefusedJobs"]

# Callers retry up to four times, after at most some seconds each.
RETENTION_S = 30.0
# Bounds the memory under a flood of jobs that never come back.
MAX_JOBS = 4096


class RefusedJobs:
    """Counts the refusals of recent jobs; may be used by several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def count(self, job_id: str, now_s: float) -> int:
        """Return how often a job was refused lately."""
        with self._lock:
            count, at_s = self._counts.get(job_id, (0, now_s))
        return count if now_s - at_s <= RETENTION_S else 0

    def record(self, job_id: str, now_s: float) -> None:
        """Count a refusal, and forget the oldest above the limit."""
        count = self.count(job_id, now_s) + 1
        with self._lock:
            self._counts[job_id] = (count, now_s)
            self._counts.move_to_end(job_id)
            while len(self._counts) > MAX_JOBS:
                self._counts.popitem(last=False)
