"""Merging and placement of jobs, and control of their tasks (rule R9)."""

from collections.abc import Container

import attrs

from rosemarynotch._internal.control.job_permits import JobPermits
from rosemarynotch._internal.control.job_rows import apply_tasks
from rosemarynotch._internal.control.job_rows import merge_batches
from rosemarynotch._internal.control.job_rows import prune
from rosemarynotch._internal.control.job_rows import with_rows
from rosemarynotch._internal.control.job_table import BatchReader
from rosemarynotch._internal.control.job_table import JobTable
from rosemarynotch._internal.control.placing import place_jobs
from rosemarynotch._internal.control.placing import Placement
from rosemarynotch._internal.control.removed_queues import RemovedQueues
from rosemarynotch._internal.control.shard_capacity import CapacityNotice
from rosemarynotch._internal.control.shard_capacity import count_mergeable
from rosemarynotch._internal.control.task_runner import TaskRunner
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.jobs import SHARD_COUNT
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.policy.placement import PlacementPolicy
from rosemarynotch._internal.reference.interface import TaskService
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["JobController"]

# Another controller may have changed the table; a refresh costs one list call.
REFRESH_INTERVAL_S = 5.0


class AllWorkers(Container):
    """Contains every worker name, for use while the table is incomplete."""

    def __contains__(self, name: object) -> bool:
        return True


class JobController:
    """Merges batches, places and starts jobs, and tracks their tasks.

    Every change is a compare-and-swap on one shard, computed from the rows
    that it replaces. The platform is called only after the write.

    :param tasks: the platform's task service
    :param policy: placement policy
    :param permits: portions of the team limits held by this process
    :param holder: name and incarnation of this process
    """

    def __init__(
        self,
        records: RecordStore,
        tasks: TaskService,
        policy: PlacementPolicy,
        permits,
        holder: str,
        clock: Clock,
    ) -> None:
        self._table = JobTable(records)
        self._batches = BatchReader(records)
        self._policy = policy
        self._permits = JobPermits(permits)
        self._holder = holder
        self._clock = clock
        self._runner = TaskRunner(tasks, policy, clock)
        self._capacity_notice = CapacityNotice(records)
        self._removed = RemovedQueues(clock)
        self._next_refresh_s = float("-inf")
        self._was_leading = False

    def busy_workers(self) -> Container[str]:
        """Return the workers on which tasks may be running."""
        if not self._was_leading or not self._table.is_complete:
            return AllWorkers()
        return frozenset(
            row.worker
            for _, row in self._table.open_rows()
            if row.state.is_active
        )

    def step(
        self, leads: bool, document: Document, record: FleetRecord
    ) -> None:
        """Run one pass.

        :param leads: whether this process leads; otherwise it only releases
            the permits of jobs that have ended
        """
        if leads:
            self._step_as_leader(document, record)
        elif self._permits:
            self._refresh_if_due(REFRESH_INTERVAL_S)
        self._was_leading = leads
        if self._permits:
            self._permits.reconcile(self._table, self._holder)

    def _step_as_leader(self, document: Document, record: FleetRecord) -> None:
        if not self._was_leading or not self._table.is_complete:
            self._next_refresh_s = float("-inf")
            self._capacity_notice.invalidate()
        refreshed = self._refresh_if_due(REFRESH_INTERVAL_S)
        if not self._table.is_complete:
            return
        if self._merge() or refreshed:
            self._capacity_notice.publish(self._table)
            self._removed.step(self._table, document)
        self._apply_tasks()
        if not self._table.is_complete:
            return
        self._place(document, record)
        self._runner.start_jobs(self._table, record)
        self._runner.stop_jobs(self._table, record)

    def _refresh_if_due(self, interval_s: float) -> bool:
        """Read the changed shards if due; return whether all were read."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_refresh_s or not self._table.refresh():
            return False
        self._next_refresh_s = now_s + interval_s
        return True

    def _merge(self) -> bool:
        """Merge the batches that fit; return whether any were pending."""
        batches = self._batches.read()
        now_s = self._clock.wall_s()
        count = count_mergeable(self._table, batches, now_s)
        if not count:
            return bool(batches)
        batches = batches[:count]
        merged = [
            self._table.update(
                number,
                lambda shard, number=number: prune(
                    merge_batches(shard, number, batches, now_s), now_s
                ),
            )
            for number in range(SHARD_COUNT)
        ]
        if all(merged):
            self._batches.delete(count)
        return True

    def _apply_tasks(self) -> None:
        """Update the job table from the platform's task list."""
        tasks = self._runner.observe(self._table)
        if tasks is None:
            return
        now_s = self._clock.wall_s()
        for number in range(SHARD_COUNT):
            if not self._table.has_open_rows(number):
                continue
            self._table.update(
                number, lambda shard: _with_tasks(shard, tasks, now_s)
            )

    def _place(self, document: Document, record: FleetRecord) -> None:
        if not any(
            row.state is JobState.QUEUED for _, row in self._table.open_rows()
        ):
            return
        placements = place_jobs(
            record,
            document,
            self._table,
            self._policy,
            self._runner.health,
            self._permits.acquire,
        )
        shards: dict[int, list[Placement]] = {}
        for placement in placements:
            number = shard_of(placement.job_id)
            shards.setdefault(number, []).append(placement)
        for number, chosen in shards.items():
            self._table.update(
                number,
                lambda shard, chosen=chosen: _with_placements(
                    shard, chosen, self._holder
                ),
            )


def _with_tasks(shard: JobShard, tasks, now_s: float) -> JobShard:
    """Update the rows of a shard from the tasks, and prune it."""
    updated = apply_tasks(shard, tasks, now_s)
    return shard if updated is shard else prune(updated, now_s)


def _with_placements(
    shard: JobShard, placements: list[Placement], holder: str
) -> JobShard:
    """Mark the placed jobs as starting, except those no longer queued."""
    changed = {}
    for placement in placements:
        row = shard.jobs.get(placement.job_id)
        if row is None or row.state is not JobState.QUEUED:
            continue
        changed[placement.job_id] = attrs.evolve(
            row,
            state=JobState.STARTING,
            worker=placement.worker,
            permit_holder=row.permit_holder or holder,
            reserved_cores=placement.size.cores,
            reserved_memory_mb=placement.size.memory_mb,
        )
    return with_rows(shard, changed)
