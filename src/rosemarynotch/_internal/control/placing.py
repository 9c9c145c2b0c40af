"""Selection of queued jobs and of workers for them."""

from collections import deque
import heapq

import attrs

from rosemarynotch._internal.control.job_table import JobTable
from rosemarynotch._internal.control.worker_health import WorkerHealth
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.jobs import JobRow
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.policy.placement import JobSize
from rosemarynotch._internal.policy.placement import PlacementPolicy
from rosemarynotch._internal.policy.placement import WorkerCapacity

__all__ = ["Placement", "place_jobs", "worker_capacities"]

PLACEMENTS_PER_PASS = 200
# A pass ends after this many jobs for which no worker has capacity.
UNPLACED_PER_PASS = 50


@attrs.frozen(kw_only=True)
class Placement:
    """A job, the worker chosen for it and the size to reserve."""

    job_id: str
    team: str
    worker: str
    size: JobSize


def worker_capacities(
    record: FleetRecord, document: Document, table: JobTable
) -> dict[str, list[WorkerCapacity]]:
    """Return the free capacity of the serving workers of each pool."""
    specs = {vm.name: vm for pool in document.pools for vm in pool.vms}
    kinds = {pool.name: pool.kind for pool in document.pools}
    capacities = {}
    for name, vm in record.vms.items():
        spec = specs.get(name)
        is_worker = kinds.get(vm.pool) is PoolKind.WORKERS
        if spec and is_worker and vm.state is VmState.SERVING:
            capacities[name] = WorkerCapacity(
                name=name,
                rack=(vm.data_centre, vm.rack),
                cores=spec.cores,
                memory_mb=spec.memory_mb,
                accelerators=spec.accelerators,
            )
    for _, row in table.open_rows():
        if row.state.is_active and row.worker in capacities:
            capacities[row.worker].take(
                JobSize(
                    cores=row.reserved_cores,
                    memory_mb=row.reserved_memory_mb,
                    accelerators=row.accelerators,
                )
            )
    pools: dict[str, list[WorkerCapacity]] = {}
    for name, capacity in capacities.items():
        pools.setdefault(record.vms[name].pool, []).append(capacity)
    return pools


class QueuedJobs:
    """Queued jobs in the order in which they may start.

    Jobs of urgent queues come first, then those of the team with the fewest
    active jobs relative to its share; within a team, the oldest job. Jobs
    whose queue or team was removed are left out.
    """

    def __init__(self, document: Document, table: JobTable) -> None:
        self._shares = {team.name: team.share for team in document.teams}
        self._active: dict[str, int] = {}
        jobs: dict[tuple[bool, str], list] = {}
        for job_id, row in table.open_rows():
            queue = document.queue(row.queue)
            if row.state.is_active:
                self._active[row.team] = self._active.get(row.team, 0) + 1
            elif queue is not None and row.team in self._shares:
                group = (not queue.urgent, row.team)
                jobs.setdefault(group, []).append(
                    (row.accepted_at_s, job_id, row, queue.pool)
                )
        self._jobs = {group: deque(sorted(j)) for group, j in jobs.items()}
        self._heap = [self._rank(group) for group in self._jobs]
        heapq.heapify(self._heap)

    def _rank(self, group: tuple[bool, str]):
        share = max(self._shares.get(group[1], 0.0), 1e-6)
        return (group[0], self._active.get(group[1], 0) / share, group[1])

    def next(self) -> tuple[str, JobRow, str] | None:
        """Return the next job as id, row and pool, or None if none is left."""
        while self._heap:
            not_urgent, rank, team = heapq.heappop(self._heap)
            group = (not_urgent, team)
            current = self._rank(group)
            if current[1] > rank:
                heapq.heappush(self._heap, current)
                continue
            _, job_id, row, pool = self._jobs[group].popleft()
            if self._jobs[group]:
                heapq.heappush(self._heap, current)
            return job_id, row, pool
        return None

    def record_started(self, team: str) -> None:
        """Count a job of a team as active."""
        self._active[team] = self._active.get(team, 0) + 1


def place_jobs(
    record: FleetRecord,
    document: Document,
    table: JobTable,
    policy: PlacementPolicy,
    health: WorkerHealth,
    acquire,
) -> list[Placement]:
    """Choose workers for queued jobs.

    :param acquire: called with job id and team; acquires a permit and returns
        whether the job has one
    """
    pools = worker_capacities(record, document, table)
    specs = {vm.name: vm for pool in document.pools for vm in pool.vms}
    queued = QueuedJobs(document, table)
    placements: list[Placement] = []
    unplaced = 0
    teams_without_permits: set[str] = set()
    while (
        len(placements) < PLACEMENTS_PER_PASS and unplaced < UNPLACED_PER_PASS
    ):
        found = queued.next()
        if found is None:
            break
        job_id, row, pool = found
        if row.team in teams_without_permits:
            continue
        capacities = pools.get(pool, [])
        size = _reserved_size(
            row, policy, [specs[capacity.name] for capacity in capacities]
        )
        if size is None:
            # Not counted as unplaced: enough of these jobs would otherwise
            # end every pass before any other job is reached.
            continue
        worker = policy.choose(size, _usable_workers(row, capacities, health))
        if not worker:
            unplaced += 1
            continue
        if not row.permit_holder and not acquire(job_id, row.team):
            teams_without_permits.add(row.team)
            continue
        next(
            capacity for capacity in capacities if capacity.name == worker
        ).take(size)
        queued.record_started(row.team)
        placements.append(
            Placement(job_id=job_id, team=row.team, worker=worker, size=size)
        )
    return placements


def _reserved_size(
    row: JobRow, policy: PlacementPolicy, workers: list[VmSpec]
) -> JobSize | None:
    """Return the size to reserve for a job, None if it fits no worker.

    A job whose declared size fits is given at most the size of the largest
    worker, even if similar jobs have used more.
    """
    declared = JobSize(
        cores=row.cores,
        memory_mb=row.memory_mb,
        accelerators=row.accelerators,
    )
    large_enough = [each for each in workers if _fits(each, declared)]
    if not large_enough:
        return None
    size = policy.size(row.team, row.queue, declared)
    if row.failed_workers:
        # The earlier attempt may have failed for lack of resources.
        size = JobSize(
            cores=max(size.cores, declared.cores),
            memory_mb=max(size.memory_mb, declared.memory_mb),
            accelerators=declared.accelerators,
        )
    if any(_fits(each, size) for each in large_enough):
        return size
    largest = max(large_enough, key=lambda vm: (vm.cores, vm.memory_mb))
    return JobSize(
        cores=min(size.cores, largest.cores),
        memory_mb=min(size.memory_mb, largest.memory_mb),
        accelerators=declared.accelerators,
    )


def _fits(worker: VmSpec, size: JobSize) -> bool:
    return (
        size.cores <= worker.cores
        and size.memory_mb <= worker.memory_mb
        and size.accelerators <= worker.accelerators
    )


def _usable_workers(
    row: JobRow, capacities: list[WorkerCapacity], health: WorkerHealth
) -> list[WorkerCapacity]:
    """Leave out workers where this job failed or that are unhealthy."""
    return [
        capacity
        for capacity in capacities
        if capacity.name not in row.failed_workers
        and health.may_start(capacity.name, capacity.jobs)
    ]
