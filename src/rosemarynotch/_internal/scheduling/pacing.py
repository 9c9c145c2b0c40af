"""How fast tasks work that fill idle processors beside serving tasks."""

import abc
from collections.abc import Sequence

import attrs

from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["FullSpeed", "PaceChange", "PacePolicy", "TailLatencyPacer"]

# Part of the latency target at which filling tasks slow down, and under
# which they speed up again. The distance keeps the pace from oscillating.
SLOW_DOWN_AT = 0.85
SPEED_UP_AT = 0.6
SLOW_DOWN_FACTOR = 0.3
SPEED_UP_PERCENT = 20
# Below this pace a task stands still instead.
MIN_PERCENT = 10
# A pace has to show its effect in a report before it is changed again; the
# figures of a report cover half a second.
SETTLE_S = 0.8


@attrs.frozen
class PaceChange:
    """A run that is to work at another pace."""

    run: Run
    worker: Worker
    percent: int


class PacePolicy(abc.ABC):
    """Chooses the pace of filling tasks."""

    @abc.abstractmethod
    def plan(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[PaceChange]:
        """Return the changes to order now."""


class FullSpeed(PacePolicy):
    """Baseline: filling tasks always work at full pace."""

    def plan(self, workers, now_s):
        """Return no changes."""
        return []


class TailLatencyPacer(PacePolicy):
    """Slows filling tasks down when a serving task nears its target.

    It answers load on serving tasks that changes within seconds: the pace
    falls by a factor and rises by steps.
    """

    def __init__(self) -> None:
        self._changed_at_s: dict[str, float] = {}

    def plan(self, workers, now_s):
        """Look at each worker with filling tasks."""
        changes: list[PaceChange] = []
        for worker in workers:
            fillers = [
                run
                for run in worker.runs.values()
                if run.task.step.spec.uses_idle_cpu
                and run.phase is RunPhase.ACTIVE
            ]
            changed_at_s = self._changed_at_s.get(worker.worker_id, -1e9)
            is_reported = worker.clock_received_at_s > changed_at_s + SETTLE_S
            if not fillers or not is_reported:
                continue
            found = [
                PaceChange(run, worker, percent)
                for run in fillers
                if (percent := self._pace(run.pace_percent, worker))
                != run.pace_percent
            ]
            if found:
                self._changed_at_s[worker.worker_id] = now_s
                changes += found
        return changes

    @staticmethod
    def _pace(percent: int, worker: Worker) -> int:
        tightest = max(
            (
                run.load / run.task.step.spec.latency_target_ms
                for run in worker.runs.values()
                if run.task.step.spec.latency_target_ms
            ),
            default=0.0,
        )
        if tightest > SLOW_DOWN_AT:
            slower = int(percent * SLOW_DOWN_FACTOR)
            return slower if slower >= MIN_PERCENT else 0
        if tightest < SPEED_UP_AT:
            return min(100, percent + SPEED_UP_PERCENT)
        return percent
