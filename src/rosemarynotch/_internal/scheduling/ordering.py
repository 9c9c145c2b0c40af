"""Which job starts next when the pool is full."""

import abc
from collections.abc import Iterable
import enum

import attrs

__all__ = [
    "ArrivalOrder",
    "Candidate",
    "JobOrder",
    "ObjectiveOrder",
    "Urgency",
]

# A job that ends after its objective still earns a little up to three times
# the objective (rules of the users' platform, part "Credit").
LATE_FACTOR = 3.0


class Urgency(enum.IntEnum):
    """What a start now can still achieve."""

    SERVING = 0
    ON_TIME = 1
    LATE = 2
    TOO_LATE = 3


@attrs.frozen(kw_only=True)
class Candidate:
    """A job with tasks that could start.

    :ivar usage_share: what its organisation has running by its weight
    :ivar is_over_share: its organisation uses more than its fair part
    :ivar remaining_ms: longest chain of work that is left
    :ivar remaining_core_ms: processor time that is left
    :ivar objective_ms: when it has to be done to be on time
    :ivar late_ms: when it has to be done to be late instead of too late
    """

    job_id: str
    priority: int
    is_serving: bool
    is_started: bool
    usage_share: float
    accepted_ms: float
    remaining_ms: float
    remaining_core_ms: float
    objective_ms: float
    late_ms: float
    is_over_share: bool = False

    def urgency(self, now_ms: float) -> Urgency:
        """Return what a start now can achieve."""
        if self.is_serving:
            return Urgency.SERVING
        end_ms = now_ms + self.remaining_ms
        if end_ms <= self.objective_ms:
            return Urgency.ON_TIME
        return Urgency.LATE if end_ms <= self.late_ms else Urgency.TOO_LATE


class JobOrder(abc.ABC):
    """Sorts the jobs of a pool."""

    @abc.abstractmethod
    def sort(
        self, candidates: Iterable[Candidate], now_ms: float
    ) -> list[Candidate]:
        """Return the candidates, the first to start first."""


class ArrivalOrder(JobOrder):
    """Baseline: by priority and arrival."""

    def sort(self, candidates, now_ms):
        """Sort by priority and arrival."""
        return sorted(
            candidates, key=lambda c: (c.priority, c.accepted_ms, c.job_id)
        )


class ObjectiveOrder(JobOrder):
    """Jobs that can be on time first.

    It answers a queue that asks for several times what its pool holds: in
    order of arrival every job would wait until it is too late, and none
    would be on time. Started jobs go before others of their urgency, since
    their work is lost otherwise. An organisation that uses more than its fair
    part comes after the others, so that one that sends many times its usual
    does not take their room. Then small jobs go first: each of them has the
    same objective beside its run time, so the same room serves more of them.
    By the earliest objective, jobs start at the last moment, and those
    that take longer than expected are late.
    """

    def sort(self, candidates, now_ms):
        """Sort by urgency, priority, start, share and work left."""

        def key(candidate: Candidate):
            return (
                candidate.urgency(now_ms),
                candidate.priority,
                not candidate.is_started,
                candidate.is_over_share,
                candidate.remaining_core_ms,
                candidate.usage_share,
                candidate.job_id,
            )

        return sorted(candidates, key=key)
