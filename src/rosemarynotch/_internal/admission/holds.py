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

    def add(self, grant: Grant, end_s: float) -> None:
        """Keep a grant until a point in time."""
        grant.is_held = True
        heapq.heappush(self._heap, (end_s, next(self._numbers), grant))

    def take_ended(self, now_s: float) -> list[Grant]:
        """Remove and return the grants whose time is over."""
        ended = []
        while self._heap and self._heap[0][0] <= now_s:
            grant = heapq.heappop(self._heap)[2]
            if self.end(grant):
                ended.append(grant)
        return ended

    def end(self, grant: Grant) -> bool:
        """End one hold; tell whether it had not ended before.

        Its place in the heap is left until its time is over.
        """
        if not grant.is_held:
            return False
        grant.is_held = False
        return True
