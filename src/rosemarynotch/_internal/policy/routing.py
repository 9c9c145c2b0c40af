"""Choice of the target VM for a request."""

import abc
import random
from typing import Sequence

import attrs

__all__ = [
    "Candidate",
    "own_slots",
    "OwnSlotsRouter",
    "LeastInFlightRouter",
    "RandomRouter",
    "Router",
    "TwoChoicesRouter",
]


@attrs.define
class Candidate:
    """A target with a free slot.

    :ivar slots: requests that it may have in flight from this entry now
    :ivar recent_failures: its failures of the last seconds
    :ivar own_slots: its slots within this entry's part of the pool
    """

    vm: str
    address: str
    slots: int
    in_flight: int
    recent_failures: int = 0
    own_slots: float = 0.0

    @property
    def load(self) -> float:
        """Return requests and failures per slot."""
        return (self.in_flight + self.recent_failures) / self.slots


def own_slots(
    slots: Sequence[tuple[str, int]], start: float, end: float
) -> dict[str, float]:
    """Return the slots of each VM that lie within a part of the pool.

    :param slots: VM and number of slots, in the order that all entries use
    :param start: where the part begins, in slots
    """
    found = {}
    before = 0.0
    for vm, count in slots:
        overlap = min(end, before + count) - max(start, before)
        if overlap > 0:
            found[vm] = overlap
        before += count
    return found


class Router(abc.ABC):
    """Picks one of the targets that have a free slot."""

    @abc.abstractmethod
    def pick(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the target to use, or None without candidates."""


class RandomRouter(Router):
    """Baseline: any target."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, candidates):
        """Return a random candidate."""
        return self._rng.choice(candidates) if candidates else None


class LeastInFlightRouter(Router):
    """Baseline: the target with the fewest requests in flight.

    A target that fails fast has few requests in flight and attracts work.
    """

    def pick(self, candidates):
        """Return the candidate with the fewest requests in flight."""
        return min(candidates, key=lambda c: c.in_flight, default=None)


class TwoChoicesRouter(Router):
    """The less loaded of two random targets; recent failures are load."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, candidates):
        """Return the less loaded of two random candidates."""
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        count = len(candidates)
        first = int(self._rng.random() * count)
        second = (first + 1 + int(self._rng.random() * (count - 1))) % count
        one, other = candidates[first], candidates[second]
        return one if one.load <= other.load else other


class OwnSlotsRouter(TwoChoicesRouter):
    """The target with most of this entry's own slots free.

    Entries that choose targets independently fill some beyond their slots
    and leave others idle. Each entry has a part of the pool's slots of its
    own instead. When its part is full, or a target there has failed, it
    takes the less loaded of two random targets.
    """

    def pick(self, candidates):
        """Return the candidate with most own slots free, if there is one."""
        best = max(candidates, key=_own_free, default=None)
        if best is not None and _own_free(best) > 0:
            return best
        return super().pick(candidates)


def _own_free(candidate: Candidate) -> float:
    used = candidate.in_flight + candidate.recent_failures
    return candidate.own_slots - used
