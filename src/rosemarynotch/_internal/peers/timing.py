"""Times of the exchange."""

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import MembersView

__all__ = ["LinkTiming", "Timing"]


@attrs.frozen(kw_only=True)
class Timing:
    """Periods and limits of heartbeats.

    The period grows with the number of members, so that the number of
    messages that a process handles per second stays constant.

    With 0.15 s for each member, 60 members spent over 3 KB/s on heartbeats.
    Much more than 0.2 s would let a member be silent for the 10 s after
    which it no longer counts as heard for the freshness of keys.

    :ivar hasten_s: least time between a heartbeat and one sent on request
    :ivar missed_heartbeats: a link that was silent for so many periods is
        replaced
    """

    period_s: float = 1.0
    per_member_s: float = 0.2
    hasten_s: float = 0.2
    missed_heartbeats: int = 3

    def period_for(self, members_count: int) -> float:
        """Return the time between two heartbeats."""
        return max(self.period_s, self.per_member_s * members_count)

    def silence_for(self, members_count: int) -> float:
        """Return the silence after which a link is not trusted."""
        return self.missed_heartbeats * self.period_for(members_count)


@attrs.frozen
class LinkTiming:
    """The times of a link, which follow the number of members."""

    timing: Timing
    members: "MembersView"

    def beat_s(self) -> float:
        """Return the time between two heartbeats."""
        return self.timing.period_for(len(self.members.record.members))

    def silence_s(self) -> float:
        """Return the silence after which the link is not trusted."""
        return self.timing.silence_for(len(self.members.record.members))
