"""Thread that calls the dispatcher periodically."""

import threading
from typing import Callable

from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Ticker"]

# Interval while requests wait. Warm-up steps and probes of targets become due
# as time passes and may allow a request to start.
TICK_S = 0.025
# Interval at which shares are renewed, and between ticks (which expire holds)
# while no request waits. At 40 ticks per second, ticks took two fifths of the
# CPU time of an idle entry.
SHARES_S = 0.2


class Ticker:
    """Calls back periodically, more often while requests wait.

    :param tick: the function to call; returns whether requests wait
    :param renew_shares: called every ``idle_s``
    :param idle_s: time between ticks while no request waits
    """

    def __init__(
        self,
        tick: Callable[[], bool],
        renew_shares: Callable[[], None],
        clock: Clock,
        idle_s: float = SHARES_S,
    ) -> None:
        self._tick = tick
        self._renew_shares = renew_shares
        self._clock = clock
        self._idle_s = idle_s
        self._waiting = threading.Event()
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(
            target=self._run, name="dispatch-ticks", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, if it was started."""
        self._stopped.set()
        self._waiting.set()
        if self._thread is not None:
            self._thread.join()

    def note_waiting(self) -> None:
        """Use the short interval from now on, because a request waits."""
        self._waiting.set()

    def _run(self) -> None:
        due_s = 0.0
        while not self._stopped.is_set():
            if self._waiting.wait(self._idle_s):
                self._stopped.wait(TICK_S)
            now_s = self._clock.monotonic_s()
            if now_s >= due_s:
                due_s = now_s + self._idle_s
                self._renew_shares()
            # Cleared before the tick, so that a request that begins to wait
            # during the tick sets it again.
            self._waiting.clear()
            if self._tick():
                self._waiting.set()
