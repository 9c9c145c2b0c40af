"""Reference model of a worker, for tests of the scheduler."""

import attrs

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from tests.lib.scheduling import CAPACITY

__all__ = ["MAX_LISTED_ENDS", "ModelWorker"]

# Workers of the platform list 500 ends; a model has few tasks.
MAX_LISTED_ENDS = 2


@attrs.define
class ModelWorker:
    """Reference model of a worker as specified by the platform.

    :ivar started_unix_ms: number of its incarnation
    :ivar started_at_ms: when its clock began
    :ivar is_known: whether the leader has a report of this incarnation
    :ivar void_ends: numbers of ends that are not acknowledged and after which
        the lease has expired; their tasks may start again
    :ivar repeated_ends: numbers of ends that are not acknowledged, as done,
        and after which their task has started again
    """

    started_unix_ms: int = 1
    started_at_ms: float = 0.0
    is_known: bool = False
    fence: int = 0
    lease_until_ms: float = 0.0
    runs: dict = attrs.field(factory=dict)
    ended: dict = attrs.field(factory=dict)
    ends: list = attrs.field(factory=list)
    sequence: int = 0
    void_ends: set = attrs.field(factory=set)
    repeated_ends: set = attrs.field(factory=set)

    @property
    def listed_ends(self) -> tuple[RunEnd, ...]:
        """Return the ends that a report contains."""
        return tuple(self.ends[:MAX_LISTED_ENDS])

    def restart(self, now_ms: float) -> None:
        """Begin a new incarnation, which knows nothing of the former one."""
        ModelWorker.__init__(
            self,
            started_unix_ms=self.started_unix_ms + 1,
            started_at_ms=now_ms,
        )

    def clock_ms(self, now_ms: float) -> float:
        """Return the worker's clock."""
        return now_ms - self.started_at_ms

    def expire(self, now_ms: float) -> None:
        """End all runs if the lease has expired."""
        if self.clock_ms(now_ms) >= self.lease_until_ms:
            for task in list(self.runs):
                self.end(task, EndKind.LAPSED)
            self.void_ends |= {end.sequence for end in self.ends}

    def note_start(self, task) -> None:
        """Record that a run of a task has started on any worker."""
        self.repeated_ends |= {
            end.sequence
            for end in self.ends
            if end.task == task and end.kind is EndKind.DONE
        }

    def acknowledge(self, sequence: int) -> list[RunEnd]:
        """Forget the ends up to a number; return them."""
        noted = [end for end in self.ends if end.sequence <= sequence]
        self.ends = [end for end in self.ends if end.sequence > sequence]
        for end in noted:
            assert (
                end.sequence not in self.repeated_ends - self.void_ends
            ), f"{end.task} started again after its end as done"
        return noted

    def end(self, task, kind: EndKind) -> None:
        """End the run of a task."""
        number = self.runs.pop(task)
        self.ended[task] = max(self.ended.get(task, 0), number)
        self.sequence += 1
        self.ends.append(
            RunEnd(sequence=self.sequence, task=task, run=number, kind=kind)
        )

    def start(self, fence, task, number, until_ms, now_ms):
        """Carry out a start order and return the answer."""
        self.expire(now_ms)
        if fence < self.fence:
            return failures.RUN_FENCED
        self.fence = fence
        if self.runs.get(task) == number:
            return 1
        if task in self.runs or number <= self.ended.get(task, 0):
            return failures.RUN_SUPERSEDED
        if until_ms <= self.clock_ms(now_ms):
            return failures.RUN_LATE
        used = len(self.runs) * 1000
        if used + 1000 > CAPACITY.cpu_millicores:
            return failures.RUN_NO_ROOM
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self.runs[task] = number
        return 1
