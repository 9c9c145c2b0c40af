"""Team-limit permits held by this process for jobs (rule R1)."""

from rosemarynotch._internal.control.job_table import JobTable

__all__ = ["JobPermits"]


class JobPermits:
    """Holds one permit for each job that this process placed.

    A row names the process whose permit it uses, from its first placement
    until none of its tasks can run. A job whose start was refused keeps its
    permit, since a delayed start call may still succeed. A process that no
    longer leads keeps its permits until the jobs end, so a change of leader
    never lets a team exceed its limit.

    :param permits: portions of the team limits held by this process, with
        ``try_acquire`` and ``release``
    """

    def __init__(self, permits) -> None:
        self._permits = permits
        self._held: dict[str, str] = {}

    def __bool__(self) -> bool:
        return bool(self._held)

    def acquire(self, job_id: str, team: str) -> bool:
        """Acquire a permit for a job unless it already has one.

        :returns: whether the job has a permit
        """
        if job_id in self._held:
            return True
        if not self._permits.try_acquire(team):
            return False
        self._held[job_id] = team
        return True

    def reconcile(self, table: JobTable, holder: str) -> None:
        """Release permits of jobs that ended or have another holder."""
        for job_id, team in list(self._held.items()):
            if not table.is_current(job_id):
                continue
            row = table.row(job_id)
            if row is None or row.permit_holder != holder:
                del self._held[job_id]
                self._permits.release(team)
