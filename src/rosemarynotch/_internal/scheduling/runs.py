"""Runs of tasks on workers, as known to the leader."""

import enum
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.scheduling.model import TaskId

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.tasks import Task

__all__ = ["Run", "RunPhase"]


class RunPhase(enum.Enum):
    """State of a run as known to the leader.

    ORDERED: the start order is being sent. ACTIVE: the worker has confirmed
    the run. UNCONFIRMED: the start order was not answered and may still be
    carried out. STOPPING: a stop was ordered.
    """

    ORDERED = "ordered"
    ACTIVE = "active"
    UNCONFIRMED = "unconfirmed"
    STOPPING = "stopping"


@attrs.define(kw_only=True, eq=False)
class Run:
    """A run of a task on a worker.

    :ivar checkpoint: checkpoint to resume from; the same in each order for the
        run, and for all members of a gang
    :ivar ticket: ticket of the advice service that the first order carries,
        empty if it needs none
    :ivar ordered_at_s: when the start was first ordered
    :ivar lease_until_ms: end of the lease sent with the start order, on the
        worker's clock; a repeated order carries the same value, so that it
        cannot prevent a lost run from expiring
    :ivar confirmed_at_s: when the worker confirmed the run; every report
        requested later has to contain it
    :ivar stop_sent_at_s: when a stop was last ordered, 0 if none was or if it
        has to be ordered again
    :ivar listed_at_s: when a report last listed it as running, 0 if none has
    :ivar progressed_at_s: when it was confirmed, or its percentage last
        increased
    :ivar pace_percent: share of its full speed that it was ordered to use
    :ivar load: latest load reported by the worker: the latency tail in
        milliseconds of a serving task, otherwise the processors in use
    :ivar is_sent: whether a start order was sent; until then the worker
        cannot have the run
    :ivar is_resent: whether the start order was sent more than once
    :ivar start_count: number of start orders that were sent
    :ivar stop_count: number of stops that were sent
    """

    task: "Task"
    number: int
    worker_id: str
    phase: RunPhase = RunPhase.ORDERED
    checkpoint: str = ""
    ticket: str = ""
    ordered_at_s: float = 0.0
    lease_until_ms: int = 0
    confirmed_at_s: float = 0.0
    stop_sent_at_s: float = 0.0
    percent: int = 0
    listed_at_s: float = 0.0
    progressed_at_s: float = 0.0
    pace_percent: int = 100
    load: float = 0.0
    is_sent: bool = False
    is_resent: bool = False
    start_count: int = 0
    stop_count: int = 0

    @property
    def key(self) -> tuple[TaskId, int]:
        """Return the identity of the run on its worker."""
        return self.task.task_id, self.number

    def confirm(self, now_s: float) -> None:
        """Record proof that the worker has accepted the run.

        The run may work from the first proof on. Its order may have waited in
        a queue before.
        """
        if self.phase in (RunPhase.ORDERED, RunPhase.UNCONFIRMED):
            self.phase = RunPhase.ACTIVE
        if not self.confirmed_at_s:
            self.confirmed_at_s = self.progressed_at_s = now_s
