"""Counts the VMs of each pool that are in service, for maintenance."""

from collections.abc import Iterable

import attrs

from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.scheduler import Scheduler

__all__ = ["PoolTotal", "count_pools"]


@attrs.define
class PoolTotal:
    """VMs of a pool, without those of evacuated data centres.

    :ivar vms: number of VMs
    :ivar unavailable_vms: number of VMs out of service
    :ivar reserved_millicores: processors reserved on the VMs in service
    :ivar capacity_millicores: processors of the VMs in service
    """

    vms: int = 0
    unavailable_vms: int = 0
    reserved_millicores: int = 0
    capacity_millicores: int = 0

    @property
    def utilisation(self) -> float:
        """Return the share of the processors in use, 1 if there are none."""
        if not self.capacity_millicores:
            return 1.0
        return self.reserved_millicores / self.capacity_millicores


def count_pools(
    scheduler: Scheduler, vms: Iterable[FleetVm]
) -> dict[str, PoolTotal]:
    """Return the totals by pool."""
    totals: dict[str, PoolTotal] = {}
    for vm in vms:
        total = totals.setdefault(vm.pool, PoolTotal())
        if vm.data_centre in scheduler.evacuated_at_s:
            continue
        total.vms += 1
        worker = scheduler.workers.get(vm.worker_id)
        if worker is None or worker.is_cordoned or vm.phase is not VmPhase.UP:
            total.unavailable_vms += 1
            continue
        total.reserved_millicores += worker.reserved.cpu_millicores
        total.capacity_millicores += worker.entry.capacity.cpu_millicores
    return totals
