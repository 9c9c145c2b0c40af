"""Frees slots and permits of requests that do not run any more."""

import threading
from typing import Callable

from rosemarynotch._internal.admission.grants import Grant
from rosemarynotch._internal.admission.in_flight import InFlight
from rosemarynotch._internal.admission.pools import PoolState
from rosemarynotch._internal.admission.pools import PoolTable
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["GrantEnds"]


class GrantEnds:
    """The ways in which a granted request ends.

    :param lock: the dispatcher's; guards the pools and what is in flight
    :param pump: starts requests of a pool; called with the lock held
    """

    def __init__(
        self,
        lock: threading.Lock,
        permits,
        pools: PoolTable,
        in_flight: InFlight,
        clock: Clock,
        pump: Callable[[PoolState], None],
    ) -> None:
        self._lock = lock
        self._permits = permits
        self._pools = pools
        self._in_flight = in_flight
        self._clock = clock
        self._pump = pump

    def finish(
        self, grant: Grant, outcome: Answer | Failure, run_ms: float
    ) -> None:
        """End a request that was answered or certainly does not run."""
        served = not isinstance(outcome, Failure) and outcome.status < 500
        self._end(grant, run_ms / 1000, served, ended=served)

    def hold(self, grant: Grant, duration_ms: float) -> None:
        """Keep slot and permit of a request that may still run."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._in_flight.hold(grant, now_s, duration_ms / 1000)

    def end_hold(self, grant: Grant) -> None:
        """End a held request that was answered after all."""
        with self._lock:
            if not self._in_flight.end_hold(grant):
                return
        run_s = self._clock.monotonic_s() - grant.started_s
        self._end(grant, run_s, ended=True)

    def end_overdue(self) -> None:
        """End the held requests that cannot run any more."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            overdue = self._in_flight.take_ended_holds(now_s)
        for grant in overdue:
            self._end(grant, now_s - grant.started_s)

    def _end(self, grant, run_s, served=False, ended=False):
        """Free slot and permit of a request; start what waited for them.

        The permit is released before the lock is taken: whoever was refused
        it is queued by then, and whoever asks later gets it.
        """
        self._permits.release(grant.team)
        with self._lock:
            self._in_flight.stop(grant.vm)
            self._pools.get(grant.pool).slots.stop(
                grant.team, grant.urgent, grant.worth, run_s, served, ended
            )
            for pool in self._pools.freed_by(grant):
                self._pump(pool)
