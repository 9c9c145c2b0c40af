"""Holds on grants whose request may still run after an unknown outcome."""

import heapq
import itertools

from rosemarynotch._internal.admission.grants import Grant

__all__ = ["HeldGrants"]


class HeldGrants:
    """Held grants, ordered by the time after which their request cannot run.

    Guarded by the dispatcher's lock.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Grant]] = []
        self._numbers = itertools.count()

    def add(self, grant: Grant, end_s: float) -> None:
        """Hold a grant until the given time."""
        grant.is_held = True
        heapq.heappush(self._heap, (end_s, next(self._numbers), grant))

    def pop_expired(self, now_s: float) -> list[Grant]:
        """Remove and return the grants whose hold has expired."""
        expired = []
        while self._heap and self._heap[0][0] <= now_s:
            grant = heapq.heappop(self._heap)[2]
            if self.end(grant):
                expired.append(grant)
        return expired

    def end(self, grant: Grant) -> bool:
        """End the hold on a grant.

        The heap entry stays until its expiry time.

        :returns: False if the grant was not held
        """
        if not grant.is_held:
            return False
        grant.is_held = False
        return True
