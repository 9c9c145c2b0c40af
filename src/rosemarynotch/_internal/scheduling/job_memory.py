"""Bounds the memory that the leader uses for jobs; performs no I/O."""

from collections.abc import Iterable

from rosemarynotch._internal.scheduling.ended_jobs import EndedJob
from rosemarynotch._internal.scheduling.job_sizes import ENDED_ROW_BYTES
from rosemarynotch._internal.scheduling.job_sizes import TASK_BYTES
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.records import MemoryUse

__all__ = ["JobMemory", "LOADED_SHARE", "OPENED_SHARE"]

# For nodes on the smallest machine.
DEFAULT_LIMIT_BYTES = 40 * 1024 * 1024
# Parts of the bound up to which jobs are read from the store and further due
# occurrences are opened. The rest is for the runs of what was read, which can
# therefore always start and end.
LOADED_SHARE = 0.75
OPENED_SHARE = 0.85
# An organisation may use this part of the memory, so that its jobs keep none
# of another one out.
ORGANISATION_SHARE = 0.5
# Organisations whose memory is published and logged.
MAX_NAMED = 20


class JobMemory:
    """Counts what the leader uses for jobs, and compares it with a bound.

    It is measured from time to time; what is added in between is counted by
    :meth:`add`.

    :param limit_bytes: the bound
    :ivar used_bytes: memory of all jobs
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._by_organisation: dict[str, int] = {}

    def measure(
        self, jobs: Iterable[Job], ended: Iterable[EndedJob] = ()
    ) -> None:
        """Count the memory of all jobs anew."""
        self.used_bytes, self._by_organisation = 0, {}
        for job in jobs:
            self.add(job.submission.organisation, job.memory_bytes)
        for row in ended:
            self.add(row.organisation, ENDED_ROW_BYTES)

    def add(self, organisation: str, size: int) -> None:
        """Count memory that was taken since the last measurement.

        :param size: bytes, negative if memory was freed
        """
        self.used_bytes += size
        known = self._by_organisation.get(organisation, 0)
        self._by_organisation[organisation] = known + size

    def has_room(self, organisation: str, size: int, share: float) -> bool:
        """Return whether more memory may be used for an organisation.

        :param size: bytes
        :param share: part of the bound that may be used
        """
        return size <= self._left_bytes(organisation, share)

    def is_share_used(
        self, organisation: str, size: int, share: float
    ) -> bool:
        """Return whether what an organisation uses itself leaves no room."""
        own = self._by_organisation.get(organisation, 0)
        limit = self.limit_bytes * share * ORGANISATION_SHARE
        return own + size > limit

    def startable_tasks(self, organisation: str) -> int:
        """Return how many tasks of an organisation may be started."""
        return max(0, int(self._left_bytes(organisation, 1.0) // TASK_BYTES))

    def _left_bytes(self, organisation: str, share: float) -> float:
        limit = self.limit_bytes * share
        own = self._by_organisation.get(organisation, 0)
        return min(limit - self.used_bytes, limit * ORGANISATION_SHARE - own)

    @property
    def use(self) -> MemoryUse:
        """Return the use, with the organisations that use the most."""
        rows = sorted(
            self._by_organisation.items(), key=lambda row: row[1], reverse=True
        )
        return MemoryUse(
            limit_bytes=self.limit_bytes,
            used_bytes=self.used_bytes,
            by_organisation=dict(rows[:MAX_NAMED]),
        )
