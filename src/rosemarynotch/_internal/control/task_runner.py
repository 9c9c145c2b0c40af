"""Starts, stops and observes the tasks of jobs on the platform."""

from collections.abc import Iterable

from rosemarynotch._internal.control.job_rows import cancel_unstarted
from rosemarynotch._internal.control.job_rows import requeue_refused
from rosemarynotch._internal.control.job_rows import task_id_of
from rosemarynotch._internal.control.job_rows import with_rows
from rosemarynotch._internal.control.job_table import JobTable
from rosemarynotch._internal.control.worker_health import WorkerHealth
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PLATFORM_REFUSED
from rosemarynotch._internal.models.jobs import JobRow
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.policy.placement import JobSize
from rosemarynotch._internal.policy.placement import PlacementPolicy
from rosemarynotch._internal.reference.interface import Task
from rosemarynotch._internal.reference.interface import TaskService
from rosemarynotch._internal.reference.interface import TaskState
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["TaskRunner"]

# Covers a change of leader: 5 s for the leader lease, a few passes, and two
# failed renewals.
TASK_LEASE_S = 30.0
RENEW_INTERVAL_S = 8.0
# A call without visible effect in the task list is repeated after this time.
REPEAT_INTERVAL_S = 5.0
# A running task that is missing in the list for this long counts as lost.
MISSING_TASK_TIMEOUT_S = TASK_LEASE_S
# A row of the task list takes about 250 bytes. Longer lists are read less
# often, to limit the traffic to 20 KB/s, but at least every 10 s.
TASK_BYTES = 250
TASK_LIST_BYTES_PER_S = 20_000
MAX_LIST_INTERVAL_S = 10.0
STOPS_PER_PASS = 200

ActiveTask = tuple[str, str, JobRow]


