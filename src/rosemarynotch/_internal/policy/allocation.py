"""Division of a pool's slots over teams."""

import abc
import itertools

import attrs

__all__ = [
    "EqualSplit",
    "PoolDemand",
    "SharePolicy",
    "TeamDemand",
    "WeightedMaxMin",
]


@attrs.frozen(kw_only=True)
class TeamDemand:
    """What one team wants from a pool.

    :ivar demand_slots: requests that run or are queued, over all entries
    :ivar share: the team's share in the document
    :ivar worth_per_slot_s: worth that the team gets from a slot in a second
    :ivar deficit: part of the worth due to the team that it did not get
        recently; negative when it got more
    """

    team: str
    demand_slots: float
    share: float
    worth_per_slot_s: float = 1.0
    deficit: float = 0.0


@attrs.frozen(kw_only=True)
class PoolDemand:
    """The slots of a pool and the teams that want them."""

    slots: float
    teams: tuple[TeamDemand, ...]


class SharePolicy(abc.ABC):
    """Divides the slots of a pool."""

    @abc.abstractmethod
    def allocate(self, pool: PoolDemand) -> dict[str, float]:
        """Return slots by team.

        No team gets more than its demand, and slots stay unassigned only
        when all demands are met.
        """


class EqualSplit(SharePolicy):
    """The baseline: the same for each team, whatever its share."""

    def allocate(self, pool: PoolDemand) -> dict[str, float]:
        """Return slots by team."""
        return _fill(pool.slots, [(team, 1.0) for team in pool.teams])


class WeightedMaxMin(SharePolicy):
    """Weighted max-min by shares of served worth.

    A team that gets much worth from a slot needs fewer slots for its share.
    The deficit raises or lowers the weight to repair past deviations.

    :param deficit_gain: change of the weight per unit of deficit; 0 for no
        correction
    """

    def __init__(self, deficit_gain: float = 2.0) -> None:
        self._deficit_gain = deficit_gain

    def allocate(self, pool: PoolDemand) -> dict[str, float]:
        """Return slots by team."""
        return _fill(
            pool.slots, [(team, self._weight(team)) for team in pool.teams]
        )

    def _weight(self, team: TeamDemand) -> float:
        correction = 1.0 + self._deficit_gain * team.deficit
        correction = min(MAX_CORRECTION, max(1 / MAX_CORRECTION, correction))
        worth = max(team.worth_per_slot_s, SMALLEST_WORTH)
        return max(team.share / worth * correction, SMALLEST_WEIGHT)


# Bounds the swing of the allocation when counters are missing or late.
MAX_CORRECTION = 2.0
# Keep a team with a worth or share of 0 from getting everything or nothing
# of slots that nobody else wants.
SMALLEST_WORTH = 1e-6
SMALLEST_WEIGHT = 1e-9


def _fill(
    slots: float, weighted: list[tuple[TeamDemand, float]]
) -> dict[str, float]:
    """Divide slots by weight, and what a team does not want once more."""
    ordered = sorted(weighted, key=lambda item: item[0].demand_slots / item[1])
    # Sums from the end are exact for the last team, which has to get all
    # that is left; subtraction would lose a small weight beside large ones.
    left_weights = list(
        itertools.accumulate(weight for _, weight in reversed(ordered))
    )
    allocation = {}
    left_slots = max(0.0, slots)
    for team, weight in ordered:
        part = left_slots * weight / left_weights.pop()
        given = min(team.demand_slots, part)
        allocation[team.team] = given
        left_slots -= given
    return allocation
