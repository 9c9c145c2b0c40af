"""Simulates queues that peak in turn, with the leader's own decisions.

The scheduler, the planner, the loads of pools and all policies are those of
the product. The store is replaced by immediate confirmations, VMs and workers
by a model: a VM takes 1.5 s to move, and its worker is used half a second
later.
"""

from collections.abc import Sequence
from types import SimpleNamespace

import attrs

from rosemarynotch._internal.replay.turn_load import is_long_running
from rosemarynotch._internal.replay.turn_load import LOAD_QUEUES
from rosemarynotch._internal.replay.turn_load import ORGANISATION
from rosemarynotch._internal.replay.turn_load import STANDBY
from rosemarynotch._internal.replay.turn_load import TurnJob
from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.model import PoolPolicy
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.planner import Planner
from rosemarynotch._internal.scheduling.policies import SchedulingPolicies
from rosemarynotch._internal.scheduling.pool_loads import PoolLoads
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.records import Turn
from rosemarynotch._internal.scheduling.scheduler import Scheduler

__all__ = ["TurnResult", "TurnTrial"]

TICK_S = 0.05
FLEET_STEP_TICKS = 3
REPORT_TICKS = 5
MOVE_S = 1.5
# Time until a worker of a moved VM is listed, has reported and is enrolled.
WORKER_START_S = 0.5
LEASE_S = 5.0
CAPACITY = Resources(cpu_millicores=32000, memory_mb=128000)
EPOCH_S = 1000.0
# Time after the last arrival in which jobs may end.
DRAIN_S = 14.0


@attrs.define(kw_only=True)
class TurnResult:
    """Figures of a simulated day.

    :ivar on_time: jobs that ended within their objective, by queue
    :ivar jobs: submitted jobs that end, by queue
    :ivar late_at_s: times of submission of the others
    :ivar vm_s: VM-seconds outside of standby, with those of moves
    :ivar moves: number of moves
    """

    on_time: dict[str, int] = attrs.field(factory=dict)
    jobs: dict[str, int] = attrs.field(factory=dict)
    late_at_s: list[float] = attrs.field(factory=list)
    vm_s: float = 0.0
    moves: int = 0

    @property
    def on_time_count(self) -> int:
        """Return the number of jobs on time."""
        return sum(self.on_time.values())


@attrs.define
class _Vm:
    """A simulated VM; each move gives it another worker."""

    name: str
    pool: str
    worker_id: str = ""
    up_at_s: float = float("-inf")
    sequence: int = 0


