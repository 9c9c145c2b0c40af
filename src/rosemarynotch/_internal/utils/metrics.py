"""Bounded counters and histograms, mergeable over processes."""

import threading

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "MetricsSnapshot", "Summary", "series_name"]

MAX_COUNTERS = 2048
# One histogram takes about 24 KB; the node's budget for control is 128 MB.
MAX_HISTOGRAMS = 256
OVERFLOW = "overflow"

# 10 microseconds per unit, so that the target of 2 ms added latency can be
# told apart from 1.9 ms; up to one hour.
UNITS_PER_MS = 100
MAX_UNITS = 3_600_000 * UNITS_PER_MS
SIGNIFICANT_DIGITS = 2


def series_name(name: str, labels: dict[str, object]) -> str:
    """Return the name of a series, such as ``wait{team=a}``."""
    if not labels:
        return name
    text = ",".join(f"{key}={labels[key]}" for key in sorted(labels))
    return f"{name}{{{text}}}"


@attrs.frozen(kw_only=True)
class Summary:
    """What a histogram says, in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@attrs.frozen(kw_only=True)
class MetricsSnapshot:
    """Values of all series of one or several processes.

    :ivar histograms: encoded as by hdrhistogram
    """

    counters: dict[str, int] = attrs.field(factory=dict)
    histograms: dict[str, bytes] = attrs.field(factory=dict)

    def merge(self, other: "MetricsSnapshot") -> "MetricsSnapshot":
        """Return the sum of two snapshots."""
        counters = dict(self.counters)
        for name, value in other.counters.items():
            counters[name] = counters.get(name, 0) + value
        histograms = dict(self.histograms)
        for name, data in other.histograms.items():
            if name in histograms:
                total = _new_histogram()
                total.decode_and_add(histograms[name])
                total.decode_and_add(data)
                data = total.encode()
            histograms[name] = data
        return MetricsSnapshot(counters=counters, histograms=histograms)

    def summary(self, name: str) -> Summary | None:
        """Return the summary of a histogram, None when it has no values."""
        histogram = self.histogram(name)
        if histogram is None or not histogram.get_total_count():
            return None

        def at(percentile):
            return histogram.get_value_at_percentile(percentile) / UNITS_PER_MS

        return Summary(
            count=histogram.get_total_count(),
            p50_ms=at(50),
            p99_ms=at(99),
            max_ms=histogram.get_max_value() / UNITS_PER_MS,
        )

    def histogram(self, name: str) -> HdrHistogram | None:
        """Return a decoded histogram, with :data:`UNITS_PER_MS`."""
        data = self.histograms.get(name)
        return None if data is None else HdrHistogram.decode(data)


class Metrics:
    """Counters and histograms of one process.

    The number of series is bounded. What would exceed the bound is added to
    the series ``overflow``, so that a caller who invents label values cannot
    use up the memory.
    """

    def __init__(
        self,
        max_counters: int = MAX_COUNTERS,
        max_histograms: int = MAX_HISTOGRAMS,
    ) -> None:
        self._max_counters = max_counters
        self._max_histograms = max_histograms
        self._lock = threading.Lock()
        self._counters: dict[str, int] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels) -> None:
        """Add to a counter."""
        series = series_name(name, labels)
        with self._lock:
            self._add(series, amount)

    def record_ms(self, name: str, value_ms: float, **labels) -> None:
        """Add a duration to a histogram.

        :param value_ms: below 0 counts as 0, above one hour as one hour
        """
        series = series_name(name, labels)
        units = min(MAX_UNITS, max(0, round(value_ms * UNITS_PER_MS)))
        with self._lock:
            histogram = self._histograms.get(series)
            if histogram is None:
                if len(self._histograms) >= self._max_histograms:
                    self._add(OVERFLOW, 1)
                    return
                histogram = self._histograms[series] = _new_histogram()
            histogram.record_value(units)

    def snapshot(self) -> MetricsSnapshot:
        """Return the present values."""
        with self._lock:
            counters = dict(self._counters)
            histograms = {
                name: histogram.encode()
                for name, histogram in self._histograms.items()
            }
        return MetricsSnapshot(counters=counters, histograms=histograms)

    def _add(self, series: str, amount: int) -> None:
        known = series in self._counters
        if not known and len(self._counters) >= self._max_counters:
            series = OVERFLOW
        self._counters[series] = self._counters.get(series, 0) + amount


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
