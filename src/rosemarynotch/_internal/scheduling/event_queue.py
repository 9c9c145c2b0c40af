"""Queue of events for the scheduling thread of the leader."""

from collections.abc import Callable
import queue

__all__ = ["Event", "EventQueue"]

# Applies an answer, a report or a change; gets the time.
Event = Callable[[float], None]


class EventQueue:
    """Collects the events of all threads for the next scheduling pass."""

    def __init__(self) -> None:
        self._events: queue.SimpleQueue[Event] = queue.SimpleQueue()

    def post(self, event: Event) -> None:
        """Add an event."""
        self._events.put(event)

    def take(self, timeout_s: float) -> list[Event]:
        """Return all events; wait for the first one if there is none.

        :param timeout_s: longest time to wait
        """
        try:
            events = [self._events.get(timeout=timeout_s)]
        except queue.Empty:
            events = []
        while True:
            try:
                events.append(self._events.get_nowait())
            except queue.Empty:
                return events
