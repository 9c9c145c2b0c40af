"""Detection of pauses of this process, such as SIGSTOP (rule R2)."""

import threading
from typing import Callable

import logbook

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["MAX_TICK_GAP_S", "PauseGuard"]

# A longer gap between two ticks is a pause. Other members reclaim a portion
# only 2 s after the longest run time, so a shorter pause is harmless.
MAX_TICK_GAP_S = 2.0
TICK_INTERVAL_S = 0.25

_log = logbook.Logger(__name__)


class PauseGuard:
    """Suspends admission after a pause until revalidation has succeeded.

    After a pause, a request thread may run before the tick thread. For this
    reason :meth:`suspended` also checks the time since the last tick.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._last_tick_s = clock.monotonic_s()
        self._suspended = False
        self._steps: tuple[Callable[[], None | Failure], ...] = ()
        self._is_removed: Callable[[], bool] = bool
        self._stopped = threading.Event()

    def add_revalidation(self, step: Callable[[], None | Failure]) -> None:
        """Add a revalidation step.

        The steps run in the order in which they were added; admission
        resumes when none of them fails.
        """
        self._steps += (step,)

    def set_removal_check(self, is_removed: Callable[[], bool]) -> None:
        """Set a check; admission is also suspended if it returns True."""
        self._is_removed = is_removed

    def start(self) -> None:
        """Start the thread that calls :meth:`tick` periodically."""
        threading.Thread(target=self._run, name="ticks", daemon=True).start()

    def stop(self) -> None:
        """Make the thread end."""
        self._stopped.set()

    def suspended(self) -> bool:
        """Return whether admission is suspended."""
        if self._suspended:
            return True
        return self._clock.monotonic_s() - self._last_tick_s > MAX_TICK_GAP_S

    def tick(self) -> None:
        """Detect a pause, and revalidate while admission is suspended."""
        self._detect_pause()
        if not self._suspended:
            return
        for step in self._steps:
            failure = step()
            if isinstance(failure, Failure):
                _log.warning("still suspended: {}", failure.code)
                return
        with self._lock:
            # After a pause during revalidation, its results are outdated.
            if self._clock.monotonic_s() - self._last_tick_s <= MAX_TICK_GAP_S:
                self._suspended = False

    def _detect_pause(self) -> None:
        removed = self._is_removed()
        with self._lock:
            now_s = self._clock.monotonic_s()
            if now_s - self._last_tick_s > MAX_TICK_GAP_S or removed:
                self._suspended = True
            self._last_tick_s = now_s

    def _run(self) -> None:
        while not self._stopped.wait(TICK_INTERVAL_S):
            self.tick()
