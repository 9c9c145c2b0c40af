"""Plans which runs the leader starts and stops next."""

from collections.abc import Callable
from itertools import islice
import math

import attrs

from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.candidates import CandidateFactory
from rosemarynotch._internal.scheduling.caps import CapGuard
from rosemarynotch._internal.scheduling.commands import StartCommand
from rosemarynotch._internal.scheduling.commands import StopCommand
from rosemarynotch._internal.scheduling.held_jobs import StayingWorkers
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.load_outlook import LoadOutlook
from rosemarynotch._internal.scheduling.policy import Candidate
from rosemarynotch._internal.scheduling.policy import CompletionCheck
from rosemarynotch._internal.scheduling.policy import FreeCapacity
from rosemarynotch._internal.scheduling.policy import JobOrder
from rosemarynotch._internal.scheduling.policy import KeepPoolsApart
from rosemarynotch._internal.scheduling.policy import NoCheck
from rosemarynotch._internal.scheduling.policy import PoolCapacity
from rosemarynotch._internal.scheduling.policy import PoolSharing
from rosemarynotch._internal.scheduling.policy import StepPlacer
from rosemarynotch._internal.scheduling.policy import Urgency
from rosemarynotch._internal.scheduling.run_reconciler import RunReconciler
from rosemarynotch._internal.scheduling.scheduler import Scheduler

__all__ = ["Planner", "StartCommand", "StopCommand"]

# A long-running step that fails on every worker is tried again after this time
# with one task. It may fail any number of times, and would else take capacity
# and orders all the time.
FAILING_RETRY_S = 2.0
# Of more waiting tasks of a step, only as many are tried as may have room.
MAX_TRIED_TASKS = 32
# Which pools are short may change with each pass.
LOG_INTERVAL_S = 1.0


@attrs.frozen
class _Waiting:
    """A job with steps that have tasks to place."""

    candidate: Candidate
    job: Job
    steps: list[Step]


@attrs.frozen
class _PoolPass:
    """The waiting jobs of a pool in one pass, in order."""

    pool: str
    capacity: PoolCapacity
    waiting: list[_Waiting]


