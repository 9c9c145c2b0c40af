"""Refuses jobs for which the leader has no memory; performs no I/O."""

from collections import deque
import threading

import attrs

from rosemarynotch._internal.scheduling.job_memory import ORGANISATION_SHARE
from rosemarynotch._internal.scheduling.job_sizes import spec_bytes
from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.records import LoadRecord

__all__ = ["MemoryAdmission"]

MEGABYTE = 1024 * 1024
# Part of the leader's bound up to which jobs are accepted. Nodes accept jobs
# on their own between two records, and the next leader may have less memory.
ACCEPTED_SHARE = 0.6
# A record lacks jobs that were accepted shortly before it was written.
RECORD_LAG_MS = 500.0
# Records that are used are newer than this.
MAX_AGE_MS = 5_000.0


@attrs.frozen
class _Accepted:
    at_unix_ms: float
    organisation: str
    size_bytes: int


class MemoryAdmission:
    """Compares jobs with the memory that the leader has left.

    What this node has accepted since the leader's record was written counts as
    well. Callers are threads of the server.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._accepted: deque[_Accepted] = deque()

    def find_excess(
        self, organisation: str, spec: JobSpec, load: LoadRecord | None
    ) -> str:
        """Return why there is no memory for a job, empty if there is.

        :param load: newest record of the leader, None if there is none; it
            then has memory for any job
        """
        memory = load.job_memory if load is not None else None
        if memory is None:
            return ""
        with self._lock:
            self._drop_before(load.written_unix_ms - RECORD_LAG_MS)
            recent = list(self._accepted)
        size = spec_bytes(spec)
        limit = memory.limit_bytes * ACCEPTED_SHARE
        used = memory.used_bytes + sum(each.size_bytes for each in recent)
        own = memory.by_organisation.get(organisation, 0) + sum(
            each.size_bytes
            for each in recent
            if each.organisation == organisation
        )
        own_limit = limit * ORGANISATION_SHARE
        if own + size > own_limit:
            return _describe(
                "those of its organisation", own + size, own_limit
            )
        if used + size > limit:
            return _describe("the accepted jobs", used + size, limit)
        return ""

    def record_accepted(
        self, organisation: str, spec: JobSpec, now_unix_ms: float
    ) -> None:
        """Count a job that this node has accepted."""
        accepted = _Accepted(now_unix_ms, organisation, spec_bytes(spec))
        with self._lock:
            self._accepted.append(accepted)
            self._drop_before(now_unix_ms - MAX_AGE_MS)

    def _drop_before(self, unix_ms: float) -> None:
        while self._accepted and self._accepted[0].at_unix_ms < unix_ms:
            self._accepted.popleft()


def _describe(what: str, size: int, limit: float) -> str:
    return (
        f"with this job, {what} would take {size / MEGABYTE:.1f} MB of the "
        f"leader's memory; at most {limit / MEGABYTE:.1f} MB are allowed"
    )
