"""Core of the key-value stand-in, without HTTP."""

import enum
import threading
import time

import attrs

__all__ = ["Conflict", "Entry", "KeyValue", "LeaseMissing"]


class Conflict(Exception):
    """The key does not have the expected revision."""


class LeaseMissing(Exception):
    """The lease has ended or never existed."""


class Call(enum.StrEnum):
    """Kinds of calls that are counted."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"
    LEASE = "lease"


@attrs.frozen
class Entry:
    """A value with its revision."""

    value: bytes
    revision: int
    lease: str = ""


class KeyValue:
    """An in-memory key-value service with leases and watches.

    :ivar calls: number of calls by kind
    :ivar bytes_read: bytes of values returned
    :ivar waiting_watches: watches that wait at the moment
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
        """Return the entry of a key."""
        with self._changed:
            self.calls[Call.READ] += 1
            return self._read(key)

    def keys(self, prefix: str) -> list[tuple[str, int]]:
        """Return keys with a prefix and their revisions."""
        with self._changed:
            self.calls[Call.READ] += 1
            self._expire()
            return sorted(
                (key, entry.revision)
                for key, entry in self._entries.items()
                if key.startswith(prefix)
            )

    def put(
        self, key: str, value: bytes, expected: int, lease: str = ""
    ) -> int:
        """Write a value if the key has the expected revision."""
        with self._changed:
            self.calls[Call.WRITE] += 1
            self._check(key, expected)
            if lease and lease not in self._leases:
                raise LeaseMissing(lease)
            self._revision += 1
            self._entries[key] = Entry(value, self._revision, lease)
            self._changed.notify_all()
            return self._revision

    def delete(self, key: str, expected: int) -> bool:
        """Delete a key; return False if it does not exist."""
        with self._changed:
            self.calls[Call.WRITE] += 1
            self._expire()
            if key not in self._entries:
                return False
            self._check(key, expected)
            self._remove(key)
            return True

    def watch(self, key: str, after: int, wait_s: float) -> Entry | None:
        """Wait for a revision above ``after``; None when time is over."""
        end_s = self._now_s() + wait_s
        with self._changed:
            self.calls[Call.WATCH] += 1
            self.waiting_watches += 1
            try:
                while True:
                    entry = self._read(key)
                    if entry is not None and entry.revision > after:
                        return entry
                    left_s = end_s - self._now_s()
                    if left_s <= 0:
                        return None
                    self._changed.wait(left_s)
            finally:
                self.waiting_watches -= 1

    def grant_lease(self, ttl_s: float) -> str:
        """Create a lease."""
        with self._changed:
            self.calls[Call.LEASE] += 1
            self._revision += 1
            lease = f"lease-{self._revision}"
            self._leases[lease] = (ttl_s, self._now_s() + ttl_s)
            return lease

    def renew_lease(self, lease: str) -> None:
        """Extend a lease by its time to live."""
        with self._changed:
            self.calls[Call.LEASE] += 1
            self._expire()
            if lease not in self._leases:
                raise LeaseMissing(lease)
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = (ttl_s, self._now_s() + ttl_s)

    def _read(self, key: str) -> Entry | None:
        self._expire()
        entry = self._entries.get(key)
        if entry is not None:
            self.bytes_read += len(entry.value)
        return entry

    def _check(self, key: str, expected: int) -> None:
        self._expire()
        entry = self._entries.get(key)
        revision = entry.revision if entry else 0
        if revision != expected:
            raise Conflict(f"{key}: revision {revision}, not {expected}")

    def _remove(self, key: str) -> None:
        del self._entries[key]
        self._revision += 1
        self._changed.notify_all()

    def _expire(self) -> None:
        now_s = self._now_s()
        ended = {
            lease
            for lease, (_, end_s) in self._leases.items()
            if end_s <= now_s
        }
        for lease in ended:
            del self._leases[lease]
        gone = [k for k, e in self._entries.items() if e.lease in ended]
        for key in gone if ended else ():
            self._remove(key)
