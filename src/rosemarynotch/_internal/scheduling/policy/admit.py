"""Admission control: refuses new jobs while a pool is overloaded."""

import math

import attrs

from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.policy.ordering import CUTOFF_FACTOR

__all__ = ["AdmissionDecision", "critical_path_ms", "decide_admission"]


@attrs.frozen
class AdmissionDecision:
    """Whether a job is accepted, and if not, when to submit it again."""

    is_accepted: bool
    retry_after_s: int = 0


def critical_path_ms(spec: JobSpec) -> float:
    """Return the declared run time of the longest chain of steps."""
    ends: list[float] = []
    for step in spec.steps:
        start_ms = max((ends[each] for each in step.after), default=0.0)
        ends.append(start_ms + step.estimated_ms)
    return max(ends, default=0.0)


def decide_admission(
    queue: QueuePolicy, spec: JobSpec, delay_ms: float
) -> AdmissionDecision:
    """Accept a job unless its result would be worthless when it ends.

    Intended for a queue that is overloaded for longer than the objectives of
    its jobs: further jobs would wait and then end too late, and their callers
    would learn of it only then.

    Scheduled and long-running jobs have no such objective and are always
    accepted.

    :param delay_ms: expected wait of a new job before it starts
    """
    if spec.repeat_count or any(step.long_running for step in spec.steps):
        return AdmissionDecision(True)
    path_ms = critical_path_ms(spec)
    objective_ms = queue.objective_ms(path_ms)
    max_delay_ms = CUTOFF_FACTOR * objective_ms - path_ms
    if delay_ms <= max_delay_ms:
        return AdmissionDecision(True)
    return AdmissionDecision(
        False, max(1, math.ceil((delay_ms - max_delay_ms) / 1000))
    )
