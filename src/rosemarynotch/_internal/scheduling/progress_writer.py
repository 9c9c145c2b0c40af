"""Writes the progress of jobs to the store in batches."""

import threading
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.ports import Condition
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.records import CANCELLATIONS_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import LEADER_KEY
from rosemarynotch._internal.scheduling.records import LOAD_KEY
from rosemarynotch._internal.scheduling.records import LoadRecord
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ROSTER_KEY
from rosemarynotch._internal.scheduling.records import RosterRecord

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["ProgressWriter"]

# A transaction has at most 32 entries: two for each job, two for the roster,
# and one each for the leader's key and the load record.
MAX_JOBS = 14
# Changes within this time are written in one batch.
BATCH_WINDOW_S = 0.02
# The store refuses values of over a megabyte, and with one of them the whole
# batch. Without checkpoints and failed runs, the record of a job with 5,000
# occurrences, the most there can be, has 320 kB.
MAX_RECORD_BYTES = 500_000
# A batch takes several times its size while it is encoded and sent.
MAX_BATCH_BYTES = 1_000_000
LOAD_INTERVAL_S = 0.5
# The platform promises callers the state of a job for 120 s after its end. The
# margin is for repeated submissions, which may still arrive after that.
RETENTION_S = 180.0
REMOVAL_INTERVAL_S = 5.0
# A transaction removes three keys of each job and has one condition.
MAX_REMOVED_JOBS = 10
RETRY_S = 0.05
# A stopping leader hands over after writing changes for at most this time.
FLUSH_TIME_S = 0.3