class Planner:
    """Plans starts and stops of runs from the scheduler's state.

    :param order: decides which job of a pool starts next
    :param placer: decides on which workers its tasks start
    :param sharing: decides which jobs give way to those of other pools
    :param may_start: tells whether a job may be started now
    :param completion: tells which jobs can complete
    :ivar outlook: sums up the work of the jobs
    """

    def __init__(
        self,
        scheduler: Scheduler,
        order: JobOrder,
        placer: StepPlacer,
        advice: AdviceCache,
        log: Callable[..., None] = lambda event, **fields: None,
        sharing: PoolSharing | None = None,
        may_start: Callable[[Job], bool] = lambda job: True,
        completion: CompletionCheck = NoCheck(),
    ) -> None:
        self._may_start = may_start
        self._scheduler = scheduler
        self._order = order
        self._placer = placer
        self._advice = advice
        self._log = log
        self._sharing = sharing or KeepPoolsApart()
        self._reconciler = RunReconciler(scheduler, advice, log)
        self._completion = completion
        self._caps = CapGuard(scheduler)
        self._candidates = CandidateFactory(scheduler)
        self.outlook = LoadOutlook(
            scheduler, self._candidates, order, completion.can_complete
        )
        self._uncertain_pools: set[str] = set()
        self._short_pools: dict[str, int] = {}
        self._short_logged_at_s = 0.0
        self._staying = StayingWorkers()

    def reconcile_runs(self, now_s: float) -> list[StartCommand | StopCommand]:
        """Return the stops to order and the starts to order again."""
        return self._reconciler.reconcile_runs(now_s)

    def place(
        self,
        now_s: float,
        wall_ms: float,
        min_lease_s: float = 0.0,
        led_at_s: float | None = None,
    ) -> list[StartCommand]:
        """Return the starts of waiting tasks of all pools.

        :param min_lease_s: if it is not 0, leases are not extended at present;
            tasks start only on workers with a lease of this length, and
            long-running ones do not
        :param led_at_s: last time at which no other leader can have existed,
            by default now; leases of workers that have not been heard count
            as over only if they were over then
        """
        if led_at_s is None:
            led_at_s = now_s
        pools: dict[str, list[Job]] = {}
        for job in self._scheduler.active.values():
            if min_lease_s and job.is_long_running:
                continue
            pool = self._scheduler.queue_of(job).pool
            pools.setdefault(pool, []).append(job)
        self._candidates.begin_pass()
        uncertain = self._scheduler.pools_with_unknown_runs(led_at_s)
        if uncertain != self._uncertain_pools:
            self._uncertain_pools = uncertain
            self._log(
                "pools with unknown runs", pools=" ".join(sorted(uncertain))
            )
        blocked = self._scheduler.jobs_with_unknown_runs(uncertain, led_at_s)
        self._caps.reserve_unknown(blocked.values(), led_at_s)
        if min_lease_s:
            # VMs cannot be ordered to move either.
            self._short_pools = {}
        passes: list[_PoolPass] = []
        capacities = self._free_capacities(now_s, min_lease_s)
        for pool, jobs in pools.items():
            free = capacities.get(pool, [])
            usable = [
                job
                for job in jobs
                if self._scheduler.may_use_pool(job, pool)
                and job.job_id not in blocked
            ]
            millicores = sum(
                each.worker.entry.capacity.cpu_millicores for each in free
            )
            waiting = self._sort_waiting(usable, millicores, wall_ms)
            if waiting:
                passes.append(_PoolPass(pool, PoolCapacity(free), waiting))
        return self._place_pools(passes, now_s, wall_ms)

    def _free_capacities(
        self, now_s: float, min_lease_s: float
    ) -> dict[str, list[FreeCapacity]]:
        """Return the free capacities of all workers, by pool."""
        capacities: dict[str, list[FreeCapacity]] = {}
        for worker in self._scheduler.workers.values():
            if (
                worker.accepts_work(now_s)
                and worker.lease_left_s(now_s) >= min_lease_s
            ):
                capacities.setdefault(worker.entry.pool, []).append(
                    FreeCapacity.of(worker, now_s)
                )
        return capacities

    def _sort_waiting(self, jobs, millicores, wall_ms) -> list["_Waiting"]:
        """Return the jobs with steps to place, in the order of the policy."""
        waiting = {}
        for job in jobs:
            steps = self._waiting_steps(job, wall_ms)
            if steps:
                waiting[job.job_id] = (job, steps)
        candidates = [
            self._candidates.candidate(job, wall_ms)
            for job, _ in waiting.values()
        ]
        ordered = [
            _Waiting(candidate, *waiting[candidate.job_id])
            for candidate in self._order.sort(
                candidates, wall_ms, millicores / 1000
            )
        ]
        # Jobs that can never complete only get what all others leave over.
        return sorted(
            ordered,
            key=lambda each: not self._completion.can_complete(each.job),
        )

    def _place_pools(self, passes, now_s, wall_ms) -> list[StartCommand]:
        """Place the waiting jobs, and record which pools are short.

        What gives way follows from the pools that were short in the last
        pass, so that the pools can be planned one after the other.
        """
        commands: list[StartCommand] = []
        short: dict[str, int] = {}
        self._staying.begin_pass()
        for each in passes:
            held = []
            for waiting in each.waiting:
                candidate = waiting.candidate
                urgency = candidate.urgency(wall_ms)
                if not self._sharing.may_start(
                    candidate, wall_ms, each.pool, self._short_pools
                ):
                    held.append(waiting)
                    continue
                commands += self._place_steps(waiting, each.capacity, now_s)
                if (
                    each.pool in self._scheduler.short_of_vms
                    and urgency is Urgency.ON_TIME
                    and candidate.priority < short.get(each.pool, math.inf)
                    and self._completion.can_complete(waiting.job)
                    and self._lacks_room(waiting)
                ):
                    short[each.pool] = candidate.priority
            if held:
                left = PoolCapacity(
                    self._staying.choose(each.capacity.capacities, now_s)
                )
                for waiting in held:
                    commands += self._place_steps(waiting, left, now_s)
        self._record_short_pools(short, now_s)
        return commands

    def waiting(self, wall_ms: float) -> dict[str, list[Candidate]]:
        """Return the waiting jobs by pool, in the order of their starts."""
        pools: dict[str, list[Job]] = {}
        for job in self._scheduler.active.values():
            pool = self._scheduler.queue_of(job).pool
            pools.setdefault(pool, []).append(job)
        return {
            pool: [
                waiting.candidate
                for waiting in self._sort_waiting(
                    jobs, self._scheduler.pool_millicores(pool), wall_ms
                )
            ]
            for pool, jobs in pools.items()
        }

    def _record_short_pools(self, short: dict[str, int], now_s) -> None:
        if (
            short.keys() != self._short_pools.keys()
            and now_s - self._short_logged_at_s >= LOG_INTERVAL_S
        ):
            self._short_logged_at_s = now_s
            self._log("pools short", pools=" ".join(sorted(short)))
        self._short_pools = short

    def _place_steps(self, waiting, capacity, now_s) -> list[StartCommand]:
        commands = []
        for step in waiting.steps:
            commands += self._place_step(waiting.job, step, capacity, now_s)
        return commands

    def _lacks_room(self, waiting: "_Waiting") -> bool:
        """Tell whether a job waits for capacity that any worker could offer.

        Tasks that no worker can run, or that a cap holds back, are not helped
        by more VMs.
        """
        for step in waiting.steps:
            tasks = list(islice(step.waiting_tasks(), 1))
            is_allowed = tasks and self._caps.select(waiting.job, tasks)
            step.release_unused()
            if is_allowed and self._fits_a_worker(step):
                return True
        return False

    def _fits_a_worker(self, step: Step) -> bool:
        spec = step.spec
        return any(
            worker.entry.capacity.covers(spec.reserved)
            and spec.required_label in ("", *worker.entry.labels)
            for worker in self._scheduler.workers.values()
        )

    def _waiting_steps(self, job: Job, wall_ms: float) -> list[Step]:
        has_room = job.is_scheduled and self._scheduler.has_room_to_open(job)
        return [
            step
            for occurrence in job.open_occurrences(wall_ms, has_room)
            for step in occurrence.steps
            if not step.is_done and step.is_ready and step.waiting_count
        ]

    def is_viable(self, job: Job, wall_ms: float) -> bool:
        """Tell whether a job is worth VMs.

        It is not if it can only end when its result is worthless, or if it
        has to give way to the jobs of another pool.
        """
        if not self._completion.can_complete(job):
            return False
        candidate = self._candidates.candidate(job, wall_ms)
        urgency = candidate.urgency(wall_ms)
        pool = self._scheduler.queue_of(job).pool
        return urgency is not Urgency.TOO_LATE and self._sharing.may_start(
            candidate, wall_ms, pool, self._short_pools
        )

    def forget(self, job_id: str) -> None:
        """Drop the cached estimate of a job."""
        self._candidates.forget(job_id)

    def _place_step(
        self, job, step: Step, pool: PoolCapacity, now_s
    ) -> list[StartCommand]:
        free, spec = pool.capacities, step.spec
        if not pool.may_fit(spec.reserved) or not self._may_start(job):
            return []
        if not any(each.free.covers(spec.reserved) for each in free):
            pool.record_too_large(spec.reserved)
            return []
        if not self._scheduler.has_run_number(job):
            return []
        count = waiting_count = step.waiting_count
        if step.fails_everywhere and spec.long_running:
            # One task shows whether the others would fail again.
            is_due = now_s - step.failures.last_at_s >= FAILING_RETRY_S
            if not is_due or waiting_count < spec.task_count:
                return []
            count = waiting_count if spec.is_gang else 1
        if count > MAX_TRIED_TASKS:
            count = pool.room_for(spec.reserved, count)
        count = min(count, self._scheduler.startable_count(step))
        if spec.is_gang and count < spec.task_count:
            return []
        tasks = list(islice(step.waiting_tasks(), count))
        tasks = self._caps.select(job, tasks)
        commands = []
        if tasks and not (spec.is_gang and len(tasks) < spec.task_count):
            commands = self._start(tasks, free, now_s)
        if not commands or spec.task_count > MAX_TRIED_TASKS:
            step.release_unused()
        return commands

    def _start(self, tasks, free, now_s) -> list[StartCommand]:
        """Place tasks of a step, register their runs and return the starts."""
        step = tasks[0].step
        queue = self._scheduler.queue_of(step.occurrence.job)
        tickets = None
        if queue.advice is not None:
            tickets = self._advice.tickets(
                step, queue.advice, free, len(tasks), now_s
            )
            if not tickets:
                return []
        placed = self._placer.place(tasks, free, tickets)
        number = 0
        if placed and step.spec.is_gang:
            number = self._scheduler.next_run_number(tasks)
        commands = []
        for each in placed:
            worker = each.capacity.worker
            run = self._scheduler.new_run(each.task, worker, now_s, number)
            run.ticket = (tickets or {}).get(worker.worker_id, "")
            commands.append(StartCommand(run, worker, run.ticket))
        return commands
