"""Interfaces of the coordination store and the workers.

They contain the values that are exchanged with them.
"""

import abc
from collections.abc import Iterator
import enum

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.model import TaskId

__all__ = [
    "CommitConflict",
    "Condition",
    "CoordinationStore",
    "EndKind",
    "Item",
    "Listing",
    "Pacing",
    "RunEnd",
    "RunStatus",
    "StartOrder",
    "WorkerChannel",
    "WorkerEntry",
    "WorkerReport",
    "Write",
]


@attrs.frozen(kw_only=True)
class Item:
    """A key of the store with its value.

    :ivar revision: revision of the last write to the key
    :ivar value: None if a watch reports that the key was deleted
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
    """A precondition of a transaction: the expected revision of a key.

    :ivar revision: 0 if the key must not exist
    """

    key: str
    revision: int


@attrs.frozen
class Write:
    """A write of a transaction: a key and its new value.

    :ivar lease_id: lease with which the key expires, 0 for none
    """

    key: str
    value: bytes
    lease_id: int = 0


@attrs.frozen
class CommitConflict:
    """The result of a transaction whose conditions did not hold.

    :ivar items: current state of the keys in the conditions, without those
        that do not exist
    """

    items: tuple[Item, ...]


class CoordinationStore(abc.ABC):
    """Client of the key-value store that holds all durable state."""

    @abc.abstractmethod
    def get(self, key: str, allow_stale: bool = False) -> Item | Failure:
        """Read a key.

        :param allow_stale: accept a value that is some seconds old; such
            reads are cheap and do not count against the store's rate limit
        :returns: the item, STORE_KEY_MISSING or STORE_UNAVAILABLE
        """

    @abc.abstractmethod
    def list_prefix(self, prefix: str) -> Listing | Failure:
        """Return all items whose keys start with a prefix."""

    def pages(self, prefix: str) -> Iterator[Listing | Failure]:
        """Return the same items in several listings, in the order of keys.

        The listings are not a snapshot. A watch from the revision of the first
        one delivers all later changes. A failure is the last element.
        """
        yield self.list_prefix(prefix)

    @abc.abstractmethod
    def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Listing | Failure:
        """Wait for changes to keys that start with a prefix.

        :param after_revision: only later changes are returned
        :param wait_ms: longest time to wait for a change
        :returns: the changes, STORE_HISTORY_LOST or STORE_UNAVAILABLE
        """

    @abc.abstractmethod
    def commit(
        self,
        conditions: list[Condition],
        writes: list[Write],
        deletes: list[str] = [],
    ) -> int | CommitConflict | Failure:
        """Apply all writes and deletes if all conditions hold.

        :returns: the new revision, the conflicting items, LEASE_LOST, or
            STORE_UNAVAILABLE, with ``ran`` UNKNOWN if the transaction may
            still be applied
        """

    @abc.abstractmethod
    def grant_lease(self, ttl_ms: int) -> int | Failure:
        """Create a lease and return its identifier."""

    @abc.abstractmethod
    def renew_lease(self, lease_id: int) -> None | Failure:
        """Extend a lease.

        :returns: None, LEASE_LOST or STORE_UNAVAILABLE
        """

    @abc.abstractmethod
    def end_lease(self, lease_id: int) -> None | Failure:
        """End a lease and delete its keys."""


@attrs.frozen(kw_only=True)
class WorkerEntry:
    """The registration of a worker.

    :ivar worker_id: identifies a VM between two moves or maintenances
    :ivar started_unix_ms: start time of the process, which differs if a
        worker restarts under the same identifier
    :ivar labels: kind of the VM and its rack
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
    def roster_row(self) -> tuple[str, str]:
        """Return what the roster says of the worker: pool and address."""
        return self.pool, self.address

    @property
    def rack(self) -> str:
        """Return the rack, the second of the labels."""
        return self.labels[1] if len(self.labels) > 1 else ""


