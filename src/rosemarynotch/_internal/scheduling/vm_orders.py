"""Record of the latest VM orders, which keeps leaders from conflicting."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.ports import Condition
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.records import LEADER_KEY

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["VM_ORDERS_KEY", "VmOrderRegistry", "VmOrdersRecord"]

VM_ORDERS_KEY = "control/vm-orders"
# An order that this node gave in an earlier term may still be in progress for
# this long (time-out of the VM service, 1 s). The full holder interval is only
# required between orders of different nodes.
SAME_HOLDER_INTERVAL_S = 1.0


@attrs.frozen(kw_only=True)
class VmOrdersRecord:
    """VMs that were ordered recently or were about to be.

    :ivar holders: node that gave the last order, by VM
    """

    holders: dict[str, str] = attrs.field(factory=dict)


class VmOrderRegistry:
    """Records VMs in the store before orders for them are sent.

    A new leader does not order the VMs in the record before the holder
    interval has passed. Without the record it could not order any VM until
    then, although queues are waiting for VMs.

    :param holder_interval_s: minimum time between orders of two holders for
        the same VM
    """

    def __init__(
        self, controller: "Controller", holder_interval_s: float
    ) -> None:
        self._controller = controller
        self._holder_interval_s = holder_interval_s
        self._holder = controller.leadership.node
        self._started_at_s = controller.clock.monotonic_s()
        self._holder_interval_end_s = self._started_at_s + holder_interval_s
        self._inherited: dict[str, str] | None = None
        self._ordered_at_s: dict[str, float] = {}

    def load(self) -> None:
        """Read the record of the VMs that earlier leaders ordered."""
        item = self._controller.ports.store.get(VM_ORDERS_KEY)
        if isinstance(item, Failure):
            if item.is_a(STORE_KEY_MISSING):
                self._inherited = {}
            return
        record = decode(item.value, VmOrdersRecord)
        if isinstance(record, Failure):
            self._controller.log("vm orders refused", why=record.reason)
        else:
            self._inherited = record.holders

    def may_order(self, vm: str, now_s: float) -> bool:
        """Return whether a VM may be ordered without conflicting orders.

        During the holder interval, VMs that another node ordered have to wait,
        and all VMs if the record could not be read.
        """
        if now_s >= self._holder_interval_end_s:
            return True
        if self._inherited is None:
            return False
        holder = self._inherited.get(vm)
        if holder == self._holder:
            return now_s >= self._started_at_s + SAME_HOLDER_INTERVAL_S
        return holder is None

    def announce(self, vms: Iterable[str], now_s: float) -> bool:
        """Record VMs that are about to be ordered.

        :returns: whether the record was written; otherwise the VMs must not
            be ordered
        """
        ordered = {
            vm: at_s
            for vm, at_s in self._ordered_at_s.items()
            # Kept for twice the interval, as the next leader reads the record
            # only after the lease of this one has expired.
            if now_s - at_s < 2 * self._holder_interval_s
        }
        ordered.update(dict.fromkeys(vms, now_s))
        kept = dict.fromkeys(ordered, self._holder)
        if now_s < self._holder_interval_end_s:
            kept = (self._inherited or {}) | kept
        controller = self._controller
        record = VmOrdersRecord(holders=kept)
        answer = controller.ports.store.commit(
            [Condition(LEADER_KEY, controller.grant.fence)],
            [Write(VM_ORDERS_KEY, encode(record))],
        )
        if not isinstance(answer, int):
            controller.log("vm orders not recorded", vms=len(kept))
            return False
        self._ordered_at_s = ordered
        return True
