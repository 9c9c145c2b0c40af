"""Queue of the orders to workers, with a lane for each worker.

Intended for workers that leave orders unanswered: each such order occupies a
sender until it times out, and in a single queue the orders for healthy workers
wait behind it. This module performs no I/O.
"""

from collections import deque
import enum
from typing import Generic
from typing import TypeVar

import attrs

__all__ = ["OrderKind", "OrderQueue", "QueuedOrder"]

# Orders to one worker that may be under way at a time.
MAX_IN_FLIGHT = 6
# The same limit for a worker that has left its last order unanswered.
MAX_SILENT_EACH = 3
# Orders under way to all such workers together.
MAX_SILENT_TOTAL = 36

T = TypeVar("T")


class OrderKind(enum.IntEnum):
    """Kinds of orders; a lower one is sent first.

    STOP frees capacity. START is the first order of a run and REPEAT a later
    one. PACE changes the speed of a run.
    """

    STOP = 0
    START = 1
    REPEAT = 2
    PACE = 3


@attrs.frozen
class QueuedOrder(Generic[T]):
    """An order and the time at which it was queued."""

    worker_id: str
    order: T
    queued_at_s: float


@attrs.define(eq=False)
class _Lane:
    """Orders to one worker.

    :ivar parked: kinds of the waiting orders that were skipped because too
        many orders were under way
    :ivar is_silent: whether its last order had no answer
    """

    waiting: tuple[deque[QueuedOrder], ...] = attrs.field(
        factory=lambda: tuple(deque() for _ in OrderKind)
    )
    parked: list[OrderKind] = attrs.field(factory=list)
    in_flight: int = 0
    is_silent: bool = False


class OrderQueue(Generic[T]):
    """Chooses which order is sent next; callers must serialise access."""

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane] = {}
        # Each waiting order has one entry, which names its worker.
        self._ready: tuple[deque[str], ...] = tuple(deque() for _ in OrderKind)
        self._parked_silent: list[tuple[OrderKind, str]] = []
        self._silent_in_flight = 0
        self.waiting_count = 0

    def put(
        self, worker_id: str, kind: OrderKind, order: T, now_s: float
    ) -> None:
        """Add an order."""
        lane = self._lanes.setdefault(worker_id, _Lane())
        lane.waiting[kind].append(QueuedOrder(worker_id, order, now_s))
        self._ready[kind].append(worker_id)
        self.waiting_count += 1

    def take(self) -> QueuedOrder[T] | None:
        """Return the next order that may be sent, None if there is none.

        :meth:`release` has to be called when it has been answered.
        """
        for kind in OrderKind:
            ready = self._ready[kind]
            while ready:
                worker_id = ready.popleft()
                if self._admit(worker_id, kind):
                    return self._start(self._lanes[worker_id], kind)
        return None

    def _admit(self, worker_id: str, kind: OrderKind) -> bool:
        """Tell whether a worker may get an order, and park it if not."""
        lane = self._lanes[worker_id]
        limit = MAX_SILENT_EACH if lane.is_silent else MAX_IN_FLIGHT
        if lane.in_flight >= limit:
            lane.parked.append(kind)
            return False
        if lane.is_silent and self._silent_in_flight >= MAX_SILENT_TOTAL:
            self._parked_silent.append((kind, worker_id))
            return False
        return True

    def _start(self, lane: _Lane, kind: OrderKind) -> QueuedOrder[T]:
        lane.in_flight += 1
        self._silent_in_flight += lane.is_silent
        self.waiting_count -= 1
        return lane.waiting[kind].popleft()

    def release(self, worker_id: str, is_unanswered: bool) -> None:
        """Record that an order to a worker is no longer under way."""
        lane = self._lanes[worker_id]
        if lane.is_silent:
            self._silent_in_flight -= 1
        lane.in_flight -= 1
        if lane.is_silent != is_unanswered:
            # The other orders under way to this worker change sides with it.
            change = lane.in_flight if is_unanswered else -lane.in_flight
            self._silent_in_flight += change
            lane.is_silent = is_unanswered
        for kind in reversed(lane.parked):
            self._ready[kind].appendleft(worker_id)
        lane.parked.clear()
        for kind, parked_id in self._parked_silent:
            self._ready[kind].append(parked_id)
        self._parked_silent.clear()
        if not (lane.in_flight or lane.is_silent or any(lane.waiting)):
            del self._lanes[worker_id]
