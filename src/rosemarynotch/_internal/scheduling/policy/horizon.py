"""Decides which waiting jobs are recorded as not started.

Intended for a backlog at a change of the leader. The next leader may start an
inherited job only when no earlier run of it can exist, which takes up to 5 s
while a worker is silent. In a backlog of several seconds, most jobs have never
had a run, and their callers would wait for nothing.
"""

from collections.abc import Sequence

from rosemarynotch._internal.scheduling.policy.ordering import Candidate

__all__ = ["START_HORIZON_MS", "beyond_horizon"]

# Work that may start without a write to the store. The record is renewed
# several times within it, so that jobs in the backlog seldom wait for it.
START_HORIZON_MS = 300


def beyond_horizon(candidates: Sequence[Candidate], cores: float) -> list[str]:
    """Return the jobs that cannot start soon, as others go first.

    :param candidates: jobs of a pool in the order in which they start
    :param cores: processors of the pool's VMs, also of those on the way to it
    """
    remaining_core_ms = cores * START_HORIZON_MS
    beyond = []
    for candidate in candidates:
        if remaining_core_ms <= 0 and not candidate.is_started:
            beyond.append(candidate.job_id)
        remaining_core_ms -= candidate.remaining_core_ms
    return beyond
