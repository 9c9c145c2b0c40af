"""Dispatcher that queues requests and grants slots, permits and targets."""

import threading
import time
from typing import Callable

from rosemarynotch._internal.admission.completion import GrantCompletion
from rosemarynotch._internal.admission.deadlines import check_arrival
from rosemarynotch._internal.admission.deadlines import check_waiting
from rosemarynotch._internal.admission.grants import Grant
from rosemarynotch._internal.admission.in_flight import InFlight
from rosemarynotch._internal.admission.pools import PoolTable
from rosemarynotch._internal.admission.pools import untried_targets
from rosemarynotch._internal.admission.recheck import recheck
from rosemarynotch._internal.admission.ticker import Ticker
from rosemarynotch._internal.admission.waiting import Waiter
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.messages import CallerRequest
from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.policy.ordering import OrderPolicy
from rosemarynotch._internal.policy.routing import Router
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Dispatcher"]

# Interval at which a blocked thread checks whether its caller has
# disconnected.
WAIT_SLICE_S = 0.5
IDLE_POLL_S = 0.02


class Dispatcher:
    """Admits requests by limit, order and configuration (rules R1, R3, R6).

    :meth:`admit` queues a request; :meth:`_start` removes it from its queue
    and grants it. One lock guards all queues. Permits are released, and
    their listeners called, without holding the lock.

    :param in_force: the configuration in force
    :param fleet: serving VMs by pool
    :param members: the entries that divide the urgent reserve of a pool
    :param freshness: tells whether the configuration may still be used
    :param permits: permits under the team limits
    :param shares: slots by pool and team
    :param health: usable targets
    """

    def __init__(
        self,
        *,
        in_force,
        fleet,
        members,
        freshness,
        permits,
        shares,
        health,
        router: Router,
        order: OrderPolicy,
        clock: Clock,
        metrics,
    ) -> None:
        self._in_force = in_force
        self._fleet = fleet
        self._members = members
        self._freshness = freshness
        self._permits = permits
        self._shares = shares
        self._health = health
        self._router = router
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._pools = PoolTable(shares, order, clock)
        self._in_flight = InFlight()
        self._completion = GrantCompletion(
            self._lock,
            permits,
            self._pools,
            self._in_flight,
            clock,
            self._start_queued,
        )
        self._ticker = Ticker(self.tick, self._renew_shares, clock)
        self._shutting_down = False
        permits.add_listener(self.start_queued)
        fleet.add_listener(self.start_queued)

    def start(self) -> None:
        """Start the thread that calls :meth:`tick` periodically."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop the thread; call after :meth:`wait_idle`."""
        self._ticker.stop()

    def admit(
        self,
        request: CallerRequest,
        queue: QueueSpec,
        gone: Callable[[], bool] = lambda: False,
        tried: frozenset = frozenset(),
    ) -> Grant | Failure:
        """Block until the request may be sent or is refused.

        :param gone: tells whether the caller has disconnected
        :param tried: VMs that already refused this request; if there are
            any, the request goes to the front of its queue
        :returns: the grant, or a failure with ``ran`` no
        """
        now_s = self._clock.monotonic_s()
        waiter = Waiter(
            request=request,
            queue=queue,
            arrived_s=now_s,
            deadline_s=now_s + request.remaining_ms / 1000,
            gone=gone,
            tried=tried,
        )
        with self._lock:
            refusal = self._enqueue(waiter)
            if refusal is not None:
                waiter.set_result(refusal)
            else:
                self._start_queued(self._pools.get(queue.pool))
            if waiter.result is None:
                waiter.signal = threading.Lock()
                waiter.signal.acquire()
                self._ticker.note_waiting()
        while waiter.result is None:
            self._wait(waiter)
        return self._record_result(waiter)

    def demand(self) -> tuple[DemandRow, ...]:
        """Return demand and service by pool and team since process start."""
        with self._lock:
            return tuple(row for pool in self._pools for row in pool.demand())

    def running_by_vm(self) -> dict[str, int]:
        """Return the requests in flight on VMs that are not serving."""
        with self._lock:
            return self._in_flight.on_non_serving_vms(self._fleet.record.vms)

    def short_teams(self) -> tuple[str, ...]:
        """Return the teams whose requests wait for a permit."""
        with self._lock:
            return self._pools.short_teams()

    def begin_shutdown(self) -> None:
        """Refuse new requests; queued requests still run."""
        with self._lock:
            self._shutting_down = True

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is queued, running or held.

        :returns: False if the time-out passed first
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with self._lock:
                waiting = self._pools.has_waiting()
                if not waiting and not self._in_flight.by_vm:
                    return True
            time.sleep(IDLE_POLL_S)
        return False

    def start_queued(self, *_changed) -> None:
        """Start all waiting requests that can start, after a change."""
        with self._lock:
            for pool in self._pools:
                self._start_queued(pool)

    def tick(self) -> bool:
        """Expire holds and start the waiting requests that can start.

        :returns: whether requests still wait
        """
        self._completion.expire_holds()
        self.start_queued()
        with self._lock:
            return self._pools.has_waiting()

    def _renew_shares(self):
        self._shares.update(self.demand())
        self._health.remove_expired()

    def _enqueue(self, waiter):
        """Queue a request, or return the reason for refusing it."""
        queue = waiter.queue
        if self._shutting_down:
            return failures.SHUTTING_DOWN
        if not self._fleet.serving(queue.pool):
            return failures.NO_TARGET.with_reason(queue.pool)
        pool = self._pools.get(queue.pool)
        refusal = check_arrival(waiter, pool)
        if refusal is not None:
            return refusal
        if not pool.queues.add(waiter):
            return failures.QUEUE_FULL.with_reason(queue.name)
        return None

    def _wait(self, waiter):
        """Wait for a result for a short time, then check for a refusal."""
        remaining_s = waiter.deadline_s - self._clock.monotonic_s()
        waiter.signal.acquire(
            timeout=min(WAIT_SLICE_S, max(0.001, remaining_s))
        )
        if waiter.result is not None:
            return
        with self._lock:
            if waiter.result is not None:
                return
            refusal = self._find_refusal(waiter)
            if refusal is not None:
                self._drop(waiter, refusal)

    def _record_result(self, waiter):
        result, team = waiter.result, waiter.request.team
        if isinstance(result, Failure):
            self._metrics.count("refused", team=team, code=result.code)
        else:
            wait_ms = (result.started_s - waiter.arrived_s) * 1000
            self._metrics.record_ms("queue_wait", wait_ms, team=team)
        return result

    def _find_refusal(self, waiter):
        """Return the reason why a queued request must not start, or None."""
        if waiter.gone():
            return failures.CALLER_GONE
        late = check_waiting(
            waiter,
            self._pools.get(waiter.queue.pool),
            self._clock.monotonic_s(),
        )
        if late is not None:
            return late
        return recheck(waiter, self._in_force.current, self._freshness)

    def _drop(self, waiter, refusal):
        self._pools.get(waiter.queue.pool).drop(waiter)
        waiter.set_result(refusal)

    def _start_queued(self, pool):
        """Start requests of a pool while slots, permits and work remain."""
        while pool.queues:
            serving = self._fleet.serving(pool.name)
            targets = self._health.usable(
                pool.name, serving, self._in_flight.by_vm
            )
            if not targets:
                return
            pool.set_own_slots(serving, targets)
            for urgent in (True, False):
                if self._start_one(pool, urgent, serving, targets):
                    break
            else:
                return

    def _start_one(self, pool, urgent, serving, targets):
        """Start the first request that may start; tell whether one did."""
        heads = pool.valid_heads(urgent, self._find_refusal, self._drop)
        if not heads:
            return False
        document = self._in_force.current.document
        entries_count = len(self._members.entries())
        startable = pool.startable(heads, document, entries_count)
        while startable:
            head = startable.pop(pool.choose(startable, document))
            untried = untried_targets(head.tried, serving, targets)
            if untried and self._start(pool, head, untried):
                return True
        return False

    def _start(self, pool, waiter, targets):
        """Remove a request from its queue and grant it a target.

        :returns: False if the team has no permit left
        """
        request, urgent = waiter.request, waiter.queue.urgent
        if not self._permits.try_acquire(request.team):
            pool.short_teams.add(request.team)
            return False
        target = self._router.pick(targets)
        pool.remove_started(waiter)
        pool.slots.start(request.team, urgent, request.worth)
        self._in_flight.start(target.vm)
        waiter.set_result(
            Grant(
                vm=target.vm,
                address=target.address,
                pool=pool.name,
                team=request.team,
                urgent=urgent,
                worth=request.worth,
                started_s=self._clock.monotonic_s(),
                completion=self._completion,
            )
        )
        return True
