"""Counters and histograms with bounded memory, mergeable over processes."""

import base64
import struct
import threading
import zlib

import attrs
from hdrh.histogram import HdrHistogram

__all__ = [
    "find_problem",
    "Metrics",
    "MetricsSnapshot",
    "series_name",
    "Summary",
]

MAX_COUNTERS = 2048
# A histogram takes about 24 KB; a node may use 128 MB for control.
MAX_HISTOGRAMS = 256
OVERFLOW = "overflow"

# The unit is 10 microseconds, which distinguishes the target of 2 ms of added
# latency from 1.9 ms. The largest value is one hour.
UNITS_PER_MS = 100
MAX_UNITS = 3_600_000 * UNITS_PER_MS
SIGNIFICANT_DIGITS = 2
# The largest integer range that all JSON parsers represent exactly.
MAX_COUNT = 2**53
# Layout of an encoded histogram: the outer header contains a cookie and the
# length of the compressed rest. The inner header is part of that rest; it
# contains cookie, length, offset, digits, lowest and highest value, and ratio.
OUTER_HEADER = struct.Struct(">II")
INNER_HEADER = struct.Struct(">IIIIQQd")
# Largest size of an encoded count.
MAX_COUNT_BYTES = 9


def series_name(name: str, labels: dict[str, object]) -> str:
    """Return the name of a series, such as ``wait{team=a}``."""
    if not labels:
        return name
    text = ",".join(f"{key}={labels[key]}" for key in sorted(labels))
    return f"{name}{{{text}}}"


@attrs.frozen(kw_only=True)
class Summary:
    """Statistics of a histogram, in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@attrs.frozen(kw_only=True)
class MetricsSnapshot:
    """Values of all series of one or several processes.

    :ivar histograms: in the encoding of hdrhistogram
    """

    counters: dict[str, int] = attrs.field(factory=dict)
    histograms: dict[str, bytes] = attrs.field(factory=dict)

    def merge(self, *others: "MetricsSnapshot") -> "MetricsSnapshot":
        """Return the sum of this snapshot and others.

        Check the values of another process with :func:`find_problem` first.
        """
        counters: dict[str, int] = {}
        parts: dict[str, list[bytes]] = {}
        for snapshot in (self, *others):
            for name, value in snapshot.counters.items():
                counters[name] = counters.get(name, 0) + value
            for name, data in snapshot.histograms.items():
                parts.setdefault(name, []).append(data)
        histograms = {
            name: _sum_histograms(data) for name, data in parts.items()
        }
        return MetricsSnapshot(counters=counters, histograms=histograms)

    def summary(self, name: str) -> Summary | None:
        """Return the summary of a histogram, or None if it has no values."""
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
        """Return a decoded histogram, or None if there is none.

        Its values are in units of 1 / :data:`UNITS_PER_MS` ms.
        """
        data = self.histograms.get(name)
        return None if data is None else HdrHistogram.decode(data)


class Metrics:
    """Counters and histograms of one process.

    The number of series is bounded. Counts beyond the bound are added to the
    series ``overflow``, so that a caller that sends arbitrary label values
    cannot exhaust the memory.
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
        self._gauges: dict[str, float] = {}

    def set_gauge(self, name: str, value: float) -> None:
        """Set a value that can rise and fall.

        Gauges are set by constant names only, so their number needs no bound.
        """
        with self._lock:
            self._gauges[name] = value

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        with self._lock:
            return dict(self._gauges)

    def count(self, name: str, amount: int = 1, **labels) -> None:
        """Add to a counter."""
        series = series_name(name, labels)
        with self._lock:
            self._add(series, amount)

    def record_ms(self, name: str, value_ms: float, **labels) -> None:
        """Add a duration to a histogram.

        :param value_ms: duration; limited to the range of 0 to one hour
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
        """Return the current values."""
        with self._lock:
            counters = dict(self._counters)
            names = list(self._histograms)
        histograms = {}
        for name in names:
            # The lock is taken for each histogram separately, because encoding
            # all 256 takes 19 ms, during which requests would wait for it.
            with self._lock:
                histograms[name] = self._histograms[name].encode()
        return MetricsSnapshot(counters=counters, histograms=histograms)

    def _add(self, series: str, amount: int) -> None:
        exists = series in self._counters
        if not exists and len(self._counters) >= self._max_counters:
            series = OVERFLOW
        self._counters[series] = self._counters.get(series, 0) + amount


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)


def _sum_histograms(parts: list[bytes]) -> bytes:
    if len(parts) == 1:
        return parts[0]
    total = _new_histogram()
    for data in parts:
        total.decode_and_add(data)
    return total.encode()


def find_problem(snapshot: MetricsSnapshot) -> str:
    """Check values that were received from another process.

    :returns: reason why they cannot be merged, or an empty string
    """
    if len(snapshot.counters) > MAX_COUNTERS + 1:
        return f"more than {MAX_COUNTERS} counters"
    if len(snapshot.histograms) > MAX_HISTOGRAMS:
        return f"more than {MAX_HISTOGRAMS} histograms"
    for name, value in snapshot.counters.items():
        if not 0 <= value <= MAX_COUNT:
            return f"counter {name} is out of range"
    for name, data in snapshot.histograms.items():
        problem = _histogram_problem(data)
        if problem:
            return f"histogram {name}: {problem}"
    return ""


def _histogram_problem(data: bytes) -> str:
    try:
        packed = base64.b64decode(data, validate=True)[OUTER_HEADER.size :]
        # The library decompresses without a limit and accepts any range, so
        # malformed data could exhaust the memory.
        limit = (
            INNER_HEADER.size + MAX_COUNT_BYTES * _new_histogram().counts_len
        )
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(packed, limit)
        if not unpacker.eof or unpacker.unused_data:
            return "too long or cut off"
        _, _, offset, digits, lowest, highest, ratio = (
            INNER_HEADER.unpack_from(plain)
        )
        layout = (offset, digits, lowest, highest, ratio)
        if layout != (0, SIGNIFICANT_DIGITS, 1, MAX_UNITS, 1.0):
            return "other range or precision"
        histogram = HdrHistogram.decode(data)
    except Exception as error:
        # The library raises various types of exceptions for malformed data.
        return f"malformed ({type(error).__name__})"
    if not 0 <= histogram.get_total_count() <= MAX_COUNT:
        return "count is out of range"
    return ""
