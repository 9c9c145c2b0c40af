"""Orders that choose which jobs can be on time before they sort them.

Intended, like :class:`ObjectiveOrder`, for a queue with a demand of several
times the capacity of its pool. They treat the pool as one machine with the
processors of all its workers.
"""

import heapq

from rosemarynotch._internal.scheduling.policy.ordering import Candidate
from rosemarynotch._internal.scheduling.policy.ordering import draw
from rosemarynotch._internal.scheduling.policy.ordering import JobOrder
from rosemarynotch._internal.scheduling.policy.ordering import ObjectiveOrder
from rosemarynotch._internal.scheduling.policy.ordering import Urgency

__all__ = ["DeadlineOrder", "MostOnTimeOrder", "WeightedOrder"]


class MostOnTimeOrder(JobOrder):
    """Starts the largest set of jobs that can be on time, by deadline.

    The algorithm of Moore and Hodgson: jobs are added by deadline, and when
    one of them would be late, the one with the most work is left out. Urgent
    queues are planned first, and started jobs are left out last.
    """

    def sort(self, candidates, now_ms, cores=0.0):
        """Sort the chosen jobs by deadline, then the others as before."""
        rest = ObjectiveOrder().sort(candidates, now_ms)
        on_time: dict[int, list[Candidate]] = {}
        for each in rest:
            if each.urgency(now_ms) is Urgency.ON_TIME and cores > 0:
                on_time.setdefault(each.priority, []).append(each)
        serving = [each for each in rest if each.is_serving]
        chosen: list[Candidate] = []
        busy_ms = 0.0
        for priority in sorted(on_time):
            kept, busy_ms = self._choose(
                on_time[priority], now_ms, cores, busy_ms
            )
            chosen += kept
        placed = {each.job_id for each in serving + chosen}
        return (
            serving
            + chosen
            + [each for each in rest if each.job_id not in placed]
        )

    def _choose(self, candidates, now_ms, cores, busy_ms):
        """Return the chosen jobs by deadline, and how long they take.

        :param busy_ms: how long the pool is busy with jobs chosen before
        """
        heap: list[tuple[tuple, str]] = []
        kept: dict[str, Candidate] = {}
        for each in sorted(candidates, key=_latest_start):
            heapq.heappush(heap, (self._rank(each), each.job_id))
            kept[each.job_id] = each
            start_ms = busy_ms
            busy_ms += each.remaining_core_ms / cores
            while heap and start_ms > _latest_start(each)[0] - now_ms:
                dropped = kept.pop(heapq.heappop(heap)[1])
                busy_ms -= dropped.remaining_core_ms / cores
                start_ms -= dropped.remaining_core_ms / cores
                if dropped is each:
                    break
        return list(kept.values()), busy_ms

    def _rank(self, candidate: Candidate) -> tuple:
        """Return a sort key; the job with the lowest is left out first."""
        return (
            candidate.is_started,
            not candidate.is_over_share,
            -self._weigh(candidate),
        )

    def _weigh(self, candidate: Candidate) -> float:
        return candidate.remaining_core_ms


class WeightedOrder(MostOnTimeOrder):
    """The same with the work of each job weighed by its draw.

    A large job is thus kept as often as it would be with an equal share of
    the work, instead of never.
    """

    def _weigh(self, candidate):
        return candidate.remaining_core_ms * draw(candidate.job_id)


class DeadlineOrder(MostOnTimeOrder):
    """Earliest deadline first; a job that would be late is left out."""

    def _rank(self, candidate):
        return (-candidate.accepted_ms,)


def _latest_start(candidate: Candidate) -> tuple[float, str]:
    return candidate.objective_ms - candidate.remaining_ms, candidate.job_id
