"""Cached access to the job table, and a reader of job batches."""

from collections.abc import Iterator
from typing import Callable

from rosemarynotch._internal.control.job_rows import NumberedBatch
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.jobs import BATCHES_PREFIX
from rosemarynotch._internal.models.jobs import JobBatch
from rosemarynotch._internal.models.jobs import JobRow
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import parse_batch_key
from rosemarynotch._internal.models.jobs import SHARD_COUNT
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.models.jobs import table_key
from rosemarynotch._internal.models.jobs import TABLE_PREFIX
from rosemarynotch._internal.reference.records import Record
from rosemarynotch._internal.reference.records import RecordStore

__all__ = ["BatchReader", "JobTable"]

# Batches read and deleted in one pass. The store handles a few hundred writes
# per second from all processes together.
BATCHES_PER_PASS = 100

ShardChange = Callable[[JobShard], JobShard]


class JobTable:
    """Caches all shards with the revisions at which they were read.

    :ivar is_complete: every shard has been read, and none has a write with
        an unknown outcome
    """

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._shards: dict[int, Record] = {}
        self._open_rows: dict[int, list[tuple[str, JobRow]]] = {}
        self._uncertain = set(range(SHARD_COUNT))

    @property
    def is_complete(self) -> bool:
        """Return whether no shard is unread or has an unknown write."""
        return not self._uncertain

    def shard(self, number: int) -> JobShard:
        """Return the cached value of a shard."""
        record = self._shards.get(number)
        return record.value if record else JobShard()

    def revision(self, number: int) -> int:
        """Return the cached revision of a shard, 0 if there is none."""
        record = self._shards.get(number)
        return record.revision if record else 0

    def row(self, job_id: str) -> JobRow | None:
        """Return the cached row of a job, or None."""
        return self.shard(shard_of(job_id)).jobs.get(job_id)

    def is_current(self, job_id: str) -> bool:
        """Return whether a job's shard is read and has no unknown write."""
        return shard_of(job_id) not in self._uncertain

    def open_rows(self) -> Iterator[tuple[str, JobRow]]:
        """Yield id and row of each job that has not ended."""
        for rows in self._open_rows.values():
            yield from rows

    def has_open_rows(self, number: int | None = None) -> bool:
        """Return whether a shard, or any, has jobs that have not ended."""
        if number is not None:
            return bool(self._open_rows.get(number))
        return any(self._open_rows.values())

    def refresh(self) -> bool:
        """Read the shards that have changed, found with one list call.

        :returns: whether the store answered every call
        """
        listed = self._records.store.keys(TABLE_PREFIX)
        if isinstance(listed, Failure):
            return False
        revisions = {found.key: found.revision for found in listed}
        for number in range(SHARD_COUNT):
            known = self._shards.get(number)
            revision = revisions.get(table_key(number), 0)
            if known is None or known.revision != revision:
                self._read(number, revision)
            else:
                self._uncertain.discard(number)
        return self.is_complete

    def _read(self, number: int, revision: int) -> None:
        if not revision:
            found = Record(value=JobShard(), revision=0)
        else:
            found = self._records.read(table_key(number), JobShard, True)
        if isinstance(found, Failure):
            if not found.is_a(STORE_KEY_MISSING):
                self._uncertain.add(number)
                return
            found = Record(value=JobShard(), revision=0)
        self._set_shard(number, found)

    def update(self, number: int, change: ShardChange) -> bool:
        """Apply a change to a shard, writing it only if it has an effect.

        :returns: whether the change is known to be applied
        """
        shard = self.shard(number)
        if number not in self._uncertain and change(shard) is shard:
            return True
        written = self._records.update(
            table_key(number), JobShard, JobShard(), change, compressed=True
        )
        if isinstance(written, Failure):
            self._uncertain.add(number)
            return False
        self._set_shard(number, written)
        return True

    def _set_shard(self, number: int, record: Record) -> None:
        known = self._shards.get(number)
        if known is None or known.revision != record.revision:
            self._shards[number] = record
            self._open_rows[number] = [
                (job_id, row)
                for job_id, row in record.value.jobs.items()
                if not row.state.is_final
            ]
        self._uncertain.discard(number)


class BatchReader:
    """Reads batches of submissions in the order of their writes."""

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._revisions: dict[str, int] = {}

    def read(self) -> list[NumberedBatch]:
        """Return the pending batches, or none if any cannot be read.

        A batch must not be merged before an earlier one of its holder, nor a
        cancellation before a submission that was accepted earlier. A failed
        read therefore ends the whole pass.
        """
        listed = self._records.store.keys(BATCHES_PREFIX)
        if isinstance(listed, Failure):
            return []
        batches = []
        self._revisions = {}
        # In the order of the writes, so that a pass that reaches its limit
        # has no cancellation without the submission that another entry
        # accepted before it.
        listed.sort(key=lambda found: (found.revision, found.key))
        for found in listed[:BATCHES_PER_PASS]:
            holder_sequence = parse_batch_key(found.key)
            record = self._records.read(found.key, JobBatch)
            if isinstance(record, Failure):
                if record.is_a(STORE_KEY_MISSING):
                    continue
                return []
            if holder_sequence is not None:
                batches.append((*holder_sequence, record.value))
                self._revisions[found.key] = record.revision
        return batches

    def delete(self, count: int) -> None:
        """Delete the first ``count`` batches of the last read."""
        for key, revision in list(self._revisions.items())[:count]:
            self._records.store.delete(key, revision)
        self._revisions = {}
