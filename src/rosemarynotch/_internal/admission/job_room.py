"""Which shards of the job table an entry may still fill."""

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.jobs import JobRoom
from rosemarynotch._internal.models.jobs import ROOM_KEY
from rosemarynotch._internal.models.jobs import shard_of
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["TableRoom"]

# Submissions share a read for this time.
ROOM_AGE_S = 1.0


class TableRoom:
    """What control has told about the room in the job table."""

    def __init__(self, records: RecordStore, clock: Clock) -> None:
        self._records = records
        self._clock = clock
        self._read_s = float("-inf")
        self._room = JobRoom()

    def check(self, job_id: str) -> Failure | None:
        """Refuse a job whose shard is nearly full, before it is written.

        Without an answer of the store the last one counts. Control merges
        no more than fits, so a job that is accepted too much only waits.

        :returns: None or JOB_TABLE_FULL
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._read_s >= ROOM_AGE_S:
            found = self._records.read(ROOM_KEY, JobRoom)
            if not isinstance(found, Failure):
                self._room = found.value
            elif found.is_a(failures.STORE_KEY_MISSING):
                self._room = JobRoom()
            self._read_s = now_s
        number = shard_of(job_id)
        if number not in self._room.full_shards:
            return None
        return failures.JOB_TABLE_FULL.because(
            f"part {number} of the job table is nearly full; try again when"
            " jobs have ended"
        )
