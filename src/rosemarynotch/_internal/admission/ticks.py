"""Calls the dispatcher as time passes."""

import threading
from typing import Callable

from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Ticks"]

# Warm-up, probes and the ends of holds become due as time passes.
TICK_S = 0.025
SHARES_S = 0.2


class Ticks:
    """A thread that calls back at two intervals.

    :param tick: called every TICK_S
    :param renew_shares: called every SHARES_S
    """

    def __init__(
        self,
        tick: Callable[[], None],
        renew_shares: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._tick = tick
        self._renew_shares = renew_shares
        self._clock = clock
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
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        due_s = 0.0
        while not self._stopped.wait(TICK_S):
            now_s = self._clock.monotonic_s()
            if now_s >= due_s:
                due_s = now_s + SHARES_S
                self._renew_shares()
            self._tick()
