"""Tracks the requests of this entry that run or may run on targets."""

from typing import Mapping

from rosemarynotch._internal.admission.grants import Grant
from rosemarynotch._internal.admission.held_grants import HeldGrants
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState

__all__ = ["InFlight"]


class InFlight:
    """Counts requests in flight by VM and holds grants of unknown outcome.

    Guarded by the dispatcher's lock.

    :ivar by_vm: requests in flight by VM, including held ones
    """

    def __init__(self) -> None:
        self.by_vm: dict[str, int] = {}
        self._held = HeldGrants()

    def start(self, vm: str) -> None:
        """Count a request that starts on a VM."""
        self.by_vm[vm] = self.by_vm.get(vm, 0) + 1

    def stop(self, vm: str) -> None:
        """Count a request that no longer runs."""
        remaining = self.by_vm[vm] - 1
        if remaining:
            self.by_vm[vm] = remaining
        else:
            del self.by_vm[vm]

    def on_non_serving_vms(
        self, vms: Mapping[str, VmRecord]
    ) -> dict[str, int]:
        """Return the requests in flight on VMs that are not serving.

        :param vms: VMs of the fleet record; a VM missing from it counts as
            not serving
        """
        return {
            vm: count
            for vm, count in self.by_vm.items()
            if vm not in vms or vms[vm].state is not VmState.SERVING
        }

    def hold(self, grant: Grant, now_s: float, duration_s: float) -> None:
        """Hold a grant for the time that its request may still run."""
        # The late answer may have arrived since the time-out.
        wait_s = 0.0 if grant.answered_late else duration_s
        self._held.add(grant, now_s + wait_s)

    def end_hold(self, grant: Grant) -> bool:
        """End a hold before it expires.

        If the hold has not begun yet, :meth:`hold` will expire it at once.

        :returns: whether the caller has to release the grant; False if the
            hold has already ended or has not begun
        """
        if self._held.end(grant):
            return True
        grant.answered_late = True
        return False

    def pop_expired_holds(self, now_s: float) -> list[Grant]:
        """Remove and return the grants whose hold has expired."""
        return self._held.pop_expired(now_s)
