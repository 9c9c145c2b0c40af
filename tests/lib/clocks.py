"""A clock that tests move by hand."""

from rosemarynotch._internal.utils.clock import Clock

__all__ = ["ManualClock"]


class ManualClock(Clock):
    """Time passes only by :meth:`advance` and :meth:`sleep`."""

    def __init__(self, start_s: float = 1000.0) -> None:
        self.now_s = start_s

    def monotonic_s(self):
        """Return the time set by the test."""
        return self.now_s

    def wall_s(self):
        """Return the time set by the test."""
        return self.now_s

    def sleep(self, delay_s):
        """Move the time on without waiting."""
        self.now_s += delay_s

    def advance(self, delay_s: float) -> None:
        """Move the time on."""
        self.now_s += delay_s
