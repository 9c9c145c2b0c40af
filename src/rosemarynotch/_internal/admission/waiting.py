"""Requests that wait for their turn in one pool."""

from collections import deque
import itertools
from typing import Any
from typing import Callable

import attrs

from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.messages import CallerRequest

__all__ = ["MAX_QUEUED", "PoolQueues", "Waiter"]

# Requests of one team that wait in one pool, urgent ones counted apart so
# that other work of the team cannot keep them out.
MAX_QUEUED = 64


@attrs.define(eq=False)
class Waiter:
    """A request that waits, and the thread that blocks for it.

    :ivar gone: tells whether the caller has hung up
    :ivar tried: VMs that refused this request before
    :ivar checked_version: configuration under which it was checked last
    :ivar result: the grant or the refusal
    :ivar signal: released when the result is there, None while the thread
        does not block
    """

    request: CallerRequest
    queue: QueueSpec
    arrived_s: float
    deadline_s: float
    gone: Callable[[], bool]
    tried: frozenset = frozenset()
    arrival: int = 0
    checked_version: int = -1
    result: Any = None
    signal: Any = None

    def settle(self, result: Any) -> None:
        """Hand over the result to the thread that waits."""
        self.result = result
        if self.signal is not None:
            self.signal.release()


class PoolQueues:
    """FIFO queues of one pool by team, urgent and other requests apart.

    The dispatcher's lock guards it.
    """

    def __init__(self) -> None:
        self._tiers: dict[bool, dict[str, deque[Waiter]]] = {
            True: {},
            False: {},
        }
        self._arrivals = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, waiter: Waiter) -> bool:
        """Queue a request, one that was refused by a target at the front.

        :returns: False when the queue is full
        """
        queues = self._tiers[waiter.queue.urgent]
        queue = queues.setdefault(waiter.request.team, deque())
        waiter.arrival = next(self._arrivals)
        if waiter.tried:
            queue.appendleft(waiter)
        elif len(queue) >= MAX_QUEUED:
            return False
        else:
            queue.append(waiter)
        self._count += 1
        return True

    def remove(self, waiter: Waiter) -> None:
        """Take a request out, wherever it is in its queue."""
        queues = self._tiers[waiter.queue.urgent]
        team = waiter.request.team
        queue = queues[team]
        if queue[0] is waiter:
            queue.popleft()
        else:
            queue.remove(waiter)
        if not queue:
            del queues[team]
        self._count -= 1

    def heads(self, urgent: bool) -> list[Waiter]:
        """Return the first request of each team."""
        return [queue[0] for queue in self._tiers[urgent].values()]

    def length(self, team: str, urgent: bool) -> int:
        """Return how many requests of a team wait in one tier."""
        return len(self._tiers[urgent].get(team, ()))

    def queued(self, team: str) -> int:
        """Return how many requests of a team wait."""
        return self.length(team, True) + self.length(team, False)

    def rank(self, team: str) -> tuple[bool, float]:
        """Return what sorts a team that waits: urgent first, then oldest."""
        tier = self._tiers[True]
        is_urgent = team in tier
        if not is_urgent:
            tier = self._tiers[False]
        return not is_urgent, tier[team][0].arrived_s

    def teams(self) -> set[str]:
        """Return the teams that have requests waiting."""
        return set(self._tiers[True]) | set(self._tiers[False])
