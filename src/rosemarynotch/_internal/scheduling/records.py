"""Records that the scheduler persists in the store, and their keys."""

import enum

import attrs

from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.model import Resources

__all__ = [
    "Backlog",
    "backlog_name",
    "CANCELLATIONS_PREFIX",
    "INTAKE_PREFIX",
    "JOBS_PREFIX",
    "LEADER_KEY",
    "LOAD_KEY",
    "LeaderRecord",
    "LoadRecord",
    "MemoryUse",
    "Phase",
    "ProgressRecord",
    "ROSTER_KEY",
    "UNSTARTED_KEY",
    "UnstartedRecord",
    "PROGRESS_PREFIX",
    "RosterRecord",
    "SizeLoad",
    "StepRecord",
    "SubmissionRecord",
    "Turn",
    "withdrawn_submission",
]

# Jobs and cancellations share a prefix so that one watch covers both.
INTAKE_PREFIX = "intake/"
JOBS_PREFIX = INTAKE_PREFIX + "jobs/"
CANCELLATIONS_PREFIX = INTAKE_PREFIX + "cancellations/"
PROGRESS_PREFIX = "progress/"
LEADER_KEY = "control/leader"
LOAD_KEY = "control/load"
ROSTER_KEY = "control/roster"
UNSTARTED_KEY = "control/unstarted"


