"""A clock that counts the time during which the machine is suspended."""

import time

from rosemarynotch._internal.utils.clock import SystemClock

__all__ = ["SuspensionClock"]


class SuspensionClock(SystemClock):
    """Uses CLOCK_BOOTTIME: a lease goes on while its holder is suspended."""

    def monotonic_s(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
