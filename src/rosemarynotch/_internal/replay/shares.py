"""Measures the distance of served worth from weighted max-min shares.

The module does not use the share policy of the product, so that a fault in
the policy cannot distort the measurement as well.
"""

import attrs

__all__ = ["Distance", "distance", "max_min"]

NEGLIGIBLE = 1e-9


@attrs.frozen(kw_only=True)
class Distance:
    """Distance of teams from their shares.

    :ivar fair: by team, worth under weighted max-min shares
    :ivar relative: by team, |served - fair| / fair
    """

    fair: dict[str, float]
    relative: dict[str, float]

    @property
    def mean(self) -> float:
        """Return the mean relative distance, 0 without teams."""
        if not self.relative:
            return 0.0
        return sum(self.relative.values()) / len(self.relative)

    @property
    def worst(self) -> float:
        """Return the largest relative distance, 0 without teams."""
        return max(self.relative.values(), default=0.0)


def max_min(
    total: float, shares: dict[str, float], demands: dict[str, float]
) -> dict[str, float]:
    """Divide a total in proportion to shares, limited by demands."""
    allocated = {team: 0.0 for team in shares}
    unsatisfied = {t for t in shares if demands[t] > 0 and shares[t] > 0}
    remaining = total
    while unsatisfied and remaining > NEGLIGIBLE:
        level = remaining / sum(shares[team] for team in unsatisfied)
        saturated = {t for t in unsatisfied if level * shares[t] >= demands[t]}
        for team in saturated or unsatisfied:
            allocated[team] = (
                demands[team] if saturated else level * shares[team]
            )
            remaining -= allocated[team]
        unsatisfied = unsatisfied - saturated if saturated else set()
    return allocated


def distance(
    served: dict[str, float],
    shares: dict[str, float],
    demands: dict[str, float],
) -> Distance:
    """Compare served worth with the fair division of the same total.

    :param served: worth by team
    :param demands: by team, the most worth that it could have used
    """
    total = sum(served.values())
    fair = max_min(total, shares, demands)
    relative = {
        team: abs(served.get(team, 0.0) - fair[team]) / fair[team]
        for team in sorted(shares)
        if fair[team] > 0
    }
    return Distance(fair=fair, relative=relative)
