"""Records that the scheduler keeps in the store, and their keys."""

import enum

import attrs

from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.turn_forecast import Turn

__all__ = [
    "CANCELLATIONS_PREFIX",
    "INTAKE_PREFIX",
    "JOBS_PREFIX",
    "LEADER_KEY",
    "LOAD_KEY",
    "LeaderRecord",
    "LoadRecord",
    "Phase",
    "ProgressRecord",
    "ROSTER_KEY",
    "PROGRESS_PREFIX",
    "RosterRecord",
    "StepRecord",
    "SubmissionRecord",
]

# Jobs and cancellations share a prefix, so that the leader needs one watch.
INTAKE_PREFIX = "intake/"
JOBS_PREFIX = INTAKE_PREFIX + "jobs/"
CANCELLATIONS_PREFIX = INTAKE_PREFIX + "cancellations/"
PROGRESS_PREFIX = "progress/"
LEADER_KEY = "control/leader"
LOAD_KEY = "control/load"
ROSTER_KEY = "control/roster"


class Phase(enum.StrEnum):
    """Where a job is."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Tell whether the job stays in this phase."""
        return self not in (Phase.QUEUED, Phase.RUNNING)


@attrs.frozen(kw_only=True)
class SubmissionRecord:
    """An accepted job; never changed.

    :ivar policy: of its queue when it was accepted; it holds for a job whose
        queue is removed later
    :ivar attempt_id: tells a repeated write from that of another node
    """

    policy: QueuePolicy
    organisation: str
    spec: JobSpec
    accepted_unix_ms: int
    attempt_id: str

    @property
    def queue(self) -> str:
        """Return the name of the queue."""
        return self.policy.name


@attrs.frozen(kw_only=True)
class StepRecord:
    """Progress of a step of one occurrence.

    :ivar done: indexes of the tasks that are done
    :ivar failures: number of failed runs by index of the task, in records of
        versions that did not name the runs
    :ivar failed_runs: numbers of the failed runs by index of the task, since
        a worker repeats an end that was recorded but not acknowledged
    :ivar checkpoints: newest checkpoint by index of the task
    """

    occurrence: int
    step: int
    done: tuple[int, ...] = ()
    failures: dict[int, int] = attrs.field(factory=dict)
    failed_runs: dict[int, tuple[int, ...]] = attrs.field(factory=dict)
    checkpoints: dict[int, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ProgressRecord:
    """What has happened to a job; written by the leader only.

    :ivar highest_run: highest run number that any task of the job has had
    """

    phase: Phase
    queue: str
    organisation: str
    highest_run: int = 0
    finished_unix_ms: int = 0
    steps: tuple[StepRecord, ...] = ()


@attrs.frozen(kw_only=True)
class LeaderRecord:
    """Who gives orders.

    :ivar incarnation: the process; a restarted one is not the same
    :ivar term: counts the leaders
    :ivar hint_port: where it receives hints, 0 if it does not
    """

    node: str
    ip: str
    incarnation: str
    term: int
    hint_port: int = 0


@attrs.frozen(kw_only=True)
class RosterRecord:
    """Workers that may hold runs, by identifier, with their addresses."""

    workers: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    term: int = 0


@attrs.frozen(kw_only=True)
class LoadRecord:
    """What entries need to know of the queues.

    :ivar waiting: accepted jobs of which no task has started, by queue
    :ivar start_delay_ms: expected wait of a new job, by queue
    :ivar turns: peaks of the pools, from which a new leader expects the next
    """

    written_unix_ms: int
    waiting: dict[str, int] = attrs.field(factory=dict)
    start_delay_ms: dict[str, int] = attrs.field(factory=dict)
    turns: tuple[Turn, ...] = ()
