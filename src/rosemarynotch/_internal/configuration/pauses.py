"""Detection of pauses of this process (rule R2)."""

import threading
from typing import Callable

import logbook

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["PAUSE_S", "PauseGuard"]

# The longest gap between two ticks that does not count as a pause. Others
# wait 2 s beyond the longest run time before they reclaim a portion.
PAUSE_S = 2.0
TICK_S = 0.25

_log = logbook.Logger(__name__)


class PauseGuard:
    """Suspends admission after a pause, until revalidation has succeeded.

    A request thread may run before the tick thread after a pause, so
    :meth:`suspended` looks at the time since the last tick itself.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._tick_s = clock.monotonic_s()
        self._suspended = False
        self._steps: tuple[Callable[[], None | Failure], ...] = ()
        self._removed: Callable[[], bool] = bool
        self._stopped = threading.Event()

    def add_revalidation(self, step: Callable[[], None | Failure]) -> None:
        """Add a step; admission goes on when no step fails, in order."""
        self._steps += (step,)

    def set_removal_check(self, is_removed: Callable[[], bool]) -> None:
        """Suspend also when this member was removed by others."""
        self._removed = is_removed

    def start(self) -> None:
        """Start the thread that ticks."""
        threading.Thread(target=self._run, name="ticks", daemon=True).start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()

    def suspended(self) -> bool:
        """Tell whether nothing may be admitted."""
        if self._suspended:
            return True
        return self._clock.monotonic_s() - self._tick_s > PAUSE_S

    def tick(self) -> None:
        """Look for a pause, and revalidate after one."""
        self._look()
        if not self._suspended:
            return
        for step in self._steps:
            failure = step()
            if isinstance(failure, Failure):
                _log.warning("still suspended: {}", failure.code)
                return
        with self._lock:
            # A pause during revalidation makes what was read outdated.
            if self._clock.monotonic_s() - self._tick_s <= PAUSE_S:
                self._suspended = False

    def _look(self) -> None:
        removed = self._removed()
        with self._lock:
            now_s = self._clock.monotonic_s()
            if now_s - self._tick_s > PAUSE_S or removed:
                self._suspended = True
            self._tick_s = now_s

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            self.tick()
