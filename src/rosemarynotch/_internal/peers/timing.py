"""Periods and limits of heartbeats."""

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import MembersView

__all__ = ["LinkTiming", "Timing"]


@attrs.frozen(kw_only=True)
class Timing:
    """Periods and limits of heartbeats.

    The period grows with the number of participants, which are the entries
    and the leading control process, so that the number of messages that a
    process handles per second stays constant.

    With 0.2 s per participant, an entry among 30 with 45 active teams spent
    2.9 KB/s on heartbeats, which left too little of 3 KB/s for the calls to
    the platform. With over 0.3 s, the period of 30 entries would come close
    to the 10 s after which the freshness check of keys no longer counts an
    entry as reachable.

    :ivar period_s: lower bound of the period
    :ivar per_participant_s: time that each participant adds to the period
    :ivar min_interval_s: least time from a heartbeat to one sent on request
    :ivar missed_heartbeats: number of periods without an acknowledgement
        after which the connection of a link is replaced
    """

    period_s: float = 1.0
    per_participant_s: float = 0.25
    min_interval_s: float = 0.2
    missed_heartbeats: int = 3

    def period_for(self, entries_count: int) -> float:
        """Return the time between two heartbeats."""
        participants_count = entries_count + 1
        return max(self.period_s, self.per_participant_s * participants_count)

    def silence_for(self, entries_count: int) -> float:
        """Return the longest time without an acknowledgement."""
        return self.missed_heartbeats * self.period_for(entries_count)


@attrs.frozen
class LinkTiming:
    """Gives the times of links for the current number of entries."""

    timing: Timing
    members: "MembersView"

    def heartbeat_period_s(self) -> float:
        """Return the time between two heartbeats."""
        return self.timing.period_for(len(self.members.entries()))

    def silence_s(self) -> float:
        """Return the longest time without an acknowledgement."""
        return self.timing.silence_for(len(self.members.entries()))
