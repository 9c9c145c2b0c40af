"""In-process coordination store whose watches return at once."""

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_HISTORY_LOST
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing

__all__ = ["RecordedStore"]


class RecordedStore(CoordinationStore):
    """Keeps all items and changes in memory.

    :ivar is_down: whether reads and writes fail
    :ivar reads: number of reads so far, also of those that failed
    """

    def __init__(self) -> None:
        self.is_down = False
        self.reads = 0
        self.revision = 1
        self._items: dict[str, Item] = {}
        self._changes: list[Item] = []
        self._compacted_revision = 0

    def put(self, key: str, value: bytes = b"") -> None:
        """Write a key as the operator does."""
        self._record(key, value)

    def remove(self, key: str) -> None:
        """Delete a key as the operator does."""
        self._record(key, None)

    def compact(self) -> None:
        """Drop the history."""
        self._changes, self._compacted_revision = [], self.revision

    def _record(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        item = Item(key=key, revision=self.revision, value=value)
        self._changes.append(item)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = item

    def _read(self) -> Failure | None:
        self.reads += 1
        return STORE_UNAVAILABLE if self.is_down else None

    def get(self, key, allow_stale=False):
        """Read a key."""
        return self._read() or self._items.get(key, STORE_KEY_MISSING)

    def list_prefix(self, prefix):
        """List the items below a prefix."""
        items = tuple(
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix)
        )
        return self._read() or Listing(items=items, revision=self.revision)

    def watch(self, prefix, after_revision, wait_ms):
        """Return the changes since a revision without waiting."""
        failure = self._read()
        if failure is None and after_revision < self._compacted_revision:
            failure = STORE_HISTORY_LOST
        items = tuple(
            item
            for item in self._changes
            if item.revision > after_revision and item.key.startswith(prefix)
        )
        return failure or Listing(items=items, revision=self.revision)

    def commit(self, conditions, writes, deletes=[]):
        """Apply writes whatever the conditions are."""
        if self.is_down:
            return STORE_UNAVAILABLE
        for write in writes:
            self._record(write.key, write.value)
        for key in deletes:
            self._record(key, None)
        return self.revision

    def grant_lease(self, ttl_ms):
        """Create a lease that never ends."""
        return STORE_UNAVAILABLE if self.is_down else 1

    def renew_lease(self, lease_id):
        """Extend a lease."""
        return STORE_UNAVAILABLE if self.is_down else None

    def end_lease(self, lease_id):
        """End a lease; its keys stay."""
        return None
