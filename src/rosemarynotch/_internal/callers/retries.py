"""Retry budget and statistics of run times."""

import threading

import attrs

__all__ = ["RetryBudget", "RunTimes"]

RETRY_FRACTION = 0.1
# Also the initial balance, so that an entry with little traffic can retry.
MAX_RETRY_BALANCE = 10.0
LEARNING_RATE = 0.1
# A run time is an outlier above the mean plus this many mean absolute
# deviations.
OUTLIER_DEVIATIONS = 10.0
# Lower bound of the threshold, so that short pauses of a target do not count.
MIN_OUTLIER_S = 1.0
MIN_OBSERVATIONS = 20


class RetryBudget:
    """Limits retries to a fraction of the first attempts."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._balance = MAX_RETRY_BALANCE

    def record_first_attempt(self) -> None:
        """Add the fraction of a retry that a first attempt allows."""
        with self._lock:
            balance = self._balance + RETRY_FRACTION
            self._balance = min(MAX_RETRY_BALANCE, balance)

    def is_spent(self) -> bool:
        """Tell whether no retry is left."""
        return self._balance < 1

    def try_spend(self) -> bool:
        """Take one retry out of the budget; return False if none is left."""
        with self._lock:
            if self._balance < 1:
                return False
            self._balance -= 1
            return True


@attrs.define
class _RunTimeEstimate:
    count: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0


class RunTimes:
    """Estimates how long requests of a queue and team usually run.

    A connection that no longer delivers data is detected only by a time-out.
    A time-out as long as the longest run time would leave no time for a
    retry.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._estimates: dict[tuple[str, str], _RunTimeEstimate] = {}

    def record(self, queue: str, team: str, run_s: float) -> None:
        """Update the estimate by a run, also one that timed out."""
        with self._lock:
            estimate = self._estimates.setdefault(
                (queue, team), _RunTimeEstimate()
            )
            rate = max(LEARNING_RATE, 1 / (estimate.count + 1))
            error_s = run_s - estimate.mean_s
            estimate.count += 1
            estimate.mean_s += rate * error_s
            estimate.deviation_s += rate * (
                abs(error_s) - estimate.deviation_s
            )

    def outlier_threshold_s(self, queue: str, team: str) -> float | None:
        """Return the run time above which a run is an outlier.

        :returns: the threshold, or None with too few observations
        """
        estimate = self._estimates.get((queue, team))
        if estimate is None or estimate.count < MIN_OBSERVATIONS:
            return None
        threshold_s = (
            estimate.mean_s + OUTLIER_DEVIATIONS * estimate.deviation_s
        )
        return max(MIN_OUTLIER_S, threshold_s)
