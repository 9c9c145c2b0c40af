"""Messages on the wire: fields, types and the range of each number.

All input is decoded and validated with these types. Attribute names are the
names on the wire, in snake case. A list whose rows have several writers is
decoded row by row, so that a malformed row does not invalidate the others.
"""

from typing import Annotated
from typing import Literal

import msgspec
from msgspec import Meta
from msgspec import Raw

from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.utils.addresses import split_address

__all__ = [
    "AdviceBody",
    "BornAnswer",
    "ClockAnswer",
    "ConfigurationBody",
    "ConflictAnswer",
    "EndRow",
    "ItemRow",
    "JobBody",
    "LeaseAnswer",
    "LimitsRow",
    "MAX_TASKS",
    "NO_LIMITS",
    "QueueRow",
    "RangeAnswer",
    "RefusalAnswer",
    "ReportAnswer",
    "ResourcesRow",
    "RunNameRow",
    "RunRow",
    "ServiceRow",
    "StepBody",
    "TenantRow",
    "VmPage",
    "VmRow",
    "WatchAnswer",
    "WaveBody",
    "WorkerBody",
    "WriteAnswer",
]

# A node has not enough memory to schedule larger jobs.
MAX_TASKS = 5000
MAX_STEPS = 500
MAX_PAYLOAD_BYTES = 4000
MAX_NAME_CHARS = 200
# Ten years. Longer times are errors, and sums of them would overflow.
MAX_DURATION_MS = 315_360_000_000
# The year 2200.
MAX_UNIX_MS = 7_258_118_400_000
# A million cores, a petabyte, a million accelerators.
MAX_MILLICORES = MAX_MEMORY_MB = 1_000_000_000
MAX_GPUS = 1_000_000
MAX_NUMBER = 2**53

Name = Annotated[str, Meta(max_length=MAX_NAME_CHARS)]
# JSON encoders of some languages write booleans as 0 and 1.
Flag = bool | Literal[0, 1]
Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
TaskCount = Annotated[int, Meta(ge=0, le=MAX_TASKS)]
# Times, sizes and loads are estimates or measurements and may be fractions.
DurationMs = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
UnixMs = Annotated[float, Meta(ge=0, le=MAX_UNIX_MS)]
ClockMs = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Measure = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Factor = Annotated[float, Meta(ge=0, le=1_000_000)]
Millicores = Annotated[float, Meta(ge=0, le=MAX_MILLICORES)]
MemoryMb = Annotated[float, Meta(ge=0, le=MAX_MEMORY_MB)]
Gpus = Annotated[int, Meta(ge=0, le=MAX_GPUS)]


class ResourcesRow(msgspec.Struct, rename="kebab", frozen=True):
    """Processors, memory and accelerators."""

    cpu: Millicores = 0
    mem_mb: MemoryMb = 0
    gpu: Gpus = 0

    def resources(self) -> Resources:
        """Return the values as the type used for scheduling."""
        return Resources(
            cpu_millicores=int(self.cpu),
            memory_mb=int(self.mem_mb),
            gpu_count=self.gpu,
        )


# Callers.


class StepBody(ResourcesRow, rename="kebab", frozen=True, kw_only=True):
    """A step of a submitted job."""

    count: Annotated[int, Meta(ge=1, le=MAX_TASKS)]
    estimated_ms: DurationMs = 0
    after: Annotated[list[TaskCount], Meta(max_length=MAX_STEPS)] = []
    checkpointing: Flag = False
    gang: Flag = False
    same_rack: Flag = False
    required_label: Name = ""
    affinity: Name = ""
    max_per_server: TaskCount = 0
    speculative: Flag = False
    long_running: Flag = False
    image: Name = ""
    target_ms: DurationMs = 0
    fills: Flag = False
    max_unavailable: TaskCount = 0


class JobBody(msgspec.Struct, rename="kebab", frozen=True, kw_only=True):
    """A submitted job."""

    spec: str = ""
    steps: Annotated[list[StepBody], Meta(max_length=MAX_STEPS)]
    repeat_count: TaskCount = 0
    first_run_ms: UnixMs = 0
    interval_ms: DurationMs = 0

    def __post_init__(self):
        """Check limits that concern several fields.

        :raises ValueError: with the name of the field; the decoder reports
            it as a validation error
        """
        if len(self.spec.encode()) > MAX_PAYLOAD_BYTES:
            raise ValueError(f"spec is longer than {MAX_PAYLOAD_BYTES} bytes")
        tasks = sum(step.count for step in self.steps)
        tasks *= max(1, self.repeat_count)
        if not 0 < tasks <= MAX_TASKS:
            raise ValueError(
                f"job has {tasks} tasks; 1 to {MAX_TASKS} are allowed"
            )
        for number, step in enumerate(self.steps):
            if any(each >= number for each in step.after):
                raise ValueError(
                    f"step {number}: after must name earlier steps"
                )


# Operators.


class ConfigurationBody(msgspec.Struct, rename="kebab", frozen=True):
    """A configuration; its rows are decoded one by one."""

    version: Count
    routes: list[Raw]
    services: list[Raw]
    tenants: list[Raw] = []
    limits: Raw = Raw(b"null")


