"""Formats counts and percentiles as tables that fit a phone screen."""

from collections import Counter
from typing import Callable

import attrs
from hdrh.histogram import HdrHistogram

from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.replay.sending import Result
from rosemarynotch._internal.replay.timed_sending import LATE_MS

__all__ = [
    "format_jobs",
    "format_trace",
    "Latency",
    "latency",
    "MAX_COLUMNS",
]

MAX_COLUMNS = 40
NAME_COLUMNS = 20
NUMBER_COLUMNS = 5
MAX_LISTED = 10
# A number takes at most four characters, after a space.
DECIMAL_BELOW = 99.95
THOUSANDS_FROM = 9999.5
UNITS_PER_MS = 100
MAX_UNITS = 3_600_000 * UNITS_PER_MS
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99)


@attrs.frozen(kw_only=True)
class Latency:
    """Percentiles of the latencies of answered requests."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


def latency(results: list[Result]) -> Latency:
    """Return the latency percentiles of the answered requests."""
    histogram = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
    for result in results:
        if result.is_answered:
            units = round(result.latency_ms * UNITS_PER_MS)
            histogram.record_value(min(MAX_UNITS, max(1, units)))
    p50_ms, p90_ms, p99_ms = (
        histogram.get_value_at_percentile(at) / UNITS_PER_MS
        for at in PERCENTILES
    )
    return Latency(
        count=histogram.get_total_count(),
        p50_ms=p50_ms,
        p90_ms=p90_ms,
        p99_ms=p99_ms,
        max_ms=histogram.get_max_value() / UNITS_PER_MS,
    )


def format_trace(results: list[Result]) -> str:
    """Return the report on a replayed trace as text."""
    lines = _outcomes(results, lambda result: result.row.queue, "queue")
    lines += [""] + _outcomes(results, lambda result: result.row.team, "team")
    lines += [""] + format_latency(results, lambda result: result.row.queue)
    lines += [""] + format_codes(results)
    lines += format_jobs(results)
    unexpected = [result for result in results if not result.holds()]
    for result in unexpected[:MAX_LISTED]:
        lines.append(f"{result.row.request_id}: {result.code}"[:MAX_COLUMNS])
        lines.append(f"  stated {result.row.outcome}"[:MAX_COLUMNS])
    held = len(results) - len(unexpected)
    lines.append(f"stated outcomes held: {held} of {len(results)}")
    return "\n".join(lines)


def format_latency(
    results: list[Result], group: Callable[[Result], str]
) -> list[str]:
    """Return table lines with the latency of each group."""
    lines = [table_row("latency ms", "p50", "p90", "p99", "max")]
    for name, members in by_group(results, group).items():
        found = latency(members)
        if found.count:
            values = (found.p50_ms, found.p90_ms, found.p99_ms, found.max_ms)
            lines.append(
                table_row(name, *(format_number(value) for value in values))
            )
    return lines


def format_codes(results: list[Result]) -> list[str]:
    """Return lines with the counts of refusals, failures and late sends."""
    counts = Counter(r.code for r in results if not r.is_answered)
    lines = [f"{code[:33]:<33}{n:>7}" for code, n in counts.most_common()]
    late = sum(result.late_ms > LATE_MS for result in results)
    if late:
        lines.append(f"{f'sent over {LATE_MS:.0f} ms late':<33}{late:>7}")
    return lines


def format_jobs(results: list[Result]) -> list[str]:
    """Return a line with the outcomes of jobs, or no line without jobs.

    Repeated submissions of a job count once.
    """
    ends = {
        result.job_id or result.row.request_id: result
        for result in results
        if result.row.job is not None
    }
    if not ends:
        return []
    done = sum(result.is_answered for result in ends.values())
    refused = sum(result.is_refused for result in ends.values())
    other = len(ends) - done - refused
    return [f"jobs: {done} done, {refused} refused, {other} else"]


def by_group(
    results: list[Result], group: Callable[[Result], str]
) -> dict[str, list[Result]]:
    """Return results by group, sorted by the name of the group."""
    groups: dict[str, list[Result]] = {}
    for result in results:
        groups.setdefault(group(result), []).append(result)
    return dict(sorted(groups.items()))


def table_row(name: str, *cells: str) -> str:
    """Return a table line of a name and up to four numbers."""
    line = f"{name[:NAME_COLUMNS - 1]:<{NAME_COLUMNS}}"
    return line + "".join(f"{cell:>{NUMBER_COLUMNS}}" for cell in cells)


def format_number(value: float) -> str:
    """Format a number to fit a column."""
    if value < DECIMAL_BELOW:
        return f"{value:.1f}"
    if value < THOUSANDS_FROM:
        return f"{value:.0f}"
    return f"{value / 1000:.0f}k"


def _outcomes(results, group, title):
    """Return table lines with the counts of outcomes by group."""
    lines = [table_row(title, "ok", "not", "unk", "else")]
    for name, members in by_group(results, group).items():
        answered = sum(result.is_answered for result in members)
        refused = sum(result.is_refused for result in members)
        unknown = sum(result.ran is Ran.UNKNOWN for result in members)
        other = len(members) - answered - refused - unknown
        counts = (answered, refused, unknown, other)
        lines.append(table_row(name, *(str(count) for count in counts)))
    return lines
