"""Counters that tests can read."""

import collections
import threading

__all__ = ["Counts"]


class Counts:
    """Fake of the metrics that counts by name and ignores labels."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.by_name: collections.Counter = collections.Counter()

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        with self._lock:
            self.by_name[name] += amount
