"""Replays loads of more work than the pools hold against a job order.

The scheduler, the planner, the placer, the measurement of demand and the
sizer are those of the product. Workers run what they are told, and VMs move
between pools; nothing fails, and there is no network.
"""

import heapq
import itertools

import attrs

from rosemarynotch._internal.replay.overload_load import ArrivingJob
from rosemarynotch._internal.replay.overload_load import ORGANISATIONS
from rosemarynotch._internal.replay.overload_load import OverloadCase
from rosemarynotch._internal.replay.overload_load import STANDBY_POOL
from rosemarynotch._internal.replay.overload_load import SURGING
from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.model import PoolPolicy
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.planner import Planner
from rosemarynotch._internal.scheduling.policy import BestFit
from rosemarynotch._internal.scheduling.policy import CUTOFF_FACTOR
from rosemarynotch._internal.scheduling.policy import DemandSizer
from rosemarynotch._internal.scheduling.policy import JobOrder
from rosemarynotch._internal.scheduling.policy import measure_demand
from rosemarynotch._internal.scheduling.policy import NO_DEMAND
from rosemarynotch._internal.scheduling.policy import PoolLoad
from rosemarynotch._internal.scheduling.policy import PoolSharing
from rosemarynotch._internal.scheduling.policy import vm_sizes
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.scheduler import Scheduler

__all__ = ["OverloadTrial", "TrialResult"]

PASS_MS = 50
SIZING_MS = 150
# A VM moves for 1.5 s, and its worker has runs half a second later.
MOVE_MS = 2000
# Time from an order to the start of its run.
ORDER_MS = 20
LATE_WORTH = 0.07
# After the last arrival, the replay goes on for the objective that this share
# of the jobs has at most, and this time. Later ends earn nothing.
TAIL_SHARE = 0.97
TAIL_MS = 1_000
START_MS = 1_000_000