class AdvisorRow(msgspec.Struct, rename="kebab", frozen=True):
    """Times of the advice service for the steps of a queue."""

    decision_ms: DurationMs = 0
    period_ms: DurationMs = 0
    validity_ms: DurationMs = 0


class QueueRow(msgspec.Struct, rename="kebab", frozen=True, kw_only=True):
    """A queue of a configuration."""

    name: Name
    host: Name
    prefix: Name
    backend: Name
    public: Flag = False
    priority: Annotated[int, Meta(ge=-1_000_000, le=1_000_000)] = 0
    attempts: Annotated[int, Meta(ge=0, le=1_000_000)] = 1
    stretch: Factor = 1.0
    target_latency_ms: DurationMs = 0
    advisor: AdvisorRow | None = None


class ServiceRow(msgspec.Struct, rename="kebab", frozen=True):
    """A pool of a configuration."""

    name: Name
    admission_check: Flag = False
    standby: Flag = False


class TenantRow(msgspec.Struct, rename="kebab", frozen=True):
    """An organisation of a configuration."""

    name: Name
    api_keys: list[Name] = []
    weight: Factor = 1.0
    cap: ResourcesRow | None = None


class LimitsRow(msgspec.Struct, rename="kebab", frozen=True):
    """Limits of callers' connections; None selects the default."""

    header_timeout_ms: DurationMs | None = None
    idle_timeout_ms: DurationMs | None = None


NO_LIMITS = LimitsRow()


class WaveBody(msgspec.Struct, rename="kebab", frozen=True):
    """A maintenance wave."""

    wave: Count
    machines: list[Name]
    duration_s: Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
    cap: Count


# Workers.


class WorkerBody(msgspec.Struct, rename="kebab", frozen=True, kw_only=True):
    """The entry of a worker."""

    state: Literal["ready", "draining"]
    backend: Name
    address: Name
    capacity: ResourcesRow
    born: UnixMs = 0
    zone: Name = ""
    labels: list[Name] = []
    remaining_ms: DurationMs = 0

    def __post_init__(self):
        """Check the address.

        :raises ValueError: if it is not valid
        """
        split_address(self.address)


class RunRow(msgspec.Struct, array_like=True, frozen=True):
    """A run on a worker; ``saved`` is its latest checkpoint."""

    task: Name
    run: Count
    saved: str | None
    percent: Measure
    load: Measure = 0.0


class RunNameRow(msgspec.Struct, array_like=True, frozen=True):
    """What names a run on a worker; the rest of the row is not decoded."""

    task: Name
    run: Count


class EndRow(msgspec.Struct, array_like=True, frozen=True):
    """The end of a run on a worker; ``how`` is the kind of end."""

    sequence: Count
    task: Name
    run: Count
    how: Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
    saved: str | None


class ReportAnswer(msgspec.Struct, rename="kebab", frozen=True):
    """Report of a worker; its rows are decoded one by one."""

    clock_ms: ClockMs
    born: UnixMs = 0
    running: list[Raw] = []
    finished: list[Raw] = []


class BornAnswer(msgspec.Struct, rename="kebab", frozen=True):
    """Start of the worker that answers; the rest is not decoded."""

    born: UnixMs = 0


class ClockAnswer(msgspec.Struct, rename="kebab", frozen=True):
    """Clock of a worker that has accepted an order."""

    clock_ms: ClockMs = 0


class RefusalAnswer(msgspec.Struct, rename="kebab", frozen=True):
    """Reason for the refusal of a call."""

    reason: str = ""


# The VM service and the advice service.


class VmRow(msgspec.Struct, rename="kebab", frozen=True, kw_only=True):
    """A VM."""

    machine: Name
    pool: Name
    state: str
    zone: Name = ""
    labels: list[Name] = []
    capacity: ResourcesRow = ResourcesRow()
    id: Name | None = None


class VmPage(msgspec.Struct, rename="kebab", frozen=True):
    """A page of the list of VMs."""

    machines: list[Raw]
    next_token: str | int | None = None


class AdviceBody(msgspec.Struct, rename="kebab", frozen=True):
    """Pairs of a worker that may run a step and its ticket."""

    allowed: list[tuple[Name, str]] = []
    validity_ms: DurationMs | None = None


# The store, which encodes binary values as base64 text.


class ItemRow(msgspec.Struct, rename="kebab", frozen=True):
    """An item, or the deletion of one."""

    key: str
    revision: Count
    value: bytes = b""
    deleted: bool = False


class RangeAnswer(msgspec.Struct, rename="kebab", frozen=True):
    """A page of items; ``at`` is the revision it was read at."""

    items: list[ItemRow]
    at: Count
    has_more: bool = False


class WatchAnswer(msgspec.Struct, rename="kebab", frozen=True):
    """Changes up to the revision ``at``."""

    events: list[ItemRow]
    at: Count


class ConflictAnswer(msgspec.Struct, rename="kebab", frozen=True):
    """Items of the keys in the conditions of a rejected transaction."""

    items: list[Raw] = []


class WriteAnswer(msgspec.Struct, rename="kebab", frozen=True):
    """The revision of a transaction."""

    revision: Count


class LeaseAnswer(msgspec.Struct, rename="kebab", frozen=True):
    """A new lease."""

    lease: Count
