"""How many VMs the work of each pool would fill."""

from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs

from rosemarynotch._internal.scheduling.arrival_rates import Arrival
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
    :ivar arriving_vms: VMs that a lasting stream of the work arriving now
        would keep busy
    :ivar arrivals: the jobs that brought that work
    :ivar spread_vms: VMs that one lasting step needs because few of its
        tasks may share a VM
    """

    vms: float = 0.0
    arriving_vms: float = 0.0
    arrivals: list[Arrival] = attrs.field(factory=list)
    spread_vms: int = 0


NO_DEMAND = Demand()
# Arrivals of this time tell the rate of a queue. A move takes 1.5 s, so the
# window has to be short for VMs to come before the queue's peak is over.
ARRIVAL_WINDOW_MS = 600
# The first arrivals of a rise are divided by the time since the oldest of
# them, but not by less than this.
MIN_ARRIVAL_WINDOW_MS = 250
# Tasks of which more fit on a VM fill it well, together with larger ones.
SMALL_TASKS = 12


def vm_sizes(vms: Iterable[FleetVm]) -> dict[str, Resources]:
    """Return the capacity of a VM by pool, and under "" of any VM."""
    sizes: dict[str, Resources] = {}
    for vm in vms:
        sizes[vm.pool] = sizes[""] = vm.capacity
    return sizes


def measure_demand(
    scheduler: Scheduler,
    sizes: dict[str, Resources],
    wall_ms: float,
    is_viable: Callable[[Job], bool] = lambda job: True,
) -> dict[str, Demand]:
    """Return the demand by pool.

    Jobs that no VM can bring to their end in time run on the room that is
    left. It answers a pool whose backlog is too late: it took the VMs of the
    pool that peaks, whose jobs could still be on time.

    :param sizes: capacity of a VM by pool
    :param is_viable: tells whether a job is worth more VMs
    """
    demand: dict[str, Demand] = {}
    ages_ms: dict[str, list[float]] = {}
    for job in scheduler.active.values():
        pool = scheduler.queue_of(job).pool
        size = sizes.get(pool) or sizes.get("")
        if size is None:
            continue
        total = demand.setdefault(pool, Demand())
        if not is_viable(job):
            continue
        age_ms = wall_ms - job.submission.accepted_unix_ms
        if _is_arriving(job, age_ms):
            work_vm_ms = _work_vm_ms(job, size)
            total.arriving_vms += work_vm_ms
            accepted_ms = job.submission.accepted_unix_ms
            total.arrivals.append(Arrival(job.job_id, accepted_ms, work_vm_ms))
            ages_ms.setdefault(pool, []).append(age_ms)
        for step in _open_steps(job, wall_ms):
            count = len(step.tasks) - step.done_count
            total.vms += count * _vm_share(step.spec.reserved, size)
            # Other steps end soon; VMs that come for their spread alone
            # would be missing in other pools.
            if step.spec.max_per_worker and step.spec.long_running:
                spread = math.ceil(count / step.spec.max_per_worker)
                total.spread_vms = max(total.spread_vms, spread)
    for pool, ages in ages_ms.items():
        # The oldest arrival begins the time that is measured, so it does not
        # count; one job alone is no stream.
        counted = (len(ages) - 1) / len(ages)
        window_ms = max(max(ages), MIN_ARRIVAL_WINDOW_MS)
        demand[pool].arriving_vms *= counted / window_ms
    return demand


def _is_arriving(job: Job, age_ms: float) -> bool:
    is_batch = not (job.is_long_running or job.is_scheduled)
    return is_batch and age_ms <= ARRIVAL_WINDOW_MS


def _work_vm_ms(job: Job, vm: Resources) -> float:
    """Return the time that the whole job would take of a VM."""
    return sum(
        len(step.tasks)
        * _vm_share(step.spec.reserved, vm)
        * step.spec.estimated_ms
        for step in job.occurrences[0].steps
    )


def _open_steps(job: Job, wall_ms: float) -> list[Step]:
    return [
        step
        for occurrence in job.occurrences
        if not job.is_scheduled or wall_ms >= occurrence.due_unix_ms
        for step in occurrence.steps
        if not step.is_done and step.is_ready
    ]


def _vm_share(task: Resources, vm: Resources) -> float:
    """Return the part of a VM that a task takes, with what is left over.

    Four tasks of 13 cores fill a VM of 64, although a fifth of it is free.
    """
    share = max(
        task.cpu_millicores / max(1, vm.cpu_millicores),
        task.memory_mb / max(1, vm.memory_mb),
        task.gpu_count / max(1, vm.gpu_count),
    )
    if share > 1 or share * SMALL_TASKS < 1:
        return share
    return 1 / math.floor(1 / share)
