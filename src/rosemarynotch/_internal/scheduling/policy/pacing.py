"""Sets the pace of best-effort tasks that run beside serving tasks.

Best-effort tasks are those of steps with `uses_idle_cpu`: they run on
processors that the other tasks of a worker leave idle.
"""

import abc
from collections.abc import Sequence

import attrs

from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["NoPacing", "PaceChange", "PacePolicy", "TailLatencyPacer"]

# Shares of the latency target above which best-effort tasks are slowed down,
# and below which they are sped up again. The gap between the two prevents
# oscillation of the pace.
SLOW_DOWN_AT = 0.85
SPEED_UP_AT = 0.6
SLOW_DOWN_FACTOR = 0.3
SPEED_UP_PERCENT = 20
# A task is paused rather than run at a lower pace than this.
MIN_PERCENT = 10
# The pace is not changed again before a report can show the effect of the last
# change; the figures of a report cover half a second.
MIN_CHANGE_INTERVAL_S = 0.8


@attrs.frozen
class PaceChange:
    """A change of the pace of a run.

    :ivar percent: new pace, as a percentage of full speed
    """

    run: Run
    worker: Worker
    percent: int


class PacePolicy(abc.ABC):
    """Chooses the pace of best-effort tasks."""

    @abc.abstractmethod
    def plan(
        self, workers: Sequence[Worker], now_s: float
    ) -> list[PaceChange]:
        """Return the changes to order now."""


class NoPacing(PacePolicy):
    """Leaves best-effort tasks at full pace (baseline)."""

    def plan(self, workers, now_s):
        """Return no changes."""
        return []


class TailLatencyPacer(PacePolicy):
    """Slows best-effort tasks down when a serving task is close to its target.

    The target is the upper bound of its tail latency. The load on serving
    tasks changes within seconds, so the pace falls by a factor and rises in
    fixed steps.
    """

    def __init__(self) -> None:
        self._changed_at_s: dict[str, float] = {}

    def plan(self, workers, now_s):
        """Return the changes for all workers with best-effort tasks."""
        changes: list[PaceChange] = []
        for worker in workers:
            best_effort_runs = [
                run
                for run in worker.runs.values()
                if run.task.step.spec.uses_idle_cpu
                and run.phase is RunPhase.ACTIVE
            ]
            changed_at_s = self._changed_at_s.get(worker.worker_id, -1e9)
            has_new_report = (
                worker.clock_received_at_s
                > changed_at_s + MIN_CHANGE_INTERVAL_S
            )
            if not best_effort_runs or not has_new_report:
                continue
            worker_changes = [
                PaceChange(run, worker, percent)
                for run in best_effort_runs
                if (percent := self._next_percent(run.pace_percent, worker))
                != run.pace_percent
            ]
            if worker_changes:
                self._changed_at_s[worker.worker_id] = now_s
                changes += worker_changes
        return changes

    @staticmethod
    def _next_percent(percent: int, worker: Worker) -> int:
        highest_ratio = max(
            (
                run.load / run.task.step.spec.latency_target_ms
                for run in worker.runs.values()
                if run.task.step.spec.latency_target_ms
            ),
            default=0.0,
        )
        if highest_ratio > SLOW_DOWN_AT:
            slower = int(percent * SLOW_DOWN_FACTOR)
            return slower if slower >= MIN_PERCENT else 0
        if highest_ratio < SPEED_UP_AT:
            return min(100, percent + SPEED_UP_PERCENT)
        return percent
