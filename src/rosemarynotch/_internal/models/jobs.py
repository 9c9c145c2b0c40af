"""Jobs: submissions, batches of submissions, and the job table."""

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
    """A job as submitted by a team.

    :ivar queue: name of the queue, set from the request
    :ivar cores: declared size, which may differ widely from the actual use
    :ivar idempotent: whether the job may run more than once
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
    """Answer to a submission that has been written to the store."""

    job_id: str


class JobState(enum.StrEnum):
    """State of a job.

    UNKNOWN: a non-idempotent job was started, and its outcome is not known.
    REFUSED: the job never started, because its queue or team is no longer
    in the document.
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
        """Return whether a task of the job may be running."""
        return self in (JobState.STARTING, JobState.RUNNING)

    @property
    def is_final(self) -> bool:
        """Return whether the job can no longer change its state."""
        return not self.is_active and self is not JobState.QUEUED


@attrs.frozen(kw_only=True)
class JobStatus:
    """State of a job as visible to its team."""

    job_id: str
    queue: str
    state: JobState
    attempt: int
    result: str = ""
    reason: str = ""


@attrs.frozen(kw_only=True)
class BatchedSubmission:
    """An accepted submission that is not yet in the job table."""

    job_id: str
    team: str
    accepted_at_s: float
    submission: JobSubmission


@attrs.frozen(kw_only=True)
class BatchedCancellation:
    """A cancellation that is not yet applied to the job table."""

    job_id: str
    team: str


@attrs.frozen(kw_only=True)
class JobBatch:
    """Submissions and cancellations that one entry writes together.

    An entry collects them for a few milliseconds.
    """

    submissions: tuple[BatchedSubmission, ...] = ()
    cancellations: tuple[BatchedCancellation, ...] = ()


@attrs.frozen(kw_only=True)
class JobRow:
    """A job in the job table.

    :ivar attempt: number of the current attempt, whose task is named
        ``<job id>.<attempt>``
    :ivar worker: worker on which the current attempt was placed
    :ivar permit_holder: control process that holds the permit of the job
    :ivar reserved_cores: cores that the placement reserved on the worker
    :ivar failed_workers: workers on which earlier attempts failed
    :ivar checkpoint: checkpoint from which the current attempt resumes
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
        """Return the state of the job as visible to its team."""
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
    """The last batch of a holder that was merged into a shard."""

    sequence: int
    merged_at_s: float


@attrs.frozen(kw_only=True)
class JobShard:
    """A shard of the job table.

    :ivar merged: marks by holder; batches up to a mark are not merged again,
        even if their jobs have since been removed from the table
    """

    jobs: dict[str, JobRow] = attrs.field(factory=dict)
    merged: dict[str, MergedMark] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class FullShardsRecord:
    """Shards of the job table that accept no new jobs.

    Control writes this record and entries read it.

    :ivar full_shards: shards that are nearly full
    """

    full_shards: tuple[int, ...] = ()


def job_id_of(team: str, idempotency_key: str) -> str:
    """Return the job id derived from the idempotency key of a submission."""
    text = f"{len(team)}:{team}:{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:JOB_ID_LENGTH]


def shard_of(job_id: str) -> int:
    """Return the number of the shard that contains a job."""
    return int(job_id[:4], 16) % SHARD_COUNT


def batch_key(holder: str, sequence: int) -> str:
    """Return the store key of a batch.

    The keys of one holder sort by sequence.
    """
    return f"{BATCHES_PREFIX}{holder}/{sequence:012d}"


def parse_batch_key(key: str) -> tuple[str, int] | None:
    """Return the holder and sequence of a batch key.

    :returns: holder and sequence, or None if the key is not a batch key
    """
    holder, _, sequence = key.removeprefix(BATCHES_PREFIX).rpartition("/")
    if not key.startswith(BATCHES_PREFIX) or not sequence.isdigit():
        return None
    return holder, int(sequence)


def table_key(shard: int) -> str:
    """Return the store key of a shard of the table."""
    return f"{TABLE_PREFIX}{shard:02d}"
