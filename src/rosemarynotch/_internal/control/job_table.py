"""The job table and the batches, as one process knows them."""

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

# Reads and deletions in one pass; the store takes a few hundred writes a
# second from everybody.
BATCHES_PER_PASS = 100

Change = Callable[[JobShard], JobShard]


class JobTable:
    """All shards, with the revisions at which they were read.

    :ivar complete: every shard was read, and none has an unclear write
    """

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._shards: dict[int, Record] = {}
        self._open: dict[int, list[tuple[str, JobRow]]] = {}
        self._unclear = set(range(SHARD_COUNT))

    @property
    def complete(self) -> bool:
        """Tell whether every shard is known as it was last seen."""
        return not self._unclear

    def shard(self, number: int) -> JobShard:
        """Return a shard as it was last seen."""
        record = self._shards.get(number)
        return record.value if record else JobShard()

    def revision(self, number: int) -> int:
        """Return the revision of a shard as it was last seen."""
        record = self._shards.get(number)
        return record.revision if record else 0

    def row(self, job_id: str) -> JobRow | None:
        """Return a job's row, or None."""
        return self.shard(shard_of(job_id)).jobs.get(job_id)

    def knows(self, job_id: str) -> bool:
        """Tell whether the shard of a job is known as it was last seen."""
        return shard_of(job_id) not in self._unclear

    def open_rows(self) -> Iterator[tuple[str, JobRow]]:
        """Return the jobs that have not ended."""
        for rows in self._open.values():
            yield from rows

    def has_open_rows(self, number: int | None = None) -> bool:
        """Tell whether a shard, or any, has jobs that have not ended."""
        if number is not None:
            return bool(self._open.get(number))
        return any(self._open.values())

    def refresh(self) -> bool:
        """Read the shards that have changed, with one call to find them.

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
                self._unclear.discard(number)
        return self.complete

    def _read(self, number: int, revision: int) -> None:
        if not revision:
            found = Record(value=JobShard(), revision=0)
        else:
            found = self._records.read(table_key(number), JobShard, True)
        if isinstance(found, Failure):
            if not found.is_a(STORE_KEY_MISSING):
                self._unclear.add(number)
                return
            found = Record(value=JobShard(), revision=0)
        self._take(number, found)

    def update(self, number: int, change: Change) -> bool:
        """Change a shard if the change does anything to it.

        :returns: whether the shard is as ``change`` leaves it
        """
        shard = self.shard(number)
        if number not in self._unclear and change(shard) is shard:
            return True
        written = self._records.update(
            table_key(number), JobShard, JobShard(), change, compressed=True
        )
        if isinstance(written, Failure):
            self._unclear.add(number)
            return False
        self._take(number, written)
        return True

    def _take(self, number: int, record: Record) -> None:
        known = self._shards.get(number)
        if known is None or known.revision != record.revision:
            self._shards[number] = record
            self._open[number] = [
                (job_id, row)
                for job_id, row in record.value.jobs.items()
                if not row.state.is_final
            ]
        self._unclear.discard(number)


class BatchReader:
    """Reads batches in the order in which their holders wrote them."""

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._revisions: dict[str, int] = {}

    def read(self) -> list[NumberedBatch]:
        """Return the batches that wait, or nothing if one is unreadable.

        A batch must not be merged before an earlier one of its holder, nor
        a cancellation before a submission that was accepted earlier, so a
        failed read ends the whole pass.
        """
        listed = self._records.store.keys(BATCHES_PREFIX)
        if isinstance(listed, Failure):
            return []
        batches = []
        self._revisions = {}
        # In the order of their writes, so that the limit never separates a
        # cancellation from an earlier submission at another entry.
        listed.sort(key=lambda found: (found.revision, found.key))
        for found in listed[:BATCHES_PER_PASS]:
            place = parse_batch_key(found.key)
            record = self._records.read(found.key, JobBatch)
            if isinstance(record, Failure):
                if record.is_a(STORE_KEY_MISSING):
                    continue
                return []
            if place is not None:
                batches.append((*place, record.value))
                self._revisions[found.key] = record.revision
        return batches

    def delete(self, count: int) -> None:
        """Delete the first batches of the last read, once they are merged."""
        for key, revision in list(self._revisions.items())[:count]:
            self._records.store.delete(key, revision)
        self._revisions = {}
