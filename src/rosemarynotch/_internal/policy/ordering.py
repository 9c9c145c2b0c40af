"""Which team's request goes next in a pool."""

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
    """A team with a request that could start now.

    :ivar arrival: position of its oldest request in the order of arrival
    :ivar served_worth: worth served lately, with what runs now
    """

    team: str
    arrival: int
    share: float
    served_worth: float


class OrderPolicy(abc.ABC):
    """Chooses among the teams of one tier, urgent or not."""

    @abc.abstractmethod
    def choose(
        self, pool: str, turns: Sequence[TeamCandidate]
    ) -> TeamCandidate:
        """Return the team that goes next.

        :param turns: at least one
        """


class FifoOrder(OrderPolicy):
    """Baseline: the oldest request goes first."""

    def choose(self, pool, turns):
        """Return the team with the oldest request."""
        return min(turns, key=lambda turn: turn.arrival)


class RoundRobinOrder(OrderPolicy):
    """Baseline: teams take turns, whatever their shares."""

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def choose(self, pool, turns):
        """Return the first team after the last one, by name."""
        last = self._last.get(pool, "")
        ordered = sorted(turns, key=lambda turn: turn.team)
        later = (turn for turn in ordered if turn.team > last)
        chosen = next(later, ordered[0])
        self._last[pool] = chosen.team
        return chosen


class WorthOverShareOrder(OrderPolicy):
    """The team with the lowest served worth divided by share goes first."""

    def choose(self, pool, turns):
        """Return the team that is furthest behind its share."""
        return min(turns, key=_worth_over_share)


def _worth_over_share(turn):
    # A team without a share goes last instead of dividing by zero.
    if turn.share <= 0:
        return (1, turn.served_worth, turn.arrival)
    return (0, turn.served_worth / turn.share, turn.arrival)
