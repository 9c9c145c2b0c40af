"""Counters that tests look at."""

import collections
import threading

__all__ = ["Counts"]


class Counts:
    """Counts by name, without labels."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.by_name: collections.Counter = collections.Counter()

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        with self._lock:
            self.by_name[name] += amount
