"""Plans which runs the leader starts and stops next."""

from collections.abc import Callable

import attrs

from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.candidates import CandidateFactory
from rosemarynotch._internal.scheduling.caps import CapGuard
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.policy import FreeCapacity
from rosemarynotch._internal.scheduling.policy import JobOrder
from rosemarynotch._internal.scheduling.policy import PoolCapacity
from rosemarynotch._internal.scheduling.policy import StepPlacer
from rosemarynotch._internal.scheduling.policy import Urgency
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["Planner", "StartCommand", "StopCommand"]

# A stop order that has not ended its run is sent again after this time.
STOP_RETRY_S = 1.0
# A run whose percentage has not grown for this long counts as stuck. Workers
# report at least once a second.
STUCK_AFTER_S = 2.2
# The same limit for long-running tasks, which need a short time to start.
STUCK_LONG_RUNNING_S = 6.0
# A run is not stuck before it could have gained this many percent.
STUCK_PERCENTS = 4
# After this many stuck runs of a task, the limit doubles with each further
# one. Workers on which tasks stand still are seldom met twice in a row.
QUICK_STOPS = 2


@attrs.frozen
class StartCommand:
    """Order to start a run; may be a repetition of an earlier order."""

    run: Run
    worker: Worker
    ticket: str = ""

    def is_current(self, now_s: float) -> bool:
        """Tell whether the run is still wanted on the worker.

        The order may have waited while its task was done or moved elsewhere,
        its job ended, its run was marked to stop, or its worker was about to
        leave. A worker that does not accept work at present gets no first
        order, so that the task starts on another one.
        """
        run, worker, task = self.run, self.worker, self.run.task
        is_newest = run.number == task.last_run or task.step.spec.speculative
        if (
            not worker.has_run(run)
            or run.phase is not RunPhase.ORDERED
            or task.is_done
            or task.step.occurrence.job.phase.is_final
            or not is_newest
        ):
            return False
        if run.is_sent:
            return not (worker.entry.is_draining or worker.is_replaced)
        return worker.accepts_work(now_s)


@attrs.frozen
class StopCommand:
    """Order to stop a run."""

    run: Run
    worker: Worker


