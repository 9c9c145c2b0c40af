"""Measures the load of each pool, from which the pools are sized."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.policy import ArrivalRates
from rosemarynotch._internal.scheduling.policy import Demand
from rosemarynotch._internal.scheduling.policy import measure_demand
from rosemarynotch._internal.scheduling.policy import NO_DEMAND
from rosemarynotch._internal.scheduling.policy import PoolLoad
from rosemarynotch._internal.scheduling.policy import StartReserve
from rosemarynotch._internal.scheduling.policy import vm_sizes
from rosemarynotch._internal.scheduling.workers import Worker

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["PoolLoads", "is_idle"]


def is_idle(worker: Worker) -> bool:
    """Tell whether a worker is empty and not about to leave anyhow."""
    return worker.is_empty and not (
        worker.is_cordoned or worker.entry.is_draining
    )


@attrs.define
class _VmCounts:
    """Counts of the VMs of one pool.

    :ivar vms: VMs that serve the pool or are moving to it
    :ivar serving: VMs on which only long-running tasks run
    """

    vms: int = 0
    moving: int = 0
    serving: int = 0
    idle: list[str] = attrs.field(factory=list)


class PoolLoads:
    """Measures the VMs of the pools and the demand for them.

    :param may_order: tells whether a VM may be ordered at a time
    :param rates: estimates the rates of arriving work
    :param reserve: chooses the VMs to hold before the first load peak
    """

    def __init__(
        self,
        controller: "Controller",
        may_order: Callable[[str, float], bool],
        rates: ArrivalRates,
        reserve: StartReserve,
    ) -> None:
        self._controller = controller
        self._reserve = reserve
        self._may_order = may_order
        self._rates = rates

    def measure(
        self,
        vms: Mapping[str, FleetVm],
        targets: Mapping[str, str],
        excluded: Collection[str],
    ) -> list[PoolLoad]:
        """Return for each pool its VMs and the VMs that it needs.

        Called with the lock of the controller.

        :param targets: pool to which each moving VM moves
        :param excluded: VMs that neither count for their pool nor move, such
            as those of a maintenance wave
        """
        wall_ms = self._controller.clock.wall_s() * 1000
        demand = self._measure_demand(vms, wall_ms)
        expected = self._controller.forecast.expected_vms(wall_ms)
        reserve = self._reserve_vms(demand, len(vms))
        counts = self._count_vms(vms, targets, excluded)
        configuration = self._controller.scheduler.configuration
        pools = configuration.pools
        priorities: dict[str, int] = {}
        for queue in configuration.queues:
            known = priorities.get(queue.pool, queue.priority)
            priorities[queue.pool] = min(known, queue.priority)
        loads = []
        for name, policy in pools.items():
            count = counts.get(name, _VmCounts())
            need = demand.get(name, NO_DEMAND)
            loads.append(
                PoolLoad(
                    name=name,
                    is_standby=policy.is_standby,
                    vm_count=count.vms,
                    idle_vms=tuple(sorted(count.idle)),
                    priority=priorities.get(name, 0),
                    moving_count=count.moving,
                    demand_vms=need.vms,
                    running_vms=need.running_vms,
                    long_running_vms=need.long_running_vms,
                    serving_vms=count.serving,
                    arriving_vms=self._rates.vms(name, wall_ms),
                    expected_vms=expected.get(name, 0.0),
                    spread_vms=need.spread_vms,
                    reserve_vms=reserve.get(name, 0.0),
                )
            )
        return loads

    def _reserve_vms(
        self, demand: Mapping[str, Demand], fleet_vms: int
    ) -> dict[str, float]:
        controller = self._controller
        return self._reserve.reserve_vms(
            controller.scheduler.configuration.queues,
            {pool: each.long_running_vms for pool, each in demand.items()},
            fleet_vms,
            bool(controller.forecast.turns),
            controller.clock.monotonic_s(),
        )

    def _measure_demand(
        self, vms: Mapping[str, FleetVm], wall_ms: float
    ) -> dict[str, Demand]:
        """Return the demand by pool, and record it for forecast and rates."""
        controller = self._controller
        demand = measure_demand(
            controller.scheduler,
            vm_sizes(vms.values()),
            wall_ms,
            lambda job: controller.planner.is_viable(job, wall_ms),
        )
        controller.forecast.observe(
            {pool: each.arriving_vms for pool, each in demand.items()},
            {pool: each.vms for pool, each in demand.items()},
            wall_ms,
        )
        for pool, each in demand.items():
            for arrival in each.arrivals:
                self._rates.note(pool, arrival)
        return demand

    def _count_vms(
        self,
        vms: Mapping[str, FleetVm],
        targets: Mapping[str, str],
        excluded: Collection[str],
    ) -> dict[str, _VmCounts]:
        scheduler = self._controller.scheduler
        now_s = self._controller.clock.monotonic_s()
        pools = scheduler.configuration.pools
        pools_off = {name for name, each in pools.items() if each.is_standby}
        counts: dict[str, _VmCounts] = {}
        for vm in vms.values():
            if vm.phase is VmPhase.DOWN:
                continue
            if vm.data_centre in scheduler.evacuated_at_s:
                # Neither capacity of its pool nor a VM that may move.
                continue
            is_moving = vm.name in targets
            pool = targets.get(vm.name, vm.pool)
            count = counts.setdefault(pool, _VmCounts())
            count.moving += is_moving
            worker = scheduler.workers.get(vm.worker_id)
            is_unavailable = vm.name in excluded or (
                worker is not None and worker.is_unavailable(now_s)
            )
            count.vms += not is_unavailable
            if is_moving or vm.name in excluded:
                continue
            count.serving += _runs_only_long_tasks(worker)
            if vm.phase is not VmPhase.UP:
                continue
            if not self._may_order(vm.name, now_s):
                continue
            # VMs of a standby pool are switched off and have no worker. In
            # other pools, one that is not named yet may have begun to work.
            is_off = not vm.worker_id and pool in pools_off
            if is_off or (worker and is_idle(worker)):
                count.idle.append(vm.name)
        return counts


def _runs_only_long_tasks(worker: Worker | None) -> bool:
    return (
        worker is not None
        and bool(worker.runs)
        and all(
            run.task.step.spec.long_running for run in worker.runs.values()
        )
    )
