"""Policies for the order in which teams are served in a pool."""

import abc
from typing import Sequence

import attrs

__all__ = [
    "FifoOrder",
    "OrderPolicy",
    "RoundRobinOrder",
    "TeamCandidate",
    "WorthOverShareOrder",
]


@attrs.define
class TeamCandidate:
    """A team with a queued request that can be started.

    :ivar arrival: arrival number of its oldest queued request
    :ivar served_worth: worth served recently, including running requests
    """

    team: str
    arrival: int
    share: float
    served_worth: float


class OrderPolicy(abc.ABC):
    """Chooses the next team of one priority tier (urgent or normal)."""

    @abc.abstractmethod
    def choose(
        self, pool: str, candidates: Sequence[TeamCandidate]
    ) -> TeamCandidate:
        """Return the team whose request is started next.

        :param candidates: eligible teams, at least one
        """


class FifoOrder(OrderPolicy):
    """Serves the oldest request first (baseline)."""

    def choose(self, pool, candidates):
        """Return the team with the oldest request."""
        return min(candidates, key=lambda candidate: candidate.arrival)


class RoundRobinOrder(OrderPolicy):
    """Cycles through the teams and ignores shares (baseline)."""

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def choose(self, pool, candidates):
        """Return the team that follows the last one in order of names."""
        last = self._last.get(pool, "")
        ordered = sorted(candidates, key=lambda candidate: candidate.team)
        later = (each for each in ordered if each.team > last)
        chosen = next(later, ordered[0])
        self._last[pool] = chosen.team
        return chosen


class WorthOverShareOrder(OrderPolicy):
    """Serves the team with the lowest ratio of served worth to share."""

    def choose(self, pool, candidates):
        """Return the team with the lowest served worth per share."""
        return min(candidates, key=_worth_over_share)


def _worth_over_share(candidate):
    # A team with a share of 0 comes last; avoids a division by zero.
    if candidate.share <= 0:
        return (1, candidate.served_worth, candidate.arrival)
    return (0, candidate.served_worth / candidate.share, candidate.arrival)
