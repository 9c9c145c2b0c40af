"""Availability budgets for taking VMs out of service (rule R7)."""

import attrs

from rosemarynotch._internal.exceptions import BUDGET_WOULD_BREAK
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState

__all__ = ["Availability", "is_planned_outage"]

PLANNED_STATES = frozenset(
    (VmState.DRAINING, VmState.DRAINED, VmState.REBOOTING, VmState.LEAVING)
)

Rack = tuple[str, str]


def is_planned_outage(vm: VmRecord) -> bool:
    """Return whether a VM is out of service for a planned reason.

    A joining VM counts only after a reboot in a wave: a new VM, or the
    replacement of a failed one, was not taken out of service deliberately.
    """
    if vm.state is VmState.JOINING:
        return bool(vm.wave)
    return vm.state in PLANNED_STATES


@attrs.define
class PoolAvailability:
    """VMs of a pool in service, and planned outages by rack."""

    min_available_vms: int | None
    serving: set[str] = attrs.field(factory=set)
    planned_racks: dict[Rack, int] = attrs.field(factory=dict)


class Availability:
    """Availability budgets of all pools for one value of the fleet record.

    A pool that is not in the document has no budget.

    :param failed: VMs observed as failed, which count as not serving
    """

    def __init__(
        self,
        record: FleetRecord,
        document: Document,
        failed: frozenset[str] = frozenset(),
    ) -> None:
        self._vms = dict(record.vms)
        self._failed = failed
        self.pools = {
            pool.name: PoolAvailability(pool.min_available_vms)
            for pool in document.pools
        }
        for name, vm in record.vms.items():
            self._count(name, vm)

    def _count(self, name: str, vm: VmRecord) -> None:
        pool = self.pools.setdefault(vm.pool, PoolAvailability(None))
        if vm.state is VmState.SERVING:
            if name not in self._failed:
                pool.serving.add(name)
        elif is_planned_outage(vm):
            rack = (vm.data_centre, vm.rack)
            pool.planned_racks[rack] = pool.planned_racks.get(rack, 0) + 1

    def refusal(self, name: str) -> Failure | None:
        """Return why a VM may not be taken out of service, or None.

        :returns: BUDGET_WOULD_BREAK with a reason
        """
        vm = self._vms[name]
        pool = self.pools[vm.pool]
        if pool.min_available_vms is None:
            return None
        remaining = len(pool.serving - {name})
        if remaining < pool.min_available_vms:
            return BUDGET_WOULD_BREAK.with_reason(
                f"pool {vm.pool} would keep {remaining} VMs of at least"
                f" {pool.min_available_vms}"
            )
        if pool.planned_racks.keys() - {(vm.data_centre, vm.rack)}:
            return BUDGET_WOULD_BREAK.with_reason(
                f"another rack of pool {vm.pool} is out of service"
            )
        return None

    def mark_planned_outage(self, name: str) -> None:
        """Count a VM as a planned outage in later checks."""
        vm = self._vms[name]
        pool = self.pools[vm.pool]
        pool.serving.discard(name)
        rack = (vm.data_centre, vm.rack)
        pool.planned_racks[rack] = pool.planned_racks.get(rack, 0) + 1
