"""Times of the exchange."""

import attrs

__all__ = ["Timing"]


@attrs.frozen(kw_only=True)
class Timing:
    """Periods and limits of heartbeats.

    The period grows with the number of members, so that the number of
    messages that a process handles per second stays constant.

    :ivar hasten_s: least time between a heartbeat and one sent on request
    :ivar missed_heartbeats: a link that was silent for so many periods is
        replaced
    """

    period_s: float = 1.0
    per_member_s: float = 0.15
    hasten_s: float = 0.2
    missed_heartbeats: int = 3

    def period_for(self, members_count: int) -> float:
        """Return the time between two heartbeats."""
        return max(self.period_s, self.per_member_s * members_count)

    def silence_for(self, members_count: int) -> float:
        """Return the silence after which a link is not trusted."""
        return self.missed_heartbeats * self.period_for(members_count)
