"""A clock that tests set explicitly."""

from rosemarynotch._internal.utils.clock import Clock

__all__ = ["ManualClock"]


class ManualClock(Clock):
    """Clock whose time changes only by :meth:`advance` and :meth:`sleep`."""

    def __init__(self, start_s: float = 1000.0) -> None:
        self.now_s = start_s

    def monotonic_s(self):
        """Return the time set by the test."""
        return self.now_s

    def wall_s(self):
        """Return the time set by the test."""
        return self.now_s

    def sleep(self, delay_s):
        """Advance the time without waiting."""
        self.now_s += delay_s

    def advance(self, delay_s: float) -> None:
        """Advance the time."""
        self.now_s += delay_s
