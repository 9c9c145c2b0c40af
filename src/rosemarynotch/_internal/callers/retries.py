"""When a request is given up on one connection and tried on another."""

import threading

import attrs

__all__ = ["RetryBudget", "RunTimes"]

RETRY_FRACTION = 0.1
# Lets an entry with little traffic retry at all.
MAX_SAVED_RETRIES = 10.0
LEARNING_RATE = 0.1
# A run is unusual beyond the mean and this many mean deviations.
UNUSUAL_DEVIATIONS = 10.0
# Covers short pauses of a target.
MIN_UNUSUAL_S = 1.0
MIN_OBSERVATIONS = 20


class RetryBudget:
    """Allows retries for a fraction of the first attempts."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._saved = MAX_SAVED_RETRIES

    def note_first_attempt(self) -> None:
        """Count a first attempt."""
        with self._lock:
            saved = self._saved + RETRY_FRACTION
            self._saved = min(MAX_SAVED_RETRIES, saved)

    def is_spent(self) -> bool:
        """Tell whether no retry is left."""
        return self._saved < 1

    def try_spend(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        with self._lock:
            if self._saved < 1:
                return False
            self._saved -= 1
            return True


@attrs.define
class _Times:
    count: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0


class RunTimes:
    """Learns how long requests of a queue and team usually run.

    A connection that has gone silent is noticed only by time. Waiting for
    the longest run time would leave no time for a retry.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._times: dict[tuple[str, str], _Times] = {}

    def note(self, queue: str, team: str, run_s: float) -> None:
        """Learn from a run, also from one that was given up."""
        with self._lock:
            times = self._times.setdefault((queue, team), _Times())
            rate = max(LEARNING_RATE, 1 / (times.count + 1))
            error_s = run_s - times.mean_s
            times.count += 1
            times.mean_s += rate * error_s
            times.deviation_s += rate * (abs(error_s) - times.deviation_s)

    def unusual_s(self, queue: str, team: str) -> float | None:
        """Return the time that a run usually stays below, None if unknown."""
        times = self._times.get((queue, team))
        if times is None or times.count < MIN_OBSERVATIONS:
            return None
        bound_s = times.mean_s + UNUSUAL_DEVIATIONS * times.deviation_s
        return max(MIN_UNUSUAL_S, bound_s)
