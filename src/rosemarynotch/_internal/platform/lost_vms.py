"""Evidence in the VM list that VM instances of members are gone."""

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.platform.interface import VmService
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["LostVms"]

# The VM list lags, so it may not show a new VM yet. An instance that this
# process has never seen listed counts as gone only after this time.
UNSEEN_S = 600.0


class LostVms:
    """Compares the members with the platform's VM list.

    :param own_vm: VM of this process, which a credible list contains
    """

    def __init__(self, vms: VmService, own_vm: str, clock: Clock) -> None:
        self._vms = vms
        self._own_vm = own_vm
        self._clock = clock
        self._unseen_s: dict[tuple[str, str], float] = {}
        self._seen: set[tuple[str, str]] = set()

    def among(self, members: MembersRecord) -> frozenset[tuple[str, str]]:
        """Return VM and instance of the members that are gone.

        :returns: nothing when the list cannot be had, is empty or lacks
            this process's own VM
        """
        listed = self._vms.vms()
        if isinstance(listed, Failure):
            return frozenset()
        instances = {(vm.name, vm.instance) for vm in listed}
        if self._own_vm not in {name for name, _ in instances}:
            return frozenset()
        of_members = {
            (member.vm, member.vm_instance)
            for member in members.members.values()
        }
        missing = of_members - instances
        self._seen = (self._seen & of_members) | instances
        now_s = self._clock.monotonic_s()
        self._unseen_s = {
            vm: self._unseen_s.get(vm, now_s) for vm in missing - self._seen
        }
        return frozenset(
            vm
            for vm in missing
            if vm in self._seen or now_s - self._unseen_s[vm] >= UNSEEN_S
        )
