"""Measures the demand of each pool in VMs."""

from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs

from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.policy.rates import Arrival
from rosemarynotch._internal.scheduling.scheduler import Scheduler

__all__ = ["Demand", "NO_DEMAND", "measure_demand", "vm_sizes"]


@attrs.define
class Demand:
    """Demand of one pool.

    :ivar vms: VMs that running and waiting tasks would fill
    :ivar running_vms: VMs that the running tasks fill
    :ivar long_running_vms: VMs that the long-running ones of them fill
    :ivar arriving_vms: VMs that work would keep busy if it went on arriving
        at the present rate
    :ivar arrivals: the recent jobs from which that rate is calculated
    :ivar spread_vms: VMs that one long-running step needs because only a few
        of its tasks may share a VM
    """

    vms: float = 0.0
    running_vms: float = 0.0
    long_running_vms: float = 0.0
    arriving_vms: float = 0.0
    arrivals: list[Arrival] = attrs.field(factory=list)
    spread_vms: int = 0


NO_DEMAND = Demand()
# Window for the arrival rate of a queue. A move takes 1.5 s, so the window has
# to be short for VMs to arrive before the queue's peak is over.
ARRIVAL_WINDOW_MS = 600
# At the start of a rise, the rate is calculated over the time since the oldest
# arrival in the window, but over no less than this.
MIN_ARRIVAL_WINDOW_MS = 250
# Tasks of which more than this fit on a VM leave no significant part of it
# unused, since they also fill the gaps beside larger ones.
MIN_SMALL_TASKS_PER_VM = 12


def vm_sizes(vms: Iterable[FleetVm]) -> dict[str, Resources]:
    """Return the capacity of a VM by pool, and that of any VM under ""."""
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

    Jobs that can no longer end in time do not count and only run on capacity
    that is left over. Otherwise a pool with a backlog of such jobs takes the
    VMs of the peaking pool, whose jobs could still be on time.

    :param sizes: capacity of a VM by pool, and of any VM under ""
    :param is_viable: tells whether a job counts as demand for VMs
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
        if _is_recent_batch_job(job, age_ms):
            work_vm_ms = _work_vm_ms(job, size)
            total.arriving_vms += work_vm_ms
            accepted_ms = job.submission.accepted_unix_ms
            total.arrivals.append(Arrival(job.job_id, accepted_ms, work_vm_ms))
            ages_ms.setdefault(pool, []).append(age_ms)
        for step in _ready_steps(job, wall_ms):
            count = len(step.tasks) - step.done_count
            share = _vm_share(step.spec.reserved, size)
            total.vms += count * share
            running_vms = share * step.running_count
            total.running_vms += running_vms
            if step.spec.long_running:
                total.long_running_vms += running_vms
            # Other steps end soon, and VMs moved only to spread their tasks
            # would be missing in other pools.
            if step.spec.max_per_worker and step.spec.long_running:
                spread = math.ceil(count / step.spec.max_per_worker)
                total.spread_vms = max(total.spread_vms, spread)
        unopened = job.unopened_count(wall_ms)
        if unopened:
            total.vms += unopened * _first_vm_share(job, size)
    for pool, ages in ages_ms.items():
        # The window starts at the oldest arrival, so that one is not counted.
        # A single job therefore does not indicate a rate.
        counted_share = (len(ages) - 1) / len(ages)
        window_ms = max(max(ages), MIN_ARRIVAL_WINDOW_MS)
        demand[pool].arriving_vms *= counted_share / window_ms
    return demand


def _is_recent_batch_job(job: Job, age_ms: float) -> bool:
    is_batch = not (job.is_long_running or job.is_scheduled)
    return is_batch and age_ms <= ARRIVAL_WINDOW_MS


def _work_vm_ms(job: Job, vm: Resources) -> float:
    """Return the VM time that the whole job takes."""
    return sum(
        step.task_count * _vm_share(step.reserved, vm) * step.estimated_ms
        for step in job.submission.spec.steps
    )


def _ready_steps(job: Job, wall_ms: float) -> list[Step]:
    due_count = job.due_count(wall_ms)
    return [
        step
        for occurrence in job.occurrences.held
        if occurrence.number < due_count
        for step in occurrence.steps
        if not step.is_done and step.is_ready
    ]


def _first_vm_share(job: Job, vm: Resources) -> float:
    """Return the share of a VM that the first steps of an occurrence take."""
    return sum(
        step.task_count * _vm_share(step.reserved, vm)
        for step in job.submission.spec.steps
        if not step.after
    )


def _vm_share(task: Resources, vm: Resources) -> float:
    """Return the share of a VM that a task takes, with unusable remainder.

    Four tasks of 13 cores fill a VM of 64 cores, although a fifth of it stays
    free, so each of them takes a quarter of the VM.
    """
    share = max(
        task.cpu_millicores / max(1, vm.cpu_millicores),
        task.memory_mb / max(1, vm.memory_mb),
        task.gpu_count / max(1, vm.gpu_count),
    )
    if share > 1 or share * MIN_SMALL_TASKS_PER_VM < 1:
        return share
    return 1 / math.floor(1 / share)
