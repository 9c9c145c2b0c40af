"""How recently the configuration was known to be the newest (rule R6)."""

import threading

from rosemarynotch._internal.configuration.views import MembersView
from rosemarynotch._internal.exceptions import CONFIGURATION_STALE
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Freshness", "STALE_AFTER_S"]

# An entry that is cut off refuses keyed work after this time, so a revoked
# key stops working within it plus the time to spread a change (P3).
STALE_AFTER_S = 10.0


class Freshness:
    """Tells whether work that requires a key may be accepted.

    The age of a store contact that a heartbeat reports is taken as of its
    arrival. That is safe because the exchange bounds the time that a
    heartbeat can be delayed in a connection, and because a process that was
    paused revalidates with the store (rule R2).

    When the store answers nobody, no entry can change the configuration;
    hearing most entries shows that. Only entries write it, so only they
    count: an entry that had contact would tell of it. Controls that do not
    lead are never heard.

    :param members: members that could be heard
    :param name: this member
    """

    def __init__(self, clock: Clock, members: MembersView, name: str) -> None:
        self._clock = clock
        self._members = members
        self._name = name
        self._lock = threading.Lock()
        self._contact_s = -float("inf")
        self._heard_s: dict[str, float] = {}

    def record_store_contact(self) -> None:
        """Note an answer of the store to this process."""
        with self._lock:
            self._contact_s = self._clock.monotonic_s()

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Note that a member was heard, and its newest store contact."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._heard_s[heartbeat.sender] = now_s
            contact_s = now_s - max(0.0, heartbeat.store_age_s)
            self._contact_s = max(self._contact_s, contact_s)

    def store_age_s(self) -> float:
        """Return the time since the newest contact, own or heard."""
        with self._lock:
            return self._clock.monotonic_s() - self._contact_s

    def check(self) -> None | Failure:
        """Return None, or CONFIGURATION_STALE."""
        age_s = self.store_age_s()
        if age_s <= STALE_AFTER_S or self._hears_majority():
            return None
        return CONFIGURATION_STALE.with_reason(
            f"no contact with the store for over {STALE_AFTER_S:.0f} s, "
            "and most entries are not heard"
        )

    def _hears_majority(self) -> bool:
        entries = [member.name for member in self._members.entries()]
        since_s = self._clock.monotonic_s() - STALE_AFTER_S
        with self._lock:
            heard = sum(
                1
                for name in entries
                if name != self._name
                and self._heard_s.get(name, -float("inf")) >= since_s
            )
        others = len(entries) - (self._name in entries)
        return heard * 2 > others
