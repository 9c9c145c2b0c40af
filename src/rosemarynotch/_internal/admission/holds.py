"""Grants whose request may still run after an unknown outcome."""

import heapq
import itertools

from rosemarynotch._internal.admission.grants import Grant

__all__ = ["Holds"]


class Holds:
    """Grants by the time at which their request cannot run any more.

    The dispatcher's lock guards it.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Grant]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, grant: Grant, end_s: float) -> None:
        """Keep a grant until a point in time."""
        heapq.heappush(self._heap, (end_s, next(self._numbers), grant))

    def take_ended(self, now_s: float) -> list[Grant]:
        """Remove and return the grants whose time is over."""
        ended = []
        while self._heap and self._heap[0][0] <= now_s:
            ended.append(heapq.heappop(self._heap)[2])
        return ended