class TurnTrial:
    """Runs the decisions of a leader against a day's jobs.

    :param vms: number of VMs by pool at the start
    :param turns: turns that an earlier leader recorded
    :param is_first: whether there was no earlier leader
    """

    def __init__(
        self,
        policies: SchedulingPolicies,
        vms: dict[str, int],
        turns: tuple[Turn, ...] = (),
        is_first: bool = True,
    ) -> None:
        # Before every day, so that the first workers have reported.
        self._now_s = EPOCH_S / 2
        self.scheduler = Scheduler(1, 0, LEASE_S)
        self.scheduler.configuration = Configuration(
            version=1,
            revision=1,
            queues=LOAD_QUEUES,
            pools={
                name: PoolPolicy(name=name, is_standby=name == STANDBY)
                for name in vms
            },
            organisations={
                ORGANISATION: Organisation(
                    name=ORGANISATION, keys=frozenset(), weight=1.0
                )
            },
        )
        self._planner = Planner(
            self.scheduler, policies.order, policies.placer, AdviceCache()
        )
        self._sizer = policies.make_sizer(is_first)
        self._loads = PoolLoads(
            SimpleNamespace(
                scheduler=self.scheduler,
                planner=self._planner,
                forecast=policies.make_forecast(turns),
                clock=SimpleNamespace(
                    monotonic_s=lambda: self._now_s,
                    wall_s=lambda: self._now_s,
                ),
            ),
            lambda vm, now_s: True,
            policies.make_rates(),
            policies.make_reserve(),
        )
        self._vms: dict[str, _Vm] = {}
        self._ends_s: dict[tuple, float] = {}
        self._workers_started = 0
        for pool, count in vms.items():
            for number in range(count):
                vm = _Vm(f"{pool}-{number:03d}", pool)
                self._vms[vm.name] = vm
        self._list_workers()

    def run(self, jobs: Sequence[TurnJob], from_s: float) -> TurnResult:
        """Run the jobs, and return the figures.

        :param from_s: time at which the leader starts, before the traffic
        """
        result = TurnResult()
        self._now_s = EPOCH_S + from_s
        waiting = sorted(jobs, key=lambda job: job.at_s, reverse=True)
        end_s = EPOCH_S + waiting[0].at_s + DRAIN_S
        submitted: dict[str, TurnJob] = {}
        tick = 0
        while self._now_s < end_s:
            while waiting and EPOCH_S + waiting[-1].at_s <= self._now_s:
                job = waiting.pop()
                submitted[job.job_id] = job
                self._submit(job, result)
            self._apply_reports(tick, submitted, result)
            self._list_workers()
            for command in self._planner.place(
                self._now_s, self._now_s * 1000
            ):
                self._start(command.run, submitted)
            if tick % FLEET_STEP_TICKS == 0:
                self._step_fleet(result)
            result.vm_s += TICK_S * sum(
                vm.pool != STANDBY for vm in self._vms.values()
            )
            tick += 1
            self._now_s += TICK_S
        ended = sum(result.on_time.values()) + len(result.late_at_s)
        unfinished = sum(result.jobs.values()) - ended
        result.late_at_s += [end_s] * unfinished
        return result

    def _submit(self, job: TurnJob, result: TurnResult) -> None:
        if not is_long_running(job.spec):
            count = result.jobs.get(job.queue.name, 0)
            result.jobs[job.queue.name] = count + 1
        record = SubmissionRecord(
            policy=job.queue,
            organisation=ORGANISATION,
            spec=job.spec,
            accepted_unix_ms=round(self._now_s * 1000),
            attempt_id="a",
        )
        self.scheduler.add_job(job.job_id, record, 10)

    def _start(self, run: Run, submitted: dict[str, TurnJob]) -> None:
        job = submitted[run.task.task_id.job_id]
        self.scheduler.on_start_answer(
            run, round(self._now_s * 1000), self._now_s
        )
        self._ends_s[run.key] = self._now_s + job.run_s(run.task)

    def _apply_reports(self, tick, submitted, result) -> None:
        """Apply the reports that are due: of ends, or the regular ones."""
        for vm in self._vms.values():
            worker = self.scheduler.workers.get(vm.worker_id)
            if worker is None:
                continue
            ended = [
                run
                for run in worker.runs.values()
                if self._ends_s[run.key] <= self._now_s
            ]
            if ended or tick % REPORT_TICKS == 0:
                self._report(vm, worker, ended)
            for run in ended:
                self._record_end(run, submitted, result)
        for job in list(self.scheduler.dirty.values()):
            self.scheduler.mark_written(job, job.change, 11)
        self.scheduler.advance_acks()

    def _report(self, vm: _Vm, worker, ended: Sequence[Run]) -> None:
        ends = []
        for run in ended:
            vm.sequence += 1
            ends.append(
                RunEnd(
                    sequence=vm.sequence,
                    task=run.task.task_id,
                    run=run.number,
                    kind=EndKind.DONE,
                )
            )
        gone = {run.key for run in ended}
        self.scheduler.on_report(
            worker,
            WorkerReport(
                clock_ms=round(self._now_s * 1000),
                started_unix_ms=1,
                running=tuple(
                    RunStatus(
                        task=run.task.task_id, run=run.number, percent=50
                    )
                    for run in worker.runs.values()
                    if run.key not in gone
                ),
                ends=tuple(ends),
            ),
            self._now_s,
            self._now_s,
        )

    def _record_end(self, run: Run, submitted, result: TurnResult) -> None:
        job = self.scheduler.jobs[run.task.task_id.job_id]
        trace = submitted[job.job_id]
        if not job.phase.is_final or trace.is_ended:
            return
        trace.is_ended = True
        took_ms = (self._now_s - EPOCH_S - trace.at_s) * 1000
        if took_ms <= trace.queue.objective_ms(trace.path_ms):
            name = trace.queue.name
            result.on_time[name] = result.on_time.get(name, 0) + 1
        else:
            result.late_at_s.append(trace.at_s)

    def _step_fleet(self, result: TurnResult) -> None:
        listed = {
            vm.name: FleetVm(
                name=vm.name,
                pool=vm.pool,
                phase=(
                    VmPhase.MOVING if vm.up_at_s > self._now_s else VmPhase.UP
                ),
                data_centre="z",
                labels=(),
                capacity=CAPACITY,
                worker_id=vm.worker_id,
            )
            for vm in self._vms.values()
        }
        targets = {
            vm.name: vm.pool
            for vm in self._vms.values()
            if vm.up_at_s > self._now_s
        }
        loads = self._loads.measure(listed, targets, ())
        for move in self._sizer.plan(loads, self._now_s):
            vm = self._vms[move.vm]
            self.scheduler.workers.pop(vm.worker_id, None)
            vm.pool, vm.worker_id, vm.sequence = move.target, "", 0
            vm.up_at_s = self._now_s + MOVE_S
            result.moves += 1

    def _list_workers(self) -> None:
        """Add the workers of VMs that have been up for long enough."""
        entries = [each.entry for each in self.scheduler.workers.values()]
        known = len(entries)
        for vm in self._vms.values():
            is_due = self._now_s >= vm.up_at_s + WORKER_START_S
            if vm.pool != STANDBY and not vm.worker_id and is_due:
                entries.append(self._start_worker(vm))
        if len(entries) == known:
            return
        for worker in self.scheduler.set_workers(entries, self._now_s):
            worker.is_enrolled = True
            self._report(
                next(
                    vm
                    for vm in self._vms.values()
                    if vm.worker_id == worker.worker_id
                ),
                worker,
                (),
            )

    def _start_worker(self, vm: _Vm) -> WorkerEntry:
        self._workers_started += 1
        vm.worker_id = f"w{self._workers_started:05d}"
        return WorkerEntry(
            worker_id=vm.worker_id,
            started_unix_ms=1,
            pool=vm.pool,
            address=f"{vm.name}:1",
            capacity=CAPACITY,
            labels=("a", "rack-1"),
        )
