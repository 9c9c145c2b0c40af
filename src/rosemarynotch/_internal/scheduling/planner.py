"""What the leader orders next."""

from collections.abc import Callable

import attrs

from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Occurrence
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.jobs import Task
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.ordering import Candidate
from rosemarynotch._internal.scheduling.ordering import JobOrder
from rosemarynotch._internal.scheduling.ordering import LATE_FACTOR
from rosemarynotch._internal.scheduling.ordering import Urgency
from rosemarynotch._internal.scheduling.placement import PoolRooms
from rosemarynotch._internal.scheduling.placement import Room
from rosemarynotch._internal.scheduling.placement import StepPlacer
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["Planner", "StartCommand", "StopCommand"]

# A start without an answer is repeated after this time.
REORDER_AFTER_S = 0.3
# An organisation is over its share from this multiple of the fair part on.
# Below it, the order would follow every small difference.
OVER_SHARE_FACTOR = 1.5
# A stop that has not ended its run is repeated after this time.
STOP_AGAIN_S = 1.0
# A task whose percentage has not grown for this long stands still. Workers
# report at least once a second.
STUCK_AFTER_S = 2.2
# A lasting task is at work after a short start.
STUCK_SERVING_S = 6.0


@attrs.frozen
class StartCommand:
    """Start a run, or repeat the order to start it."""

    run: Run
    worker: Worker
    ticket: str = ""

    @property
    def is_current(self) -> bool:
        """Tell whether the run has neither ended nor been given up."""
        return self.run.key in self.worker.runs


@attrs.frozen
class StopCommand:
    """Stop a run."""

    run: Run
    worker: Worker


@attrs.frozen(kw_only=True)
class _Work:
    """What a job needs, as long as none of its tasks ends.

    :ivar key: occurrence and number of tasks done
    """

    key: tuple[int, int]
    chain_ms: float
    left_ms: float
    left_core_ms: float


