"""Permits of this process for the jobs that it has placed (rule R1)."""

from rosemarynotch._internal.control.job_table import JobTable

__all__ = ["JobPermits"]


class JobPermits:
    """Holds one permit for each job that this process started.

    A row names the process whose permit it uses, from its first placement
    until no task of it can run; a job whose start was refused keeps its
    permit, since a start that arrives late may still succeed. A process
    that no longer leads keeps its permits until the jobs end, so a change
    of the leader never lets a team exceed its limit.

    :param permits: this process's portions, with ``try_acquire`` and
        ``release``
    """

    def __init__(self, permits) -> None:
        self._permits = permits
        self._held: dict[str, str] = {}

    def __bool__(self) -> bool:
        return bool(self._held)

    def acquire(self, job_id: str, team: str) -> bool:
        """Take a permit for a job unless it has one."""
        if job_id in self._held:
            return True
        if not self._permits.try_acquire(team):
            return False
        self._held[job_id] = team
        return True

    def settle(self, table: JobTable, holder: str) -> None:
        """Release the permits of jobs that ended or have another holder."""
        for job_id, team in list(self._held.items()):
            if not table.knows(job_id):
                continue
            row = table.row(job_id)
            if row is None or row.permit_holder != holder:
                del self._held[job_id]
                self._permits.release(team)
