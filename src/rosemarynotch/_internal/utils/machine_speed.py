"""Detection of a slow machine by a short fixed computation."""

from collections.abc import Callable
from collections import deque
import statistics
import time

__all__ = ["MachineSpeed", "SAMPLE_INTERVAL_S"]

SAMPLE_INTERVAL_S = 0.25
# Iterations of one sample, which take about a tenth of a millisecond.
LOOP_COUNT = 2000
# Other threads may interrupt a sample, so the fastest of this many samples is
# used.
RECENT_SAMPLES = 4
# The baseline is the median of the samples of the last minute; it is used once
# there are at least MIN_SAMPLES.
BASELINE_SAMPLES = 240
MIN_SAMPLES = 12
# A machine is slow above this multiple of the baseline. Load does not slow
# down the fastest of several samples, and the effect of caches and of other
# machines on the same host is smaller.
SLOW_FACTOR = 3.0


class MachineSpeed:
    """Compares recent samples with the baseline of this process.

    :param measure: runs the computation and returns its time in seconds
    :ivar is_slow: whether the machine is slow according to the last samples
    """

    def __init__(self, measure: Callable[[], float] | None = None) -> None:
        self._measure = measure or _measure_loop
        self._samples_s: deque[float] = deque(maxlen=BASELINE_SAMPLES)
        self.is_slow = False

    def sample(self) -> None:
        """Take one sample and update :attr:`is_slow`."""
        self._samples_s.append(self._measure())
        samples_s = list(self._samples_s)
        self.is_slow = len(samples_s) >= MIN_SAMPLES and min(
            samples_s[-RECENT_SAMPLES:]
        ) > SLOW_FACTOR * statistics.median(samples_s)


def _measure_loop() -> float:
    started_s = time.perf_counter()
    for _ in range(LOOP_COUNT):
        pass
    return time.perf_counter() - started_s
