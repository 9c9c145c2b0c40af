"""Which queued jobs start next, and where."""

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

__all__ = ["Placement", "place_jobs", "worker_rooms"]

PLACEMENTS_PER_PASS = 200
# Jobs without room that are passed over before the pass ends.
MISSES_PER_PASS = 50


@attrs.frozen(kw_only=True)
class Placement:
    """A job and the worker that was chosen for it."""

    job_id: str
    team: str
    worker: str
    size: JobSize


def worker_rooms(
    record: FleetRecord, document: Document, table: JobTable
) -> dict[str, list[WorkerCapacity]]:
    """Return the serving workers of each pool with the room left."""
    specs = {vm.name: vm for pool in document.pools for vm in pool.vms}
    kinds = {pool.name: pool.kind for pool in document.pools}
    rooms = {}
    for name, vm in record.vms.items():
        spec = specs.get(name)
        worker = kinds.get(vm.pool) is PoolKind.WORKERS
        if spec and worker and vm.state is VmState.SERVING:
            rooms[name] = WorkerCapacity(
                name=name,
                rack=(vm.data_centre, vm.rack),
                cores=spec.cores,
                memory_mb=spec.memory_mb,
                accelerators=spec.accelerators,
            )
    for _, row in table.open_rows():
        if row.state.is_active and row.worker in rooms:
            rooms[row.worker].take(
                JobSize(
                    cores=row.reserved_cores,
                    memory_mb=row.reserved_memory_mb,
                    accelerators=row.accelerators,
                )
            )
    pools: dict[str, list[WorkerCapacity]] = {}
    for name, room in rooms.items():
        pools.setdefault(record.vms[name].pool, []).append(room)
    return pools


class Waiting:
    """Queued jobs in the order in which teams are entitled to start them.

    Jobs whose queue or team was removed are left out. Urgent queues go
    first; then the team with the fewest active jobs for its share; within a
    team the oldest job.
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
                line = (not queue.urgent, row.team)
                jobs.setdefault(line, []).append(
                    (row.accepted_at_s, job_id, row, queue.pool)
                )
        self._lines = {line: deque(sorted(j)) for line, j in jobs.items()}
        self._heap = [self._rank(line) for line in self._lines]
        heapq.heapify(self._heap)

    def _rank(self, line: tuple[bool, str]):
        share = max(self._shares.get(line[1], 0.0), 1e-6)
        return (line[0], self._active.get(line[1], 0) / share, line[1])

    def next(self) -> tuple[str, JobRow, str] | None:
        """Return the next job with its pool, None when there is none."""
        while self._heap:
            later, rank, team = heapq.heappop(self._heap)
            line = (later, team)
            current = self._rank(line)
            if current[1] > rank:
                heapq.heappush(self._heap, current)
                continue
            _, job_id, row, pool = self._lines[line].popleft()
            if self._lines[line]:
                heapq.heappush(self._heap, current)
            return job_id, row, pool
        return None

    def note_started(self, team: str) -> None:
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

    :param acquire: called with job id and team; takes a permit or returns
        False
    """
    pools = worker_rooms(record, document, table)
    specs = {vm.name: vm for pool in document.pools for vm in pool.vms}
    waiting = Waiting(document, table)
    placements: list[Placement] = []
    misses = 0
    exhausted: set[str] = set()
    while len(placements) < PLACEMENTS_PER_PASS and misses < MISSES_PER_PASS:
        found = waiting.next()
        if found is None:
            break
        job_id, row, pool = found
        if row.team in exhausted:
            continue
        rooms = pools.get(pool, [])
        size = _size(row, policy, [specs[room.name] for room in rooms])
        if size is None:
            # Not a miss: enough of these jobs would keep all others waiting.
            continue
        worker = policy.choose(size, _usable(row, rooms, health))
        if not worker:
            misses += 1
            continue
        if not row.permit_holder and not acquire(job_id, row.team):
            exhausted.add(row.team)
            continue
        next(room for room in rooms if room.name == worker).take(size)
        waiting.note_started(row.team)
        placements.append(
            Placement(job_id=job_id, team=row.team, worker=worker, size=size)
        )
    return placements


def _size(
    row: JobRow, policy: PlacementPolicy, workers: list[VmSpec]
) -> JobSize | None:
    """Return the room for a job, None if no worker is that large.

    A job that is declared to fit gets at most a whole worker, even if jobs
    like it have used more.
    """
    declared = JobSize(
        cores=row.cores,
        memory_mb=row.memory_mb,
        accelerators=row.accelerators,
    )
    large_enough = [each for each in workers if _holds(each, declared)]
    if not large_enough:
        return None
    size = policy.size(row.team, row.queue, declared)
    if row.failed_workers:
        # The failure may have been a lack of room.
        size = JobSize(
            cores=max(size.cores, declared.cores),
            memory_mb=max(size.memory_mb, declared.memory_mb),
            accelerators=declared.accelerators,
        )
    if any(_holds(each, size) for each in large_enough):
        return size
    largest = max(large_enough, key=lambda vm: (vm.cores, vm.memory_mb))
    return JobSize(
        cores=min(size.cores, largest.cores),
        memory_mb=min(size.memory_mb, largest.memory_mb),
        accelerators=declared.accelerators,
    )


def _holds(worker: VmSpec, size: JobSize) -> bool:
    return (
        size.cores <= worker.cores
        and size.memory_mb <= worker.memory_mb
        and size.accelerators <= worker.accelerators
    )


def _usable(
    row: JobRow, rooms: list[WorkerCapacity], health: WorkerHealth
) -> list[WorkerCapacity]:
    """Leave out workers on which this job or everything failed."""
    return [
        room
        for room in rooms
        if room.name not in row.failed_workers
        and health.may_start(room.name, room.jobs)
    ]
