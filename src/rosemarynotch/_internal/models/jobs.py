"""Jobs: submissions, batches of them, and the table of their states."""

import enum
import hashlib

import attrs

__all__ = [
    "BATCHES_PREFIX",
    "BatchedCancellation",
    "BatchedSubmission",
    "FULL_SHARDS_KEY",
    "FullShardsRecord",
    "JobAccepted",
    "JobBatch",
    "JobRow",
    "JobShard",
    "JobState",
    "JobStatus",
    "JobSubmission",
    "MergedMark",
    "SHARD_COUNT",
    "TABLE_PREFIX",
    "batch_key",
    "job_id_of",
    "parse_batch_key",
    "shard_of",
    "table_key",
]

BATCHES_PREFIX = "jobs/batches/"
TABLE_PREFIX = "jobs/table/"
FULL_SHARDS_KEY = "jobs/room"
SHARD_COUNT = 16
JOB_ID_LENGTH = 32


@attrs.frozen(kw_only=True)
class JobSubmission:
    """A job as a team submits it.

    :ivar queue: filled in from the request
    :ivar cores: declared size; it may be far from the real one
    :ivar idempotent: the job may run more than once
    :ivar idempotency_key: submissions with the same key are the same job
    """

    queue: str = ""
    cores: float = 1.0
    memory_mb: int = 0
    accelerators: int = 0
    payload: str = ""
    idempotent: bool = False
    idempotency_key: str = ""


@attrs.frozen(kw_only=True)
class JobAccepted:
    """The answer to a submission that is safe in the store."""

    job_id: str


class JobState(enum.StrEnum):
    """State of a job.

    UNKNOWN: a non-idempotent job started, and whether it ended is not known.
    REFUSED: it never started, since the document no longer has its queue or
    team.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    REFUSED = "refused"

    @property
    def is_active(self) -> bool:
        """Tell whether a task of the job may run."""
        return self in (JobState.STARTING, JobState.RUNNING)

    @property
    def is_final(self) -> bool:
        """Tell whether the job stays in this state."""
        return not self.is_active and self is not JobState.QUEUED


@attrs.frozen(kw_only=True)
class JobStatus:
    """What a team may see of its job."""

    job_id: str
    queue: str
    state: JobState
    attempt: int
    result: str = ""
    reason: str = ""


@attrs.frozen(kw_only=True)
class BatchedSubmission:
    """An accepted submission on its way to the table."""

    job_id: str
    team: str
    accepted_at_s: float
    submission: JobSubmission


@attrs.frozen(kw_only=True)
class BatchedCancellation:
    """A cancellation on its way to the table."""

    job_id: str
    team: str


@attrs.frozen(kw_only=True)
class JobBatch:
    """What one entry accepted within a few milliseconds."""

    submissions: tuple[BatchedSubmission, ...] = ()
    cancellations: tuple[BatchedCancellation, ...] = ()


@attrs.frozen(kw_only=True)
class JobRow:
    """A job in the table.

    :ivar attempt: number of the present attempt; its task is
        ``<job id>.<attempt>``
    :ivar worker: where the present attempt was placed
    :ivar permit_holder: the control process whose permit it uses
    :ivar reserved_cores: size that the placement counted on
    :ivar failed_workers: workers on which attempts failed
    :ivar checkpoint: where the present attempt resumes
    """

    team: str
    queue: str
    cores: float
    memory_mb: int
    accelerators: int
    payload: str
    idempotent: bool
    accepted_at_s: float
    state: JobState = JobState.QUEUED
    attempt: int = 1
    worker: str = ""
    permit_holder: str = ""
    reserved_cores: float = 0.0
    reserved_memory_mb: int = 0
    failed_workers: tuple[str, ...] = ()
    checkpoint: str = ""
    cancelled: bool = False
    result: str = ""
    reason: str = ""
    finished_at_s: float = 0.0

    def status(self, job_id: str) -> JobStatus:
        """Return what the team may see."""
        return JobStatus(
            job_id=job_id,
            queue=self.queue,
            state=self.state,
            attempt=self.attempt,
            result=self.result,
            reason=self.reason,
        )


@attrs.frozen(kw_only=True)
class MergedMark:
    """The last batch of a holder that a shard contains."""

    sequence: int
    merged_at_s: float


@attrs.frozen(kw_only=True)
class JobShard:
    """A part of the job table.

    :ivar merged: by holder; batches up to the mark are never merged again,
        even when a job of theirs has been removed from the table since
    """

    jobs: dict[str, JobRow] = attrs.field(factory=dict)
    merged: dict[str, MergedMark] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class FullShardsRecord:
    """What control tells entries about the job table.

    :ivar full_shards: shards that are nearly full; new jobs are refused
    """

    full_shards: tuple[int, ...] = ()


def job_id_of(team: str, idempotency_key: str) -> str:
    """Return the id under which a team's submission is known."""
    text = f"{len(team)}:{team}:{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:JOB_ID_LENGTH]


def shard_of(job_id: str) -> int:
    """Return the shard of a job."""
    return int(job_id[:4], 16) % SHARD_COUNT


def batch_key(holder: str, sequence: int) -> str:
    """Return the store key of a batch; keys sort by sequence."""
    return f"{BATCHES_PREFIX}{holder}/{sequence:012d}"


def parse_batch_key(key: str) -> tuple[str, int] | None:
    """Return holder and sequence of a batch key, None for other keys."""
    holder, _, sequence = key.removeprefix(BATCHES_PREFIX).rpartition("/")
    if not key.startswith(BATCHES_PREFIX) or not sequence.isdigit():
        return None
    return holder, int(sequence)


def table_key(shard: int) -> str:
    """Return the store key of a shard of the table."""
    return f"{TABLE_PREFIX}{shard:02d}"
