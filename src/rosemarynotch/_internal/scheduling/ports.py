"""What the scheduler needs from outside, as abstract base classes."""

import abc
import enum

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.model import TaskId

__all__ = [
    "Advisor",
    "CommitConflict",
    "Condition",
    "CoordinationStore",
    "EndKind",
    "FleetService",
    "FleetVm",
    "Item",
    "Listing",
    "Pacing",
    "RunEnd",
    "RunStatus",
    "StartOrder",
    "Ticket",
    "VmListing",
    "VmPhase",
    "WorkerChannel",
    "WorkerEntry",
    "WorkerReport",
    "Write",
]


@attrs.frozen(kw_only=True)
class Item:
    """A key of the store with its value.

    :ivar revision: of the last write
    :ivar value: None when a watch reports that the key was deleted
    """

    key: str
    revision: int
    value: bytes | None


@attrs.frozen(kw_only=True)
class Listing:
    """Items below a prefix and the revision at which they were read."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class Condition:
    """A key must have a revision, 0 when it must not exist."""

    key: str
    revision: int


@attrs.frozen
class Write:
    """A key and its new value.

    :ivar lease_id: lease whose end deletes the key, 0 for none
    """

    key: str
    value: bytes
    lease_id: int = 0


@attrs.frozen
class CommitConflict:
    """A transaction that did not apply, with the items it expected.

    :ivar items: present state of the expected keys that exist
    """

    items: tuple[Item, ...]


class CoordinationStore(abc.ABC):
    """The store that holds everything that has to last."""

    @abc.abstractmethod
    def get(self, key: str, allow_stale: bool = False) -> Item | Failure:
        """Read a key.

        :param allow_stale: a state some seconds old will do; such reads cost
            little and are not limited
        :returns: the item, STORE_KEY_MISSING or STORE_UNAVAILABLE
        """

    @abc.abstractmethod
    def list_prefix(self, prefix: str) -> Listing | Failure:
        """List all items below a prefix."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Listing | Failure:
        """Wait for changes below a prefix.

        :returns: the changes, STORE_HISTORY_LOST or STORE_UNAVAILABLE
        """

    @abc.abstractmethod
    def commit(
        self,
        conditions: list[Condition],
        writes: list[Write],
        deletes: list[str] = [],
    ) -> int | CommitConflict | Failure:
        """Apply all writes if all conditions hold.

        :returns: the new revision, what differed, LEASE_LOST, or
            STORE_UNAVAILABLE with ``ran`` unknown when it may still happen
        """

    @abc.abstractmethod
    def grant_lease(self, ttl_ms: int) -> int | Failure:
        """Return the identifier of a new lease."""

    @abc.abstractmethod
    def renew_lease(self, lease_id: int) -> None | Failure:
        """Extend a lease: None, LEASE_LOST or STORE_UNAVAILABLE."""

    @abc.abstractmethod
    def end_lease(self, lease_id: int) -> None | Failure:
        """End a lease and delete its keys."""


@attrs.frozen(kw_only=True)
class WorkerEntry:
    """A worker as it registers itself.

    :ivar worker_id: names one life of a VM
    :ivar started_unix_ms: a worker may start again under its identifier
    """

    worker_id: str
    started_unix_ms: int
    pool: str
    address: str
    data_centre: str = ""
    labels: tuple[str, ...] = ()
    capacity: Resources = Resources()
    is_draining: bool = False
    remaining_ms: int = 0

    @property
    def rack(self) -> str:
        """The rack; the labels are the kind of VM and its rack."""
        return self.labels[1] if len(self.labels) > 1 else ""


class EndKind(enum.Enum):
    """How a run ended.

    BROKEN: another member of its gang ended. ALONE: the others did not come.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen(kw_only=True)
class RunStatus:
    """A run that a worker has now.

    :ivar load: latency tail in milliseconds of a serving task, otherwise
        the processors in use
    """

    task: TaskId
    run: int
    checkpoint: str = ""
    percent: int = 0
    load: float = 0.0


@attrs.frozen(kw_only=True)
class RunEnd:
    """A run that ended; the sequence counts the ends of a worker's life."""

    sequence: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str = ""


@attrs.frozen(kw_only=True)
class WorkerReport:
    """What a worker says about its runs.

    :ivar clock_ms: the worker's own clock
    :ivar started_unix_ms: the life of the worker that answered, 0 if unsaid
    :ivar refused: what could not be read; a run that is not named may then
        be there all the same
    """

    clock_ms: int
    started_unix_ms: int = 0
    running: tuple[RunStatus, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    refused: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StartOrder:
    """An order to start a run of a task."""

    task: TaskId
    run: int
    payload: str
    lease_until_worker_ms: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen(kw_only=True)
class Pacing:
    """An order to let a run work at a share of its speed."""

    task: TaskId
    run: int
    percent: int


class WorkerChannel(abc.ABC):
    """Calls to one worker. Every call carries the fence of its sender.

    A failure whose ``ran`` is unknown may be carried out seconds later.
    """

    @abc.abstractmethod
    def report(
        self, fence: int, acked_sequence: int, lease_ms: int, wait_ms: int
    ) -> WorkerReport | Failure:
        """Extend the lease on all runs, forget ends, and list runs.

        :param lease_ms: on the worker's clock, 0 to leave the lease alone
        """

    @abc.abstractmethod
    def start(self, fence: int, order: StartOrder) -> int | Failure:
        """Start a run; the same run starts once.

        :returns: the worker's clock, or RUN_FENCED, RUN_SUPERSEDED,
            RUN_LATE, RUN_NO_ROOM, RUN_NO_TICKET, WORKER_REPLACED,
            WORKER_BUSY or WORKER_UNREACHABLE
        """

    @abc.abstractmethod
    def stop(self, fence: int, task: TaskId, run: int) -> None | Failure:
        """Stop a run, or keep it from starting later."""

    @abc.abstractmethod
    def pace(self, fence: int, pacing: Pacing) -> None | Failure:
        """Change the speed of a run."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""


class VmPhase(enum.Enum):
    """State of a VM in the VM service."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen(kw_only=True)
class FleetVm:
    """A VM; it keeps its name over all lives of its worker."""

    name: str
    pool: str
    phase: VmPhase
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    worker_id: str


@attrs.frozen(kw_only=True)
class VmListing:
    """The VMs of the fleet.

    :ivar is_complete: every row could be read; otherwise a VM that is not
        named may be there all the same
    """

    vms: tuple[FleetVm, ...]
    is_complete: bool


class FleetService(abc.ABC):
    """The service that moves and maintains VMs."""

    @abc.abstractmethod
    def vms(self) -> VmListing | Failure:
        """Return all VMs, or PLATFORM_UNAVAILABLE."""

    @abc.abstractmethod
    def move(self, fence: int, vm: str, pool: str) -> None | Failure:
        """Move a VM to a pool; everything that runs on it ends."""

    @abc.abstractmethod
    def maintain(self, fence: int, vm: str, wave: int) -> None | Failure:
        """Begin the maintenance of a VM; everything on it ends."""


@attrs.frozen(kw_only=True)
class Ticket:
    """Permission to run a step on a worker."""

    worker_id: str
    value: str


class Advisor(abc.ABC):
    """The service that knows which workers may run a step."""

    @abc.abstractmethod
    def advise(
        self, job_id: str, occurrence: int, step: int, workers: list[str]
    ) -> list[Ticket] | Failure:
        """Return tickets for those of the workers that may run the step."""