class TaskRunner:
    """Starts, renews, stops and observes the tasks of jobs.

    :param policy: placement policy, which receives the sizes used by tasks
    :ivar health: workers to avoid because jobs fail on them
    """

    def __init__(
        self, tasks: TaskService, policy: PlacementPolicy, clock: Clock
    ) -> None:
        self._service = tasks
        self._policy = policy
        self._clock = clock
        self.health = WorkerHealth(clock)
        self._listed: dict[str, Task] = {}
        self._next_list_s = float("-inf")
        self._next_renewal_s = float("-inf")
        self._called_at_s: dict[tuple[str, str], float] = {}
        self._missing_since_s: dict[str, float] = {}

    def observe(self, table: JobTable) -> dict[str, Task] | None:
        """Return the tasks by id, or None if the list was not read."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_list_s or not table.has_open_rows():
            return None
        listed = self._service.tasks()
        if isinstance(listed, Failure):
            return None
        self._next_list_s = now_s + min(
            MAX_LIST_INTERVAL_S,
            len(listed) * TASK_BYTES / TASK_LIST_BYTES_PER_S,
        )
        self._listed = {task.task_id: task for task in listed}
        active = _active_tasks(table)
        self._record_outcomes(active)
        known = dict(self._listed)
        known.update(self._lost_tasks(active, now_s))
        self._discard_old_calls(now_s)
        return known

    def _record_outcomes(self, active: list[ActiveTask]) -> None:
        """Record size and outcome of the tasks that have just ended."""
        for task_id, job_id, row in active:
            task = self._listed.get(task_id)
            if task is None:
                continue
            if task.state is TaskState.FAILED:
                self.health.record_failure(task.worker, job_id)
            elif task.state is TaskState.DONE:
                self.health.record_success(task.worker)
                used = JobSize(
                    cores=task.used_cores, memory_mb=task.used_memory_mb
                )
                # Usage is reported with a lag, so a short task may have none.
                if task.used_cores > 0:
                    self._policy.observe(row.team, row.queue, used)

    def _lost_tasks(
        self, active: list[ActiveTask], now_s: float
    ) -> dict[str, Task]:
        """Return running tasks as LOST after the missing-task time-out."""
        missing = {
            task_id: row
            for task_id, _, row in active
            if row.state is JobState.RUNNING and task_id not in self._listed
        }
        self._missing_since_s = {
            task_id: self._missing_since_s.get(task_id, now_s)
            for task_id in missing
        }
        return {
            task_id: Task(
                task_id=task_id,
                worker=row.worker,
                cores=row.reserved_cores,
                memory_mb=row.reserved_memory_mb,
                state=TaskState.LOST,
            )
            for task_id, row in missing.items()
            if now_s - self._missing_since_s[task_id] >= MISSING_TASK_TIMEOUT_S
        }

    def start_jobs(self, table: JobTable, record: FleetRecord) -> None:
        """Start the tasks of jobs in state STARTING, and renew leases.

        A draining worker still gets the tasks placed before the drain. A
        worker that is out of service would refuse its task, so the job returns
        to the queue.
        """
        refused: dict[int, list[ActiveTask]] = {}
        for active in _active_tasks(table):
            task_id, job_id, row = active
            if row.state is not JobState.STARTING or row.cancelled:
                continue
            if task_id in self._listed:
                continue
            vm = record.vms.get(row.worker)
            in_use = vm and vm.state in (VmState.SERVING, VmState.DRAINING)
            if not in_use or self._start_is_refused(task_id, row):
                refused.setdefault(shard_of(job_id), []).append(active)
        for number, rows in refused.items():
            table.update(number, lambda shard, r=rows: _requeue(shard, r))
        self._renew(table)

    def _start_is_refused(self, task_id: str, row: JobRow) -> bool:
        if not self._record_call_if_due("start", task_id):
            return False
        task = Task(
            task_id=task_id,
            worker=row.worker,
            cores=row.reserved_cores,
            memory_mb=row.reserved_memory_mb,
            accelerators=row.accelerators,
            payload=row.payload,
            checkpoint=row.checkpoint,
        )
        failure = self._service.start(task, int(TASK_LEASE_S * 1000))
        if failure is None:
            return False
        del self._called_at_s["start", task_id]
        if not failure.is_a(PLATFORM_REFUSED):
            return False
        self.health.record_refusal(row.worker)
        return True

    def _renew(self, table: JobTable) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_renewal_s:
            return
        task_ids = [task_id for task_id, _, _ in _active_tasks(table)]
        if not task_ids:
            return
        lease_ms = int(TASK_LEASE_S * 1000)
        if self._service.renew(task_ids, lease_ms) is None:
            self._next_renewal_s = now_s + RENEW_INTERVAL_S

    def stop_jobs(self, table: JobTable, record: FleetRecord) -> None:
        """Stop cancelled jobs, and idempotent ones on draining workers.

        A non-idempotent job on a draining worker runs to its end, however
        long that takes.
        """
        never_started: dict[int, list[ActiveTask]] = {}
        remaining_stops = STOPS_PER_PASS
        for active in _active_tasks(table):
            task_id, job_id, row = active
            vm = record.vms.get(row.worker)
            drains = vm is not None and vm.state is VmState.DRAINING
            drains = drains and row.idempotent and task_id in self._listed
            if remaining_stops < 1 or not (row.cancelled or drains):
                continue
            if not self._record_call_if_due("stop", task_id):
                continue
            remaining_stops -= 1
            if not row.cancelled:
                self._service.checkpoint(task_id)
            failure = self._service.stop(task_id)
            refused = failure is not None and failure.is_a(PLATFORM_REFUSED)
            if refused and row.cancelled and row.state is JobState.STARTING:
                never_started.setdefault(shard_of(job_id), []).append(active)
        now_s = self._clock.wall_s()
        for number, rows in never_started.items():
            table.update(
                number, lambda shard, r=rows: _cancel(shard, r, now_s)
            )
        self._stop_orphans(table)

    def _stop_orphans(self, table: JobTable) -> None:
        """Stop running tasks of jobs that have ended."""
        active = {task_id for task_id, _, _ in _active_tasks(table)}
        for task_id, task in self._listed.items():
            if task.state is not TaskState.RUNNING or task_id in active:
                continue
            job_id = task_id.rpartition(".")[0]
            row = table.row(job_id) if _is_job_id(job_id) else None
            ended = row is not None and row.state.is_final
            if ended and self._record_call_if_due("stop", task_id):
                self._service.stop(task_id)

    def _record_call_if_due(self, kind: str, task_id: str) -> bool:
        """Return whether a call is due, and if so, record it as made now.

        :param kind: "start" or "stop"
        """
        now_s = self._clock.monotonic_s()
        if (
            now_s - self._called_at_s.get((kind, task_id), -REPEAT_INTERVAL_S)
            < REPEAT_INTERVAL_S
        ):
            return False
        self._called_at_s[kind, task_id] = now_s
        return True

    def _discard_old_calls(self, now_s: float) -> None:
        self._called_at_s = {
            call: at_s
            for call, at_s in self._called_at_s.items()
            if now_s - at_s < REPEAT_INTERVAL_S
        }


def _active_tasks(table: JobTable) -> list[ActiveTask]:
    return [
        (task_id_of(job_id, row), job_id, row)
        for job_id, row in table.open_rows()
        if row.state.is_active
    ]


def _is_job_id(text: str) -> bool:
    return bool(text) and all(c in "0123456789abcdef" for c in text)


def _requeue(shard: JobShard, rows: Iterable[ActiveTask]) -> JobShard:
    """Return jobs to the queue unless their rows have changed."""
    same = [(j, row) for _, j, row in rows if shard.jobs.get(j) == row]
    return with_rows(shard, {j: requeue_refused(row) for j, row in same})


def _cancel(shard: JobShard, rows: Iterable[ActiveTask], now_s) -> JobShard:
    """End cancelled jobs unless their rows have changed."""
    same = [(j, row) for _, j, row in rows if shard.jobs.get(j) == row]
    return with_rows(
        shard, {j: cancel_unstarted(row, now_s) for j, row in same}
    )
