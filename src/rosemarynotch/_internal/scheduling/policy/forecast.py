"""Forecasts which pool's demand rises next, and when.

A turn is a period in which one pool has most of the arriving work. This module
performs no I/O.
"""

import abc
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from rosemarynotch._internal.scheduling.records import Turn

__all__ = [
    "CycleForecast",
    "ExpectedTurn",
    "NoForecast",
    "TurnForecast",
]

# Fewest VMs that a pool's arriving work has to keep busy to count as a peak.
MIN_PEAK_VMS = 3.0
# A pool has its turn when its arriving work is this many times that of every
# other pool. Peaks are far higher than the load between them, but the window
# of arrivals still includes the pool whose turn has just ended.
DOMINANCE_FACTOR = 1.3
# VMs are ordered this long before an expected turn: a move takes 1.5 s, and
# the worker then has to be listed and to report.
LEAD_TIME_MS = 2300
# Some of them are ordered this long before. The arrivals of a turn begin to
# rise about a second before they exceed those of the turn before, which is
# when it counts as started, and turns may start up to a second early.
EARLY_LEAD_TIME_MS = 4000
# An expected rise that is earlier or later by more than this was not forecast.
GRACE_MS = 1200
# Share of the last peak for which VMs are provided ahead of a rise, while the
# last two turns were forecast. The rest follows the measured demand.
PROVISIONED_SHARE = 0.8
# The same share while only the newest turn was forecast, or at another time,
# and the largest share that is provided early.
UNPROVED_SHARE = 0.5
# The same share while no turn could be forecast yet.
FIRST_SHARE = 0.4
# Turns that are kept; the users have four queues that peak.
MAX_TURNS = 24


@attrs.frozen(kw_only=True)
class ExpectedTurn:
    """A forecast turn.

    :ivar at_ms: when it is expected to start
    :ivar vms: VMs that its work is expected to keep busy
    """

    pool: str
    at_ms: float
    vms: float


class TurnForecast(abc.ABC):
    """Forecasts rises in demand from the arriving work of the pools.

    :ivar turns: observed turns, the newest last
    """

    def __init__(self) -> None:
        self.turns: list[Turn] = []

    @abc.abstractmethod
    def observe(
        self,
        arriving_vms: Mapping[str, float],
        demand_vms: Mapping[str, float],
        now_ms: float,
    ) -> None:
        """Record the work of each pool.

        :param arriving_vms: VMs that the arriving work would keep busy
        :param demand_vms: VMs that the accepted work fills
        """

    @abc.abstractmethod
    def expected_vms(self, now_ms: float) -> dict[str, float]:
        """Return the VMs to provide for imminent rises, by pool."""


class NoForecast(TurnForecast):
    """Forecasts no rises, so that VMs follow the demand (baseline).

    :param turns: ignored
    """

    def __init__(self, turns: tuple[Turn, ...] = ()) -> None:
        super().__init__()

    def observe(self, arriving_vms, demand_vms, now_ms):
        """Record nothing."""

    def expected_vms(self, now_ms):
        """Return no VMs."""
        return {}


