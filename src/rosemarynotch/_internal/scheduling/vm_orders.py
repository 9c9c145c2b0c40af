"""Record of the latest VM orders, which keeps leaders from conflicting."""

from collections.abc import Callable
from collections.abc import Iterable
import threading
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.ports import Condition
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.records import LEADER_KEY
from rosemarynotch._internal.utils.clock import Clock

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = [
    "VM_ORDERS_KEY",
    "VmOrderObserver",
    "VmOrderRegistry",
    "VmOrdersRecord",
]

VM_ORDERS_KEY = "control/vm-orders"
# An order that this node gave in an earlier term may still be in progress for
# this long (time-out of the VM service, 1 s). The full holder interval is only
# required between orders of different nodes.
SAME_HOLDER_INTERVAL_S = 1.0
# Orders are sent at most this long after they were announced.
SEND_LIMIT_S = 0.5
OBSERVE_INTERVAL_S = 0.5


@attrs.frozen(kw_only=True)
class VmOrdersRecord:
    """VMs that were ordered recently or were about to be.

    :ivar holders: node that gave the last order, by VM
    :ivar ages_ms: time since that order was answered, by VM; orders without
        an answer have none
    """

    holders: dict[str, str] = attrs.field(factory=dict)
    ages_ms: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class _EarlierOrder:
    """An order of an earlier leader.

    :ivar at_s: latest time at which it may have arrived
    """

    holder: str
    at_s: float


@attrs.define
class _OwnOrder:
    """An order of this leader.

    :ivar answered_s: None until it is answered or has failed
    """

    announced_s: float
    answered_s: float | None = None


