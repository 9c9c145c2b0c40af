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
    """Payload of a task, which sets how the task behaves.

    The usage may differ from the resources that the task declares.

    :ivar run_ms: run time
    :ivar cores: cores used
    :ivar memory_mb: memory used
    :ivar fail: reason of a failure at the end, empty for success
    :ivar fail_count: number of tasks with the same payload that fail, 0 for
        all
    :ivar result: result after success
    """

    run_ms: float = 100.0
    cores: float = 1.0
    memory_mb: int = 0
    fail: str = ""
    fail_count: int = 0
    result: str = ""


class Task(msgspec.Struct):
    """A task as the task service lists it."""

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
    """A task with the internal state of its run."""

    task: Task
    behaviour: Behaviour
    start_s: float
    end_s: float
    lease_end_s: float
    throttle_cores: float = 0.0


class Tasks:
    """Tasks on the workers among the VMs.

    A task ends with its run time or its lease, whichever is first. Ends are
    processed at the next call and recorded with the time at which they were
    due.

    :param usage_lag_ms: delay before the usage of a task is reported
    """

    def __init__(self, vms: Vms, ledger: Ledger, usage_lag_ms=0) -> None:
        self.usage_lag_ms = usage_lag_ms
        self.calls = 0
        self._vms = vms
        self._ledger = ledger
        self._lock = threading.RLock()
        self._runs: dict[str, _Run] = {}
        self._failing: dict[str, str] = {}
        vms.add_lost_listener(self._end_tasks_of_lost_worker)

    def set_failing(self, worker: str, reason: str) -> None:
        """Let all tasks of a worker fail; an empty reason ends the fault."""
        with self._lock:
            self._update()
            self._failing[worker] = reason
            self._ledger.record("worker-failing", worker=worker, reason=reason)
            for run in self._running_on(worker) if reason else ():
                self._end(run, self._ledger.now_s(), "failed", reason)

    def start(self, task: Task, lease_ms: float) -> bool:
        """Start a task; return False if its identifier was used before.

        :raises Unknown: if the worker does not exist
        :raises Refused: if the worker is rebooting or lacks capacity
        """
        with self._lock:
            self._begin_call()
            if task.task_id in self._runs:
                return False
            self._check_capacity(task)
            behaviour = _decode_behaviour(task.payload)
            if self._has_reached_fail_count(task, behaviour):
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
            self._record("task-start", now_s, run)
            reason = self._failing.get(task.worker)
            if reason:
                self._end(run, now_s, "failed", reason)
            return True

    def listed(self) -> list[Task]:
        """Return all tasks, with the usage reported so far."""
        with self._lock:
            self._begin_call()
            reported_s = self._ledger.now_s() - self.usage_lag_ms / 1000
            for run in self._runs.values():
                if run.start_s <= reported_s:
                    run.task.used_cores = _used_cores(run)
                    run.task.used_memory_mb = run.behaviour.memory_mb
            return [run.task for run in self._runs.values()]

    def renew(self, task_ids: list[str], lease_ms: float) -> list[str]:
        """Extend leases; return the tasks that are not running."""
        with self._lock:
            self._begin_call()
            not_running = []
            for task_id in task_ids:
                run = self._runs.get(task_id)
                if run is None or run.task.state != RUNNING:
                    not_running.append(task_id)
                    continue
                run.lease_end_s = self._ledger.now_s() + lease_ms / 1000
            return not_running

    def checkpoint(self, task_id: str) -> None:
        """Save the completed run time of a task, in seconds."""
        with self._lock:
            self._begin_call()
            run = self._find_run(task_id)
            remaining_s = max(0.0, run.end_s - self._ledger.now_s())
            done_s = run.behaviour.run_ms / 1000 - remaining_s
            run.task.checkpoint = f"{max(0.0, done_s):.3f}"
            self._record("task-checkpoint", self._ledger.now_s(), run)

    def throttle(self, task_id: str, cores: float) -> None:
        """Limit the cores of a task, which extends the rest of its run.

        :raises Refused: if ``cores`` is not above 0
        """
        with self._lock:
            self._begin_call()
            if cores <= 0:
                raise Refused("cores must be above 0")
            run = self._find_run(task_id)
            now_s = self._ledger.now_s()
            previous_cores = _used_cores(run)
            run.throttle_cores = cores
            if run.task.state == RUNNING:
                remaining_s = (
                    (run.end_s - now_s) * previous_cores / _used_cores(run)
                )
                run.end_s = now_s + remaining_s
            self._record("task-throttle", now_s, run, cores=cores)

    def stop(self, task_id: str) -> None:
        """Stop a task; a task that has ended is not changed."""
        with self._lock:
            self._begin_call()
            run = self._find_run(task_id)
            if run.task.state == RUNNING:
                self._end(run, self._ledger.now_s(), "stopped", "")

    def update(self) -> None:
        """Process the ends that are due."""
        with self._lock:
            self._update()

    def _begin_call(self) -> None:
        self.calls += 1
        self._update()

    def _find_run(self, task_id: str) -> _Run:
        if task_id not in self._runs:
            raise Unknown(f"no task {task_id}")
        return self._runs[task_id]

    def _running_on(self, worker: str) -> list[_Run]:
        return [
            run
            for run in self._runs.values()
            if run.task.worker == worker and run.task.state == RUNNING
        ]

    def _check_capacity(self, task: Task) -> None:
        vm = self._vms.vm(task.worker)
        if vm.state == "rebooting":
            raise Refused(f"{vm.name} is {vm.state}")
        tasks = [run.task for run in self._running_on(vm.name)] + [task]
        for field in ("cores", "memory_mb", "accelerators"):
            required = sum(getattr(each, field) for each in tasks)
            if required > getattr(vm, field):
                raise Refused(
                    f"{vm.name}: {field} {required} exceeds its capacity"
                )

    def _has_reached_fail_count(
        self, task: Task, behaviour: Behaviour
    ) -> bool:
        """Return whether ``fail_count`` tasks with this payload failed."""
        failed = sum(
            run.task.payload == task.payload and run.task.state == "failed"
            for run in self._runs.values()
        )
        return 0 < behaviour.fail_count <= failed

    def _end_tasks_of_lost_worker(self, worker: str, at_s: float) -> None:
        with self._lock:
            self._update()
            for run in self._running_on(worker):
                self._end(run, at_s, "lost", "")

    def _update(self) -> None:
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
        self._record("task-end", at_s, run, state=state)

    def _record(
        self, kind: str, at_s: float, run: _Run, **fields: Any
    ) -> None:
        self._ledger.record(
            kind, at_s, task=run.task.task_id, worker=run.task.worker, **fields
        )


def _used_cores(run: _Run) -> float:
    cores = max(run.behaviour.cores, 1e-3)
    return min(cores, run.throttle_cores) if run.throttle_cores else cores


def _decode_behaviour(payload: str) -> Behaviour:
    """Decode a payload; return the defaults if it cannot be decoded."""
    try:
        return msgspec.json.decode(payload.encode(), type=Behaviour)
    except msgspec.DecodeError:
        return Behaviour()
