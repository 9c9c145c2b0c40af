"""Orders in which the waiting jobs of a pool start."""

import abc
import bisect
from collections.abc import Iterable
from collections import deque
import enum
import zlib

import attrs

__all__ = [
    "ArrivalOrder",
    "Candidate",
    "draw",
    "DrawnOrder",
    "JobOrder",
    "JobSizes",
    "ObjectiveOrder",
    "Urgency",
]

# A job that ends after its objective still earns reduced credit up to three
# times the objective, and none after that (rules of the users' platform, part
# "Credit").
CUTOFF_FACTOR = 3.0
# Recent jobs of a queue among which the size of a new one is ranked.
RANKED_JOBS = 200
# Jobs that are larger than this share of them count as large. Declared run
# times are off by up to 2 times, so with 0.9 too few of the largest tenth are
# drawn: in replays they are served 0.40 to 0.49 as often as their queue, and
# 0.53 to 0.59 as often with 0.8 (the same five seeds of three loads).
LARGE_RANK = 0.8


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
    :ivar size_rank: share of the recent jobs of its queue with less work than
        it had when it was first seen
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
    size_rank: float = 0.0

    def urgency(self, now_ms: float) -> Urgency:
        """Return what starting the job now can achieve."""
        if self.is_serving:
            return Urgency.SERVING
        end_ms = now_ms + self.remaining_ms
        if end_ms <= self.objective_ms:
            return Urgency.ON_TIME
        return Urgency.LATE if end_ms <= self.cutoff_ms else Urgency.TOO_LATE


class JobSizes:
    """Ranks the jobs of a queue by size among those that came before."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, work_core_ms: float) -> float:
        """Return the share of recent jobs with less work, and add a job."""
        position = bisect.bisect_left(self._sorted, work_core_ms)
        rank = position / len(self._sorted) if self._sorted else 0.0
        self._sorted.insert(position, work_core_ms)
        self._recent.append(work_core_ms)
        if len(self._recent) > RANKED_JOBS:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        return rank

    def large_core_ms(self) -> float:
        """Return from which work on a job counts as large, 0 if unknown."""
        if not self._sorted:
            return 0.0
        return self._sorted[int(LARGE_RANK * len(self._sorted))]


class JobOrder(abc.ABC):
    """Sorts the jobs of a pool.

    :cvar draws_large_jobs: whether the sizes of large jobs are drawn
    """

    draws_large_jobs = False

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

    def size(self, candidate: Candidate) -> float:
        """Return the work by which jobs of equal rank are sorted."""
        return candidate.remaining_core_ms


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
                self.size(candidate),
                candidate.usage_share,
                candidate.job_id,
            )

        return sorted(candidates, key=key)


class DrawnOrder(ObjectiveOrder):
    """The same, but in which the large jobs of a queue are not always last.

    Under a lasting shortage, the largest jobs of a queue would hardly ever
    start. The work of those that are larger than LARGE_RANK of the recent jobs
    is therefore multiplied by a number between 0 and 1 that is drawn from the
    identifier. Each of them then starts with a chance in inverse proportion to
    its work.
    """

    draws_large_jobs = True

    def size(self, candidate):
        """Return the remaining work, multiplied by the draw if it is large."""
        work = candidate.remaining_core_ms
        if candidate.size_rank < LARGE_RANK:
            return work
        return work * draw(candidate.job_id)


def draw(job_id: str) -> float:
    """Return a number between 0 and 1 that depends only on a job."""
    return zlib.crc32(job_id.encode()) / 0xFFFFFFFF
