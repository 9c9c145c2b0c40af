"""The leader lease, which avoids duplicate work but is not a lock."""

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import LEASE_LOST
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.reference.interface import Store
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["LEADER_KEY", "LEASE_S", "Leadership"]

LEADER_KEY = "control/leader"
LEASE_S = 5.0
# Two renewals may fail before the lease expires.
RENEW_INTERVAL_S = 1.5
ATTEMPT_INTERVAL_S = 2.0


@attrs.frozen(kw_only=True)
class LeaderRecord:
    """The leading process and its lease."""

    holder: str
    lease: str


class Leadership:
    """Holds the leader lease while the store confirms it.

    Every change of a record is a compare-and-swap, so two leaders at a time
    do no harm; the lease only keeps other members from repeating the work.

    :param store: the platform's store
    :param clock: measures the age of the last confirmed renewal
    :param holder: name and incarnation of this process
    """

    def __init__(self, store: Store, clock: Clock, holder: str) -> None:
        self._store = store
        self._clock = clock
        self._holder = holder
        self._lease = ""
        self._confirmed_s = float("-inf")
        self._next_attempt_s = float("-inf")

    def hold(self) -> bool:
        """Acquire or renew the lease if due.

        :returns: whether this process currently leads
        """
        now_s = self._clock.monotonic_s()
        if now_s >= self._next_attempt_s:
            if self._lease:
                self._renew(now_s)
            else:
                self._acquire(now_s)
            interval_s = (
                RENEW_INTERVAL_S if self._lease else ATTEMPT_INTERVAL_S
            )
            self._next_attempt_s = now_s + interval_s
        return self._is_current()

    def resign(self) -> None:
        """Delete the leader key so that another process can lead at once."""
        if not self._is_current():
            return
        found = self._store.get(LEADER_KEY)
        if not isinstance(found, Failure) and self._is_own(found.value):
            self._store.delete(LEADER_KEY, found.revision)
        self._lease = ""

    def _is_current(self) -> bool:
        age_s = self._clock.monotonic_s() - self._confirmed_s
        return bool(self._lease) and age_s < LEASE_S

    def _renew(self, now_s: float) -> None:
        failure = self._store.renew_lease(self._lease)
        if failure is None:
            self._confirmed_s = now_s
        elif failure.is_a(LEASE_LOST):
            self._lease = ""

    def _acquire(self, now_s: float) -> None:
        found = self._store.get(LEADER_KEY)
        if not isinstance(found, Failure):
            self._adopt(found.value, now_s)
        elif found.is_a(STORE_KEY_MISSING):
            self._create(now_s)

    def _adopt(self, value: bytes, now_s: float) -> None:
        """Use the key if an earlier attempt of this process created it.

        This happens when the answer to the creation was lost. The age of that
        lease is unknown, so it is renewed first.
        """
        if not self._is_own(value):
            return
        lease = codec.decode(value, LeaderRecord).lease
        if self._store.renew_lease(lease) is None:
            self._lease = lease
            self._confirmed_s = now_s

    def _create(self, now_s: float) -> None:
        lease = self._store.grant_lease(int(LEASE_S * 1000))
        if isinstance(lease, Failure):
            return
        record = LeaderRecord(holder=self._holder, lease=lease)
        written = self._store.put(LEADER_KEY, codec.encode(record), 0, lease)
        if not isinstance(written, Failure):
            self._lease = lease
            self._confirmed_s = now_s

    def _is_own(self, value: bytes) -> bool:
        record = codec.decode(value, LeaderRecord)
        return (
            not isinstance(record, Failure) and record.holder == self._holder
        )
