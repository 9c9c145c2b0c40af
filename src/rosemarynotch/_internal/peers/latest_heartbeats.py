"""The newest heartbeat of each member."""

import threading

import attrs

from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Heard", "ReceivedHeartbeat"]


@attrs.frozen(kw_only=True)
class ReceivedHeartbeat:
    """The last heartbeat of a member and the time since it arrived."""

    heartbeat: Heartbeat
    age_s: float


class Heard:
    """Takes heartbeats of registered members in order.

    A heartbeat of an incarnation that is not registered may come from a
    process that has been replaced. It is taken only if its sender knows a
    newer members record than this process.

    :param members: view with ``record`` and ``revision``
    """

    def __init__(self, members, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._lock = threading.Lock()
        self._last: dict[str, tuple[Heartbeat, float]] = {}

    def accepts(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a heartbeat is the newest of a registered member."""
        member = self._members.record.members.get(heartbeat.sender)
        registered = (
            member is not None and member.incarnation == heartbeat.incarnation
        )
        newer = heartbeat.members_revision > self._members.revision
        if not registered and not newer:
            return False
        with self._lock:
            last, _ = self._last.get(heartbeat.sender, (None, 0.0))
        return last is None or not _is_late(heartbeat, last)

    def keep(self, heartbeat: Heartbeat) -> None:
        """Keep a heartbeat that was accepted."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._last[heartbeat.sender] = (heartbeat, now_s)

    def members(self) -> dict[str, ReceivedHeartbeat]:
        """Return what was heard, by name."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return {
                name: ReceivedHeartbeat(
                    heartbeat=heartbeat, age_s=now_s - taken_s
                )
                for name, (heartbeat, taken_s) in self._last.items()
            }

    def forget_others(self) -> None:
        """Drop what was heard of members that are registered no longer."""
        members = self._members.record.members
        with self._lock:
            self._last = {
                name: item
                for name, item in self._last.items()
                if name in members
            }


def _is_late(heartbeat: Heartbeat, last: Heartbeat) -> bool:
    if heartbeat.incarnation == last.incarnation:
        return heartbeat.sequence <= last.sequence
    # A process reads the revision that registers it before it sends, so a
    # later incarnation knows a later revision than any earlier one.
    return heartbeat.members_revision <= last.members_revision
