"""Event ledger of a stand-in, for checks independent of the product."""

import threading
import time
from typing import Any

__all__ = ["Ledger"]


class Ledger:
    """Events in the order in which they were recorded."""

    def __init__(self, now_s=time.monotonic) -> None:
        self.now_s = now_s
        self._lock = threading.Lock()
        self._events: list[dict[str, Any]] = []

    def record(self, kind: str, at_s: float | None = None, **fields) -> None:
        """Record an event; ``at_s`` is CLOCK_MONOTONIC, by default now."""
        at_s = self.now_s() if at_s is None else at_s
        with self._lock:
            self._events.append({"kind": kind, "at_s": at_s, **fields})

    def events(self, kind: str = "") -> list[dict[str, Any]]:
        """Return the events of a kind, by default all."""
        with self._lock:
            return [e for e in self._events if not kind or e["kind"] == kind]

    def clear(self) -> None:
        """Discard all events."""
        with self._lock:
            self._events.clear()
