"""In-memory key-value service of the store stand-in, without HTTP."""

import enum
import threading
import time

import attrs

__all__ = ["Conflict", "Entry", "KeyValue", "LeaseMissing"]


class Conflict(Exception):
    """The key does not have the expected revision."""


class LeaseMissing(Exception):
    """The lease has expired or never existed."""


class Call(enum.StrEnum):
    """Kinds of calls, for the counters."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"
    LEASE = "lease"


@attrs.frozen
class Entry:
    """A value with its revision and the lease that it is bound to."""

    value: bytes
    revision: int
    lease: str = ""


class KeyValue:
    """An in-memory key-value service with leases and watches.

    :ivar calls: number of calls by kind
    :ivar bytes_read: total size of the values returned
    :ivar waiting_watches: number of watches that are waiting
    """

    def __init__(self, now_s=time.monotonic) -> None:
        self._now_s = now_s
        self._changed = threading.Condition()
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._revision = 0
        self.calls = {kind: 0 for kind in Call}
        self.bytes_read = 0
        self.waiting_watches = 0

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, None if the key does not exist."""
        with self._changed:
            self.calls[Call.READ] += 1
            return self._read(key)

    def keys(self, prefix: str) -> list[tuple[str, int]]:
        """Return the keys with a prefix and their revisions, sorted."""
        with self._changed:
            self.calls[Call.READ] += 1
            self._expire_leases()
            return sorted(
                (key, entry.revision)
                for key, entry in self._entries.items()
                if key.startswith(prefix)
            )

    def put(
        self, key: str, value: bytes, expected: int, lease: str = ""
    ) -> int:
        """Write a value and return its revision.

        :param expected: revision that the key must have, 0 for a new key
        :param lease: lease at whose end the key is deleted
        :raises Conflict: if the key has another revision
        :raises LeaseMissing: if the lease has expired
        """
        with self._changed:
            self.calls[Call.WRITE] += 1
            self._check_revision(key, expected)
            if lease and lease not in self._leases:
                raise LeaseMissing(lease)
            self._revision += 1
            self._entries[key] = Entry(value, self._revision, lease)
            self._changed.notify_all()
            return self._revision

    def delete(self, key: str, expected: int) -> bool:
        """Delete a key; return False if it does not exist.

        :raises Conflict: if the key does not have the expected revision
        """
        with self._changed:
            self.calls[Call.WRITE] += 1
            self._expire_leases()
            if key not in self._entries:
                return False
            self._check_revision(key, expected)
            self._remove(key)
            return True

    def watch(self, key: str, after: int, wait_s: float) -> Entry | None:
        """Wait for a revision above ``after``; return None on time-out."""
        end_s = self._now_s() + wait_s
        with self._changed:
            self.calls[Call.WATCH] += 1
            self.waiting_watches += 1
            try:
                while True:
                    entry = self._read(key)
                    if entry is not None and entry.revision > after:
                        return entry
                    remaining_s = end_s - self._now_s()
                    if remaining_s <= 0:
                        return None
                    self._changed.wait(remaining_s)
            finally:
                self.waiting_watches -= 1

    def grant_lease(self, ttl_s: float) -> str:
        """Create a lease and return its identifier."""
        with self._changed:
            self.calls[Call.LEASE] += 1
            self._revision += 1
            lease = f"lease-{self._revision}"
            self._leases[lease] = (ttl_s, self._now_s() + ttl_s)
            return lease

    def renew_lease(self, lease: str) -> None:
        """Extend a lease to its full time to live from now.

        :raises LeaseMissing: if the lease has expired
        """
        with self._changed:
            self.calls[Call.LEASE] += 1
            self._expire_leases()
            if lease not in self._leases:
                raise LeaseMissing(lease)
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = (ttl_s, self._now_s() + ttl_s)

    def _read(self, key: str) -> Entry | None:
        self._expire_leases()
        entry = self._entries.get(key)
        if entry is not None:
            self.bytes_read += len(entry.value)
        return entry

    def _check_revision(self, key: str, expected: int) -> None:
        self._expire_leases()
        entry = self._entries.get(key)
        revision = entry.revision if entry else 0
        if revision != expected:
            raise Conflict(
                f"{key}: found revision {revision}, expected {expected}"
            )

    def _remove(self, key: str) -> None:
        del self._entries[key]
        self._revision += 1
        self._changed.notify_all()

    def _expire_leases(self) -> None:
        now_s = self._now_s()
        expired = {
            lease
            for lease, (_, end_s) in self._leases.items()
            if end_s <= now_s
        }
        for lease in expired:
            del self._leases[lease]
        expired_keys = [
            k for k, e in self._entries.items() if e.lease in expired
        ]
        for key in expired_keys if expired else ():
            self._remove(key)
