"""Queues of the requests that wait for one pool."""

from collections import deque
import itertools
from typing import Any
from typing import Callable

import attrs

from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.messages import CallerRequest

__all__ = ["MAX_QUEUED", "PoolQueues", "Waiter"]

# Limit on waiting requests per team and pool. Urgent requests are counted
# separately, so that other requests of the team cannot fill their queue.
MAX_QUEUED = 64


@attrs.define(eq=False)
class Waiter:
    """A queued request and the thread that blocks until it has a result.

    :ivar gone: tells whether the caller has disconnected
    :ivar tried: VMs that already refused this request
    :ivar arrival: position in the order of arrival
    :ivar checked_version: configuration version last checked against
    :ivar result: the grant or the refusal, None before
    :ivar signal: lock that is released when the result is set, None while
        the thread does not block
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

    def set_result(self, result: Any) -> None:
        """Set the result and wake up the thread that waits for it."""
        self.result = result
        if self.signal is not None:
            self.signal.release()


class PoolQueues:
    """FIFO queues of one pool, by team and separately for urgent requests.

    Guarded by the dispatcher's lock.
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
        """Queue a request.

        A request that a target has refused goes to the front and is queued
        even if the queue is full.

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
        """Remove a request from any position of its queue."""
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
        """Return the number of urgent or other waiting requests of a team."""
        return len(self._tiers[urgent].get(team, ()))

    def queued(self, team: str) -> int:
        """Return the number of waiting requests of a team."""
        return self.length(team, True) + self.length(team, False)

    def rank(self, team: str) -> tuple[bool, float]:
        """Return a sort key for a team with waiting requests.

        Teams with urgent requests come first, then those whose first request
        has waited longest.
        """
        tier = self._tiers[True]
        is_urgent = team in tier
        if not is_urgent:
            tier = self._tiers[False]
        return not is_urgent, tier[team][0].arrived_s

    def teams(self) -> set[str]:
        """Return the teams that have waiting requests."""
        return set(self._tiers[True]) | set(self._tiers[False])
