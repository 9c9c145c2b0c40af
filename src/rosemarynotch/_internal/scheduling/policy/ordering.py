"""Orders in which the waiting jobs of a pool start."""

import abc
from collections.abc import Iterable
import enum
import zlib

import attrs

__all__ = [
    "ArrivalOrder",
    "Candidate",
    "draw",
    "DrawnOrder",
    "JobOrder",
    "ObjectiveOrder",
    "Urgency",
]

# A job that ends after its objective still earns reduced credit up to three
# times the objective, and none after that (rules of the users' platform, part
# "Credit").
CUTOFF_FACTOR = 3.0


class Urgency(enum.IntEnum):
    """Result that starting a job now can achieve.

    SERVING: the job serves requests and has no end. ON_TIME: it can meet its
    objective. LATE: it can end while its result still earns reduced credit.
    TOO_LATE: its result would be worthless.
    """

    SERVING = 0
    ON_TIME = 1
    LATE = 2
    TOO_LATE = 3


@attrs.frozen(kw_only=True)
class Candidate:
    """A job with tasks that could start.

    :ivar is_started: whether one of its tasks has had a run
    :ivar usage_share: millicores in use by its organisation, divided by the
        organisation's weight
    :ivar accepted_ms: when it was accepted; of a scheduled job, when its
        occurrence is due if that is later
    :ivar remaining_ms: run time of the longest chain of unfinished steps
    :ivar remaining_core_ms: processor time of its unfinished tasks
    :ivar objective_ms: latest end at which it is on time
    :ivar cutoff_ms: latest end at which its result still has some worth
    :ivar is_over_share: whether its organisation uses more than its fair share
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
    cutoff_ms: float
    is_over_share: bool = False

    def urgency(self, now_ms: float) -> Urgency:
        """Return what starting the job now can achieve."""
        if self.is_serving:
            return Urgency.SERVING
        end_ms = now_ms + self.remaining_ms
        if end_ms <= self.objective_ms:
            return Urgency.ON_TIME
        return Urgency.LATE if end_ms <= self.cutoff_ms else Urgency.TOO_LATE


class JobOrder(abc.ABC):
    """Sorts the jobs of a pool."""

    @abc.abstractmethod
    def sort(
        self,
        candidates: Iterable[Candidate],
        now_ms: float,
        cores: float = 0.0,
    ) -> list[Candidate]:
        """Return the candidates in the order in which they start.

        :param cores: processors of the pool, 0 if they are not known
        """


class ArrivalOrder(JobOrder):
    """Orders jobs by priority and arrival (baseline)."""

    def sort(self, candidates, now_ms, cores=0.0):
        """Sort by priority, then by time of acceptance."""
        return sorted(
            candidates, key=lambda c: (c.priority, c.accepted_ms, c.job_id)
        )


class ObjectiveOrder(JobOrder):
    """Orders jobs so that as many as possible meet their objective.

    Intended for a queue with a demand of several times the capacity of its
    pool. In order of arrival, every job would wait until it is too late.

    Jobs that can be on time go first. Among jobs of equal urgency and
    priority, started jobs go before others, since their work would otherwise
    be lost. Organisations that use more than their fair share come after the
    others, so that a surge of one does not take the capacity of the rest.
    Then small jobs go first: all jobs are given the same time beside their
    run time, so the same capacity completes more small ones. Earliest
    deadline first is not used, because it starts jobs at the last moment, so
    that those that run longer than expected are late.
    """

    def sort(self, candidates, now_ms, cores=0.0):
        """Sort by urgency, priority, start, share and remaining work."""

        def key(candidate: Candidate):
            return (
                candidate.urgency(now_ms),
                candidate.priority,
                not candidate.is_started,
                candidate.is_over_share,
                self._size(candidate),
                candidate.usage_share,
                candidate.job_id,
            )

        return sorted(candidates, key=key)

    def _size(self, candidate: Candidate) -> float:
        """Return the work by which jobs of equal rank are sorted."""
        return candidate.remaining_core_ms


class DrawnOrder(ObjectiveOrder):
    """The same, but in which large jobs are not always last.

    Under a lasting shortage, the largest jobs of a queue would never start.
    The work of each job is therefore multiplied by a number between 0 and 1
    that is drawn from its identifier. Of the jobs that are too large to start
    all, each starts with a chance in inverse proportion to its work, so that
    large and small jobs get the same expected processor time.
    """

    def _size(self, candidate):
        return candidate.remaining_core_ms * draw(candidate.job_id)


def draw(job_id: str) -> float:
    """Return a number between 0 and 1 that depends only on a job."""
    return zlib.crc32(job_id.encode()) / 0xFFFFFFFF
