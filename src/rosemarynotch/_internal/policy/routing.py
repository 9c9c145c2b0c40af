"""Policies for the choice of a request's target VM."""

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

    :ivar slots: limit of requests in flight from this entry
    :ivar recent_failures: failures of the target in the last seconds
    :ivar own_slots: slots of the target that are assigned to this entry
    """

    vm: str
    address: str
    slots: int
    in_flight: int
    recent_failures: int = 0
    own_slots: float = 0.0

    @property
    def load(self) -> float:
        """Return requests in flight plus recent failures, per slot."""
        return (self.in_flight + self.recent_failures) / self.slots


def own_slots(
    slots: Sequence[tuple[str, int]], start: float, end: float
) -> dict[str, float]:
    """Return the slots of each VM that lie within a range of the pool.

    :param slots: name and number of slots of each VM, in the order that all
        entries use
    :param start: first slot of the range, counted over all VMs
    :param end: end of the range, counted likewise
    """
    overlaps = {}
    before = 0.0
    for vm, count in slots:
        overlap = min(end, before + count) - max(start, before)
        if overlap > 0:
            overlaps[vm] = overlap
        before += count
    return overlaps


class Router(abc.ABC):
    """Picks one of the targets that have a free slot."""

    @abc.abstractmethod
    def pick(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the target to use, or None if there are no candidates."""


class RandomRouter(Router):
    """Picks a random target (baseline)."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, candidates):
        """Return a random candidate."""
        return self._rng.choice(candidates) if candidates else None


class LeastInFlightRouter(Router):
    """Picks the target with the fewest requests in flight (baseline).

    A target that fails quickly has few requests in flight and therefore
    attracts more of them.
    """

    def pick(self, candidates):
        """Return the candidate with the fewest requests in flight."""
        return min(candidates, key=lambda c: c.in_flight, default=None)


class TwoChoicesRouter(Router):
    """Picks the less loaded of two random targets.

    Recent failures count as load.
    """

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
    """Picks the target with the most free slots assigned to this entry.

    Entries that choose targets independently overload some targets and leave
    others idle. Therefore each entry is assigned a range of the pool's
    slots. If its slots are all in use or taken by recent failures, the less
    loaded of two random targets is used.
    """

    def pick(self, candidates):
        """Return the candidate with the most free slots of this entry."""
        best = max(candidates, key=_free_own_slots, default=None)
        if best is not None and _free_own_slots(best) > 0:
            return best
        return super().pick(candidates)


def _free_own_slots(candidate: Candidate) -> float:
    used = candidate.in_flight + candidate.recent_failures
    return candidate.own_slots - used
