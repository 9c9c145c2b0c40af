"""Check that the configuration in force is recent enough (rule R6)."""

import threading

from rosemarynotch._internal.configuration.views import MembersView
from rosemarynotch._internal.exceptions import CONFIGURATION_STALE
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Freshness", "STALE_AFTER_S"]

# An entry without contact refuses work that requires a key after this time.
# A withdrawn key is therefore refused within this time plus the time in which
# a change spreads (P3).
STALE_AFTER_S = 10.0


class Freshness:
    """Decides whether work that requires a key may be accepted.

    The age of a store contact reported by a heartbeat is relative to the
    arrival of the heartbeat. This is safe because the exchange bounds the
    delay of a heartbeat in a connection, and because a process that was
    paused revalidates with the store (rule R2).

    If the store answers no entry, the configuration cannot change, because
    only entries write it. Recent heartbeats of most entries show this, since
    an entry with store contact would report the contact. Control processes
    are not counted; those that do not lead send no heartbeats.

    :param members: view of the members record
    :param name: name of this member
    """

    def __init__(self, clock: Clock, members: MembersView, name: str) -> None:
        self._clock = clock
        self._members = members
        self._name = name
        self._lock = threading.Lock()
        self._contact_at_s = -float("inf")
        self._received_at_s: dict[str, float] = {}

    def record_store_contact(self) -> None:
        """Record an answer of the store to this process."""
        with self._lock:
            self._contact_at_s = self._clock.monotonic_s()

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record the arrival of a heartbeat and the contact it reports."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._received_at_s[heartbeat.sender] = now_s
            contact_at_s = now_s - max(0.0, heartbeat.store_age_s)
            self._contact_at_s = max(self._contact_at_s, contact_at_s)

    def store_age_s(self) -> float:
        """Return the time since the latest store contact.

        Contacts reported by other members count as well.
        """
        with self._lock:
            return self._clock.monotonic_s() - self._contact_at_s

    def check(self) -> None | Failure:
        """Return None if work may be accepted, or CONFIGURATION_STALE."""
        age_s = self.store_age_s()
        if age_s <= STALE_AFTER_S or self._has_entry_majority():
            return None
        return CONFIGURATION_STALE.with_reason(
            f"no contact with the store for over {STALE_AFTER_S:.0f} s, "
            "and no recent heartbeat from most entries"
        )

    def _has_entry_majority(self) -> bool:
        entries = [member.name for member in self._members.entries()]
        since_s = self._clock.monotonic_s() - STALE_AFTER_S
        with self._lock:
            recent_count = sum(
                1
                for name in entries
                if name != self._name
                and self._received_at_s.get(name, -float("inf")) >= since_s
            )
        other_count = len(entries) - (self._name in entries)
        return recent_count * 2 > other_count