class ProgressWriter:
    """Writes job progress, load and roster, and removes expired jobs.

    Every write has the condition that the leader's key is unchanged, so that
    a delayed write of an earlier leader has no effect. A write of the roster
    also has the condition that the roster is unchanged: one without an answer
    may be applied seconds later, and must not replace a newer roster.

    :ivar is_roster_outdated: whether the roster has to be written, because
        workers were added, changed or removed, or the last write may have
        failed
    :ivar roster_revision: revision of the roster in the store, 0 if there is
        none; the next write of it expects this revision
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._wake = threading.Event()
        self._load_written_at_s = -1e9
        self._next_removal_s = 0.0
        self.is_roster_outdated = True
        self.roster_revision = 0
        self._is_roster_complete = True

    def wake(self) -> None:
        """Request a write if the progress of a job has changed."""
        if self._controller.scheduler.dirty:
            self._wake.set()

    def request_roster_write(self) -> None:
        """Request a write of the roster.

        New workers, and those with another pool or address, get no runs
        before it.
        """
        self.is_roster_outdated = True
        self._wake.set()

    def run(self) -> None:
        """Write changes until the term ends."""
        controller = self._controller
        while controller.is_running:
            self._wake.wait(LOAD_INTERVAL_S / 2)
            controller.stop.wait(BATCH_WINDOW_S)
            self._wake.clear()
            if not self._write():
                controller.stop.wait(RETRY_S)
                self._wake.set()
            elif controller.clock.monotonic_s() > self._next_removal_s:
                self._remove_expired()

    def _remove_expired(self) -> None:
        """Remove jobs that ended longer ago than the retention period."""
        controller = self._controller
        now_s = controller.clock.monotonic_s()
        self._next_removal_s = now_s + REMOVAL_INTERVAL_S
        with controller.lock:
            jobs = controller.scheduler.expired_jobs(now_s, RETENTION_S)
        removed, revision = 0, 0
        for start in range(0, len(jobs), MAX_REMOVED_JOBS):
            batch = jobs[start : start + MAX_REMOVED_JOBS]
            answer = self._remove(batch)
            if not isinstance(answer, int):
                break
            removed, revision = removed + len(batch), answer
        if removed:
            controller.log("jobs removed", count=removed, revision=revision)

    def _remove(self, batch: list[str]) -> int | CommitConflict | Failure:
        """Remove jobs from the store, and then from the scheduler.

        :returns: the answer of the store
        """
        controller = self._controller
        keys = [
            prefix + job_id
            for job_id in batch
            for prefix in (JOBS_PREFIX, PROGRESS_PREFIX, CANCELLATIONS_PREFIX)
        ]
        condition = Condition(LEADER_KEY, controller.grant.fence)
        answer = controller.ports.store.commit([condition], [], keys)
        if isinstance(answer, int):
            with controller.lock:
                for job_id in batch:
                    controller.scheduler.forget(job_id)
                    controller.advice.forget(job_id)
                    controller.planner.forget(job_id)
        return answer

    def flush(self) -> None:
        """Write the pending changes before a planned stop.

        Tasks go on meanwhile, so there may always be new changes. The next
        leader learns of them from the workers.
        """
        controller = self._controller
        until_s = controller.clock.monotonic_s() + FLUSH_TIME_S
        while (
            controller.is_running
            and controller.scheduler.dirty
            and controller.clock.monotonic_s() < until_s
        ):
            if not self._write():
                return

    def _write(self) -> bool:
        """Write one batch; return whether it was stored."""
        controller = self._controller
        with controller.lock:
            batch = self._next_batch()
            now_s = controller.clock.monotonic_s()
            load_is_due = now_s - self._load_written_at_s > LOAD_INTERVAL_S
            self._refresh_roster(now_s)
            roster = self._roster() if self.is_roster_outdated else None
            extra = self._extra_writes(load_is_due, roster)
            roster_condition = Condition(ROSTER_KEY, self.roster_revision)
            self.is_roster_outdated = False
        if not batch and not extra:
            return True
        conditions = [Condition(LEADER_KEY, controller.grant.fence)]
        conditions += [
            Condition(PROGRESS_PREFIX + job.job_id, job.progress_revision)
            for job, _, _ in batch
        ]
        if roster is not None:
            conditions.append(roster_condition)
        writes = [
            Write(PROGRESS_PREFIX + job.job_id, value)
            for job, _, value in batch
        ]
        answer = controller.ports.store.commit(conditions, writes + extra)
        if not isinstance(answer, int):
            self.is_roster_outdated = True
        if isinstance(answer, Failure):
            controller.log("progress not written", why=answer.reason)
            return False
        if isinstance(answer, CommitConflict):
            return self._handle_conflict(batch, answer, roster is not None)
        if roster is not None:
            self._handle_enrolled(roster, answer)
        self._handle_written(batch, answer, load_is_due)
        return True

    def _refresh_roster(self, now_s: float) -> None:
        """Request a write of the roster once it names all workers."""
        is_complete = now_s >= self._controller.scheduler.unknown_until_s
        if is_complete != self._is_roster_complete:
            self._is_roster_complete = is_complete
            self.is_roster_outdated = True

    def _next_batch(self) -> list[tuple[Job, int, bytes]]:
        """Return changed jobs with their change numbers and records."""
        dirty = list(self._controller.scheduler.dirty.values())[:MAX_JOBS]
        wall_ms = round(self._controller.clock.wall_s() * 1000)
        batch: list[tuple[Job, int, bytes]] = []
        size = 0
        for job in dirty:
            if job.phase.is_final and not job.finished_unix_ms:
                job.finished_unix_ms = wall_ms
            data = self._encode(job)
            size += len(data)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append((job, job.change, data))
        return batch

    def _encode(self, job: Job) -> bytes:
        """Return the record of a job, without checkpoints if it is too large.

        Workers choose the length of their checkpoints. Without one, a task
        whose run is lost begins anew.
        """
        record = job.progress()
        data = encode(record)
        if len(data) <= MAX_RECORD_BYTES:
            return data
        self._controller.log(
            "checkpoints not recorded", job=job.job_id, record_bytes=len(data)
        )
        return encode(
            attrs.evolve(
                record,
                steps=tuple(
                    attrs.evolve(row, checkpoints={}) for row in record.steps
                ),
            )
        )

    def _extra_writes(
        self, load_is_due: bool, roster: RosterRecord | None
    ) -> list[Write]:
        writes = []
        if load_is_due:
            writes.append(Write(LOAD_KEY, encode(self._load())))
        if roster is not None:
            writes.append(Write(ROSTER_KEY, encode(roster)))
        return writes

    def _load(self) -> LoadRecord:
        waiting: dict[str, int] = {}
        for job in self._controller.scheduler.active.values():
            if job.phase is Phase.QUEUED:
                name = job.submission.queue
                waiting[name] = waiting.get(name, 0) + 1
        scheduler = self._controller.scheduler
        for name, count in scheduler.unloaded.queued_by_queue().items():
            waiting[name] = waiting.get(name, 0) + count
        scheduler.measure_memory()
        now_s = self._controller.clock.monotonic_s()
        wall_ms = round(self._controller.clock.wall_s() * 1000)
        outlook = self._controller.planner.outlook
        return LoadRecord(
            written_unix_ms=wall_ms,
            waiting=waiting,
            start_delay_ms=self._start_delays_ms(wall_ms),
            turns=tuple(self._controller.forecast.turns),
            backlogs=outlook.backlogs(now_s, wall_ms),
            job_memory=scheduler.memory.use,
        )

    def _start_delays_ms(self, wall_ms: float) -> dict[str, int]:
        """Return the expected wait of a new job, by queue.

        While all data centres are evacuated, it is not known when capacity
        returns. The wait is then estimated as long as it has lasted so far.
        """
        controller = self._controller
        since_s = controller.scheduler.out_of_service_since_s
        if since_s is None:
            return controller.planner.outlook.start_delays_ms(wall_ms)
        delay_ms = round((controller.clock.monotonic_s() - since_s) * 1000)
        queues = controller.scheduler.configuration.queues
        return {queue.name: delay_ms for queue in queues}

    def _roster(self) -> RosterRecord:
        workers = self._controller.scheduler.enrol_workers(
            self._controller.clock.monotonic_s()
        )
        return RosterRecord(
            term=self._controller.grant.term,
            workers={
                worker.worker_id: worker.entry.roster_row for worker in workers
            },
            former_pools={
                worker.worker_id: tuple(worker.pools - {worker.entry.pool})
                for worker in workers
                if worker.pools != {worker.entry.pool}
            },
            is_complete=self._is_roster_complete,
            largest_capacity=self._controller.scheduler.largest_capacity(),
        )

    def _handle_enrolled(self, roster: RosterRecord, revision: int) -> None:
        """Note which workers a stored roster names as they are now.

        An entry may have changed while the roster was written.
        """
        with self._controller.lock:
            self.roster_revision = revision
            for worker in self._controller.scheduler.workers.values():
                row = roster.workers.get(worker.worker_id)
                largest = roster.largest_capacity
                worker.is_enrolled = row == worker.entry.roster_row and (
                    largest is None or largest.covers(worker.entry.capacity)
                )

    def _handle_written(self, batch, revision: int, load_is_due: bool) -> None:
        controller = self._controller
        if load_is_due:
            self._load_written_at_s = controller.clock.monotonic_s()
        with controller.lock:
            for job, change, _ in batch:
                controller.scheduler.mark_written(job, change, revision)
            controller.scheduler.advance_acks()
        controller.worker_feed.notify_links()

    def _handle_conflict(
        self, batch, conflict: CommitConflict, has_roster: bool
    ) -> bool:
        """Adopt the revisions of earlier writes whose answers were lost.

        :returns: False if this node no longer leads
        """
        controller = self._controller
        found = {item.key: item for item in conflict.items}
        leader = found.get(LEADER_KEY)
        if leader is None or leader.revision != controller.grant.fence:
            controller.leadership.step_down(
                controller.grant, "the leader's key in the store has changed"
            )
            return False
        with controller.lock:
            if has_roster:
                roster = found.get(ROSTER_KEY)
                self.roster_revision = roster.revision if roster else 0
            for job, change, value in batch:
                item = found.get(PROGRESS_PREFIX + job.job_id)
                job.progress_revision = item.revision if item else 0
                if item is not None and item.value == value:
                    controller.scheduler.mark_written(
                        job, change, item.revision
                    )
        self._wake.set()
        return True
