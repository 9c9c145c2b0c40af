"""Checks at an entry whether a shard of the job table has capacity."""

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.jobs import FULL_SHARDS_KEY
from rosemarynotch._internal.models.jobs import FullShardsRecord
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["FullShardCache"]

# Age up to which submissions use the cached record.
CACHE_AGE_S = 1.0


class FullShardCache:
    """Caches the record in which control lists the nearly full shards."""

    def __init__(self, records: RecordStore, clock: Clock) -> None:
        self._records = records
        self._clock = clock
        self._read_s = float("-inf")
        self._record = FullShardsRecord()

    def check(self, job_id: str) -> Failure | None:
        """Refuse a job whose shard is nearly full before it is written.

        If the store does not answer, the last known record is used. Control
        merges only as many jobs as fit, so a job accepted in excess waits
        and is not lost.

        :returns: None or JOB_TABLE_FULL
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._read_s >= CACHE_AGE_S:
            found = self._records.read(FULL_SHARDS_KEY, FullShardsRecord)
            if not isinstance(found, Failure):
                self._record = found.value
            elif found.is_a(failures.STORE_KEY_MISSING):
                self._record = FullShardsRecord()
            self._read_s = now_s
        number = shard_of(job_id)
        if number not in self._record.full_shards:
            return None
        return failures.JOB_TABLE_FULL.with_reason(
            f"shard {number} of the job table is nearly full; try again when"
            " jobs have ended"
        )
