"""Decides which jobs of a pool give way to those of another pool.

Intended for queues that peak in turn at more than their pools hold. When a
turn ends, its pool has a backlog of jobs that can no longer be on time. Their
tasks kept the VMs of the pool busy for seconds, while the jobs of the next
turn, which could have been on time, waited for these VMs and became late in
their turn.
"""

import abc
from collections.abc import Mapping
import math

from rosemarynotch._internal.scheduling.policy.ordering import Candidate
from rosemarynotch._internal.scheduling.policy.ordering import Urgency

__all__ = [
    "KeepPoolsApart",
    "PoolSharing",
    "YieldLateWork",
    "YieldToShortPools",
]


# A started job goes on this long before its last moment: passes are up to
# 50 ms apart, and workers answer later under load.
MIN_SLACK_MS = 300.0


class PoolSharing(abc.ABC):
    """Chooses the jobs that start while other pools are short."""

    @abc.abstractmethod
    def may_start(
        self,
        candidate: Candidate,
        now_ms: float,
        pool: str,
        short_pools: Mapping[str, int],
    ) -> bool:
        """Tell whether a job may start in its pool.

        :param short_pools: pools in which jobs that can be on time wait for
            capacity that VMs of other pools could provide, with the rank of
            the most urgent of them
        """


class KeepPoolsApart(PoolSharing):
    """Starts jobs wherever their pool has capacity (baseline)."""

    def may_start(self, candidate, now_ms, pool, short_pools):
        """Allow every start."""
        return True


class YieldLateWork(PoolSharing):
    """Holds late jobs back while another pool is short.

    The VMs of the pool become idle and can move. Late jobs start again as
    soon as no other pool is short, and at any time on what is left over in a
    pool that is itself short, since its VMs do not leave.
    """

    def may_start(self, candidate, now_ms, pool, short_pools):
        """Allow starts that do not keep VMs from a pool that is short."""
        if not short_pools or pool in short_pools:
            return True
        return candidate.urgency(now_ms) <= Urgency.ON_TIME


class YieldToShortPools(PoolSharing):
    """Also holds jobs back while a pool of a more urgent queue is short.

    A job that has been started gives way only as long as it can be on time
    afterwards, since its work would be lost otherwise. Without this, the
    steps of long jobs that follow one another kept the VMs for most of the
    next turn.
    """

    def may_start(self, candidate, now_ms, pool, short_pools):
        """Allow starts that keep no VMs from more urgent or fresher jobs."""
        if not short_pools:
            return True
        urgency = candidate.urgency(now_ms)
        if urgency is Urgency.SERVING:
            return True
        most_urgent = min(
            (rank for name, rank in short_pools.items() if name != pool),
            default=math.inf,
        )
        if urgency > Urgency.ON_TIME:
            own = short_pools.get(pool)
            return most_urgent >= (math.inf if own is None else own)
        if most_urgent >= candidate.priority:
            return True
        latest_ms = candidate.objective_ms - candidate.remaining_ms
        return candidate.is_started and latest_ms - now_ms <= MIN_SLACK_MS
