"""Which queue's demand rises next, and when; no input or output."""

import abc
from collections.abc import Mapping

import attrs

__all__ = [
    "CycleForecast",
    "Expectation",
    "NoForecast",
    "Turn",
    "TurnForecast",
]

# A pool whose arriving work keeps fewer VMs busy has no peak.
MIN_PEAK_VMS = 3.0
# A pool has its turn when its arriving work is so many times that of each
# other pool. Peaks are far higher than what comes in between, but the window
# of arrivals still shows the pool whose turn ends.
DOMINANCE = 1.3
# VMs are ordered this long before a rise is expected: a move takes 1.5 s, and
# the worker has to be listed and to report.
LEAD_MS = 2300
# A rise that has not come by then was not rightly expected.
GRACE_MS = 1200
# Part of the last peak that is provided ahead of a rise. What comes beyond
# follows the demand itself.
PROVIDED_SHARE = 0.8
# Wrong expectations in a row after which no more VMs are moved ahead.
MAX_MISSES = 2
# Turns that are remembered; the users have four queues that peak.
MAX_TURNS = 24


@attrs.frozen(kw_only=True)
class Turn:
    """A time in which one pool had most of the arriving work.

    :ivar peak_vms: VMs that its work would have kept busy at the most
    """

    pool: str
    started_ms: float
    peak_vms: float


@attrs.frozen(kw_only=True)
class Expectation:
    """A rise that is expected."""

    pool: str
    at_ms: float
    vms: float


class TurnForecast(abc.ABC):
    """Learns from arriving work, and expects rises."""

    @abc.abstractmethod
    def observe(
        self, arriving_vms: Mapping[str, float], now_ms: float
    ) -> None:
        """Take note of the arriving work of each pool.

        :param arriving_vms: VMs that it would keep busy, by pool
        """

    @abc.abstractmethod
    def expected_vms(self, now_ms: float) -> dict[str, float]:
        """Return the VMs to have ready for rises that are about to come."""


class NoForecast(TurnForecast):
    """Baseline: VMs follow the demand."""

    def observe(self, arriving_vms, now_ms):
        """Do nothing."""

    def expected_vms(self, now_ms):
        """Expect nothing."""
        return {}


class CycleForecast(TurnForecast):
    """Expects pools to peak in the order in which they did before.

    It answers queues whose demand rises by turns within a fraction of a
    second, while VMs take two seconds to come: without it, the work of the
    first two seconds of each turn is late. The pool that follows is the one
    that followed last time; before that is known, the only pool that had no
    turn yet, or the one whose turn is longest ago.

    :ivar turns: what was seen, the newest last
    """

    def __init__(self, turns: tuple[Turn, ...] = ()) -> None:
        self.turns = list(turns)
        self._pools: set[str] = {turn.pool for turn in turns}
        self._misses = 0
        self._awaited: Expectation | None = None

    def observe(self, arriving_vms, now_ms):
        """Note the start and the peak of turns."""
        self._pools |= {pool for pool, vms in arriving_vms.items() if vms > 0}
        pool = self._dominant(arriving_vms)
        if pool is not None:
            self._note(pool, arriving_vms[pool], now_ms)
        awaited = self._awaited
        if awaited is not None and now_ms > awaited.at_ms + GRACE_MS:
            self._awaited = None
            self._misses += 1

    @staticmethod
    def _dominant(arriving_vms: Mapping[str, float]) -> str | None:
        order = sorted(arriving_vms, key=lambda each: -arriving_vms[each])
        if not order or arriving_vms[order[0]] < MIN_PEAK_VMS:
            return None
        second = arriving_vms[order[1]] if len(order) > 1 else 0.0
        if arriving_vms[order[0]] < DOMINANCE * second:
            return None
        return order[0]

    def _note(self, pool: str, vms: float, now_ms: float) -> None:
        last = self.turns[-1] if self.turns else None
        if last is not None and last.pool == pool:
            if vms > last.peak_vms:
                self.turns[-1] = attrs.evolve(last, peak_vms=vms)
            return
        if self._awaited is not None and self._awaited.pool == pool:
            self._misses = 0
            self._awaited = None
        self.turns.append(Turn(pool=pool, started_ms=now_ms, peak_vms=vms))
        del self.turns[:-MAX_TURNS]

    def expected_vms(self, now_ms):
        """Return the VMs for the next turn when it is near."""
        expectation = self._next()
        if expectation is None or self._misses >= MAX_MISSES:
            return {}
        early_ms = expectation.at_ms - now_ms
        if not -GRACE_MS <= early_ms <= LEAD_MS:
            return {}
        self._awaited = self._awaited or expectation
        return {expectation.pool: expectation.vms * PROVIDED_SHARE}

    def _next(self) -> Expectation | None:
        """Return the turn that follows the present one."""
        if len(self.turns) < 2:
            return None
        current = self.turns[-1]
        successor = self._successor(current.pool)
        if successor is None:
            return None
        known = [turn for turn in self.turns if turn.pool == successor]
        peaks = known or self.turns[:-1]
        return Expectation(
            pool=successor,
            at_ms=current.started_ms + self._length_ms(),
            vms=max(turn.peak_vms for turn in peaks[-4:]),
        )

    def _successor(self, pool: str) -> str | None:
        for earlier, later in reversed(list(zip(self.turns, self.turns[1:]))):
            if earlier.pool == pool:
                return later.pool
        seen = {turn.pool: turn.started_ms for turn in self.turns}
        fresh = self._pools - set(seen)
        if len(fresh) == 1:
            return fresh.pop()
        if fresh or len(seen) < 2:
            return None
        return min(seen, key=seen.__getitem__)

    def _length_ms(self) -> float:
        """Return the median length of the turns that have ended."""
        starts = [turn.started_ms for turn in self.turns]
        lengths = sorted(b - a for a, b in zip(starts, starts[1:]))
        return lengths[len(lengths) // 2]
