"""Delayed work for a thread that waits until it is due."""

import threading

from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Schedule"]


class Schedule:
    """A set of names, each with the time at which it is due."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._due_s: dict[str, float] = {}
        self._stopped = False

    def add(self, name: str, delay_s: float = 0.0) -> None:
        """Schedule a name after a delay, unless it is already due earlier."""
        at_s = self._clock.monotonic_s() + delay_s
        with self._changed:
            self._due_s[name] = min(at_s, self._due_s.get(name, at_s))
            self._changed.notify_all()

    def pop_due(self) -> list[str]:
        """Remove and return the names that are due."""
        now_s = self._clock.monotonic_s()
        with self._changed:
            due = [name for name, at_s in self._due_s.items() if at_s <= now_s]
            for name in due:
                del self._due_s[name]
        return due

    def wait(self, until_s: float) -> bool:
        """Wait until a name is due, a name is added or a time is reached.

        :returns: False after :meth:`stop`
        """
        with self._changed:
            next_s = min([until_s, *self._due_s.values()])
            wait_s = next_s - self._clock.monotonic_s()
            if wait_s > 0 and not self._stopped:
                self._changed.wait(wait_s)
            return not self._stopped

    def stop(self) -> None:
        """Wake up the waiting thread for good."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
