"""Queues requests and grants them slots, permits and targets."""

import threading
import time
from typing import Callable

from rosemarynotch._internal.admission.deadlines import check_arrival
from rosemarynotch._internal.admission.deadlines import check_waiting
from rosemarynotch._internal.admission.ends import GrantEnds
from rosemarynotch._internal.admission.grants import Grant
from rosemarynotch._internal.admission.in_flight import InFlight
from rosemarynotch._internal.admission.pools import PoolTable
from rosemarynotch._internal.admission.pools import untried_targets
from rosemarynotch._internal.admission.recheck import recheck
from rosemarynotch._internal.admission.ticks import Ticks
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

# A blocked thread looks this often whether its caller has hung up.
WAIT_SLICE_S = 0.5
IDLE_POLL_S = 0.02


class Dispatcher:
    """Admits requests (rules R1, R3, R6).

    :meth:`admit` queues a request, :meth:`_start` takes it out and grants
    it. One lock guards all queues. Permits are released, and their
    listeners called, outside of it.

    :param in_force: the configuration
    :param fleet: serving VMs by pool
    :param members: the entries that share a pool's urgent reserve
    :param freshness: whether the configuration may still be used
    :param permits: team limits
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
        self._ends = GrantEnds(
            self._lock,
            permits,
            self._pools,
            self._in_flight,
            clock,
            self._pump,
        )
        self._ticks = Ticks(self.tick, self._renew_shares, clock)
        self._shutting_down = False
        permits.add_listener(self.pump)
        fleet.add_listener(self.pump)

    def start(self) -> None:
        """Start the thread that follows the passing of time."""
        self._ticks.start()

    def stop(self) -> None:
        """Stop the thread; call after :meth:`wait_idle`."""
        self._ticks.stop()

    def admit(
        self,
        request: CallerRequest,
        queue: QueueSpec,
        gone: Callable[[], bool] = lambda: False,
        tried: frozenset = frozenset(),
    ) -> Grant | Failure:
        """Block until the request may be sent or is refused.

        :param gone: tells whether the caller has hung up
        :param tried: VMs that refused this request; it goes to the front
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
            refusal = self._queue_up(waiter)
            if refusal is not None:
                waiter.settle(refusal)
            else:
                self._pump(self._pools.get(queue.pool))
            if waiter.result is None:
                waiter.signal = threading.Lock()
                waiter.signal.acquire()
                self._ticks.note_waiting()
        while waiter.result is None:
            self._block(waiter)
        return self._account(waiter)

    def demand(self) -> tuple[DemandRow, ...]:
        """Return demand and service by pool and team since the start."""
        with self._lock:
            return tuple(row for pool in self._pools for row in pool.demand())

    def running_by_vm(self) -> dict[str, int]:
        """Return requests in flight on VMs that do not serve."""
        with self._lock:
            return self._in_flight.on_leaving_vms(self._fleet.record.vms)

    def short_teams(self) -> tuple[str, ...]:
        """Return teams whose requests wait for a permit."""
        with self._lock:
            return self._pools.short_teams()

    def begin_shutdown(self) -> None:
        """Refuse new requests; queued ones still run."""
        with self._lock:
            self._shutting_down = True

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until nothing is queued, runs or is held."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with self._lock:
                waiting = self._pools.has_waiting()
                if not waiting and not self._in_flight.by_vm:
                    return True
            time.sleep(IDLE_POLL_S)
        return False

    def pump(self, *_changed) -> None:
        """Start what can start after something has changed."""
        with self._lock:
            for pool in self._pools:
                self._pump(pool)

    def tick(self) -> bool:
        """End holds that are over and start what can start.

        :returns: whether requests wait
        """
        self._ends.end_overdue()
        self.pump()
        with self._lock:
            return self._pools.has_waiting()

    def _renew_shares(self):
        self._shares.update(self.demand())
        self._health.forget_missing()

    def _queue_up(self, waiter):
        """Queue a request, or return why it is refused on arrival."""
        queue = waiter.queue
        if self._shutting_down:
            return failures.SHUTTING_DOWN
        if not self._fleet.serving(queue.pool):
            return failures.NO_TARGET.because(queue.pool)
        pool = self._pools.get(queue.pool)
        refusal = check_arrival(waiter, pool)
        if refusal is not None:
            return refusal
        if not pool.queues.add(waiter):
            return failures.QUEUE_FULL.because(queue.name)
        return None

    def _block(self, waiter):
        left_s = waiter.deadline_s - self._clock.monotonic_s()
        waiter.signal.acquire(timeout=min(WAIT_SLICE_S, max(0.001, left_s)))
        if waiter.result is not None:
            return
        with self._lock:
            if waiter.result is not None:
                return
            refusal = self._refusal(waiter)
            if refusal is not None:
                self._drop(waiter, refusal)

    def _account(self, waiter):
        result, team = waiter.result, waiter.request.team
        if isinstance(result, Failure):
            self._metrics.count("refused", team=team, code=result.code)
        else:
            wait_ms = (result.started_s - waiter.arrived_s) * 1000
            self._metrics.record_ms("queue_wait", wait_ms, team=team)
        return result

    def _refusal(self, waiter):
        """Return why a waiting request must not start any more, if so."""
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
        waiter.settle(refusal)

    def _pump(self, pool):
        """Start requests of a pool until slots, permits or work run out."""
        while pool.queues:
            serving = self._fleet.serving(pool.name)
            targets = self._health.usable(
                pool.name, serving, self._in_flight.by_vm
            )
            if not targets:
                return
            pool.note_own_slots(serving, targets)
            for urgent in (True, False):
                if self._start_one(pool, urgent, serving, targets):
                    break
            else:
                return

    def _start_one(self, pool, urgent, serving, targets):
        """Start the first request that may; return whether there was one."""
        heads = pool.valid_heads(urgent, self._refusal, self._drop)
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
        """Take a request out of its queue and grant it a target."""
        request, urgent = waiter.request, waiter.queue.urgent
        if not self._permits.try_acquire(request.team):
            pool.short_teams.add(request.team)
            return False
        target = self._router.pick(targets)
        pool.take(waiter)
        pool.slots.start(request.team, urgent, request.worth)
        self._in_flight.start(target.vm)
        waiter.settle(
            Grant(
                vm=target.vm,
                address=target.address,
                pool=pool.name,
                team=request.team,
                urgent=urgent,
                worth=request.worth,
                started_s=self._clock.monotonic_s(),
                ends=self._ends,
            )
        )
        return True