class EndKind(enum.Enum):
    """How a run ended.

    LAPSED means that its lease expired, BROKEN that another member of its
    gang ended, and ALONE that the other members of its gang did not start in
    time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen(kw_only=True)
class RunStatus:
    """State of a run that a worker executes.

    :ivar percent: progress of the run
    :ivar load: tail latency in milliseconds for a serving task, otherwise
        the processors in use
    """

    task: TaskId
    run: int
    checkpoint: str = ""
    percent: int = 0
    load: float = 0.0


@attrs.frozen(kw_only=True)
class RunEnd:
    """The end of a run.

    :ivar sequence: number of this end since the worker started
    """

    sequence: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str = ""


@attrs.frozen(kw_only=True)
class WorkerReport:
    """The runs of a worker and their ends, as the worker reports them.

    :ivar clock_ms: time on the worker's own clock
    :ivar started_unix_ms: start time of the process that answered, 0 if not
        given
    :ivar unnamed_ends: numbers of the ends that name no task
    :ivar refused: errors in rows that could not be read; if there are any,
        runs may exist that the report does not list
    :ivar is_cut: whether the worker may have more ends than the report lists;
        a run that the report lacks may then have ended in any way
    """

    clock_ms: int
    started_unix_ms: int = 0
    running: tuple[RunStatus, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    unnamed_ends: tuple[int, ...] = ()
    refused: tuple[str, ...] = ()
    is_cut: bool = False


@attrs.frozen(kw_only=True)
class StartOrder:
    """An order to start a run of a task.

    :ivar lease_until_worker_ms: end of the run's lease on the worker's clock
    :ivar checkpoint: checkpoint to resume from, empty for none
    :ivar ticket: permission of the advice service, empty if none is needed
    :ivar repeats: number of earlier orders for the same run; the answer to
        each is awaited longer than that to the one before
    :ivar worker_started_unix_ms: incarnation by whose clock the lease ends
    """

    task: TaskId
    run: int
    payload: str
    lease_until_worker_ms: int
    checkpoint: str = ""
    ticket: str = ""
    repeats: int = 0
    worker_started_unix_ms: int = 0


@attrs.frozen(kw_only=True)
class Pacing:
    """An order to throttle a run to a percentage of its full speed."""

    task: TaskId
    run: int
    percent: int


class WorkerChannel(abc.ABC):
    """Client of one worker; every call carries the sender's fencing token.

    A call that fails with ``ran`` UNKNOWN may still take effect seconds
    later.
    """

    @abc.abstractmethod
    def report(
        self, fence: int, acked_sequence: int, lease_ms: int, wait_ms: int
    ) -> WorkerReport | Failure:
        """Extend the lease on all runs, acknowledge ends and list the runs.

        The acknowledgement and the lease refer to the incarnation of the
        worker that gave the last report. They are sent only on the connection
        of that report; without it, another incarnation may answer, and the
        call neither acknowledges, nor extends, nor waits.

        :param acked_sequence: the worker may forget ends up to this one
        :param lease_ms: new end of the lease on the worker's clock, 0 to
            leave the lease unchanged
        :param wait_ms: longest time to wait for an end that is not yet
            acknowledged
        """

    @abc.abstractmethod
    def abort_report(self) -> None:
        """End a call for a report that waits, as if it had no answer."""

    @abc.abstractmethod
    def start(self, fence: int, order: StartOrder) -> int | Failure:
        """Start a run; repeating the call does not start it twice.

        The order is sent only on a connection on which the incarnation that
        it names has answered. If another one answers, it fails with
        WORKER_UNREACHABLE.

        :returns: the time on the worker's clock, or RUN_FENCED,
            RUN_SUPERSEDED, RUN_LATE, RUN_NO_ROOM, RUN_NO_TICKET,
            WORKER_REPLACED, WORKER_BUSY or WORKER_UNREACHABLE
        """

    @abc.abstractmethod
    def stop(
        self, fence: int, task: TaskId, run: int, repeats: int = 0
    ) -> None | Failure:
        """Stop a run, or prevent it from starting later.

        :param repeats: number of earlier stops of the run
        """

    @abc.abstractmethod
    def pace(self, fence: int, pacing: Pacing) -> None | Failure:
        """Change the speed of a run."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""