class CycleForecast(TurnForecast):
    """Expects pools to peak in the same order as before.

    Intended for queues that peak one after the other. Their demand rises
    within a fraction of a second, while VMs take two seconds to arrive, so
    without a forecast the work of the first two seconds of each turn is late.

    The next pool is the one that followed the present pool last time. If that
    is not known yet, it is the only pool that had no turn so far, or else the
    one whose last turn started first.

    Fewer VMs are provided until two forecasts have come true, and none after a
    turn of another pool than expected: such a forecast moves VMs in vain, and
    takes them from the pool that does peak.

    :param early_lead_time_ms: time from the order of the first VMs to the
        expected turn
    """

    def __init__(
        self,
        turns: tuple[Turn, ...] = (),
        early_lead_time_ms: float = EARLY_LEAD_TIME_MS,
    ) -> None:
        super().__init__()
        self.turns = list(turns)
        self._early_lead_time_ms = early_lead_time_ms
        self._pools: set[str] = {turn.pool for turn in turns}

    def observe(self, arriving_vms, demand_vms, now_ms):
        """Record the starts and the peaks of turns."""
        self._pools |= {pool for pool, vms in arriving_vms.items() if vms > 0}
        pool = self._dominant(arriving_vms)
        if pool is not None:
            self._record_turn(pool, demand_vms.get(pool, 0.0), now_ms)

    @staticmethod
    def _dominant(arriving_vms: Mapping[str, float]) -> str | None:
        order = sorted(arriving_vms, key=lambda each: -arriving_vms[each])
        if not order or arriving_vms[order[0]] < MIN_PEAK_VMS:
            return None
        second = arriving_vms[order[1]] if len(order) > 1 else 0.0
        if arriving_vms[order[0]] < DOMINANCE_FACTOR * second:
            return None
        return order[0]

    def _record_turn(self, pool: str, vms: float, now_ms: float) -> None:
        last = self.turns[-1] if self.turns else None
        if last is not None and last.pool == pool:
            if vms > last.peak_vms:
                self.turns[-1] = attrs.evolve(last, peak_vms=vms)
            return
        self.turns.append(Turn(pool=pool, started_ms=now_ms, peak_vms=vms))
        del self.turns[:-MAX_TURNS]

    def expected_vms(self, now_ms):
        """Return the VMs for the next turn if it is imminent."""
        expected = _next_turn(self.turns, self._pools)
        if expected is None:
            return {}
        remaining_ms = expected.at_ms - now_ms
        if not -GRACE_MS <= remaining_ms <= self._early_lead_time_ms:
            return {}
        share = self._provisioned_share()
        if remaining_ms > LEAD_TIME_MS:
            share = min(share, UNPROVED_SHARE)
        return {expected.pool: expected.vms * share} if share else {}

    def _provisioned_share(self) -> float:
        """Return the share of a peak to provide after the newest turn."""
        newest = len(self.turns) - 1
        predicted = _next_turn(self.turns[:newest], self._pools)
        if predicted is None:
            return FIRST_SHARE
        if predicted.pool != self.turns[newest].pool:
            return 0.0
        is_proved = all(map(self._was_forecast, (newest, newest - 1)))
        return PROVISIONED_SHARE if is_proved else UNPROVED_SHARE

    def _was_forecast(self, number: int) -> bool:
        """Tell whether a turn started where and when it was expected."""
        turn = self.turns[number]
        predicted = _next_turn(self.turns[:number], self._pools)
        return (
            predicted is not None
            and predicted.pool == turn.pool
            and abs(predicted.at_ms - turn.started_ms) <= GRACE_MS
        )


def _next_turn(turns: Sequence[Turn], pools: set[str]) -> ExpectedTurn | None:
    """Return the turn that should follow the newest one.

    :param pools: all pools that had arriving work
    """
    if len(turns) < 2:
        return None
    current = turns[-1]
    successor = _successor(turns, current.pool, pools)
    if successor is None:
        return None
    known = [turn for turn in turns if turn.pool == successor]
    peaks = known or turns[:-1]
    return ExpectedTurn(
        pool=successor,
        at_ms=current.started_ms + _length_ms(turns),
        vms=max(turn.peak_vms for turn in peaks[-4:]),
    )


def _successor(
    turns: Sequence[Turn], pool: str, pools: set[str]
) -> str | None:
    for earlier, later in reversed(list(zip(turns, turns[1:]))):
        if earlier.pool == pool:
            return later.pool
    seen = {turn.pool: turn.started_ms for turn in turns}
    unseen = pools - set(seen)
    if len(unseen) == 1:
        return unseen.pop()
    if unseen or len(seen) < 2:
        return None
    return min(seen, key=seen.__getitem__)


def _length_ms(turns: Sequence[Turn]) -> float:
    """Return the median length of the turns that have ended."""
    starts = [turn.started_ms for turn in turns]
    lengths = sorted(b - a for a, b in zip(starts, starts[1:]))
    return lengths[len(lengths) // 2]
