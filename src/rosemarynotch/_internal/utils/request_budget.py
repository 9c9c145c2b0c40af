"""Bound over the memory of requests that the servers of a process hold."""

import abc
import threading
import time

from rosemarynotch._internal.utils.limit_events import LimitEvents

__all__ = [
    "DEFAULT_MEMORY_MB",
    "LARGE_REQUEST_BYTES",
    "RequestBudget",
    "RequestHolder",
]

MEGABYTE = 1024 * 1024
# The smallest machine on which nodes run.
DEFAULT_MEMORY_MB = 160
# Part of the memory of the machine. On the smallest machine this holds the
# bodies of 64 KB of 380 callers at the same time.
MEMORY_SHARE = 0.15
# Part of the bound that is left after an eviction. Requests are evicted in
# groups, because each eviction compares all incomplete requests.
TARGET_SHARE = 0.9
# Complete requests above this size may take this part of the bound together.
# The rest is for small ones, which ordinary callers send.
LARGE_REQUEST_BYTES = 64 * 1024
LARGE_REQUESTS_SHARE = 0.75
# Added to the age of a request, so that size decides among new requests.
AGE_OFFSET_S = 0.05


class RequestHolder(abc.ABC):
    """A connection with an incomplete request."""

    @abc.abstractmethod
    def evict_request(self) -> None:
        """Refuse the incomplete request and free its memory.

        Called by the threads of all servers.
        """


class RequestBudget:
    """Counts the bytes of requests until they are answered.

    Above the bound, incomplete requests are evicted. The product of size and
    age decides, so that requests that have held much memory for long are
    evicted before those that have just begun. A complete request is refused
    if the bound is exceeded without incomplete requests, or if it is large
    and others of its kind take their part.

    :param memory_mb: memory of the machine
    :ivar events: records the limits that clients reach
    """

    def __init__(
        self,
        memory_mb: float = DEFAULT_MEMORY_MB,
        events: LimitEvents | None = None,
    ) -> None:
        self._limit_bytes = int(memory_mb * MEGABYTE * MEMORY_SHARE)
        self.events = events or LimitEvents()
        self._lock = threading.Lock()
        self._incomplete: dict[RequestHolder, tuple[int, float]] = {}
        self._held_bytes = 0
        self._large_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """Return the bound in bytes."""
        return self._limit_bytes

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are counted at present."""
        return self._held_bytes

    def hold(self, holder: RequestHolder, size: int, since_s: float) -> None:
        """Set the size of the incomplete request of a connection.

        :param size: 0 if there is no incomplete request
        :param since_s: time at which its first byte arrived
        """
        with self._lock:
            self._set(holder, size, since_s)
            victims = self._choose_victims()
        for victim in victims:
            victim.evict_request()

    def admit(self, holder: RequestHolder, size: int) -> bool:
        """Count a request that has become complete.

        :returns: False, without counting it, if it has to be refused
        """
        large_bytes = size if size > LARGE_REQUEST_BYTES else 0
        with self._lock:
            self._set(holder, 0, 0.0)
            max_large_bytes = self._limit_bytes * LARGE_REQUESTS_SHARE
            if (
                large_bytes
                and self._large_bytes + large_bytes > max_large_bytes
            ):
                return False
            self._held_bytes += size
            victims = self._choose_victims()
            is_admitted = self._held_bytes <= self._limit_bytes
            if is_admitted:
                self._large_bytes += large_bytes
            else:
                self._held_bytes -= size
        for victim in victims:
            victim.evict_request()
        return is_admitted

    def release(self, size: int) -> None:
        """Remove a complete request that was answered or dropped."""
        with self._lock:
            self._held_bytes -= size
            if size > LARGE_REQUEST_BYTES:
                self._large_bytes -= size

    def _set(self, holder: RequestHolder, size: int, since_s: float) -> None:
        before = self._incomplete.get(holder)
        if before is not None:
            self._held_bytes -= before[0]
        if size:
            self._incomplete[holder] = size, since_s
            self._held_bytes += size
        elif before is not None:
            del self._incomplete[holder]

    def _choose_victims(self) -> list[RequestHolder]:
        """Remove incomplete requests from the count until it has room."""
        if self._held_bytes <= self._limit_bytes:
            return []
        now_s = time.time()

        def byte_seconds(holder):
            size, since_s = self._incomplete[holder]
            return size * (max(0.0, now_s - since_s) + AGE_OFFSET_S)

        victims = []
        target_bytes = self._limit_bytes * TARGET_SHARE
        for holder in sorted(self._incomplete, key=byte_seconds, reverse=True):
            if self._held_bytes <= target_bytes:
                break
            self._held_bytes -= self._incomplete.pop(holder)[0]
            victims.append(holder)
        return victims
