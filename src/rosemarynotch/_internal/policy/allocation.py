"""Allocation of a pool's slots to teams."""

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
    """Demand of one team on a pool.

    :ivar demand_slots: running and queued requests, over all entries
    :ivar share: the team's share in the configuration document
    :ivar worth_per_slot_s: worth served for the team per slot and second
    :ivar deficit: fraction of the worth due to the team in the recent past
        that it was not served; negative if it was served more
    """

    team: str
    demand_slots: float
    share: float
    worth_per_slot_s: float = 1.0
    deficit: float = 0.0


@attrs.frozen(kw_only=True)
class PoolDemand:
    """Slots of a pool and the demand of its teams."""

    slots: float
    teams: tuple[TeamDemand, ...]


class SharePolicy(abc.ABC):
    """Allocates the slots of a pool to teams."""

    @abc.abstractmethod
    def allocate(self, pool: PoolDemand) -> dict[str, float]:
        """Return slots by team.

        No team gets more than its demand, and slots remain unassigned only
        if the demand of all teams is met.
        """


class EqualSplit(SharePolicy):
    """Max-min allocation with equal weights; ignores shares (baseline)."""

    def allocate(self, pool: PoolDemand) -> dict[str, float]:
        """Return slots by team."""
        return _water_fill(pool.slots, [(team, 1.0) for team in pool.teams])


class WeightedMaxMin(SharePolicy):
    """Weighted max-min allocation that equalizes served worth per share.

    A team with more worth per slot needs fewer slots for its share. The
    deficit raises or lowers the weight to correct past deviations.

    :param deficit_gain: change of the weight per unit of deficit; 0 disables
        the correction
    """

    def __init__(self, deficit_gain: float = 2.0) -> None:
        self._deficit_gain = deficit_gain

    def allocate(self, pool: PoolDemand) -> dict[str, float]:
        """Return slots by team."""
        return _water_fill(
            pool.slots, [(team, self._weight(team)) for team in pool.teams]
        )

    def _weight(self, team: TeamDemand) -> float:
        correction = 1.0 + self._deficit_gain * team.deficit
        correction = min(MAX_CORRECTION, max(1 / MAX_CORRECTION, correction))
        worth = max(team.worth_per_slot_s, MIN_WORTH_PER_SLOT_S)
        return max(team.share / worth * correction, MIN_WEIGHT)


# Bounds the change of the allocation if counters are missing or late.
MAX_CORRECTION = 2.0
# Lower bounds, so that a team with a worth of 0 does not get all slots and a
# team with a share of 0 still gets slots that no other team requests.
MIN_WORTH_PER_SLOT_S = 1e-6
MIN_WEIGHT = 1e-9


def _water_fill(
    slots: float, weighted: list[tuple[TeamDemand, float]]
) -> dict[str, float]:
    """Return slots by team, by weight and up to the demand of each team.

    Slots beyond a team's demand are divided among the other teams.
    """
    ordered = sorted(weighted, key=lambda item: item[0].demand_slots / item[1])
    # Weights are summed from the end, so that the last team gets exactly the
    # remaining slots. Subtracting from the total would round a small weight
    # away beside large ones.
    remaining_weights = list(
        itertools.accumulate(weight for _, weight in reversed(ordered))
    )
    allocation = {}
    remaining_slots = max(0.0, slots)
    for team, weight in ordered:
        part = remaining_slots * weight / remaining_weights.pop()
        assigned = min(team.demand_slots, part)
        allocation[team.team] = assigned
        remaining_slots -= assigned
    return allocation
