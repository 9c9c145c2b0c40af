"""Room in the shards of the job table (rule R9)."""

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

__all__ = ["count_fitting", "RoomNotice"]

# The store takes values of up to 1 MB. Entries refuse jobs of a shard from
# the first size on. What they accepted before they learnt of it is merged up
# to the second; the rest is left for results, at most 200 KB a shard.
NEARLY_FULL_BYTES = 700_000
LARGEST_MERGE_BYTES = 800_000


def is_over(shard: JobShard, limit_bytes: int) -> bool:
    """Tell whether a shard takes more than this in the store.

    Compression takes far longer than encoding and is mostly not needed.
    """
    data = codec.encode(shard)
    return len(data) > limit_bytes and len(zlib.compress(data)) > limit_bytes


def count_fitting(
    table: JobTable, batches: list[NumberedBatch], now_s: float
) -> int:
    """Return how many batches, from the first on, the shards have room for.

    The others stay in the store, where they are safe, for a later pass. The
    order has to be kept, so batches behind one that does not fit wait too.
    """
    count = len(batches)
    while count and not all(
        _fits(table.shard(number), number, batches[:count], now_s)
        for number in range(SHARD_COUNT)
    ):
        count //= 2
    return count


def _fits(shard: JobShard, number: int, batches, now_s: float) -> bool:
    merged = merge_batches(shard, number, batches, now_s)
    if merged.jobs.keys() <= shard.jobs.keys():
        # Cancellations are always taken: they make room.
        return True
    return not is_over(prune(merged, now_s), LARGEST_MERGE_BYTES)


class RoomNotice:
    """Tells entries which shards are nearly full, when that changes."""

    def __init__(self, records: RecordStore) -> None:
        self._records = records
        self._told: FullShardsRecord | None = None
        self._known: dict[int, tuple[int, bool]] = {}

    def forget(self) -> None:
        """Write again, since another process may have written."""
        self._told = None

    def tell(self, table: JobTable) -> None:
        """Write the record if it has changed."""
        for number in range(SHARD_COUNT):
            revision = table.revision(number)
            if self._known.get(number, (-1, False))[0] != revision:
                full = is_over(table.shard(number), NEARLY_FULL_BYTES)
                self._known[number] = (revision, full)
        full = [n for n, (_, is_full) in self._known.items() if is_full]
        room = FullShardsRecord(full_shards=tuple(sorted(full)))
        if room == self._told:
            return
        written = self._records.update(
            FULL_SHARDS_KEY,
            FullShardsRecord,
            FullShardsRecord(),
            lambda _: room,
        )
        if not isinstance(written, Failure):
            self._told = room
