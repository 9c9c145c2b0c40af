"""Acceptance of jobs at an entry (rule R9)."""

from collections import OrderedDict
import itertools
import math
import threading

import attrs

from rosemarynotch._internal.admission.job_room import FullShardCache
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.jobs import batch_key
from rosemarynotch._internal.models.jobs import BatchedCancellation
from rosemarynotch._internal.models.jobs import BatchedSubmission
from rosemarynotch._internal.models.jobs import BATCHES_PREFIX
from rosemarynotch._internal.models.jobs import job_id_of
from rosemarynotch._internal.models.jobs import JobAccepted
from rosemarynotch._internal.models.jobs import JobBatch
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import JobState
from rosemarynotch._internal.models.jobs import JobStatus
from rosemarynotch._internal.models.jobs import JobSubmission
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.models.jobs import table_key
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["JobIntake"]

BATCH_WINDOW_S = 0.003
# The store takes values of up to 1 MB. Half of that leaves room for one
# submission with the largest body.
MAX_BATCH_BYTES = 480_000
# A shard of the job table is one value of at most 1 MB that holds many jobs.
MAX_PAYLOAD_BYTES = 16_384
CANCELLATION_BYTES = 100
SUBMISSION_BYTES = 300
READ_BACK_ATTEMPTS = 4
READ_BACK_DELAY_S = 0.05
# Status requests for one shard within this time share one read.
STATUS_CACHE_S = 0.5
MAX_RECENT_JOBS = 10_000
MAX_PENDING_BATCHES = 8

Item = BatchedSubmission | BatchedCancellation


@attrs.define(eq=False)
class PendingWrite:
    """An item that waits until its batch is written."""

    item: Item
    done: bool = False
    failure: Failure | None = None


class JobIntake:
    """Writes submissions and cancellations to the store in batches.

    The first thread that arrives collects the items that other threads add
    within a few milliseconds, and writes one batch for all of them.

    :param in_force: ConfigInForce view, for the sizes of workers
    :param holder: name and incarnation of this process, without a slash;
        must not have been used by another process
    """

    def __init__(
        self, records: RecordStore, in_force, holder: str, clock: Clock
    ) -> None:
        self._records = records
        self._store = records.store
        self._in_force = in_force
        self._holder = holder
        self._clock = clock
        self._pending_lock = threading.Lock()
        self._pending: list[PendingWrite] = []
        self._write_lock = threading.Lock()
        self._sequence = 1
        self._generated_keys = itertools.count(1)
        self._recent: OrderedDict[str, BatchedSubmission] = OrderedDict()
        self._shards: dict[int, tuple[float, JobShard]] = {}
        self._full_shards = FullShardCache(records, clock)

    def submit(
        self, team: str, queue: QueueSpec, submission: JobSubmission
    ) -> JobAccepted | Failure:
        """Write a job to the store and accept it.

        :returns: the id, JOB_TOO_LARGE, BODY_TOO_LARGE, REQUEST_MALFORMED,
            JOB_TABLE_FULL, or STORE_UNAVAILABLE, with ``ran`` unknown when
            the job may have been accepted
        """
        failure = _check_submission(
            self._in_force.current.document, queue, submission
        )
        if failure is not None:
            return failure
        key = submission.idempotency_key
        if not key:
            key = f"{self._holder}/{next(self._generated_keys)}"
        item = BatchedSubmission(
            job_id=job_id_of(team, key),
            team=team,
            accepted_at_s=self._clock.wall_s(),
            submission=attrs.evolve(submission, queue=queue.name),
        )
        failure = self._full_shards.check(item.job_id) or self._commit(item)
        return failure or JobAccepted(job_id=item.job_id)

    def cancel(self, team: str, job_id: str) -> None | Failure:
        """Write a cancellation to the store; the job stops soon afterwards.

        An unknown job is not reported, because the check would cost a read
        for each cancellation.

        :returns: None or STORE_UNAVAILABLE
        """
        return self._commit(BatchedCancellation(job_id=job_id, team=team))

    def status(self, team: str, job_id: str) -> JobStatus | Failure:
        """Return the state of a team's job.

        :returns: the status, JOB_UNKNOWN or STORE_UNAVAILABLE
        """
        try:
            shard = self._shard(shard_of(job_id))
        except ValueError:
            return failures.JOB_UNKNOWN
        if isinstance(shard, Failure):
            return shard
        row = shard.jobs.get(job_id)
        if row is not None:
            is_own = row.team == team
            return row.status(job_id) if is_own else failures.JOB_UNKNOWN
        item = self._recent.get(job_id) or self._find_pending(job_id)
        if item is None or item.team != team:
            return failures.JOB_UNKNOWN
        return JobStatus(
            job_id=job_id,
            queue=item.submission.queue,
            state=JobState.QUEUED,
            attempt=1,
        )

    def _shard(self, number: int) -> JobShard | Failure:
        now_s = self._clock.monotonic_s()
        read_s, shard = self._shards.get(number, (float("-inf"), None))
        if now_s - read_s < STATUS_CACHE_S:
            return shard
        found = self._records.read(table_key(number), JobShard, True)
        if not isinstance(found, Failure):
            shard = found.value
        elif found.is_a(failures.STORE_KEY_MISSING):
            shard = JobShard()
        else:
            return found
        self._shards[number] = (now_s, shard)
        return shard

    def _find_pending(self, job_id: str) -> BatchedSubmission | None:
        """Look for a job in batches that control has not merged yet."""
        keys = self._store.keys(BATCHES_PREFIX)
        if isinstance(keys, Failure):
            return None
        for found in keys[:MAX_PENDING_BATCHES]:
            batch = self._records.read(found.key, JobBatch)
            if isinstance(batch, Failure):
                continue
            for item in batch.value.submissions:
                if item.job_id == job_id:
                    return item
        return None

    def _commit(self, item: Item) -> None | Failure:
        """Block until the item is written in a batch, or has failed."""
        write = PendingWrite(item)
        with self._pending_lock:
            self._pending.append(write)
        with self._write_lock:
            if not write.done:
                self._clock.sleep(BATCH_WINDOW_S)
            while not write.done:
                self._write_batch(self._next_batch())
        return write.failure

    def _next_batch(self) -> list[PendingWrite]:
        with self._pending_lock:
            size_bytes = 0
            count = 0
            for write in self._pending:
                size_bytes += _size_bytes(write.item)
                if count and size_bytes > MAX_BATCH_BYTES:
                    break
                count += 1
            batch = self._pending[:count]
            del self._pending[:count]
            return batch

    def _write_batch(self, writes: list[PendingWrite]) -> None:
        """Write items as one batch and mark them as done."""
        items = [write.item for write in writes]
        batch = JobBatch(
            submissions=tuple(
                item for item in items if isinstance(item, BatchedSubmission)
            ),
            cancellations=tuple(
                item for item in items if isinstance(item, BatchedCancellation)
            ),
        )
        failure = self._write(codec.encode(batch))
        if failure is None:
            for item in batch.submissions:
                self._recent[item.job_id] = item
            while len(self._recent) > MAX_RECENT_JOBS:
                self._recent.popitem(last=False)
        for write in writes:
            write.failure = failure
            write.done = True

    def _write(self, data: bytes) -> None | Failure:
        """Create the next batch, and read it back if it is not confirmed.

        If the batch stays unconfirmed, the next one uses a new sequence
        number. Control ignores the unconfirmed batch if it appears later,
        because it merges the batches of a holder in order.
        """
        written = self._store.put(self._key(), data, 0)
        if isinstance(written, Failure) and not _is_unconfirmed(written):
            return written
        if isinstance(written, Failure):
            written = self._confirm_write(data)
        self._sequence += 1
        return written if isinstance(written, Failure) else None

    def _confirm_write(self, data: bytes) -> int | Failure:
        for attempt in range(READ_BACK_ATTEMPTS):
            found = self._store.get(self._key())
            if not isinstance(found, Failure):
                if found.value == data:
                    return found.revision
                break
            if found.is_a(failures.STORE_KEY_MISSING):
                # The first write may still arrive, or control may have
                # merged and deleted it. Creating it again is harmless.
                written = self._store.put(self._key(), data, 0)
                if not isinstance(written, Failure):
                    return written
            self._clock.sleep(READ_BACK_DELAY_S * (attempt + 1))
        return failures.STORE_UNAVAILABLE.with_ran_unknown().with_reason(
            "the store did not confirm the write"
        )

    def _key(self) -> str:
        return batch_key(self._holder, self._sequence)