class Phase(enum.StrEnum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self not in (Phase.QUEUED, Phase.RUNNING)


@attrs.frozen(kw_only=True)
class SubmissionRecord:
    """An accepted job; the record is immutable.

    :ivar policy: policy of its queue at submission, which applies if the
        queue is removed later
    :ivar attempt_id: distinguishes a repeated write from one of another node
    :ivar is_withdrawn: whether the job was cancelled before it was stored;
        this record then takes the place of the job
    """

    policy: QueuePolicy
    organisation: str
    spec: JobSpec
    accepted_unix_ms: int
    attempt_id: str
    is_withdrawn: bool = False

    @property
    def queue(self) -> str:
        """Return the name of the queue."""
        return self.policy.name


def withdrawn_submission(now_unix_ms: int) -> SubmissionRecord:
    """Return the record of a job that was cancelled before it was stored.

    It has no tasks, and belongs to no queue and no organisation, so that no
    caller can access it: to callers, no such job exists.
    """
    return SubmissionRecord(
        policy=QueuePolicy(name="", host="", prefix="", pool=""),
        organisation="",
        spec=JobSpec(payload="", steps=()),
        accepted_unix_ms=now_unix_ms,
        attempt_id="",
        is_withdrawn=True,
    )


@attrs.frozen(kw_only=True)
class StepRecord:
    """Progress of a step of one occurrence.

    :ivar done: indexes of the tasks that are done
    :ivar failures: number of failed runs by task index; only in records of
        older versions, which did not store the run numbers
    :ivar failed_runs: numbers of the failed runs by task index; they prevent
        counting a run end twice, which a worker repeats if it was recorded
        but not acknowledged
    :ivar checkpoints: newest checkpoint by task index
    """

    occurrence: int
    step: int
    done: tuple[int, ...] = ()
    failures: dict[int, int] = attrs.field(factory=dict)
    failed_runs: dict[int, tuple[int, ...]] = attrs.field(factory=dict)
    checkpoints: dict[int, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ProgressRecord:
    """Progress of a job; written by the leader only.

    :ivar highest_run: no higher run number was used for any task of the job,
        beside those of the leader's term
    :ivar pools: pools that may have runs of the job, beside the pool that its
        queue had when it was accepted
    :ivar steps: progress of the steps, empty once the job has ended
    """

    phase: Phase
    queue: str
    organisation: str
    highest_run: int = 0
    finished_unix_ms: int = 0
    pools: tuple[str, ...] = ()
    steps: tuple[StepRecord, ...] = ()


@attrs.frozen(kw_only=True)
class LeaderRecord:
    """The current leader.

    :ivar incarnation: identifier of the process; it changes with a restart
    :ivar term: number of the leader's term
    :ivar hint_port: port on which it receives hints, 0 if it receives none
    """

    node: str
    ip: str
    incarnation: str
    term: int
    hint_port: int = 0


@attrs.frozen(kw_only=True)
class RosterRecord:
    """Workers that may have runs.

    :ivar workers: pool and address by identifier of the worker
    :ivar former_pools: earlier pools of workers whose entries have changed
    :ivar is_complete: whether no other worker may have runs; it is not after
        a roster that could not be decoded, until all earlier leases are over
    :ivar largest_capacity: at least what each of the workers has of each
        resource, None if it is not known
    """

    workers: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    term: int = 0
    former_pools: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    is_complete: bool = True
    largest_capacity: Resources | None = None


@attrs.frozen(kw_only=True)
class Turn:
    """A period in which one pool had most of the arriving work.

    :ivar peak_vms: most VMs that its arriving work would have kept busy
    """

    pool: str
    started_ms: float
    peak_vms: float


@attrs.frozen(kw_only=True)
class SizeLoad:
    """Waiting jobs up to a size.

    :ivar work_core_ms: size of the largest of them, see ``JobOrder.size``
    :ivar ahead_core_ms: processor time of all of them
    :ivar arriving_cores: processors that such jobs would keep busy if they
        went on arriving as in the last second
    """

    work_core_ms: float
    ahead_core_ms: float
    arriving_cores: float = 0.0


@attrs.frozen(kw_only=True)
class Backlog:
    """What goes before new jobs of a rank, and the capacity for them.

    A rank is a pool and a priority. Thousands of queues may share one.

    :ivar own_cores: processors of the VMs that serve its pool
    :ivar other_cores: processors of all other VMs, which may move there
    :ivar other_core_ms: work of other pools that goes before any job of the
        rank
    :ivar base_core_ms: work of its own pool that goes before any job of the
        rank: started jobs and those of more urgent queues
    :ivar sizes: waiting jobs of equal rank, which go before larger ones; in
        order of size, each row with all jobs up to its size
    :ivar large_core_ms: work from which on the size of a job is multiplied by
        its draw, 0 if it is for none
    """

    own_cores: float = 0.0
    other_cores: float = 0.0
    other_core_ms: float = 0.0
    base_core_ms: float = 0.0
    sizes: tuple[SizeLoad, ...] = ()
    large_core_ms: float = 0.0


def backlog_name(queue: QueuePolicy) -> str:
    """Return the name of the backlog that the jobs of a queue belong to."""
    return f"{queue.pool}/{queue.priority}"


@attrs.frozen(kw_only=True)
class MemoryUse:
    """Memory that the leader uses for jobs, in bytes.

    :ivar limit_bytes: how much it may use
    :ivar by_organisation: the organisations that use the most
    """

    limit_bytes: int
    used_bytes: int = 0
    by_organisation: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class LoadRecord:
    """Load of the queues, published for nodes that accept jobs.

    :ivar waiting: number of accepted jobs without a started task, by queue
    :ivar start_delay_ms: expected wait of a new job, by queue; for nodes of
        the previous version
    :ivar backlogs: what waits, see :func:`backlog_name`, of pools in which
        jobs wait; None in records of the previous version
    :ivar job_memory: None in records of the previous version
    :ivar turns: load peaks of the pools, from which a new leader forecasts
        the next ones
    """

    written_unix_ms: int
    waiting: dict[str, int] = attrs.field(factory=dict)
    start_delay_ms: dict[str, int] = attrs.field(factory=dict)
    turns: tuple[Turn, ...] = ()
    backlogs: dict[str, Backlog] | None = None
    job_memory: MemoryUse | None = None


@attrs.frozen(kw_only=True)
class UnstartedRecord:
    """Jobs that no leader has started.

    :ivar term: term in which it was written
    :ivar jobs: identifiers; the leader starts none of these jobs before it
        has stored a record that does not name it
    """

    term: int = 0
    jobs: tuple[str, ...] = ()
