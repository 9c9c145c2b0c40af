"""Abstract base classes of the platform's services."""

import abc
import enum

import attrs

from rosemarynotch._internal.exceptions import Failure

__all__ = [
    "KeyRevision",
    "PlatformVm",
    "PlatformVmState",
    "Store",
    "Task",
    "TaskService",
    "TaskState",
    "Versioned",
    "VmService",
]


@attrs.frozen(kw_only=True)
class Versioned:
    """A value of the store and its revision, which only increases."""

    value: bytes
    revision: int


@attrs.frozen(kw_only=True)
class KeyRevision:
    """A key and its revision, as listed by prefix."""

    key: str
    revision: int


class Store(abc.ABC):
    """The platform's key-value store.

    A write whose answer is lost returns STORE_UNAVAILABLE with ``ran``
    unknown, since it may have taken effect.
    """

    @abc.abstractmethod
    def get(self, key: str) -> Versioned | Failure:
        """Read a value.

        :returns: the value, STORE_KEY_MISSING or STORE_UNAVAILABLE
        """

    @abc.abstractmethod
    def put(
        self, key: str, value: bytes, expected: int, lease: str = ""
    ) -> int | Failure:
        """Write a value if the key has the expected revision.

        :param expected: revision to replace, 0 to create the key
        :param lease: lease on whose expiry the key is deleted
        :returns: the new revision, STORE_CONFLICT, LEASE_LOST or
            STORE_UNAVAILABLE
        """

    @abc.abstractmethod
    def delete(self, key: str, expected: int) -> None | Failure:
        """Delete a key if it has the expected revision.

        :returns: None, STORE_CONFLICT, STORE_KEY_MISSING or
            STORE_UNAVAILABLE
        """

    @abc.abstractmethod
    def keys(self, prefix: str) -> list[KeyRevision] | Failure:
        """List keys by prefix, in key order."""

    @abc.abstractmethod
    def watch(self, key: str, after: int, wait_ms: int) -> Versioned | Failure:
        """Wait until a key has a revision above ``after``.

        :returns: the value, STORE_UNCHANGED when the wait ended, or
            STORE_UNAVAILABLE
        """

    @abc.abstractmethod
    def grant_lease(self, ttl_ms: int) -> str | Failure:
        """Return the identifier of a new lease."""

    @abc.abstractmethod
    def renew_lease(self, lease: str) -> None | Failure:
        """Extend a lease by its time to live.

        :returns: None, LEASE_LOST or STORE_UNAVAILABLE
        """


class PlatformVmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    REBOOTING = "rebooting"


@attrs.frozen(kw_only=True)
class PlatformVm:
    """A row of the platform's VM list, which may be out of date.

    :ivar instance: changes when the VM is rebooted or replaced
    """

    name: str
    instance: str
    state: PlatformVmState
    address: str = ""
    data_centre: str = ""
    rack: str = ""


class VmService(abc.ABC):
    """The platform's VM list and VM operations."""

    @abc.abstractmethod
    def vms(self) -> list[PlatformVm] | Failure:
        """Return the list of VMs, or PLATFORM_UNAVAILABLE."""

    @abc.abstractmethod
    def drain(self, vm: str, operation_id: str) -> None | Failure:
        """Make a VM refuse new work. Repeating an operation is harmless."""

    @abc.abstractmethod
    def undrain(self, vm: str, operation_id: str) -> None | Failure:
        """Make a VM accept work again."""

    @abc.abstractmethod
    def reboot(self, vm: str, operation_id: str) -> None | Failure:
        """Reboot a VM once per operation."""


class TaskState(enum.StrEnum):
    """State of a task on a worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"


@attrs.frozen(kw_only=True)
class Task:
    """A task on a worker.

    :ivar used_cores: usage, which is reported with a lag
    :ivar checkpoint: the newest checkpoint, empty when there is none
    """

    task_id: str
    worker: str
    cores: float
    memory_mb: int
    state: TaskState = TaskState.RUNNING
    accelerators: int = 0
    payload: str = ""
    used_cores: float = 0.0
    used_memory_mb: int = 0
    result: str = ""
    checkpoint: str = ""


class TaskService(abc.ABC):
    """The platform's service for tasks on workers."""

    @abc.abstractmethod
    def start(self, task: Task, lease_ms: int) -> None | Failure:
        """Start a task; a task id is started at most once.

        :returns: None, also if it was started before; PLATFORM_REFUSED if it
            was not started; PLATFORM_UNAVAILABLE, with ``ran`` unknown if it
            may have been started
        """

    @abc.abstractmethod
    def tasks(self) -> list[Task] | Failure:
        """Return all tasks known to the platform."""

    @abc.abstractmethod
    def renew(self, task_ids: list[str], lease_ms: int) -> None | Failure:
        """Extend the leases of running tasks."""

    @abc.abstractmethod
    def checkpoint(self, task_id: str) -> None | Failure:
        """Save the state of a task."""

    @abc.abstractmethod
    def throttle(self, task_id: str, cores: float) -> None | Failure:
        """Limit the processor cores of a task."""

    @abc.abstractmethod
    def stop(self, task_id: str) -> None | Failure:
        """Stop a task."""
