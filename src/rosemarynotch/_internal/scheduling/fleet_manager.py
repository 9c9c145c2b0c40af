"""Orders the moves and the maintenance of VMs while this node leads."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PLATFORM_REFUSED
from rosemarynotch._internal.exceptions import PLATFORM_UNAVAILABLE
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmListing
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.policy import ArrivalRates
from rosemarynotch._internal.scheduling.policy import Move
from rosemarynotch._internal.scheduling.policy import NoReserve
from rosemarynotch._internal.scheduling.policy import PoolLoad
from rosemarynotch._internal.scheduling.policy import PoolSizer
from rosemarynotch._internal.scheduling.policy import StartReserve
from rosemarynotch._internal.scheduling.pool_loads import is_idle
from rosemarynotch._internal.scheduling.pool_loads import PoolLoads
from rosemarynotch._internal.scheduling.vm_orders import VmOrderRegistry
from rosemarynotch._internal.scheduling.wave_runner import WaveRunner

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["FleetManager", "FleetTiming"]

STEP_INTERVAL_S = 0.15
REPORT_INTERVAL_S = 1.0
# Concurrent calls to the VM service. A load peak of a queue needs tens of VMs
# at once, and each order takes one call.
VM_ORDER_THREADS = 8
# A move that has had no visible effect counts as failed after this time.
MOVE_TIMEOUT_S = 8.0


@attrs.frozen(kw_only=True)
class FleetTiming:
    """Times that the VM service requires or takes.

    :ivar holder_interval_s: minimum time between orders of two different
        nodes for the same VM
    :ivar maintenance_s: time that the maintenance of a VM takes
    :ivar orders_seen_at_s: returns when this node saw a revision of the record
        of VM orders first
    """

    holder_interval_s: float
    maintenance_s: float
    orders_seen_at_s: Callable[[int], float | None] = lambda revision: None


@attrs.define
class _PendingMove:
    """A move that has been ordered and has not taken effect.

    :ivar target: pool to which the VM moves
    :ivar worker_id: worker that ran on the VM before the move
    """

    target: str
    worker_id: str
    ordered_at_s: float


class FleetManager:
    """Orders the moves chosen by the sizer and the maintenance of waves.

    :param sizer: chooses moves from the loads of the pools
    :param rates: estimates the rates of arriving work
    :param reserve: chooses the VMs to hold before the first load peak
    """

    def __init__(
        self,
        controller: "Controller",
        sizer: PoolSizer,
        timing: "FleetTiming",
        rates: ArrivalRates | None = None,
        reserve: StartReserve = NoReserve(),
    ) -> None:
        self._controller = controller
        self._sizer = sizer
        self._holder_interval_end_s = (
            controller.clock.monotonic_s() + timing.holder_interval_s
        )
        self._vm_order_registry = VmOrderRegistry(
            controller, timing.holder_interval_s, timing.orders_seen_at_s
        )
        self._loads = PoolLoads(
            controller,
            self._vm_order_registry.may_order,
            rates or ArrivalRates(),
            reserve,
        )
        self._moves: dict[str, _PendingMove] = {}
        self._orders = ThreadPoolExecutor(VM_ORDER_THREADS, "vm-orders")
        self._reachable = True
        self._is_list_complete = True
        self._reported_at_s = 0.0
        self._waves = WaveRunner(
            controller,
            self._record_and_order,
            self.mark_worker_replaced,
            timing.maintenance_s,
        )

    def run(self) -> None:
        """List and manage the VMs until the term ends."""
        controller = self._controller
        self._vm_order_registry.load()
        while controller.is_running:
            listing = controller.ports.fleet.vms()
            if isinstance(listing, Failure):
                self._record_contact(listing)
                # No VM can move now, so that no job has to give way.
                controller.scheduler.short_of_vms = frozenset()
            else:
                self._record_contact(None)
                self._record_refused_rows(listing)
                self._step({vm.name: vm for vm in listing.vms})
            controller.stop.wait(STEP_INTERVAL_S)
        self._orders.shutdown(wait=False, cancel_futures=True)

    def _record_and_order(
        self, operation: str, vms: list[FleetVm], *arguments
    ) -> list[None | Failure]:
        """Record VMs as ordered, then give an order for each of them.

        :param operation: name of a method of the VM service's client
        :returns: the answers, in the order of the VMs
        """
        now_s = self._controller.clock.monotonic_s()
        if not vms:
            return []
        if not self._vm_order_registry.announce(
            [vm.name for vm in vms], now_s
        ):
            why = PLATFORM_UNAVAILABLE.with_reason(
                "the order could not be recorded in the store"
            )
            return [why] * len(vms)
        return list(
            self._orders.map(
                lambda vm: self.order(operation, vm, *arguments), vms
            )
        )

    def order(self, operation: str, vm: FleetVm, *arguments) -> None | Failure:
        """Give an order for a VM right after checking that this node leads.

        :param operation: name of a method of the VM service's client
        :param arguments: arguments of the method after fence and VM; the
            first of them is logged
        """
        controller = self._controller
        if not controller.is_running:
            return PLATFORM_REFUSED.with_reason("this node no longer leads")
        registry = self._vm_order_registry
        if not registry.may_send(vm.name, controller.clock.monotonic_s()):
            return PLATFORM_REFUSED.with_reason("announced too long ago")
        method = getattr(controller.ports.fleet, operation)
        answer = method(controller.grant.fence, vm.name, *arguments)
        registry.record_answer(vm.name, controller.clock.monotonic_s())
        outcome = answer.code if answer else "begun"
        controller.metrics.count("vm_orders", what=operation, outcome=outcome)
        controller.log(
            "vm ordered",
            what=operation,
            vm=vm.name,
            pool=vm.pool,
            to=arguments[0],
            outcome=outcome,
            why=answer.reason if answer else "",
        )
        return answer

    def mark_worker_replaced(self, worker_id: str) -> None:
        """Record that an order for its VM has replaced a worker.

        It gets no more orders. Its runs are kept until its lease has ended.
        """
        with self._controller.lock:
            worker = self._controller.scheduler.workers.get(worker_id)
            if worker is not None:
                worker.mark_replaced("its VM was moved or maintained")

    def _record_contact(self, failure: Failure | None) -> None:
        if self._reachable == (failure is None):
            return
        self._reachable = failure is None
        if failure is None:
            self._controller.log("vm service regained")
        else:
            self._controller.log("vm service lost", why=failure.reason)

    def _record_refused_rows(self, listing: VmListing) -> None:
        if self._is_list_complete != listing.is_complete:
            self._is_list_complete = listing.is_complete
            self._controller.log(
                "vm list read", vms=len(listing.vms), all=listing.is_complete
            )

    def _step(self, vms: dict[str, FleetVm]) -> None:
        controller = self._controller
        now_s = controller.clock.monotonic_s()
        usable = controller.scheduler.measure_fleet(vms.values(), now_s)
        if self._is_list_complete:
            with controller.lock:
                workers = controller.scheduler.workers_in_service()
            # Workers tell their labels themselves, and come up with a delay.
            controller.completion.update([*usable, *workers])
        self._drop_finished_moves(vms, now_s)
        if any(
            vm.worker_id not in controller.scheduler.workers
            for vm in vms.values()
            if vm.worker_id and vm.phase is VmPhase.UP
        ):
            controller.worker_feed.list_now.set()
        if now_s >= self._holder_interval_end_s:
            self._waves.step(
                vms, self._is_list_complete, set(self._moves), now_s
            )
            controller.mover.step(now_s)
        with controller.lock:
            loads = self._pool_loads(vms)
            controller.scheduler.short_of_vms = frozenset(
                load.name
                for load in loads
                if load.vm_count < self._sizer.desired_vms(load)
            )
        moves = self._sizer.plan(loads, now_s)
        self._report(loads, now_s)
        if not moves or not self._vm_order_registry.announce(
            [move.vm for move in moves], now_s
        ):
            return
        # Waits for all orders and raises the first exception of a thread.
        list(
            self._orders.map(
                lambda move: self._move(vms[move.vm], move, now_s), moves
            )
        )

    def _report(self, loads: list[PoolLoad], now_s: float) -> None:
        """Log once a second the figures from which pools are sized."""
        if now_s - self._reported_at_s < REPORT_INTERVAL_S:
            return
        self._reported_at_s = now_s
        for load in loads:
            self._controller.log(
                "pool size",
                pool=load.name,
                standby=load.is_standby,
                vms=load.vm_count,
                idle=len(load.idle_vms),
                moving=load.moving_count,
                wanted_vms=self._sizer.desired_vms(load),
                running_vms=round(load.running_vms, 1),
                long_running_vms=round(load.long_running_vms, 1),
                serving_vms=load.serving_vms,
                demand_vms=round(load.demand_vms, 1),
                arriving_vms=round(load.arriving_vms, 1),
                expected_vms=round(load.expected_vms, 1),
                spread_vms=load.spread_vms,
                reserve_vms=load.reserve_vms,
            )

    def _drop_finished_moves(
        self, vms: dict[str, FleetVm], now_s: float
    ) -> None:
        """Forget moves that have taken effect or failed.

        A move has failed after MOVE_TIMEOUT_S. A VM that is not listed may be
        listed again.
        """
        for name, move in list(self._moves.items()):
            vm = vms.get(name)
            arrived = (
                vm is not None
                and vm.phase is VmPhase.UP
                and vm.pool == move.target
            )
            is_timed_out = now_s - move.ordered_at_s > MOVE_TIMEOUT_S
            if arrived or is_timed_out:
                del self._moves[name]
                if not arrived:
                    self._uncordon(move.worker_id)

    def _uncordon(self, worker_id: str) -> None:
        with self._controller.lock:
            worker = self._controller.scheduler.workers.get(worker_id)
            if worker is not None:
                worker.is_cordoned = False

    def _move(self, vm: FleetVm, move: Move, now_s: float) -> None:
        """Order a move unless the VM is no longer idle."""
        controller = self._controller
        with controller.lock:
            worker = controller.scheduler.workers.get(vm.worker_id)
            if vm.data_centre in controller.scheduler.evacuated_at_s:
                return
            if worker is not None:
                if not is_idle(worker):
                    return
                worker.is_cordoned = True
            elif vm.worker_id:
                return
        self._moves[vm.name] = _PendingMove(move.target, vm.worker_id, now_s)
        answer = self.order("move", vm, move.target)
        if answer is None:
            self.mark_worker_replaced(vm.worker_id)
        elif answer.is_a(PLATFORM_REFUSED):
            del self._moves[vm.name]
            self._uncordon(vm.worker_id)

    def _pool_loads(self, vms: dict[str, FleetVm]) -> list[PoolLoad]:
        """Return for each pool its VMs and the VMs that it needs."""
        targets = {name: move.target for name, move in self._moves.items()}
        return self._loads.measure(vms, targets, self._waves.pending_vms())
