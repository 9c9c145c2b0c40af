"""Decides how long the answer to an order is awaited.

Intended for workers that leave a share of their orders unanswered. A repeated
order of the same run is harmless, and the task waits until one is answered, so
every wait beyond the usual time of an answer delays its job. Answers that take
longer than the time-out are never seen, so each repetition is awaited longer.
"""

__all__ = ["OrderTimeout"]

MAX_TIMEOUT_S = 0.25
# A shorter time-out would repeat orders that the network delays.
MIN_TIMEOUT_S = 0.03
MIN_ANSWERS = 8
# From here on, the time-out is the longest one in any case.
MAX_DOUBLINGS = 4
# Weights of the newest answer in the mean and in the deviation, and the number
# of deviations beyond the mean, as in the retransmission timer of TCP.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


class OrderTimeout:
    """Follows the times in which workers answer orders."""

    def __init__(self) -> None:
        self._count = 0
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def record(self, took_s: float) -> None:
        """Record the time of an answered order."""
        self._count += 1
        if self._count == 1:
            self._mean_s, self._deviation_s = took_s, took_s / 2
            return
        error_s = abs(took_s - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (error_s - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)

    def __call__(self, repeats: int = 0) -> float:
        """Return the time-out of an order in seconds.

        :param repeats: number of earlier orders of its kind for the same run
        """
        if self._count < MIN_ANSWERS:
            return MAX_TIMEOUT_S
        timeout_s = self._mean_s + DEVIATIONS * self._deviation_s
        timeout_s = max(MIN_TIMEOUT_S, timeout_s)
        return min(MAX_TIMEOUT_S, timeout_s * 2 ** min(repeats, MAX_DOUBLINGS))
