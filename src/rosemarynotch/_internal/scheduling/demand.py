"""How many VMs the work of each pool would fill."""

from collections.abc import Iterable
import math

import attrs

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.ports import FleetVm
from rosemarynotch._internal.scheduling.scheduler import Scheduler

__all__ = ["Demand", "NO_DEMAND", "measure_demand", "vm_sizes"]


@attrs.define
class Demand:
    """Work of one pool.

    :ivar vms: VMs that running and waiting tasks would fill
    :ivar spread_vms: VMs that one lasting step needs because few of its
        tasks may share a VM
    """

    vms: float = 0.0
    spread_vms: int = 0


NO_DEMAND = Demand()


def vm_sizes(vms: Iterable[FleetVm]) -> dict[str, Resources]:
    """Return the capacity of a VM by pool, and under "" of any VM."""
    sizes: dict[str, Resources] = {}
    for vm in vms:
        sizes[vm.pool] = sizes[""] = vm.capacity
    return sizes


def measure_demand(
    scheduler: Scheduler, sizes: dict[str, Resources], wall_ms: float
) -> dict[str, Demand]:
    """Return the demand by pool.

    :param sizes: capacity of a VM by pool
    """
    demand: dict[str, Demand] = {}
    for job in scheduler.active.values():
        pool = scheduler.queue_of(job).pool
        size = sizes.get(pool) or sizes.get("")
        if size is None:
            continue
        total = demand.setdefault(pool, Demand())
        for step in _open_steps(job, wall_ms):
            count = len(step.tasks) - step.done_count
            total.vms += count * _vm_share(step.spec.reserved, size)
            # Other steps end soon; VMs that come for their spread alone
            # would be missing in other pools.
            if step.spec.max_per_worker and step.spec.long_running:
                spread = math.ceil(count / step.spec.max_per_worker)
                total.spread_vms = max(total.spread_vms, spread)
    return demand


def _open_steps(job: Job, wall_ms: float) -> list[Step]:
    return [
        step
        for occurrence in job.occurrences
        if not job.is_scheduled or wall_ms >= occurrence.due_unix_ms
        for step in occurrence.steps
        if not step.is_done and step.is_ready
    ]


def _vm_share(task: Resources, vm: Resources) -> float:
    """Return the part of a VM that a task takes."""
    return max(
        task.cpu_millicores / max(1, vm.cpu_millicores),
        task.memory_mb / max(1, vm.memory_mb),
        task.gpu_count / max(1, vm.gpu_count),
    )