class Planner:
    """Plans starts and stops on the scheduler's state.

    :param order: which job of a pool starts next
    :param placer: on which workers its tasks start
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
        self._work: dict[str, _Work] = {}
        self._fair_millicores = 0.0

    # Runs that have to end or are in doubt.

    def reconcile_runs(self, now_s: float) -> list[StartCommand | StopCommand]:
        """Return stops, and starts that have to be repeated."""
        commands: list[StartCommand | StopCommand] = []
        for worker in self._scheduler.workers.values():
            for run in worker.runs.values():
                command = self._follow_up_run(run, worker, now_s)
                if command is not None:
                    commands.append(command)
        return commands

    def _follow_up_run(self, run: Run, worker: Worker, now_s: float):
        job = run.task.step.occurrence.job
        if run.phase is RunPhase.STOPPING or job.phase.is_final:
            return self._stop(run, worker, now_s)
        if run.phase is RunPhase.UNCONFIRMED:
            if now_s - run.ordered_at_s < REORDER_AFTER_S:
                return None
            run.phase = RunPhase.ORDERED
            run.is_resent = True
            return StartCommand(run, worker, self._advice.ticket(run))
        if run.phase is RunPhase.ACTIVE and self._is_stuck(run, worker):
            self._log(
                "run stuck",
                job=job.job_id,
                task=str(run.task.task_id),
                worker=worker.worker_id,
                percent=run.percent,
            )
            worker.record_run_outcome(now_s, is_fault=True)
            run.task.failed_workers.add(worker.worker_id)
            return self._stop(run, worker, now_s)
        return None

    @staticmethod
    def _is_stuck(run: Run, worker: Worker) -> bool:
        if run.pace_percent < 100 or run.percent >= 100:
            return False
        serving = run.task.step.spec.long_running
        limit_s = STUCK_SERVING_S if serving else STUCK_AFTER_S
        return worker.clock_received_at_s - run.progressed_at_s > limit_s

    @staticmethod
    def _stop(run: Run, worker: Worker, now_s: float) -> StopCommand | None:
        if run.stop_sent_at_s and now_s - run.stop_sent_at_s < STOP_AGAIN_S:
            return None
        run.phase = RunPhase.STOPPING
        run.stop_sent_at_s = now_s
        return StopCommand(run, worker)

    # New runs.

    def place(self, now_s: float, wall_ms: float) -> list[StartCommand]:
        """Return starts of waiting tasks, pool by pool."""
        pools: dict[str, list[Job]] = {}
        for job in self._scheduler.active.values():
            pool = self._scheduler.queue_of(job).pool
            pools.setdefault(pool, []).append(job)
        self._fair_millicores = self._fair_share()
        hidden = self._scheduler.pools_with_unknown_runs(now_s)
        commands: list[StartCommand] = []
        for pool, jobs in pools.items():
            rooms = [
                Room.of(worker)
                for worker in self._scheduler.workers.values()
                if worker.entry.pool == pool and worker.accepts_work(now_s)
            ]
            if rooms:
                commands += self._place_pool(
                    jobs, PoolRooms(rooms), pool in hidden, now_s, wall_ms
                )
        return commands

    def _place_pool(self, jobs, rooms, is_hidden, now_s, wall_ms):
        waiting = {}
        for job in jobs:
            if is_hidden and job.is_inherited:
                continue
            steps = self._waiting_steps(job, wall_ms)
            if steps:
                waiting[job.job_id] = (job, steps)
        candidates = [
            self.candidate(job, wall_ms) for job, _ in waiting.values()
        ]
        commands: list[StartCommand] = []
        for candidate in self._order.sort(candidates, wall_ms):
            job, steps = waiting[candidate.job_id]
            for step in steps:
                commands += self._place_step(job, step, rooms, now_s)
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
        """Describe a job for the order of starts."""
        queue = self._scheduler.queue_of(job)
        accepted_ms = job.submission.accepted_unix_ms
        occurrence = next(
            (o for o in job.occurrences if not o.is_done), job.occurrences[-1]
        )
        if job.is_scheduled:
            accepted_ms = max(accepted_ms, occurrence.due_unix_ms)
        work = self._remaining_work(job, queue.name, occurrence)
        limit_ms = queue.stretch * work.chain_ms + queue.target_latency_ms
        return Candidate(
            job_id=job.job_id,
            priority=queue.priority,
            is_serving=job.is_long_running,
            is_started=job.highest_run > 0,
            usage_share=self._usage_share(job),
            accepted_ms=accepted_ms,
            remaining_ms=work.left_ms,
            remaining_core_ms=work.left_core_ms,
            objective_ms=accepted_ms + limit_ms,
            late_ms=accepted_ms + LATE_FACTOR * limit_ms,
            is_over_share=self._is_over_share(job.submission.organisation),
        )

    def is_viable(self, job: Job, wall_ms: float) -> bool:
        """Tell whether a job can end before its result is worth nothing."""
        urgency = self.candidate(job, wall_ms).urgency(wall_ms)
        return urgency is not Urgency.TOO_LATE

    def _remaining_work(
        self, job: Job, queue: str, occurrence: Occurrence
    ) -> "_Work":
        """Return what is left, calculated again when a task has ended."""
        done = sum(step.done_count for step in occurrence.steps)
        known = self._work.get(job.job_id)
        if known is not None and known.key == (occurrence.number, done):
            return known
        work = _Work(
            key=(occurrence.number, done),
            chain_ms=self._chain_ms(queue, occurrence, all_steps=True),
            left_ms=self._chain_ms(queue, occurrence, all_steps=False),
            left_core_ms=sum(
                (len(step.tasks) - step.done_count)
                * step.spec.size.cpu_millicores
                / 1000
                * step.spec.estimated_ms
                for step in occurrence.steps
            ),
        )
        self._work[job.job_id] = work
        return work

    def forget(self, job_id: str) -> None:
        """Drop what is kept for a job."""
        self._work.pop(job_id, None)

    def _chain_ms(
        self, queue: str, occurrence: Occurrence, *, all_steps: bool
    ) -> float:
        """Return the expected time of the longest chain of steps.

        :param all_steps: count also the steps that are done
        """
        ends: list[float] = []
        for step in occurrence.steps:
            before = max((ends[each] for each in step.spec.after), default=0.0)
            own_ms = 0.0
            if all_steps or not step.is_done:
                own_ms = self._scheduler.durations.expected_ms(
                    queue, step.spec.estimated_ms
                )
            ends.append(before + own_ms)
        return max(ends, default=0.0)

    def start_delays_ms(self, wall_ms: float) -> dict[str, int]:
        """Return how long a new job waits at least, by queue.

        VMs of all pools may come to the queue's pool, so this is a lower
        bound: a refusal must be certain. Work counts as long as it can still
        be of use.
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
        """Return the processors in use for each unit of weight."""
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
        self, job, step: Step, pool: PoolRooms, now_s
    ) -> list[StartCommand]:
        rooms, spec = pool.rooms, step.spec
        if not pool.may_fit(spec.reserved):
            return []
        tasks = [task for task in step.tasks if task.is_waiting]
        if spec.is_gang and len(tasks) < len(step.tasks):
            return []
        queue = self._scheduler.queue_of(job)
        tickets = None
        if queue.advice is not None:
            tickets = self._advice.tickets(step, queue.advice, rooms, now_s)
            if not tickets:
                return []
        tasks = self._within_cap(job, tasks)
        if not tasks or (spec.is_gang and len(tasks) < len(step.tasks)):
            return []
        placed = self._placer.place(tasks, rooms, tickets)
        if not placed and not any(r.free.covers(spec.reserved) for r in rooms):
            pool.note_too_large(spec.reserved)
        number = 0
        if spec.is_gang and placed:
            number = self._scheduler.next_run_number(tasks)
        return [
            StartCommand(
                self._scheduler.new_run(
                    each.task, each.room.worker, now_s, number
                ),
                each.room.worker,
                (tickets or {}).get(each.room.worker.worker_id, ""),
            )
            for each in placed
        ]

    def _within_cap(self, job: Job, tasks: list[Task]) -> list[Task]:
        """Return the tasks that the organisation's cap leaves room for."""
        name = job.submission.organisation
        organisation = self._organisation(name)
        if organisation is None:
            return tasks
        cap = organisation.cap
        used = self._scheduler.usage.get(name, Resources())
        allowed = []
        for task in tasks:
            used = used.plus(task.step.spec.size)
            if exceeds(used, cap):
                break
            allowed.append(task)
        return allowed


def exceeds(used: Resources, cap: Resources) -> bool:
    """Tell whether something is above a cap; a part of 0 has no limit."""
    return (
        0 < cap.cpu_millicores < used.cpu_millicores
        or 0 < cap.memory_mb < used.memory_mb
        or 0 < cap.gpu_count < used.gpu_count
    )
