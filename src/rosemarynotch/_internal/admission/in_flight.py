"""Requests of this entry that run or may run on targets."""

from typing import Mapping

from rosemarynotch._internal.admission.grants import Grant
from rosemarynotch._internal.admission.holds import Holds
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState

__all__ = ["InFlight"]


class InFlight:
    """Counts by VM, and the grants that are held after unknown outcomes.

    The dispatcher's lock guards it.

    :ivar by_vm: requests in flight, held ones included
    """

    def __init__(self) -> None:
        self.by_vm: dict[str, int] = {}
        self._holds = Holds()

    def start(self, vm: str) -> None:
        """Count a request that starts on a VM."""
        self.by_vm[vm] = self.by_vm.get(vm, 0) + 1

    def stop(self, vm: str) -> None:
        """Count a request that does not run any more."""
        left = self.by_vm[vm] - 1
        if left:
            self.by_vm[vm] = left
        else:
            del self.by_vm[vm]

    def on_leaving_vms(self, vms: Mapping[str, VmRecord]) -> dict[str, int]:
        """Return the counts of VMs that do not serve.

        :param vms: the fleet record's VMs; one that is missing from it does
            not serve
        """
        return {
            vm: count
            for vm, count in self.by_vm.items()
            if vm not in vms or vms[vm].state is not VmState.SERVING
        }

    def hold(self, grant: Grant, now_s: float, duration_s: float) -> None:
        """Keep a grant for the time that its request may still run."""
        # The late answer may have come since the time-out.
        wait_s = 0.0 if grant.has_ended else duration_s
        self._holds.add(grant, now_s + wait_s)

    def end_hold(self, grant: Grant) -> bool:
        """End a hold early; tell whether the caller has to free the grant.

        It has not when the hold has ended before, or begins only later.
        """
        if self._holds.end(grant):
            return True
        grant.has_ended = True
        return False

    def take_ended_holds(self, now_s: float) -> list[Grant]:
        """Remove and return the held grants whose time is over."""
        return self._holds.take_ended(now_s)
