"""Which new jobs are turned away while a pool is overloaded."""

import math

import attrs

from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.ordering import LATE_FACTOR

__all__ = ["Verdict", "decide_admission", "longest_chain_ms"]


@attrs.frozen
class Verdict:
    """Whether a job is accepted, and when to come back if it is not."""

    is_accepted: bool
    retry_after_s: int = 0


def longest_chain_ms(spec: JobSpec) -> float:
    """Return the declared run time of the longest chain of steps."""
    ends: list[float] = []
    for step in spec.steps:
        before = max((ends[each] for each in step.after), default=0.0)
        ends.append(before + step.estimated_ms)
    return max(ends, default=0.0)


def decide_admission(
    queue: QueuePolicy, spec: JobSpec, delay_ms: float
) -> Verdict:
    """Accept a job unless it would end when its result is worth nothing.

    It answers a queue that is offered more than its pool can do for longer
    than the objectives of its jobs: what is accepted beyond that would only
    wait, and its caller would learn so late.

    :param delay_ms: expected wait of a new job for its start
    """
    if spec.repeat_count or any(step.long_running for step in spec.steps):
        return Verdict(True)
    chain_ms = longest_chain_ms(spec)
    objective_ms = queue.stretch * chain_ms + queue.target_latency_ms
    patience_ms = LATE_FACTOR * objective_ms - chain_ms
    if delay_ms <= patience_ms:
        return Verdict(True)
    return Verdict(False, max(1, math.ceil((delay_ms - patience_ms) / 1000)))
