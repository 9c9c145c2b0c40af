"""What new jobs would have to wait for; performs no I/O."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from rosemarynotch._internal.scheduling.candidates import CandidateFactory
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.policy import Candidate
from rosemarynotch._internal.scheduling.policy import JobOrder
from rosemarynotch._internal.scheduling.policy import Urgency
from rosemarynotch._internal.scheduling.records import Backlog
from rosemarynotch._internal.scheduling.records import backlog_name
from rosemarynotch._internal.scheduling.records import SizeLoad
from rosemarynotch._internal.scheduling.scheduler import Scheduler

__all__ = ["LoadOutlook"]

# Rows by size that are published of a queue. Eight rows err by at most an
# eighth of the waiting work.
MAX_SIZES = 8
# Jobs that were accepted within this time count as arriving.
ARRIVAL_WINDOW_MS = 1000.0


@attrs.frozen
class _ActiveJob:
    """A batch job that has not ended.

    :ivar work_core_ms: work that is left, less what its runs have done
    :ivar size: size by which it is sorted
    """

    pool: str
    candidate: Candidate
    work_core_ms: float
    size: float


class LoadOutlook:
    """Sums up the work of the jobs for the nodes that accept jobs.

    :param order: decides which jobs go before others by their size
    :param can_complete: tells whether a job can complete; the others only
        start on capacity that is left over, so that no job waits for them
    """

    def __init__(
        self,
        scheduler: Scheduler,
        candidates: CandidateFactory,
        order: JobOrder,
        can_complete: Callable[[Job], bool] = lambda job: True,
    ) -> None:
        self._can_complete = can_complete
        self._order = order
        self._scheduler = scheduler
        self._candidates = candidates

    def start_delays_ms(self, wall_ms: float) -> dict[str, int]:
        """Return a lower bound of the wait of a new job, by queue.

        It assumes that the VMs of all pools move to the queue's pool, since
        admission must only refuse jobs that are certain to end too late. Jobs
        that can no longer end in time are not counted.
        """
        work: dict[str, float] = {}
        for job in self._scheduler.active.values():
            if not self._counts(job):
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

    def _counts(self, job: Job) -> bool:
        is_batch = not (job.is_long_running or job.is_scheduled)
        return is_batch and self._can_complete(job)

    def backlogs(self, now_s: float, wall_ms: float) -> dict[str, Backlog]:
        """Return what waits in pools, by pool and priority.

        Jobs whose result would be worthless do not count unless they run:
        they go after all others.
        """
        if not self._scheduler.fleet_millicores:
            # The VMs have not been listed yet.
            return {}
        jobs = self._active_jobs(now_s, wall_ms)
        own_cores = self._pool_cores()
        serving_cores = self._serving_cores()
        fleet = self._scheduler.fleet_millicores / 1000
        other_cores = max(0.0, fleet - sum(serving_cores.values()))
        started: dict[tuple[str, int], float] = {}
        waiting: dict[tuple[str, int], list[_ActiveJob]] = {}
        for job in jobs:
            key = job.pool, job.candidate.priority
            if job.candidate.is_started:
                started[key] = started.get(key, 0.0) + job.work_core_ms
            else:
                waiting.setdefault(key, []).append(job)
        sums = {
            key: sum(job.work_core_ms for job in rows)
            for key, rows in waiting.items()
        }
        busy_pools = {pool for pool, _ in waiting}
        ranks = {
            (queue.pool, queue.priority): backlog_name(queue)
            for queue in self._scheduler.configuration.queues
            if queue.pool in busy_pools
        }
        all_before = {
            priority: _work_before(started, sums, priority)
            for priority in {priority for _, priority in ranks}
        }
        backlogs = {}
        for (pool, priority), name in ranks.items():
            before = all_before[priority]
            base = before.get(pool, 0.0)
            own = own_cores.get(pool, 0.0)
            large_core_ms = 0.0
            if self._order.draws_large_jobs:
                large_core_ms = self._candidates.large_core_ms(name)
            backlogs[name] = Backlog(
                own_cores=round(own, 1),
                other_cores=round(max(0.0, other_cores - own), 1),
                other_core_ms=round(before[""] - base),
                base_core_ms=round(base),
                sizes=_sizes(waiting.get((pool, priority), ()), wall_ms),
                large_core_ms=large_core_ms,
            )
        return backlogs

    def _active_jobs(self, now_s, wall_ms) -> list[_ActiveJob]:
        done_core_ms: dict[str, float] = {}
        for worker in self._scheduler.workers.values():
            for run in worker.runs.values():
                spec = run.task.step.spec
                since_s = run.confirmed_at_s or now_s
                done_ms = min(spec.estimated_ms, (now_s - since_s) * 1000)
                job_id = run.task.task_id.job_id
                done_core_ms[job_id] = (
                    done_core_ms.get(job_id, 0.0)
                    + spec.size.cpu_millicores / 1000 * done_ms
                )
        jobs = []
        for job in self._scheduler.active.values():
            if not self._counts(job):
                continue
            candidate = self._candidates.candidate(job, wall_ms)
            if candidate.urgency(wall_ms) is Urgency.TOO_LATE:
                continue
            work = candidate.remaining_core_ms
            work -= done_core_ms.get(job.job_id, 0.0)
            pool = self._scheduler.queue_of(job).pool
            size = self._order.size(candidate)
            jobs.append(_ActiveJob(pool, candidate, max(0.0, work), size))
        return jobs

    def _pool_cores(self) -> dict[str, float]:
        """Return the processors for batch jobs of the workers, by pool."""
        cores = self._serving_cores()
        cores = {pool: -each for pool, each in cores.items()}
        for worker in self._scheduler.workers.values():
            is_leaving = worker.is_replaced or worker.entry.is_draining
            if is_leaving or worker.is_evacuated:
                continue
            pool = worker.entry.pool
            size = worker.entry.capacity.cpu_millicores / 1000
            cores[pool] = cores.get(pool, 0.0) + size
        return {pool: max(0.0, each) for pool, each in cores.items()}

    def _serving_cores(self) -> dict[str, float]:
        """Return the processors that long-running tasks reserve, by pool."""
        cores: dict[str, float] = {}
        for worker in self._scheduler.workers.values():
            for run in worker.runs.values():
                spec = run.task.step.spec
                if spec.long_running:
                    pool = worker.entry.pool
                    reserved = spec.reserved.cpu_millicores / 1000
                    cores[pool] = cores.get(pool, 0.0) + reserved
        return cores


def _work_before(
    started: Mapping[tuple[str, int], float],
    waiting: Mapping[tuple[str, int], float],
    priority: int,
) -> dict[str, float]:
    """Return the work that goes before jobs of a priority, by pool.

    :param started: work of started jobs by pool and priority
    :param waiting: work of the other jobs by pool and priority
    :returns: the work by pool, and that of all pools under ""
    """
    before: dict[str, float] = {}
    for rows, last_rank in ((started, priority), (waiting, priority - 1)):
        for (pool, rank), work in rows.items():
            if rank <= last_rank:
                before[pool] = before.get(pool, 0.0) + work
    before[""] = sum(before.values())
    return before


def _sizes(jobs: Iterable[_ActiveJob], wall_ms: float) -> tuple[SizeLoad, ...]:
    """Return rows of jobs by size, each with about the same work."""
    rows = sorted(jobs, key=lambda job: job.size)
    step = sum(job.work_core_ms for job in rows) / MAX_SIZES
    sizes: list[SizeLoad] = []
    ahead = arriving = 0.0
    for number, job in enumerate(rows):
        ahead += job.work_core_ms
        if wall_ms - job.candidate.accepted_ms <= ARRIVAL_WINDOW_MS:
            arriving += job.work_core_ms
        is_last = number == len(rows) - 1
        if is_last or ahead >= step * (len(sizes) + 1):
            sizes.append(
                SizeLoad(
                    work_core_ms=round(job.size),
                    ahead_core_ms=round(ahead),
                    arriving_cores=round(arriving / ARRIVAL_WINDOW_MS, 1),
                )
            )
    return tuple(sizes)