class Planner:
    """Plans starts and stops of runs from the scheduler's state.

    :param order: decides which job of a pool starts next
    :param placer: decides on which workers its tasks start
    """

    def __init__(
        self,
        scheduler: Scheduler,
        order: JobOrder,
        placer: StepPlacer,
        advice: AdviceCache,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self._scheduler = scheduler
        self._order = order
        self._placer = placer
        self._advice = advice
        self._log = log
        self._caps = CapGuard(scheduler)
        self._candidates = CandidateFactory(scheduler)
        self._uncertain_pools: set[str] = set()

    # Runs that have to stop, or whose start is unconfirmed.

    def reconcile_runs(self, now_s: float) -> list[StartCommand | StopCommand]:
        """Return the stops to order and the starts to order again."""
        commands: list[StartCommand | StopCommand] = []
        for worker in self._scheduler.workers.values():
            if worker.is_replaced:
                # Another worker would answer the orders. The runs end with
                # the lease.
                continue
            for run in worker.runs.values():
                command = self._reconcile_run(run, worker, now_s)
                if command is not None:
                    commands.append(command)
        return commands

    def _reconcile_run(self, run: Run, worker: Worker, now_s: float):
        job = run.task.step.occurrence.job
        if run.phase is RunPhase.STOPPING or job.phase.is_final:
            return self._stop(run, worker, now_s)
        if run.phase is RunPhase.UNCONFIRMED:
            if worker.has_restarted or not worker.is_enrolled:
                # The lease has to be by the clock of the new incarnation, and
                # the next leader has to find the worker in the roster.
                return None
            run.phase = RunPhase.ORDERED
            run.is_resent = True
            return StartCommand(run, worker, self._advice.ticket(run))
        if run.phase is RunPhase.ACTIVE and self._is_stuck(run):
            self._log(
                "run stuck",
                job=job.job_id,
                task=str(run.task.task_id),
                worker=worker.worker_id,
                percent=run.percent,
            )
            worker.record_run_outcome(now_s, is_fault=True)
            run.task.failed_workers.add(worker.worker_id)
            run.task.stuck_count += 1
            return self._stop(run, worker, now_s)
        return None

    @staticmethod
    def _is_stuck(run: Run) -> bool:
        """Tell whether reports list the run without any progress.

        Only reports that list it count: a run that has ended makes no
        progress either, and its end may be missing in a report that is cut.
        A long task needs more time for each percent, and its estimate may be
        far too low, so the limit grows if runs of it get stuck everywhere.
        """
        if run.pace_percent < 100 or run.percent >= 100:
            return False
        is_long_running = run.task.step.spec.long_running
        limit_s = STUCK_LONG_RUNNING_S if is_long_running else STUCK_AFTER_S
        percent_s = run.task.step.spec.estimated_ms / 1000 / 100
        limit_s = max(limit_s, STUCK_PERCENTS * percent_s)
        limit_s *= 2 ** max(0, run.task.stuck_count - QUICK_STOPS)
        return run.listed_at_s - run.progressed_at_s > limit_s

    @staticmethod
    def _stop(run: Run, worker: Worker, now_s: float) -> StopCommand | None:
        if run.stop_sent_at_s and now_s - run.stop_sent_at_s < STOP_RETRY_S:
            return None
        run.phase = RunPhase.STOPPING
        run.stop_sent_at_s = now_s
        return StopCommand(run, worker)

    # New runs.

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
        commands: list[StartCommand] = []
        for pool, jobs in pools.items():
            free = [
                FreeCapacity.of(worker)
                for worker in self._scheduler.workers.values()
                if worker.entry.pool == pool
                and worker.accepts_work(now_s)
                and worker.lease_left_s(now_s) >= min_lease_s
            ]
            usable = [
                job
                for job in jobs
                if self._scheduler.may_use_pool(job, pool)
                and job.job_id not in blocked
            ]
            if free:
                commands += self._place_pool(
                    usable, PoolCapacity(free), now_s, wall_ms
                )
        return commands

    def _place_pool(self, jobs, capacity, now_s, wall_ms):
        cores = sum(
            each.worker.entry.capacity.cpu_millicores / 1000
            for each in capacity.capacities
        )
        waiting = {}
        for job in jobs:
            steps = self._waiting_steps(job, wall_ms)
            if steps:
                waiting[job.job_id] = (job, steps)
        candidates = [
            self._candidates.candidate(job, wall_ms) for job, _ in waiting.values()
        ]
        commands: list[StartCommand] = []
        for candidate in self._order.sort(candidates, wall_ms, cores):
            job, steps = waiting[candidate.job_id]
            for step in steps:
                commands += self._place_step(job, step, capacity, now_s)
        return commands

    @staticmethod
    def _waiting_steps(job: Job, wall_ms: float) -> list[Step]:
        steps = []
        for occurrence in job.occurrences:
            if job.is_scheduled and wall_ms < occurrence.due_unix_ms:
                continue
            for step in occurrence.steps:
                if step.is_done or not step.is_ready:
                    continue
                if any(task.is_waiting for task in step.tasks):
                    steps.append(step)
        return steps

    def is_viable(self, job: Job, wall_ms: float) -> bool:
        """Tell whether a job can end before its result is worthless."""
        urgency = self._candidates.candidate(job, wall_ms).urgency(wall_ms)
        return urgency is not Urgency.TOO_LATE

    def forget(self, job_id: str) -> None:
        """Drop the cached estimate of a job."""
        self._candidates.forget(job_id)

    def start_delays_ms(self, wall_ms: float) -> dict[str, int]:
        """Return a lower bound of the wait of a new job, by queue.

        It assumes that the VMs of all pools move to the queue's pool, since
        admission must only refuse jobs that are certain to end too late. Jobs
        that can no longer end in time are not counted.
        """
        work: dict[str, float] = {}
        for job in self._scheduler.active.values():
            if job.is_long_running or job.is_scheduled:
                continue
            candidate = self._candidates.candidate(job, wall_ms)
            if candidate.urgency(wall_ms) is not Urgency.TOO_LATE:
                pool = self._scheduler.queue_of(job).pool
                work[pool] = work.get(pool, 0) + candidate.remaining_core_ms
        cores = self._scheduler.fleet_millicores / 1000
        if not cores:
            return {}
        return {
            queue.name: round(work[queue.pool] / cores)
            for queue in self._scheduler.configuration.queues
            if queue.pool in work
        }

    def _place_step(
        self, job, step: Step, pool: PoolCapacity, now_s
    ) -> list[StartCommand]:
        free, spec = pool.capacities, step.spec
        if not pool.may_fit(spec.reserved):
            return []
        tasks = [task for task in step.tasks if task.is_waiting]
        if spec.is_gang and len(tasks) < len(step.tasks):
            return []
        queue = self._scheduler.queue_of(job)
        tickets = None
        if queue.advice is not None:
            tickets = self._advice.tickets(step, queue.advice, free, now_s)
            if not tickets:
                return []
        tasks = self._caps.select(job, tasks)
        if not tasks or (spec.is_gang and len(tasks) < len(step.tasks)):
            return []
        placed = self._placer.place(tasks, free, tickets)
        if not placed and not any(c.free.covers(spec.reserved) for c in free):
            pool.record_too_large(spec.reserved)
        number = 0
        if spec.is_gang and placed:
            number = self._scheduler.next_run_number(tasks)
        return [
            StartCommand(
                self._scheduler.new_run(
                    each.task, each.capacity.worker, now_s, number
                ),
                each.capacity.worker,
                (tickets or {}).get(each.capacity.worker.worker_id, ""),
            )
            for each in placed
        ]
