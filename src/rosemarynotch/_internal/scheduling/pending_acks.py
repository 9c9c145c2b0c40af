"""Ends of runs that wait to be acknowledged."""

import attrs

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.ports import RunEnd

__all__ = ["PendingAck"]


@attrs.frozen
class PendingAck:
    """The end of a run that the worker repeats until it is acknowledged.

    :ivar job: job of the run, None if the leader does not know it
    :ivar change: change of the job that has to be persisted first
    :ivar is_withheld: whether the end must be left to a later leader, as this
        one cannot record it, or until its job has been read
    :ivar end: the end, if its job has not been read
    """

    sequence: int
    job: Job | None = None
    change: int = 0
    is_withheld: bool = False
    end: RunEnd | None = None

    @property
    def is_persisted(self) -> bool:
        """Return whether the worker may forget the end."""
        if self.job is None:
            return not self.is_withheld
        return self.job.durable_change >= self.change