@attrs.frozen
class TrialResult:
    """What the jobs of a replay achieved.

    :ivar worth_by_job: 1 on time, LATE_WORTH late, otherwise 0
    :ivar work_core_ms: work that was started before the last arrival
    :ivar wasted_core_ms: the part of it whose jobs ended too late to be of
        worth, or not at all
    """

    worth_by_job: dict[str, float]
    jobs: tuple[ArrivingJob, ...]
    work_core_ms: float
    wasted_core_ms: float
    passes: int

    @property
    def on_time(self) -> int:
        """Return the number of jobs on time."""
        return sum(worth == 1.0 for worth in self.worth_by_job.values())

    def worth(self, jobs=None) -> float:
        """Return the mean worth of some jobs, by default of all."""
        chosen = self.jobs if jobs is None else jobs
        total = sum(self.worth_by_job[job.job_id] for job in chosen)
        return total / max(1, len(chosen))

    def worst(self, key, jobs=None, min_jobs: int = 5) -> float:
        """Return the worth of the worst group with enough jobs."""
        groups: dict[object, list[ArrivingJob]] = {}
        for job in self.jobs if jobs is None else jobs:
            groups.setdefault(key(job), []).append(job)
        large = [each for each in groups.values() if len(each) >= min_jobs]
        return min((self.worth(each) for each in large), default=1.0)

    @property
    def worst_class(self) -> float:
        """Return the worth of the worst queue."""
        return self.worst(lambda job: job.queue.name)

    @property
    def worst_second(self) -> float:
        """Return the worth of the worst second of arrivals."""
        return self.worst(lambda job: int(job.at_ms // 1000))

    @property
    def worst_organisation(self) -> float:
        """Return the worth of the worst organisation that does not surge."""
        calm = [job for job in self.jobs if job.organisation != SURGING]
        return self.worst(lambda job: job.organisation, calm)

    def largest_tenth_ratio(self) -> float:
        """Return the worth of the largest tenth relative to its class.

        It is the least of all queues. Jobs that run longer than declared are
        left out, as no order can know them.
        """
        ratios = []
        for name in {job.queue.name for job in self.jobs}:
            jobs = [
                job
                for job in self.jobs
                if job.queue.name == name and not job.is_outlier
            ]
            jobs.sort(key=lambda job: job.work_core_ms)
            mean = self.worth(jobs)
            if len(jobs) >= 20 and mean:
                ratios.append(self.worth(jobs[-(len(jobs) // 10) :]) / mean)
        return min(ratios, default=1.0)


class OverloadTrial:
    """One replay.

    :param order: order under trial
    """

    def __init__(
        self,
        case: OverloadCase,
        order: JobOrder,
        sharing: PoolSharing | None = None,
    ) -> None:
        self.case = case
        self.now_ms = START_MS
        queues = {job.queue.name: job.queue for job in case.jobs}
        pools = {queue.pool for queue in queues.values()} | set(case.vms)
        self.scheduler = Scheduler(1, 0, 5.0)
        self.scheduler.configuration = Configuration(
            version=1,
            revision=1,
            queues=tuple(queues.values()),
            pools={
                **{name: PoolPolicy(name=name) for name in sorted(pools)},
                STANDBY_POOL: PoolPolicy(name=STANDBY_POOL, is_standby=True),
            },
            organisations={
                name: Organisation(name=name, keys=frozenset())
                for name in ORGANISATIONS
            },
        )
        self.planner = Planner(
            self.scheduler,
            order,
            BestFit(),
            AdviceCache(),
            sharing=sharing,
        )
        self._sizer = DemandSizer()
        self._capacity = Resources(
            cpu_millicores=case.cores * 1000, memory_mb=case.cores * 4000
        )
        self._jobs = {job.job_id: job for job in case.jobs}
        self._ends: list[tuple[float, int, object]] = []
        self._numbers = itertools.count(1)
        self._vms: dict[str, str] = {}
        self._moving: dict[str, tuple[str, float]] = {}
        self._sequences: dict[str, int] = {}
        self._worked_core_ms: dict[str, float] = {}
        self._ended_ms: dict[str, float] = {}
        self._arrivals: list[ArrivingJob] = sorted(
            case.jobs, key=lambda job: job.at_ms, reverse=True
        )
        self._passes = 0

    def run(self) -> TrialResult:
        """Replay the case."""
        numbers = itertools.count()
        for pool, count in sorted(self.case.vms.items()):
            for _ in range(count):
                self._place_vm(f"vm-{next(numbers):03d}", pool)
        for _ in range(self.case.standby_vms):
            self._vms[f"vm-{next(numbers):03d}"] = STANDBY_POOL
        fleet = len(self._vms) * self._capacity.cpu_millicores
        self.scheduler.fleet_millicores = fleet
        objectives = sorted(job.objective_ms for job in self.case.jobs)
        tail_ms = TAIL_MS + objectives[int(TAIL_SHARE * len(objectives))]
        end_ms = self.now_ms + self.case.jobs[-1].at_ms + tail_ms
        sized_ms = 0.0
        while self.now_ms < end_ms and (
            self._arrivals or self.scheduler.active
        ):
            self.now_ms += PASS_MS
            is_changed = self._arrive() + self._land_moves() + self._end_runs()
            for worker in self.scheduler.workers.values():
                worker.clock_received_at_s = self.now_ms / 1000
            if is_changed:
                self._plan()
            if self.case.do_move and self.now_ms - sized_ms >= SIZING_MS:
                sized_ms = self.now_ms
                self._size()
        return self._result()

    def _place_vm(self, vm: str, pool: str) -> None:
        """Make a VM of a pool ready for work, with a new worker."""
        self._vms[vm] = pool
        if pool == STANDBY_POOL:
            return
        known = [worker.entry for worker in self.scheduler.workers.values()]
        entry = WorkerEntry(
            worker_id=f"{vm}-{next(self._numbers)}",
            started_unix_ms=1,
            pool=pool,
            address="h:1",
            capacity=self._capacity,
            labels=(),
        )
        now_s = self.now_ms / 1000
        for worker in self.scheduler.set_workers([*known, entry], now_s):
            worker.is_enrolled = True
            self._report(worker, [])

    def _report(self, worker, ends) -> None:
        now_s = self.now_ms / 1000
        ended = {end.task for end in ends}
        report = WorkerReport(
            clock_ms=round(self.now_ms),
            started_unix_ms=1,
            running=tuple(
                RunStatus(task=run.task.task_id, run=run.number, percent=1)
                for run in worker.runs.values()
                if run.task.task_id not in ended
            ),
            ends=tuple(ends),
        )
        self.scheduler.on_report(worker, report, now_s, now_s)

    def _arrive(self) -> int:
        count = 0
        while (
            self._arrivals
            and self._arrivals[-1].at_ms + START_MS <= self.now_ms
        ):
            job = self._arrivals.pop()
            submission = SubmissionRecord(
                policy=job.queue,
                organisation=job.organisation,
                spec=job.spec,
                accepted_unix_ms=round(START_MS + job.at_ms),
                attempt_id="a",
            )
            self.scheduler.add_job(job.job_id, submission, 10)
            count += 1
        return count

    def _land_moves(self) -> int:
        landed = [
            (vm, pool)
            for vm, (pool, at_ms) in self._moving.items()
            if at_ms <= self.now_ms
        ]
        for vm, pool in landed:
            del self._moving[vm]
            self._place_vm(vm, pool)
        return len(landed)

    def _end_runs(self) -> int:
        ends: dict[str, list[RunEnd]] = {}
        while self._ends and self._ends[0][0] <= self.now_ms:
            run = heapq.heappop(self._ends)[2]
            name = run.worker_id
            self._sequences[name] = self._sequences.get(name, 0) + 1
            ends.setdefault(name, []).append(
                RunEnd(
                    sequence=self._sequences[name],
                    task=run.task.task_id,
                    run=run.number,
                    kind=EndKind.DONE,
                )
            )
        for name, rows in ends.items():
            self._report(self.scheduler.workers[name], rows)
            for row in rows:
                job_id = row.task.job_id
                if job_id not in self.scheduler.active:
                    self._ended_ms.setdefault(job_id, self.now_ms)
                    self.planner.forget(job_id)
        return len(ends)

    def _plan(self) -> None:
        now_s = self.now_ms / 1000
        self._passes += 1
        for command in self.planner.place(now_s, self.now_ms):
            run = command.run
            self.scheduler.on_start_answer(run, round(self.now_ms), now_s)
            task_id = run.task.task_id
            run_ms = self._jobs[task_id.job_id].run_ms[task_id.step]
            at_ms = self.now_ms + ORDER_MS + run_ms
            heapq.heappush(self._ends, (at_ms, next(self._numbers), run))
            if self._arrivals:
                cores = run.task.step.spec.size.cpu_millicores / 1000
                self._worked_core_ms[task_id.job_id] = (
                    self._worked_core_ms.get(task_id.job_id, 0.0)
                    + cores * run_ms
                )

    def _size(self) -> None:
        """Move idle VMs as the fleet manager does, without its forecast."""
        scheduler = self.scheduler
        by_vm = {
            worker.worker_id.rpartition("-")[0]: worker
            for worker in scheduler.workers.values()
        }
        listed = [
            FleetVm(
                name=vm,
                pool=pool,
                phase=VmPhase.UP,
                worker_id="",
                capacity=self._capacity,
                data_centre="",
                labels=(),
            )
            for vm, pool in self._vms.items()
        ]
        demand = measure_demand(
            scheduler,
            vm_sizes(listed),
            self.now_ms,
            lambda job: self.planner.is_viable(job, self.now_ms),
        )
        loads = []
        for name, policy in scheduler.configuration.pools.items():
            each = demand.get(name, NO_DEMAND)
            moving = sum(p == name for p, _ in self._moving.values())
            own = [
                vm
                for vm, pool in self._vms.items()
                if pool == name and vm not in self._moving
            ]
            loads.append(
                PoolLoad(
                    name=name,
                    is_standby=policy.is_standby,
                    vm_count=len(own) + moving,
                    idle_vms=tuple(
                        vm
                        for vm in own
                        if vm not in by_vm or not by_vm[vm].runs
                    ),
                    moving_count=moving,
                    demand_vms=each.vms,
                    running_vms=each.running_vms,
                    arriving_vms=each.arriving_vms,
                    spread_vms=each.spread_vms,
                )
            )
        scheduler.short_of_vms = frozenset(
            load.name
            for load in loads
            if load.vm_count < self._sizer.desired_vms(load)
        )
        for move in self._sizer.plan(loads, self.now_ms / 1000):
            self._moving[move.vm] = (move.target, self.now_ms + MOVE_MS)
            if move.vm in by_vm:
                del scheduler.workers[by_vm[move.vm].worker_id]

    def _result(self) -> TrialResult:
        worth: dict[str, float] = {}
        wasted = 0.0
        for job in self.case.jobs:
            took_ms = self._ended_ms.get(job.job_id, 1e12)
            took_ms -= START_MS + job.at_ms
            worth[job.job_id] = (
                1.0
                if took_ms <= job.objective_ms
                else (
                    LATE_WORTH
                    if took_ms <= CUTOFF_FACTOR * job.objective_ms
                    else 0.0
                )
            )
            if not worth[job.job_id]:
                wasted += self._worked_core_ms.get(job.job_id, 0.0)
        return TrialResult(
            worth_by_job=worth,
            jobs=self.case.jobs,
            work_core_ms=sum(self._worked_core_ms.values()),
            wasted_core_ms=wasted,
            passes=self._passes,
        )