def _is_unconfirmed(failure: Failure) -> bool:
    """Tell whether the batch may be in the store despite the failure."""
    may_have_run = failure.ran is not Ran.NO
    return may_have_run or failure.is_a(failures.STORE_CONFLICT)


def _size_bytes(item: Item) -> int:
    if isinstance(item, BatchedSubmission):
        payload = item.submission.payload
        return SUBMISSION_BYTES + len(payload.encode())
    return CANCELLATION_BYTES


def _check_submission(
    document: Document, queue: QueueSpec, submission: JobSubmission
) -> Failure | None:
    pool = document.pool(queue.pool)
    if pool is None or pool.kind is not PoolKind.WORKERS:
        return failures.REQUEST_MALFORMED.with_reason(
            f"queue {queue.name} does not accept jobs"
        )
    sizes = (submission.cores, submission.memory_mb, submission.accelerators)
    if not math.isfinite(submission.cores) or submission.cores <= 0:
        return failures.REQUEST_MALFORMED.with_reason(
            "cores must be a finite number above 0"
        )
    if min(sizes) < 0:
        return failures.REQUEST_MALFORMED.with_reason(
            "memory and accelerators must not be negative"
        )
    if len(submission.payload.encode()) > MAX_PAYLOAD_BYTES:
        return failures.BODY_TOO_LARGE.with_reason(
            f"the payload of a job must not exceed {MAX_PAYLOAD_BYTES} bytes"
        )
    fits = any(
        submission.cores <= vm.cores
        and submission.memory_mb <= vm.memory_mb
        and submission.accelerators <= vm.accelerators
        for vm in pool.vms
    )
    if not fits:
        return failures.JOB_TOO_LARGE.with_reason(
            f"no worker of pool {pool.name} is large enough for the job"
        )
    return None
