"""Releases the slots and permits of requests that no longer run."""

import threading
from typing import Callable

from rosemarynotch._internal.admission.grants import Grant
from rosemarynotch._internal.admission.in_flight import InFlight
from rosemarynotch._internal.admission.pools import PoolState
from rosemarynotch._internal.admission.pools import PoolTable
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["GrantCompletion"]


class GrantCompletion:
    """Releases the resources of granted requests when they end.

    :param lock: the dispatcher's lock, which guards ``pools`` and
        ``in_flight``
    :param start_queued: starts waiting requests of a pool; called with the
        lock held
    """

    def __init__(
        self,
        lock: threading.Lock,
        permits,
        pools: PoolTable,
        in_flight: InFlight,
        clock: Clock,
        start_queued: Callable[[PoolState], None],
    ) -> None:
        self._lock = lock
        self._permits = permits
        self._pools = pools
        self._in_flight = in_flight
        self._clock = clock
        self._start_queued = start_queued

    def finish(
        self, grant: Grant, outcome: Answer | Failure, run_ms: float
    ) -> None:
        """End a request that was answered or is known not to run."""
        served = not isinstance(outcome, Failure) and outcome.status < 500
        self._end(grant, run_ms / 1000, served, ended=served)

    def hold(self, grant: Grant, duration_ms: float) -> None:
        """Keep the slot and permit of a request that may still run."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._in_flight.hold(grant, now_s, duration_ms / 1000)

    def end_hold(self, grant: Grant) -> None:
        """End a held request whose answer arrived late."""
        with self._lock:
            if not self._in_flight.end_hold(grant):
                return
        run_s = self._clock.monotonic_s() - grant.started_s
        self._end(grant, run_s, ended=True)

    def expire_holds(self) -> None:
        """End the held requests whose hold time has elapsed."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            expired = self._in_flight.pop_expired_holds(now_s)
        for grant in expired:
            self._end(grant, now_s - grant.started_s)

    def _end(self, grant, run_s, served=False, ended=False):
        """Release the slot and permit and start requests that wait for them.

        The permit is released before the lock is taken. A request that was
        refused the permit earlier is queued by the time the lock is held, so
        it is started here; a later request finds the permit free.
        """
        self._permits.release(grant.team)
        with self._lock:
            self._in_flight.stop(grant.vm)
            self._pools.get(grant.pool).slots.stop(
                grant.team, grant.urgent, grant.worth, run_s, served, ended
            )
            for pool in self._pools.freed_by(grant):
                self._start_queued(pool)
