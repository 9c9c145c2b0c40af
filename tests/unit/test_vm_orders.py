"""Orders for VMs while the leader changes."""

import types

import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.fleet_manager import FleetManager
from rosemarynotch._internal.scheduling.leadership import Grant
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.pool_sizing import PoolLoad
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.ports import FleetVm
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import VmListing
from rosemarynotch._internal.scheduling.ports import VmPhase
from rosemarynotch._internal.scheduling.vm_order_registry import (
    VmOrderRegistry,
)
from tests.lib.scheduling import Leader

QUIET_S = 3.3


class MemoryStore:
    """Holds the record; writes of an earlier leader do not apply."""

    def __init__(self):
        self.value = None
        self.fence = 1
        self.is_down = False

    def get(self, key, allow_stale=False):
        if self.is_down:
            return STORE_UNAVAILABLE
        if self.value is None:
            return STORE_KEY_MISSING
        return Item(key=key, revision=1, value=self.value)

    def commit(self, conditions, writes, deletes=[]):
        if self.is_down:
            return STORE_UNAVAILABLE
        if conditions[0].revision != self.fence:
            return CommitConflict(())
        self.value = writes[0].value
        return 9


class TestVmOrders(testtools.TestCase):
    """Two leaders must not order one VM within the pause (rule ONE)."""

    def setUp(self):
        super().setUp()
        self.store = MemoryStore()
        self.now_s = 100.0

    def book(self, fence, node=None):
        """Return the book of a new leader, on a node of its own."""
        self.store.fence = fence
        controller = types.SimpleNamespace(
            ports=types.SimpleNamespace(store=self.store),
            clock=types.SimpleNamespace(monotonic_s=lambda: self.now_s),
            grant=Grant(term=fence, fence=fence, lease_id=1),
            leadership=types.SimpleNamespace(node=node or f"node-{fence}"),
            log=lambda event, **fields: None,
        )
        book = VmOrderRegistry(controller, QUIET_S)
        book.load()
        return book

    def test_only_vms_of_the_record_have_to_wait(self):
        """All VMs waited 3.3 s after each change, while queues peaked."""
        first = self.book(1)
        self.assertTrue(first.may_order("a", self.now_s))
        self.assertTrue(first.announce(["a"], self.now_s))
        second = self.book(2)
        self.assertFalse(second.may_order("a", self.now_s + 1))
        self.assertTrue(second.may_order("b", self.now_s + 1))
        self.assertTrue(second.may_order("a", self.now_s + QUIET_S))

    def test_node_that_leads_again_need_not_wait(self):
        """142 idle VMs stayed where they were for 3 s of another peak."""
        self.book(1, "n").announce(["a"], self.now_s)
        self.book(2, "m").announce(["b"], self.now_s)
        third = self.book(3, "n")
        self.assertFalse(third.may_order("a", self.now_s + 0.9))
        self.assertTrue(third.may_order("a", self.now_s + 1.1))
        self.assertFalse(third.may_order("b", self.now_s + 1.1))
        self.assertTrue(third.may_order("b", self.now_s + QUIET_S))

    def test_record_outlives_a_short_term(self):
        """A leader that ends within the pause passes the record on."""
        self.book(1).announce(["a"], self.now_s)
        self.now_s += 1.0
        self.book(2).announce(["b"], self.now_s)
        third = self.book(3)
        self.assertFalse(third.may_order("a", self.now_s))
        self.assertFalse(third.may_order("b", self.now_s))

    def test_old_orders_leave_the_record(self):
        """It must not grow with every VM that was ever ordered."""
        book = self.book(1)
        book.announce(["a"], self.now_s)
        book.announce(["b"], self.now_s + 2 * QUIET_S + 0.1)
        self.assertTrue(self.book(2).may_order("a", self.now_s))

    def test_earlier_leader_records_nothing(self):
        """An order without a record must not be given."""
        first = self.book(1)
        self.book(2)
        self.assertFalse(first.announce(["a"], self.now_s))

    def test_unread_record_means_all_wait(self):
        """Without the record, any VM may have been ordered."""
        self.store.is_down = True
        book = self.book(2)
        self.assertFalse(book.may_order("b", self.now_s))
        self.assertTrue(book.may_order("b", self.now_s + QUIET_S))
        self.assertFalse(book.announce(["b"], self.now_s))


class TestMovedVms(testtools.TestCase):
    """Which inherited workers are over because their VMs have moved."""

    def test_moved_vms_hide_no_runs(self):
        """Jobs waited 5 s for the leases of workers whose VMs had moved."""
        leader = Leader(term=2, started_revision=20)
        entries = [leader.entry("gone"), leader.entry("silent")]
        leader.scheduler.set_workers(entries, 1000.0, are_inherited=True)
        vms = (self.vm("a", "silent"), self.vm("b", "new"))
        leader.scheduler.mark_replaced_workers(
            VmListing(vms=vms, is_complete=True)
        )
        leader.scheduler.expire_workers(1000.1)
        self.assertEqual(
            {"p"}, leader.scheduler.pools_with_unknown_runs(1000.1)
        )
        self.assertEqual(["silent"], list(leader.scheduler.workers))
        leader.report("silent")
        self.assertEqual(
            set(), leader.scheduler.pools_with_unknown_runs(1000.1)
        )

    def test_vms_that_are_down_may_hide_runs(self):
        """A list that does not name its workers proves nothing."""
        leader = Leader(term=2, started_revision=20)
        leader.scheduler.set_workers(
            [leader.entry("w")], 1000.0, are_inherited=True
        )
        down = self.vm("a", "", VmPhase.DOWN)
        for vms, is_complete in (
            ((), True),
            ((down, self.vm("b", "x")), True),
            ((self.vm("b", "x"),), False),
        ):
            listing = VmListing(vms=vms, is_complete=is_complete)
            leader.scheduler.mark_replaced_workers(listing)
            leader.scheduler.expire_workers(1000.1)
            self.assertEqual(
                {"p"}, leader.scheduler.pools_with_unknown_runs(1000.1)
            )

    @staticmethod
    def vm(name, worker_id, phase=VmPhase.UP):
        return FleetVm(
            name=name,
            pool="p",
            phase=phase,
            data_centre="",
            labels=(),
            capacity=Resources(),
            worker_id=worker_id,
        )


class TestPoolSizeLines(testtools.TestCase):
    """What the sizes of the pools follow, once a second."""

    def test_pool_with_the_name_of_a_log_field(self):
        """Pools as names of fields ended the leader's term."""
        lines = []
        manager = types.SimpleNamespace(
            _reported_at_s=0.0,
            _controller=types.SimpleNamespace(
                log=lambda event, **fields: lines.append((event, fields))
            ),
        )
        loads = [
            PoolLoad(
                name=name,
                is_standby=False,
                vm_count=3,
                idle_vms=("a",),
                demand_vms=1.25,
            )
            for name in ("event", "self", "p")
        ]
        FleetManager._report(manager, loads, 10.0)
        FleetManager._report(manager, loads, 10.5)
        self.assertEqual(
            ["event", "self", "p"], [fields["pool"] for _, fields in lines]
        )
        self.assertEqual({"pool size"}, {event for event, _ in lines})
