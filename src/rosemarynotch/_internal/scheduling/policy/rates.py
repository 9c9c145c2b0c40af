"""Estimates the rate of arriving work from few and irregular arrivals.

This module performs no I/O.
"""

from collections import deque
import math

import attrs

__all__ = ["Arrival", "ArrivalRates", "RisingRates"]

# Window for a steady rate. A pool follows the highest of all estimates for a
# while, so random peaks in a short window lead to idle VMs: queues of large
# jobs receive only about five jobs in 0.6 s.
STEADY_WINDOW_MS = 2500
# Window in which the end of a rise is detected.
RECENT_WINDOW_MS = 600
# The rate of the newest arrivals is calculated over the time since the oldest
# of them, but over no less than this.
MIN_WINDOW_MS = 400
# Standard deviations by which the number of arrivals in a window is reduced.
# Without this, random clusters of arrivals would determine the result, which
# is the highest rate of all windows.
RATE_DEVIATIONS = 0.85
# A count of recent arrivals that is this many standard deviations below the
# expected one means that the rise has ended.
DROP_DEVIATIONS = 2.0
# While a rate rises steeply, it is expected to reach this many times its
# present value by the time a VM that is ordered now serves: rises take about
# as long as that, 2 s.
RISE_FACTOR = 2.0
# A rate rises steeply if it was less than half as high this long before.
RISE_AGE_MS = 900
# Fewer arrivals in RECENT_WINDOW_MS do not show that a rate rises: queues of
# large jobs receive so few that their number doubles by chance.
MIN_RISING_ARRIVALS = 8


@attrs.frozen
class Arrival:
    """An accepted job and the VM time that its work takes."""

    job_id: str
    accepted_ms: float
    work_vm_ms: float


class ArrivalRates:
    """Estimates how many VMs work keeps busy at its present rate of arrival.

    Intended for queues whose demand rises to several times the mean within a
    fraction of a second, either by few large jobs or by many small ones.
    """

    def __init__(self) -> None:
        self._arrivals: dict[str, deque[Arrival]] = {}
        self._known_job_ids: set[str] = set()

    def note(self, pool: str, arrival: Arrival) -> None:
        """Record a job; has no effect if it is already recorded."""
        if arrival.job_id not in self._known_job_ids:
            self._known_job_ids.add(arrival.job_id)
            self._arrivals.setdefault(pool, deque()).append(arrival)

    def vms(self, pool: str, now_ms: float) -> float:
        """Return the VMs that work at the present rate would keep busy."""
        arrivals = self._arrivals.get(pool)
        if not arrivals:
            return 0.0
        while arrivals and now_ms - arrivals[0].accepted_ms > STEADY_WINDOW_MS:
            self._known_job_ids.discard(arrivals.popleft().job_id)
        count = len(arrivals)
        if count < 2:
            return 0.0
        work_vm_ms = sum(each.work_vm_ms for each in arrivals) / count
        return self._rate_per_ms(arrivals, now_ms) * work_vm_ms

    @staticmethod
    def _rate_per_ms(arrivals: deque[Arrival], now_ms: float) -> float:
        """Return the highest rate that the newest arrivals support.

        If recent arrivals are significantly fewer than that rate predicts,
        return their rate instead, since the rise has ended.
        """
        highest = 0.0
        recent = 0
        for count, arrival in enumerate(reversed(arrivals), start=1):
            age_ms = now_ms - arrival.accepted_ms
            recent += age_ms <= RECENT_WINDOW_MS
            low_count = count - RATE_DEVIATIONS * math.sqrt(count)
            highest = max(highest, low_count / max(age_ms, MIN_WINDOW_MS))
        expected = highest * RECENT_WINDOW_MS
        if recent < expected - DROP_DEVIATIONS * math.sqrt(expected):
            return recent / RECENT_WINDOW_MS
        return highest


class RisingRates(ArrivalRates):
    """Expects a rate that rises steeply to go on rising.

    Intended for the first turns of queues of many short jobs, which cannot be
    forecast. A pool that follows the present rate is two seconds behind while
    it rises, and most of the jobs of that time are late.
    """

    def vms(self, pool, now_ms):
        """Return the VMs for the rate by the time that they serve."""
        vms = super().vms(pool, now_ms)
        return vms * RISE_FACTOR if self._is_rising(pool, now_ms) else vms

    def _is_rising(self, pool: str, now_ms: float) -> bool:
        ages_ms = [
            now_ms - arrival.accepted_ms
            for arrival in self._arrivals.get(pool, ())
        ]
        recent = sum(age_ms <= RECENT_WINDOW_MS for age_ms in ages_ms)
        if recent < MIN_RISING_ARRIVALS:
            return False
        earlier = sum(
            RISE_AGE_MS < age_ms <= RISE_AGE_MS + RECENT_WINDOW_MS
            for age_ms in ages_ms
        )
        return recent - 2 * earlier >= math.sqrt(recent)
