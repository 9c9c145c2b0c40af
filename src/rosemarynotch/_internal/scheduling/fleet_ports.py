"""Interfaces of the VM service and the advice service.

They contain the values that are exchanged with them.
"""

import abc
import enum

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.scheduling.model import Resources

__all__ = [
    "AdviceAnswer",
    "Advisor",
    "FleetService",
    "FleetVm",
    "Ticket",
    "VmListing",
    "VmPhase",
]


class VmPhase(enum.Enum):
    """State of a VM in the VM service."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen(kw_only=True)
class FleetVm:
    """A VM of the fleet.

    :ivar name: stays the same when the VM is moved or maintained
    :ivar worker_id: worker that runs on the VM now, empty if there is none
    """

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

    :ivar is_complete: whether every row could be read; if not, VMs may exist
        that the listing does not contain
    """

    vms: tuple[FleetVm, ...]
    is_complete: bool


class FleetService(abc.ABC):
    """Client of the service that moves and maintains VMs."""

    @abc.abstractmethod
    def vms(self) -> VmListing | Failure:
        """List the VMs.

        :returns: all VMs, or PLATFORM_UNAVAILABLE
        """

    @abc.abstractmethod
    def move(self, fence: int, vm: str, pool: str) -> None | Failure:
        """Move a VM to a pool, which ends everything that runs on it."""

    @abc.abstractmethod
    def maintain(self, fence: int, vm: str, wave: int) -> None | Failure:
        """Start maintenance of a VM, which ends everything that runs on it."""


@attrs.frozen(kw_only=True)
class Ticket:
    """A permission to run a step of a job on a worker."""

    worker_id: str
    value: str


@attrs.frozen(kw_only=True)
class AdviceAnswer:
    """Tickets for the workers that may run a step.

    :ivar validity_ms: how long they are valid, None for as long as the policy
        of the queue says
    """

    tickets: tuple[Ticket, ...]
    validity_ms: int | None = None


class Advisor(abc.ABC):
    """Client of the service that decides which workers may run a step."""

    @abc.abstractmethod
    def advise(
        self,
        job_id: str,
        occurrence: int,
        step: int,
        workers: list[str],
        wait_s: float,
    ) -> AdviceAnswer | Failure:
        """Return tickets for the given workers that may run the step.

        :param wait_s: time that the service needs for the call, and for those
            before it
        """
