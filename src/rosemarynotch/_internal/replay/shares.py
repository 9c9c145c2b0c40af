"""Distance of served worth from weighted max-min shares.

The measurement does not use the product's own policy, so that a fault there
cannot hide itself.
"""

import attrs

__all__ = ["Distance", "distance", "max_min"]

NEGLIGIBLE = 1e-9


@attrs.frozen(kw_only=True)
class Distance:
    """How far teams are from their share.

    :ivar fair: worth that each team should have got
    :ivar relative: by team, |served - fair| / fair
    """

    fair: dict[str, float]
    relative: dict[str, float]

    @property
    def mean(self) -> float:
        """Return the mean over teams, 0 without teams."""
        if not self.relative:
            return 0.0
        return sum(self.relative.values()) / len(self.relative)

    @property
    def worst(self) -> float:
        """Return the largest distance, 0 without teams."""
        return max(self.relative.values(), default=0.0)


def max_min(
    total: float, shares: dict[str, float], demands: dict[str, float]
) -> dict[str, float]:
    """Divide a total by share, giving no team more than its demand."""
    given = {team: 0.0 for team in shares}
    open_teams = {t for t in shares if demands[t] > 0 and shares[t] > 0}
    left = total
    while open_teams and left > NEGLIGIBLE:
        level = left / sum(shares[team] for team in open_teams)
        full = {t for t in open_teams if level * shares[t] >= demands[t]}
        for team in full or open_teams:
            given[team] = demands[team] if full else level * shares[team]
            left -= given[team]
        open_teams = open_teams - full if full else set()
    return given


def distance(
    served: dict[str, float],
    shares: dict[str, float],
    demands: dict[str, float],
) -> Distance:
    """Compare what teams were served with a fair division of the same sum.

    :param served: worth by team
    :param demands: worth that each team could have been served at most
    """
    total = sum(served.values())
    fair = max_min(total, shares, demands)
    relative = {
        team: abs(served.get(team, 0.0) - fair[team]) / fair[team]
        for team in sorted(shares)
        if fair[team] > 0
    }
    return Distance(fair=fair, relative=relative)
