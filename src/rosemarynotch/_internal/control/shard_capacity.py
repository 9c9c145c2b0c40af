"""Capacity of the shards of the job table (rule R9)."""

import zlib

from rosemarynotch._internal.control.job_rows import merge_batches
from rosemarynotch._internal.control.job_rows import NumberedBatch
from rosemarynotch._internal.control.job_rows import prune
from rosemarynotch._internal.control.job_table import JobTable
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.jobs import FULL_SHARDS_KEY
from rosemarynotch._internal.models.jobs import FullShardsRecord
from rosemarynotch._internal.models.jobs import JobShard
from rosemarynotch._internal.models.jobs import SHARD_COUNT
from rosemarynotch._internal.reference.records import RecordStore

__all__ = ["count_mergeable", "CapacityNotice"]

# The store accepts values of up to 1 MB. Entries refuse new jobs for a shard
# from the first size on. Jobs that they accept before they learn of it are
# merged up to the second size. The remainder is for results, at most 200 KB a
# shard.
NEARLY_FULL_BYTES = 700_000
LARGEST_MERGE_BYTES = 800_000


def exceeds(shard: JobShard, limit_bytes: int) -> bool:
    """Return whether a shard takes more than this size in the store.

    The uncompressed size is compared first: compression takes far longer than
    encoding and is rarely needed.
    """
    data = codec.encode(shard)
    return len(data) > limit_bytes and len(zlib.compress(data)) > limit_bytes


def count_mergeable(
    table: JobTable, batches: list[NumberedBatch], now_s: float
) -> int:
    """Return how many batches, from the first on, fit into the shards.

    The others stay in the store for a later pass. Batches are merged in
    order, so those after one that does not fit have to wait as well. The
    number is halved until the batches fit, so a few more might fit.
    """
    count = len(batches)
    while count and not all(
        _fits_batches(table.shard(number), number, batches[:count], now_s)
        for number in range(SHARD_COUNT)
    ):
        count //= 2
    return count


def _fits_batches(shard: JobShard, number: int, batches, now_s: float) -> bool:
    merged = merge_batches(shard, number, batches, now_s)
    if merged.jobs.keys() <= shard.jobs.keys():
        # Batches without new jobs always fit: cancellations free capacity.
        return True
    return not exceeds(prune(merged, now_s), LARGEST_MERGE_BYTES)


class CapacityNotice:
    """Publishes to the entries which shards are nearly full."""

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._published: FullShardsRecord | None = None
        self._known: dict[int, tuple[int, bool]] = {}

    def invalidate(self) -> None:
        """Force the next write, since another process may have written."""
        self._published = None

    def publish(self, table: JobTable) -> None:
        """Write the record if it has changed."""
        for number in range(SHARD_COUNT):
            revision = table.revision(number)
            if self._known.get(number, (-1, False))[0] != revision:
                full = exceeds(table.shard(number), NEARLY_FULL_BYTES)
                self._known[number] = (revision, full)
        full = [n for n, (_, is_full) in self._known.items() if is_full]
        notice = FullShardsRecord(full_shards=tuple(sorted(full)))
        if notice == self._published:
            return
        written = self._records.update(
            FULL_SHARDS_KEY,
            FullShardsRecord,
            FullShardsRecord(),
            lambda _: notice,
        )
        if not isinstance(written, Failure):
            self._published = notice
