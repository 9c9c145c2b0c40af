"""A clock that includes the time during which the machine is suspended."""

import time

from rosemarynotch._internal.utils.clock import SystemClock

__all__ = ["SuspensionClock"]


class SuspensionClock(SystemClock):
    """Clock based on CLOCK_BOOTTIME, which continues during suspension.

    A lease expires in the store even while its holder is suspended.
    """

    def monotonic_s(self) -> float:
        """Return the seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
