"""Task service of the platform stand-in."""

import threading
from typing import Any

import msgspec

from standins.ledger import Ledger
from standins.vms import Refused
from standins.vms import Unknown
from standins.vms import Vms

__all__ = ["Behaviour", "Task", "Tasks"]

RUNNING = "running"


class Behaviour(msgspec.Struct):
    """The payload of a task: how it behaves, whatever was declared.

    :ivar cores: what it uses
    :ivar fail: why it fails at its end, empty when it does not
    :ivar fail_count: tasks with this very payload that fail, 0 for all
    """

    run_ms: float = 100.0
    cores: float = 1.0
    memory_mb: int = 0
    fail: str = ""
    fail_count: int = 0
    result: str = ""


class Task(msgspec.Struct):
    """A task as callers see it."""

    task_id: str
    worker: str
    cores: float
    memory_mb: int
    state: str = RUNNING
    accelerators: int = 0
    payload: str = ""
    used_cores: float = 0.0
    used_memory_mb: int = 0
    result: str = ""
    checkpoint: str = ""


class _Run(msgspec.Struct):
    """A task with what the stand-in knows about it."""

    task: Task
    behaviour: Behaviour
    start_s: float
    end_s: float
    lease_end_s: float
    throttle_cores: float = 0.0


class Tasks:
    """Tasks on the workers among the VMs.

    A task ends at the earliest of its run time and its lease. The ends are
    worked out at the next call, with their true times.

    :param usage_lag_ms: age of the usage that callers see
    """

    def __init__(self, vms: Vms, ledger: Ledger, usage_lag_ms=0) -> None:
        self.usage_lag_ms = usage_lag_ms
        self.calls = 0
        self._vms = vms
        self._ledger = ledger
        self._lock = threading.RLock()
        self._runs: dict[str, _Run] = {}
        self._failing: dict[str, str] = {}
        vms.add_lost_listener(self._worker_lost)

    def set_failing(self, worker: str, reason: str) -> None:
        """Let a worker fail everything; an empty reason ends this."""
        with self._lock:
            self._settle()
            self._failing[worker] = reason
            self._ledger.note("worker-failing", worker=worker, reason=reason)
            for run in self._running(worker) if reason else ():
                self._end(run, self._ledger.now_s(), "failed", reason)

    def start(self, task: Task, lease_ms: float) -> bool:
        """Start a task; return False if its identifier was used before.

        :raises Unknown: without such a worker
        :raises Refused: when the worker is not live or has no room
        """
        with self._lock:
            self._count()
            if task.task_id in self._runs:
                return False
            self._check_room(task)
            behaviour = _behaviour(task.payload)
            if self._failed_enough(task, behaviour):
                behaviour.fail = ""
            run_s = behaviour.run_ms / 1000
            if task.checkpoint:
                run_s = max(0.0, run_s - float(task.checkpoint))
            now_s = self._ledger.now_s()
            task.state = RUNNING
            run = _Run(
                task, behaviour, now_s, now_s + run_s, now_s + lease_ms / 1000
            )
            self._runs[task.task_id] = run
            self._note("task-start", now_s, run)
            reason = self._failing.get(task.worker)
            if reason:
                self._end(run, now_s, "failed", reason)
            return True

    def listed(self) -> list[Task]:
        """Return all tasks, with usage as it was reported."""
        with self._lock:
            self._count()
            reported_s = self._ledger.now_s() - self.usage_lag_ms / 1000
            for run in self._runs.values():
                if run.start_s <= reported_s:
                    run.task.used_cores = _used_cores(run)
                    run.task.used_memory_mb = run.behaviour.memory_mb
            return [run.task for run in self._runs.values()]

    def renew(self, task_ids: list[str], lease_ms: float) -> list[str]:
        """Extend leases; return the tasks that do not run."""
        with self._lock:
            self._count()
            gone = []
            for task_id in task_ids:
                run = self._runs.get(task_id)
                if run is None or run.task.state != RUNNING:
                    gone.append(task_id)
                    continue
                run.lease_end_s = self._ledger.now_s() + lease_ms / 1000
            return gone

    def checkpoint(self, task_id: str) -> None:
        """Keep how many seconds of its run time a task has done."""
        with self._lock:
            self._count()
            run = self._find(task_id)
            left_s = max(0.0, run.end_s - self._ledger.now_s())
            done_s = run.behaviour.run_ms / 1000 - left_s
            run.task.checkpoint = f"{max(0.0, done_s):.3f}"
            self._note("task-checkpoint", self._ledger.now_s(), run)

    def throttle(self, task_id: str, cores: float) -> None:
        """Limit the cores of a task; the rest of its run gets longer.

        :raises Refused: when ``cores`` is not above 0
        """
        with self._lock:
            self._count()
            if cores <= 0:
                raise Refused("cores must be above 0")
            run = self._find(task_id)
            now_s = self._ledger.now_s()
            before = _used_cores(run)
            run.throttle_cores = cores
            if run.task.state == RUNNING:
                left_s = (run.end_s - now_s) * before / _used_cores(run)
                run.end_s = now_s + left_s
            self._note("task-throttle", now_s, run, cores=cores)

    def stop(self, task_id: str) -> None:
        """Stop a task; one that has ended stays as it is."""
        with self._lock:
            self._count()
            run = self._find(task_id)
            if run.task.state == RUNNING:
                self._end(run, self._ledger.now_s(), "stopped", "")

    def settle(self) -> None:
        """Note the ends whose time has come."""
        with self._lock:
            self._settle()

    def _count(self) -> None:
        self.calls += 1
        self._settle()

    def _find(self, task_id: str) -> _Run:
        if task_id not in self._runs:
            raise Unknown(f"no task {task_id}")
        return self._runs[task_id]

    def _running(self, worker: str) -> list[_Run]:
        return [
            run
            for run in self._runs.values()
            if run.task.worker == worker and run.task.state == RUNNING
        ]

    def _check_room(self, task: Task) -> None:
        vm = self._vms.vm(task.worker)
        if vm.state == "rebooting":
            raise Refused(f"{vm.name} is {vm.state}")
        tasks = [run.task for run in self._running(vm.name)] + [task]
        for field in ("cores", "memory_mb", "accelerators"):
            wanted = sum(getattr(each, field) for each in tasks)
            if wanted > getattr(vm, field):
                raise Refused(f"{vm.name}: {field} {wanted} is too much")

    def _failed_enough(self, task: Task, behaviour: Behaviour) -> bool:
        """Tell whether as many tasks with this payload failed as should."""
        failed = sum(
            run.task.payload == task.payload and run.task.state == "failed"
            for run in self._runs.values()
        )
        return 0 < behaviour.fail_count <= failed

    def _worker_lost(self, worker: str, at_s: float) -> None:
        with self._lock:
            self._settle()
            for run in self._running(worker):
                self._end(run, at_s, "lost", "")

    def _settle(self) -> None:
        now_s = self._ledger.now_s()
        running = [r for r in self._runs.values() if r.task.state == RUNNING]
        ended = [r for r in running if min(r.end_s, r.lease_end_s) <= now_s]
        for run in sorted(ended, key=lambda r: min(r.end_s, r.lease_end_s)):
            if run.lease_end_s < run.end_s:
                self._end(run, run.lease_end_s, "lost", "")
            elif run.behaviour.fail:
                self._end(run, run.end_s, "failed", run.behaviour.fail)
            else:
                self._end(run, run.end_s, "done", run.behaviour.result)

    def _end(self, run: _Run, at_s: float, state: str, result: str) -> None:
        run.task.state = state
        run.task.result = result
        self._note("task-end", at_s, run, state=state)

    def _note(self, kind: str, at_s: float, run: _Run, **fields: Any) -> None:
        self._ledger.note(
            kind, at_s, task=run.task.task_id, worker=run.task.worker, **fields
        )


def _used_cores(run: _Run) -> float:
    cores = max(run.behaviour.cores, 1e-3)
    return min(cores, run.throttle_cores) if run.throttle_cores else cores


def _behaviour(payload: str) -> Behaviour:
    """Decode a payload; one that is not JSON behaves in the usual way."""
    try:
        return msgspec.json.decode(payload.encode(), type=Behaviour)
    except msgspec.DecodeError:
        return Behaviour()
