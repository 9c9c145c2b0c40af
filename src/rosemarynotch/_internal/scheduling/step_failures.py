"""Tells apart a step whose tasks fail from workers on which tasks fail."""

import attrs

__all__ = ["StepFailures"]

# Tasks of a step that failed on so many workers, and on none succeeded since,
# are taken to fail everywhere. Two workers may both be bad.
MIN_FAILED_WORKERS = 3


@attrs.define(eq=False)
class StepFailures:
    """Failures of the runs of a step since the last success.

    :ivar workers: workers on which runs failed
    :ivar last_at_s: when a run last failed
    """

    workers: set[str] = attrs.field(factory=set)
    last_at_s: float = 0.0

    @property
    def are_everywhere(self) -> bool:
        """Return whether the tasks, and not the workers, seem to fail."""
        return len(self.workers) >= MIN_FAILED_WORKERS

    def record(self, worker_id: str, now_s: float) -> None:
        """Record a failed run."""
        self.workers.add(worker_id)
        self.last_at_s = now_s

    def clear(self) -> None:
        """Record that a run is done or serves."""
        self.workers.clear()
