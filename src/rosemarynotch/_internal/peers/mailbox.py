"""Queue of items for the thread that owns a socket."""

import collections
import os
import threading
from typing import Any

__all__ = ["Mailbox"]


class Mailbox:
    """A queue whose reader can poll it together with sockets.

    Any thread may put items. Only the owning thread drains and closes it.
    """

    def __init__(self) -> None:
        self._items: collections.deque = collections.deque()
        self._event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        # Prevents writes to the descriptor after it was closed, when its
        # number may already belong to another file.
        self._lock = threading.Lock()
        self._closed = False

    def fileno(self) -> int:
        """Return the descriptor that becomes readable after a put."""
        return self._event

    def put(self, item: Any) -> None:
        """Add an item and wake the owning thread."""
        self._items.append(item)
        with self._lock:
            if not self._closed:
                os.eventfd_write(self._event, 1)

    def drain(self) -> list:
        """Return and remove all items."""
        try:
            os.eventfd_read(self._event)
        except BlockingIOError:
            pass
        items = []
        while self._items:
            items.append(self._items.popleft())
        return items

    def close(self) -> None:
        """Release the descriptor."""
        with self._lock:
            self._closed = True
            os.close(self._event)
