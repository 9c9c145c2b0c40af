"""Finds where jobs that give way to other pools may start; no I/O."""

from collections.abc import Iterable

from rosemarynotch._internal.scheduling.policy import FreeCapacity
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["StayingWorkers"]

# An idle VM that another pool needs is ordered to move within two steps of the
# fleet manager (0.15 s each). One that is still there after this time is not
# going to leave, as when its pool keeps a minimum or VMs cannot be ordered.
MAX_IDLE_S = 1.0


class StayingWorkers:
    """Tells which workers of a pool are not going to move.

    Jobs that give way keep no VM from another pool there. Without this, they
    would wait beside idle workers: VMs with long-running tasks cannot leave.
    """

    def __init__(self) -> None:
        self._idle_since_s: dict[str, float] = {}
        self._former_since_s: dict[str, float] = {}

    def begin_pass(self) -> None:
        """Forget the workers that were not idle in the last pass."""
        self._former_since_s = self._idle_since_s
        self._idle_since_s = {}

    def choose(
        self, capacities: Iterable[FreeCapacity], now_s: float
    ) -> list[FreeCapacity]:
        """Return the capacities of the workers that stay in their pool."""
        return [each for each in capacities if self._stays(each.worker, now_s)]

    def _stays(self, worker: Worker, now_s: float) -> bool:
        if worker.runs:
            return any(
                run.task.step.spec.long_running for run in worker.runs.values()
            )
        since_s = self._former_since_s.get(worker.worker_id, now_s)
        self._idle_since_s[worker.worker_id] = since_s
        return now_s - since_s >= MAX_IDLE_S
