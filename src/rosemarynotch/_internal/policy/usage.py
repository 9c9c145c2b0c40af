"""Demand and usage of one entry by pool and team."""

import collections
import math

import attrs

from rosemarynotch._internal.models.messages import DemandRow

__all__ = ["EntryUsage", "Key", "WINDOW_S"]

# Worth and deficit are computed over this period.
WINDOW_S = 30.0

# Pool and team.
Key = tuple[str, str]


@attrs.frozen
class _Sample:
    """Counters of one pool and team, with the time of their arrival."""

    at_s: float
    worth: float
    slot_s: float


@attrs.define
class EntryUsage:
    """Latest demand rows of one entry and samples of its counters."""

    incarnation: str = ""
    received_at_s: float = -math.inf
    rows: dict[Key, DemandRow] = attrs.field(factory=dict)
    samples: dict[Key, collections.deque] = attrs.field(factory=dict)

    def set_rows(self, rows: tuple[DemandRow, ...], now_s: float) -> None:
        """Replace the demand rows."""
        self.received_at_s = now_s
        self.rows = {(row.pool, row.team): row for row in rows}

    def add_samples(self, rows: tuple[DemandRow, ...], now_s: float) -> None:
        """Add samples of the counters that have changed."""
        for row in rows:
            samples = self.samples.setdefault(
                (row.pool, row.team), collections.deque()
            )
            last = samples[-1] if samples else None
            if last is None or (
                now_s > last.at_s
                and (row.served_worth, row.slot_s) != (last.worth, last.slot_s)
            ):
                samples.append(_Sample(now_s, row.served_worth, row.slot_s))
            while len(samples) > 2 and samples[1].at_s <= now_s - WINDOW_S:
                samples.popleft()

    def used(self, key: Key, now_s: float) -> tuple[float, float]:
        """Return worth and slot-seconds of about the last 30 s.

        The interval between arrivals of counters can be a large part of the
        window. Therefore the rate between the first and the last sample is
        used instead of the sum of the changes that arrived within it.
        """
        samples = self.samples.get(key)
        if not samples:
            return 0.0, 0.0
        first, last = samples[0], samples[-1]
        row = self.rows.get(key)
        is_idle = row is None or not row.queued_requests + row.running_requests
        span_s = (now_s if is_idle else last.at_s) - first.at_s
        if span_s <= 0:
            return 0.0, 0.0
        fraction = min(1.0, WINDOW_S / span_s)
        return (
            max(0.0, last.worth - first.worth) * fraction,
            max(0.0, last.slot_s - first.slot_s) * fraction,
        )
