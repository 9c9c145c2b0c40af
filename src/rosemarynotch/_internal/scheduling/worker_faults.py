"""Decides from the ends of runs when a worker is quarantined."""

from collections import deque

import attrs

from rosemarynotch._internal.scheduling.jobs import Step

__all__ = ["QUARANTINE_S", "WorkerFaults"]

# A worker is quarantined for QUARANTINE_S after MIN_FAULTS failed or stuck
# runs within FAULT_WINDOW_S, if these are at least MAX_FAULT_SHARE of the runs
# that ended there. The share distinguishes a worker on which everything fails
# from one with two unrelated failures.
FAULT_WINDOW_S = 6.0
MIN_FAULTS = 2
MAX_FAULT_SHARE = 0.34
QUARANTINE_S = 8.0


@attrs.frozen(eq=False)
class _Outcome:
    at_s: float
    is_fault: bool
    step: Step | None


@attrs.define(eq=False)
class WorkerFaults:
    """The latest ends of runs on a worker.

    :ivar outcomes: how they ended
    :ivar causes: faults for which the worker was quarantined last
    """

    outcomes: deque[_Outcome] = attrs.field(factory=lambda: deque(maxlen=64))
    causes: list[_Outcome] = attrs.field(factory=list)

    def record(self, now_s: float, is_fault: bool, step: Step | None) -> bool:
        """Record the end of a run.

        :returns: whether the worker is to be quarantined
        """
        self.outcomes.append(_Outcome(now_s, is_fault, step))
        recent = [o for o in self.outcomes if o.at_s > now_s - FAULT_WINDOW_S]
        faults = [outcome for outcome in recent if outcome.is_fault]
        if len(faults) < MIN_FAULTS or len(faults) < MAX_FAULT_SHARE * len(
            recent
        ):
            return False
        self.causes = faults
        self.outcomes.clear()
        return True

    def forgive(self, step: Step) -> bool:
        """Drop the faults of a step that has failed on other workers too.

        :returns: whether the worker was quarantined for such faults, and would
            not have been for the others
        """
        for outcome in [o for o in self.outcomes if o.step is step]:
            self.outcomes.remove(outcome)
        others = [cause for cause in self.causes if cause.step is not step]
        is_cleared = len(others) < MIN_FAULTS <= len(self.causes)
        self.causes = others
        return is_cleared
