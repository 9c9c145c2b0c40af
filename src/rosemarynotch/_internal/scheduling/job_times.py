"""Where the time of a job went; performs no I/O."""

import attrs

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Occurrence
from rosemarynotch._internal.scheduling.jobs import Step

__all__ = ["ChainTimes", "measure_chain"]


@attrs.frozen(kw_only=True)
class ChainTimes:
    """Times along the chain of steps that determined the end of a job.

    :ivar started_ms: from the first start order of the chain to its end
    :ivar step_wait_ms: waits of later steps for the start of their last task
    :ivar run_ms: longest runs of the steps
    """

    started_ms: int
    step_wait_ms: int
    run_ms: int


def measure_chain(job: Job) -> ChainTimes | None:
    """Return the times of a completed job.

    :returns: None for scheduled jobs, and if an earlier leader started a part
        of the chain
    """
    if job.is_scheduled:
        return None
    chain = _last_chain(job.occurrences[0])
    if not all(step.done_at_s and step.first_ordered_at_s for step in chain):
        return None
    waits_s = 0.0
    for earlier, later in zip(chain, chain[1:]):
        waits_s += max(0.0, later.last_ordered_at_s - earlier.done_at_s)
    # The first step may have more tasks than fit at once.
    first = chain[0]
    waits_s += first.last_ordered_at_s - first.first_ordered_at_s
    return ChainTimes(
        started_ms=round(
            1000 * (chain[-1].done_at_s - first.first_ordered_at_s)
        ),
        step_wait_ms=round(1000 * waits_s),
        run_ms=round(1000 * sum(step.longest_run_s for step in chain)),
    )


def _last_chain(occurrence: Occurrence) -> list[Step]:
    """Return the chain of steps that ended last, in order of their starts."""
    step = max(occurrence.steps, key=lambda each: each.done_at_s)
    chain = [step]
    while step.spec.after:
        step = max(
            (occurrence.steps[number] for number in step.spec.after),
            key=lambda each: each.done_at_s,
        )
        chain.append(step)
    return chain[::-1]