class VmOrderObserver:
    """Notes since when this node knows the record of VM orders.

    Each node reads the record regularly, so that it knows how old the orders
    in it are at least when it becomes the leader.
    """

    def __init__(self, store: CoordinationStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._seen: tuple[int, float] | None = None

    def run(self, stop: threading.Event) -> None:
        """Read the record until the process stops."""
        while not stop.wait(OBSERVE_INTERVAL_S):
            self.observe()

    def observe(self) -> None:
        """Read the record once."""
        item = self._store.get(VM_ORDERS_KEY, allow_stale=True)
        if isinstance(item, Failure):
            return
        if self._seen is None or self._seen[0] != item.revision:
            self._seen = (item.revision, self._clock.monotonic_s())

    def seen_at_s(self, revision: int) -> float | None:
        """Return when a revision of the record was seen first."""
        seen = self._seen
        return seen[1] if seen and seen[0] == revision else None


class VmOrderRegistry:
    """Records VMs in the store before orders for them are sent.

    A new leader does not order a VM in the record before the holder interval
    since its last order has passed. Without the record it could not order any
    VM until then, although queues are waiting for VMs.

    :param holder_interval_s: minimum time between orders of two holders for
        the same VM
    :param seen_at_s: returns when this node saw a revision of the record first
    """

    def __init__(
        self,
        controller: "Controller",
        holder_interval_s: float,
        seen_at_s: Callable[[int], float | None],
    ) -> None:
        self._controller = controller
        self._holder_interval_s = holder_interval_s
        self._seen_at_s = seen_at_s
        self._holder = controller.leadership.node
        self._started_at_s = controller.clock.monotonic_s()
        self._holder_interval_end_s = self._started_at_s + holder_interval_s
        self._inherited: dict[str, _EarlierOrder] | None = None
        self._own: dict[str, _OwnOrder] = {}
        self._revision = 0

    def load(self) -> None:
        """Read the record of the VMs that earlier leaders ordered."""
        item = self._controller.ports.store.get(VM_ORDERS_KEY)
        if isinstance(item, Failure):
            if item.is_a(STORE_KEY_MISSING):
                self._inherited = {}
            return
        self._revision = item.revision
        record = decode(item.value, VmOrdersRecord)
        if isinstance(record, Failure):
            self._controller.log("vm orders refused", why=record.reason)
            return
        self._inherited = {
            vm: _EarlierOrder(
                holder=holder,
                at_s=self._latest_arrival_s(record, vm, item.revision),
            )
            for vm, holder in record.holders.items()
        }

    def _latest_arrival_s(
        self, record: VmOrdersRecord, vm: str, revision: int
    ) -> float:
        """Return the latest time at which an earlier order may have arrived.

        The earlier leaders have given no orders since this term began.
        """
        seen_at_s = self._seen_at_s(revision)
        if seen_at_s is None:
            seen_at_s = self._started_at_s
        age_ms = record.ages_ms.get(vm)
        since_seen_s = SEND_LIMIT_S if age_ms is None else -age_ms / 1000
        return min(self._started_at_s, seen_at_s + since_seen_s)

    def may_order(self, vm: str, now_s: float) -> bool:
        """Return whether a VM may be ordered without conflicting orders.

        During the holder interval, VMs that another node ordered have to wait,
        and all VMs if the record could not be read.
        """
        if now_s >= self._holder_interval_end_s:
            return True
        if self._inherited is None:
            return False
        order = self._inherited.get(vm)
        if order is None:
            return True
        if order.holder == self._holder:
            return now_s >= order.at_s + SAME_HOLDER_INTERVAL_S
        return now_s >= order.at_s + self._holder_interval_s

    def may_send(self, vm: str, now_s: float) -> bool:
        """Return whether an order for an announced VM may still be sent.

        The next leader assumes that orders are sent soon after they were
        announced.
        """
        own = self._own.get(vm)
        return own is not None and now_s - own.announced_s <= SEND_LIMIT_S

    def record_answer(self, vm: str, now_s: float) -> None:
        """Note that an order for a VM has been answered or has failed."""
        own = self._own.get(vm)
        if own is not None:
            own.answered_s = now_s

    def announce(self, vms: Iterable[str], now_s: float) -> bool:
        """Record VMs that are about to be ordered.

        :returns: whether the record was written; otherwise the VMs must not
            be ordered
        """
        own = {
            vm: order
            for vm, order in self._own.items()
            # Kept for twice the interval, as the next leader reads the record
            # only after the lease of this one has expired.
            if now_s - order.announced_s < 2 * self._holder_interval_s
        }
        own.update((vm, _OwnOrder(now_s)) for vm in vms)
        record = self._make_record(own, now_s)
        if not self._write(record):
            self._controller.log(
                "vm orders not recorded", vms=len(record.holders)
            )
            return False
        self._own = own
        return True

    def _write(self, record: VmOrdersRecord) -> bool:
        """Write the record; return whether it was stored.

        A write without an answer may be applied seconds later, and must not
        replace a newer one, so each expects the revision known here.
        """
        controller = self._controller
        for _ in range(2):
            answer = controller.ports.store.commit(
                [
                    Condition(LEADER_KEY, controller.grant.fence),
                    Condition(VM_ORDERS_KEY, self._revision),
                ],
                [Write(VM_ORDERS_KEY, encode(record))],
            )
            if isinstance(answer, int):
                self._revision = answer
                return True
            if not isinstance(answer, CommitConflict):
                return False
            # An earlier write without an answer was applied.
            revisions = {item.key: item.revision for item in answer.items}
            self._revision = revisions.get(VM_ORDERS_KEY, 0)
        return False

    def _make_record(
        self, own: dict[str, _OwnOrder], now_s: float
    ) -> VmOrdersRecord:
        holders: dict[str, str] = {}
        ages_ms: dict[str, int] = {}
        if now_s < self._holder_interval_end_s:
            for vm, earlier in (self._inherited or {}).items():
                holders[vm] = earlier.holder
                ages_ms[vm] = int((now_s - earlier.at_s) * 1000)
        for vm, order in own.items():
            holders[vm] = self._holder
            if order.answered_s is None:
                ages_ms.pop(vm, None)
            else:
                ages_ms[vm] = int((now_s - order.answered_s) * 1000)
        return VmOrdersRecord(holders=holders, ages_ms=ages_ms)
