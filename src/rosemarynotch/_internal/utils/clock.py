"""Time sources."""

import abc
import time

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Interface of a time source, which tests replace."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Return a time in seconds that never decreases."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the epoch."""

    @abc.abstractmethod
    def sleep(self, delay_s: float) -> None:
        """Wait for the given time."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return CLOCK_MONOTONIC, which continues during SIGSTOP."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def sleep(self, delay_s: float) -> None:
        """Wait for the given time."""
        time.sleep(delay_s)
