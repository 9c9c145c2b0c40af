"""Decides how a VM that is due for maintenance can become empty.

Intended for serving tasks that fit on no other VM, as their label or size
suits only the one that is due. They cannot be moved before the maintenance,
and a VM that is kept from new runs until they are gone serves nobody.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import enum

from rosemarynotch._internal.scheduling.evacuation import count_unavailable
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.model import StepSpec
from rosemarynotch._internal.scheduling.policy.feasible import suits
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["Alternatives", "Emptying", "judge_emptying", "may_stop_together"]

# Serving tasks that others could take are awaited this long. A VM that moves
# to their pool arrives within this time.
MOVE_WAIT_S = 3.0
# A VM that is still not empty after this time goes back into service.
GIVE_BACK_S = 5.0


class Emptying(enum.Enum):
    """What to do with a VM that has to become empty.

    WAIT: its runs end or move by themselves. STOP: its serving tasks fit on no
    other VM, and may be stopped for the time of the maintenance. GIVE_BACK: it
    cannot become empty without breaking an availability budget, or not now.
    """

    WAIT = "wait"
    STOP = "stop"
    GIVE_BACK = "give back"


class Alternatives:
    """Tells whether a task could run on another VM than its own.

    Room does not count, since it may become free. A VM of another pool counts
    only for tasks without a required label: pools are sized without regard to
    labels.

    :param vms: all VMs of the fleet
    """

    def __init__(self, scheduler: Scheduler, vms: Iterable[FleetVm]) -> None:
        self._evacuated = frozenset(scheduler.evacuated_at_s)
        self._workers = [
            worker
            for worker in scheduler.workers.values()
            if worker.is_listed
            and not worker.is_replaced
            and not worker.is_evacuated
            and not worker.entry.is_draining
        ]
        self._vms = [
            vm
            for vm in vms
            if vm.phase is not VmPhase.DOWN
            and vm.data_centre not in self._evacuated
        ]
        # Names of up to two suitable VMs or workers, which is one more than
        # the VM in question.
        self._found: dict[tuple[str, str, Resources], set[str]] = {}

    def exist(self, spec: StepSpec, pool: str, worker: Worker) -> bool:
        """Return whether another VM could run a task of a worker.

        :param pool: pool that runs the step now
        """
        key = pool, spec.required_label, spec.reserved
        found = self._found.get(key)
        if found is None:
            found = self._found[key] = self._find(spec, pool)
        return bool(found - {worker.worker_id})

    def _find(self, spec: StepSpec, pool: str) -> set[str]:
        found: set[str] = set()
        for worker in self._workers:
            if worker.entry.pool == pool and suits(spec, worker.entry):
                found.add(worker.worker_id)
        if not spec.required_label:
            for vm in self._vms:
                if vm.pool != pool and vm.capacity.covers(spec.reserved):
                    found.add(vm.name)
        return set(sorted(found)[:2])


def may_stop_together(
    runs: Sequence[Run], workers: dict[str, Worker], now_s: float
) -> bool:
    """Tell whether budgets allow that all of these runs are stopped.

    A step without a budget allows it.
    """
    by_step: dict[int, tuple[Step, list[Run]]] = {}
    for run in runs:
        step = run.task.step
        by_step.setdefault(id(step), (step, []))[1].append(run)
    return all(
        not step.spec.max_unavailable
        or len(own)
        + count_unavailable(step, workers, now_s, [run.task for run in own])
        <= step.spec.max_unavailable
        for step, own in by_step.values()
    )


def judge_emptying(
    worker: Worker,
    scheduler: Scheduler,
    alternatives: Alternatives,
    waited_s: float,
    now_s: float,
) -> Emptying:
    """Return what to do with a VM that has to become empty.

    :param waited_s: time in which no run of it has ended
    """
    runs = list(worker.runs.values())
    serving = [run for run in runs if run.task.step.spec.long_running]
    pinned = [
        run
        for run in serving
        if run.phase is RunPhase.ACTIVE
        and not alternatives.exist(
            run.task.step.spec,
            scheduler.queue_of(run.task.step.occurrence.job).pool,
            worker,
        )
    ]
    if not may_stop_together(pinned, scheduler.workers, now_s):
        return Emptying.GIVE_BACK
    is_ending = len(serving) < len(runs) or any(
        run.phase is not RunPhase.ACTIVE for run in serving
    )
    if is_ending:
        return Emptying.WAIT
    if len(pinned) == len(serving) and pinned:
        return Emptying.STOP
    if waited_s < MOVE_WAIT_S:
        return Emptying.WAIT
    if serving and may_stop_together(serving, scheduler.workers, now_s):
        return Emptying.STOP
    return Emptying.WAIT if waited_s < GIVE_BACK_S else Emptying.GIVE_BACK
