"""Admission control: refuses new jobs while a pool is overloaded.

Intended for a queue that is overloaded for longer than the objectives of its
jobs, as after the loss of half of the fleet: further jobs would wait and then
end too late, and their callers would learn of it only then.
"""

import abc

import attrs

from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.policy.ordering import CUTOFF_FACTOR
from rosemarynotch._internal.scheduling.policy.ordering import draw
from rosemarynotch._internal.scheduling.records import Backlog
from rosemarynotch._internal.scheduling.records import backlog_name
from rosemarynotch._internal.scheduling.records import LoadRecord

__all__ = [
    "AcceptAll",
    "Admission",
    "AdmissionDecision",
    "BacklogAdmission",
    "critical_path_ms",
    "FleetAdmission",
    "start_delay_ms",
    "work_core_ms",
]

# Time from the order of a move until the worker of the VM gets runs.
MOVE_MS = 2000.0
# Nodes decide on their own, and between two records all of them would accept
# everything or nothing. Between the longest useful wait and this multiple of
# it, the share of refused jobs therefore rises from none to all, by job.
FULL_REFUSAL_FACTOR = 1.5


@attrs.frozen
class AdmissionDecision:
    """Whether a job is accepted, and if not, why and when there is room.

    :ivar delay_ms: expected wait of the job before it starts
    :ivar room_in_ms: when a job like it would be accepted, as far as known
    """

    is_accepted: bool
    delay_ms: float = 0.0
    room_in_ms: float = 0.0


ACCEPTED = AdmissionDecision(True)


def critical_path_ms(spec: JobSpec) -> float:
    """Return the declared run time of the longest chain of steps."""
    ends: list[float] = []
    for step in spec.steps:
        start_ms = max((ends[each] for each in step.after), default=0.0)
        ends.append(start_ms + step.estimated_ms)
    return max(ends, default=0.0)


def work_core_ms(spec: JobSpec) -> float:
    """Return the declared processor time of a job."""
    return sum(
        step.task_count * step.size.cpu_millicores / 1000 * step.estimated_ms
        for step in spec.steps
    )


def start_delay_ms(load: Backlog, work_ms: float, age_ms: float) -> float:
    """Return a lower bound of the wait of a new job before it starts.

    The work that goes before it fills the VMs of its pool, and after a move
    all others that do not have work of their own that goes before it.

    :param work_ms: processor time of the job
    :param age_ms: age of the record; jobs that have arrived since then are
        assumed to arrive at the same rate as before
    """
    ahead = load.base_core_ms
    sizes = [each for each in load.sizes if each.work_core_ms <= work_ms]
    if sizes:
        ahead += sizes[-1].ahead_core_ms + sizes[-1].arriving_cores * age_ms
    own, other = load.own_cores, load.other_cores
    if own + other <= 0:
        return 0.0
    other_from_ms = MOVE_MS + (load.other_core_ms / other if other else 0.0)
    if not other or ahead <= own * other_from_ms:
        return ahead / own if own else 0.0
    return (ahead + other * other_from_ms) / (own + other)


class Admission(abc.ABC):
    """Decides whether a node accepts a job."""

    def decide(
        self,
        queue: QueuePolicy,
        job_id: str,
        spec: JobSpec,
        load: LoadRecord | None,
        now_unix_ms: float,
        was_refused: bool = False,
    ) -> AdmissionDecision:
        """Accept a job unless its result would be worthless when it ends.

        Scheduled and long-running jobs have no objective that a wait could
        miss and are always accepted, as are all jobs while the load is not
        known.

        :param load: newest record of the leader, None if there is none
        :param was_refused: whether this node has refused the job before
        """
        if spec.repeat_count or any(step.long_running for step in spec.steps):
            return ACCEPTED
        if load is None:
            return ACCEPTED
        delay_ms = self._delay_ms(queue, job_id, spec, load, now_unix_ms)
        path_ms = critical_path_ms(spec)
        limit_ms = CUTOFF_FACTOR * queue.objective_ms(path_ms) - path_ms
        chance = self._refusal_share(delay_ms, limit_ms)
        # A job that was refused before is among the last to be refused.
        position = 1.0 if was_refused else draw(job_id)
        if chance <= 0 or position > chance:
            return attrs.evolve(ACCEPTED, delay_ms=delay_ms)
        return AdmissionDecision(False, delay_ms, delay_ms - limit_ms)

    @abc.abstractmethod
    def _delay_ms(self, queue, job_id, spec, load, now_unix_ms) -> float:
        """Return the expected wait of a job before it starts."""

    @staticmethod
    def _refusal_share(delay_ms: float, limit_ms: float) -> float:
        """Return which share of the jobs with some wait is refused."""
        return 1.0 if delay_ms > limit_ms else 0.0


class AcceptAll(Admission):
    """Accepts every job (baseline)."""

    def _delay_ms(self, queue, job_id, spec, load, now_unix_ms):
        return 0.0


class FleetAdmission(Admission):
    """Uses one wait for all jobs of a queue (baseline).

    It assumes that the VMs of all pools serve the queue.
    """

    def _delay_ms(self, queue, job_id, spec, load, now_unix_ms):
        return load.start_delay_ms.get(queue.name, 0)


class BacklogAdmission(Admission):
    """Uses the wait of the job itself.

    Only work that goes before it counts, by priority and size, and only the
    capacity that its pool has or can still get.
    """

    def _delay_ms(self, queue, job_id, spec, load, now_unix_ms):
        if load.backlogs is None:
            # The leader is of the previous version.
            return load.start_delay_ms.get(queue.name, 0)
        backlog = load.backlogs.get(backlog_name(queue))
        if backlog is None:
            return 0.0
        age_ms = max(0.0, now_unix_ms - load.written_unix_ms)
        work_ms = work_core_ms(spec)
        if 0 < backlog.large_core_ms <= work_ms:
            work_ms *= draw(job_id)
        return start_delay_ms(backlog, work_ms, age_ms)

    @staticmethod
    def _refusal_share(delay_ms, limit_ms):
        if delay_ms <= limit_ms or limit_ms <= 0:
            return float(delay_ms > limit_ms)
        excess = delay_ms / limit_ms - 1
        return min(1.0, excess / (FULL_REFUSAL_FACTOR - 1))
