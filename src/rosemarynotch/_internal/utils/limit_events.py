"""Counts and logs how often clients reach the limits of a process."""

from collections.abc import Callable
import threading
import time

__all__ = ["LimitEvents"]

COUNTER = "client_limits"
LOG_INTERVAL_S = 1.0


def _ignore(*_, **__) -> None:
    pass


class LimitEvents:
    """Counts each event and writes at most one log line a second.

    Clients outside the limits can cause thousands of events a second, and a
    line for each would cost more than what it reports.

    :param count: adds to a counter, called with its name and labels
    :param log: writes a line, called with an event and its fields
    """

    def __init__(
        self,
        count: Callable[..., None] = _ignore,
        log: Callable[..., None] = _ignore,
    ) -> None:
        self._count = count
        self._log = log
        self._lock = threading.Lock()
        self._unlogged: dict[str, int] = {}
        self._logged_at_s = float("-inf")

    def record(self, limit: str) -> None:
        """Record that a client has reached a limit."""
        self._count(COUNTER, limit=limit)
        with self._lock:
            self._unlogged[limit] = self._unlogged.get(limit, 0) + 1
            now_s = time.monotonic()
            if now_s - self._logged_at_s < LOG_INTERVAL_S:
                return
            self._logged_at_s = now_s
            counts, self._unlogged = self._unlogged, {}
        text = " ".join(f"{name}={counts[name]}" for name in sorted(counts))
        self._log("client limits reached", counts=text)
