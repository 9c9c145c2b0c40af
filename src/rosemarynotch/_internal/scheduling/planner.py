"""Plans which runs the leader starts and stops next."""

from collections.abc import Callable

from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.caps import CapGuard
from rosemarynotch._internal.scheduling.commands import StartCommand
from rosemarynotch._internal.scheduling.commands import StopCommand
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.policy import Candidate
from rosemarynotch._internal.scheduling.policy import CompletionCheck
from rosemarynotch._internal.scheduling.policy import CUTOFF_FACTOR
from rosemarynotch._internal.scheduling.policy import FreeCapacity
from rosemarynotch._internal.scheduling.policy import JobOrder
from rosemarynotch._internal.scheduling.policy import NoCheck
from rosemarynotch._internal.scheduling.policy import PoolCapacity
from rosemarynotch._internal.scheduling.policy import StepPlacer
from rosemarynotch._internal.scheduling.policy import suits
from rosemarynotch._internal.scheduling.policy import Urgency
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.scheduling.work_estimates import WorkEstimates
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["Planner", "StartCommand", "StopCommand"]

# An organisation counts as over its share when it uses more than this multiple
# of its fair share. A lower factor would reorder jobs on small differences.
OVER_SHARE_FACTOR = 1.5
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
# A long-running step that fails on every worker is tried again after this time
# with one task. It may fail any number of times, and would else take capacity
# and orders all the time.
FAILING_RETRY_S = 2.0


class Planner:
    """Plans starts and stops of runs from the scheduler's state.

    :param order: decides which job of a pool starts next
    :param placer: decides on which workers its tasks start
    :param completion: tells which jobs can complete
    """

    def __init__(
        self,
        scheduler: Scheduler,
        order: JobOrder,
        placer: StepPlacer,
        advice: AdviceCache,
        log: Callable[..., None] = lambda event, **fields: None,
        completion: CompletionCheck = NoCheck(),
    ) -> None:
        self._scheduler = scheduler
        self._order = order
        self._placer = placer
        self._advice = advice
        self._log = log
        self._completion = completion
        self._caps = CapGuard(scheduler)
        self._work = WorkEstimates(scheduler.durations)
        self._fair_millicores = 0.0
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
            if worker.is_evacuated:
                # The stop also prevents the start if it was not carried out.
                return self._stop(run, worker, now_s)
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
        self._fair_millicores = self._fair_share()
        uncertain = self._scheduler.pools_with_unknown_runs(led_at_s)
        if uncertain != self._uncertain_pools:
            self._uncertain_pools = uncertain
            self._log(
                "pools with unknown runs", pools=" ".join(sorted(uncertain))
            )
        blocked = self._scheduler.jobs_with_unknown_runs(uncertain, led_at_s)
        self._caps.reserve_unknown(blocked.values(), led_at_s)
        commands: list[StartCommand] = []
        capacities = self._free_capacities(now_s, min_lease_s)
        for pool, jobs in pools.items():
            free = capacities.get(pool, [])
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

    def _place_pool(self, jobs, capacity, now_s, wall_ms):
        waiting = {}
        for job in jobs:
            steps = self._waiting_steps(job, wall_ms)
            if steps:
                waiting[job.job_id] = (job, steps)
        candidates = [
            self.candidate(job, wall_ms) for job, _ in waiting.values()
        ]
        commands: list[StartCommand] = []
        # Jobs that can never complete only get what all others leave over.
        ordered = sorted(
            self._order.sort(candidates, wall_ms),
            key=lambda each: not self._completion.can_complete(
                waiting[each.job_id][0]
            ),
        )
        for candidate in ordered:
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

    def candidate(self, job: Job, wall_ms: float) -> Candidate:
        """Return the properties of a job that decide when it starts."""
        queue = self._scheduler.queue_of(job)
        accepted_ms = job.submission.accepted_unix_ms
        occurrence = next(
            (o for o in job.occurrences if not o.is_done), job.occurrences[-1]
        )
        if job.is_scheduled:
            accepted_ms = max(accepted_ms, occurrence.due_unix_ms)
        work = self._work.remaining(job, queue.name, occurrence)
        limit_ms = queue.objective_ms(work.path_ms)
        return Candidate(
            job_id=job.job_id,
            priority=queue.priority,
            is_serving=job.is_long_running,
            is_started=job.highest_run > 0,
            usage_share=self._usage_share(job),
            accepted_ms=accepted_ms,
            remaining_ms=work.remaining_ms,
            remaining_core_ms=work.remaining_core_ms,
            objective_ms=accepted_ms + limit_ms,
            cutoff_ms=accepted_ms + CUTOFF_FACTOR * limit_ms,
            is_over_share=self._is_over_share(job.submission.organisation),
        )

    def is_viable(self, job: Job, wall_ms: float) -> bool:
        """Tell whether a job can end before its result is worthless."""
        if not self._completion.can_complete(job):
            return False
        urgency = self.candidate(job, wall_ms).urgency(wall_ms)
        return urgency is not Urgency.TOO_LATE

    def forget(self, job_id: str) -> None:
        """Drop the cached estimate of a job."""
        self._work.forget(job_id)

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
            candidate = self.candidate(job, wall_ms)
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

    def _fair_share(self) -> float:
        """Return the millicores in use by batch jobs per unit of weight."""
        names = {
            job.submission.organisation
            for job in self._scheduler.active.values()
            if not job.is_long_running
        }
        weights = [
            organisation.weight
            for name in names
            if (organisation := self._organisation(name)) is not None
        ]
        used = sum(self._scheduler.batch_millicores.values())
        return used / max(sum(weights), 1e-9)

    def _is_over_share(self, name: str) -> bool:
        organisation = self._organisation(name)
        if organisation is None:
            return False
        used = self._scheduler.batch_millicores.get(name, 0)
        fair = self._fair_millicores * organisation.weight
        return used > OVER_SHARE_FACTOR * fair

    def _usage_share(self, job: Job) -> float:
        name = job.submission.organisation
        used = self._scheduler.usage.get(name)
        organisation = self._organisation(name)
        if used is None or organisation is None:
            return 0.0
        return used.cpu_millicores / max(organisation.weight, 1e-9)

    def _organisation(self, name: str) -> Organisation | None:
        return self._scheduler.configuration.organisations.get(name)

    def _place_step(
        self, job, step: Step, pool: PoolCapacity, now_s
    ) -> list[StartCommand]:
        free, spec = pool.capacities, step.spec
        if not pool.may_fit(spec.reserved):
            return []
        tasks = [task for task in step.tasks if task.is_waiting]
        if step.failures.are_everywhere and spec.long_running:
            # One task shows whether the others would fail again.
            is_due = now_s - step.failures.last_at_s >= FAILING_RETRY_S
            if not is_due or len(tasks) < len(step.tasks):
                return []
            tasks = tasks if spec.is_gang else tasks[:1]
        if spec.is_gang and len(tasks) < len(step.tasks):
            return []
        queue = self._scheduler.queue_of(job)
        tickets = None
        if queue.advice is not None:
            able = [c for c in free if suits(spec, c.worker.entry)]
            tickets = self._advice.tickets(step, queue.advice, able, now_s)
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
