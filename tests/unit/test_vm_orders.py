"""Unit tests of VM orders during a change of the leader."""

import types

import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.fleet_manager import FleetManager
from rosemarynotch._internal.scheduling.leadership import Grant
from rosemarynotch._internal.scheduling.policy import DemandSizer
from rosemarynotch._internal.scheduling.policy import PoolLoad
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.vm_orders import VmOrderObserver
from rosemarynotch._internal.scheduling.vm_orders import VmOrderRegistry

HOLDER_INTERVAL_S = 3.3


class MemoryStore:
    """In-memory store of one record; checks the conditions of writes.

    :ivar loses_calls: whether transactions have no answer and are kept in
        ``late``
    """

    def __init__(self):
        self.value = None
        self.revision = 1
        self.fence = 1
        self.is_down = False
        self.loses_calls = False
        self.late = []

    def get(self, key, allow_stale=False):
        if self.is_down:
            return STORE_UNAVAILABLE
        if self.value is None:
            return STORE_KEY_MISSING
        return Item(key=key, revision=self.revision, value=self.value)

    def commit(self, conditions, writes, deletes=[]):
        if self.is_down:
            return STORE_UNAVAILABLE
        if self.loses_calls:
            self.late.append((conditions, writes))
            return STORE_UNAVAILABLE.with_ran_unknown()
        if conditions[0].revision != self.fence:
            return CommitConflict(())
        known = self.revision if self.value is not None else 0
        for condition in conditions[1:]:
            if condition.revision != known:
                item = Item(
                    key=condition.key, revision=known, value=self.value
                )
                return CommitConflict((item,) if known else ())
        self.value = writes[0].value
        self.revision += 1
        return self.revision


class TestVmOrders(testtools.TestCase):
    """Guards against orders of two leaders for one VM (rule ONE).

    Orders of different leaders for a VM have to be an interval apart.
    """

    def setUp(self):
        super().setUp()
        self.store = MemoryStore()
        self.now_s = 100.0

    def new_registry(self, fence, node=None, observer=None):
        """Return the registry of a new leader, by default on a new node."""
        self.store.fence = fence
        controller = types.SimpleNamespace(
            ports=types.SimpleNamespace(store=self.store),
            clock=types.SimpleNamespace(monotonic_s=lambda: self.now_s),
            grant=Grant(term=fence, fence=fence, lease_id=1),
            leadership=types.SimpleNamespace(node=node or f"node-{fence}"),
            log=lambda event, **fields: None,
        )
        registry = VmOrderRegistry(
            controller,
            HOLDER_INTERVAL_S,
            observer.seen_at_s if observer else lambda revision: None,
        )
        registry.load()
        return registry

    def test_only_vms_of_the_record_have_to_wait(self):
        """Guards against queues at their peak that wait for VMs.

        All VMs were blocked for 3.3 s after each change of the leader.
        """
        first = self.new_registry(1)
        self.assertTrue(first.may_order("a", self.now_s))
        self.assertTrue(first.announce(["a"], self.now_s))
        second = self.new_registry(2)
        self.assertFalse(second.may_order("a", self.now_s + 1))
        self.assertTrue(second.may_order("b", self.now_s + 1))
        self.assertTrue(second.may_order("a", self.now_s + HOLDER_INTERVAL_S))

    def test_node_that_leads_again_need_not_wait(self):
        """Guards against idle VMs that are blocked without need.

        A node that led again waited for its own orders: 142 idle VMs were not
        moved during 3 s of another pool's peak.
        """
        self.new_registry(1, "n").announce(["a"], self.now_s)
        self.new_registry(2, "m").announce(["b"], self.now_s)
        third = self.new_registry(3, "n")
        self.assertFalse(third.may_order("a", self.now_s + 0.9))
        self.assertTrue(third.may_order("a", self.now_s + 1.1))
        self.assertFalse(third.may_order("b", self.now_s + 1.1))
        self.assertTrue(third.may_order("b", self.now_s + HOLDER_INTERVAL_S))

    def test_answered_orders_age_in_the_record(self):
        """Guards against VMs that wait longer than the interval.

        52 standby VMs waited 3.3 s after a change of the leader in a peak,
        although most of their orders were older than a second.
        """
        first = self.new_registry(1)
        first.announce(["a", "b"], self.now_s)
        first.record_answer("a", self.now_s + 0.2)
        first.announce(["c"], self.now_s + 1.2)
        self.now_s += 2.0
        second = self.new_registry(2)
        free_s = self.now_s + HOLDER_INTERVAL_S
        self.assertFalse(second.may_order("a", free_s - 1.1))
        self.assertTrue(second.may_order("a", free_s - 0.9))
        for vm in ("b", "c"):
            self.assertFalse(second.may_order(vm, free_s - 0.1))

    def test_ages_of_earlier_leaders_are_kept(self):
        """Guards against orders that look older or younger after two terms."""
        first = self.new_registry(1)
        first.announce(["a"], self.now_s)
        first.record_answer("a", self.now_s)
        first.announce(["b"], self.now_s + 1.0)
        second = self.new_registry(2)
        self.now_s += 0.5
        second.announce(["c"], self.now_s)
        third = self.new_registry(3)
        free_s = self.now_s + HOLDER_INTERVAL_S
        self.assertFalse(third.may_order("a", free_s - 1.6))
        self.assertTrue(third.may_order("a", free_s - 1.4))
        self.assertFalse(third.may_order("b", free_s - 0.6))
        self.assertTrue(third.may_order("b", free_s - 0.4))
        self.assertFalse(third.may_order("c", free_s - 0.1))

    def test_time_since_the_record_was_seen_counts(self):
        """Guards against VMs that wait for a leader that gave no orders.

        A record that has not changed for a second has orders that are a second
        old, even if they had no answer yet.
        """
        clock = types.SimpleNamespace(monotonic_s=lambda: self.now_s)
        observer = VmOrderObserver(self.store, clock)
        first = self.new_registry(1)
        first.announce(["a"], self.now_s)
        observer.observe()
        self.now_s += 2.0
        observer.observe()
        free_s = self.now_s + HOLDER_INTERVAL_S
        second = self.new_registry(2, observer=observer)
        self.assertFalse(second.may_order("a", free_s - 1.6))
        self.assertTrue(second.may_order("a", free_s - 1.4))
        second.announce(["b"], self.now_s)
        third = self.new_registry(3, observer=observer)
        self.assertFalse(third.may_order("b", free_s - 0.1))

    def test_order_is_not_sent_long_after_its_announcement(self):
        """Guards against an order that the next leader takes for older."""
        registry = self.new_registry(1)
        self.assertFalse(registry.may_send("a", self.now_s))
        registry.announce(["a"], self.now_s)
        self.assertTrue(registry.may_send("a", self.now_s + 0.4))
        self.assertFalse(registry.may_send("a", self.now_s + 0.6))

    def test_record_survives_a_short_term(self):
        """Guards against orders that are forgotten after a short term.

        A leader whose term ends within the interval has to keep the orders of
        earlier leaders.
        """
        self.new_registry(1).announce(["a"], self.now_s)
        self.now_s += 1.0
        self.new_registry(2).announce(["b"], self.now_s)
        third = self.new_registry(3)
        self.assertFalse(third.may_order("a", self.now_s))
        self.assertFalse(third.may_order("b", self.now_s))

    def test_old_orders_are_removed_from_the_record(self):
        """Guards against a record that grows with every VM ever ordered."""
        registry = self.new_registry(1)
        registry.announce(["a"], self.now_s)
        registry.announce(["b"], self.now_s + 2 * HOLDER_INTERVAL_S + 0.1)
        self.assertTrue(self.new_registry(2).may_order("a", self.now_s))

    def test_earlier_leader_cannot_write_the_record(self):
        """Guards against orders that the next leader does not know of.

        An earlier leader cannot record its order, so it must not give it.
        """
        first = self.new_registry(1)
        self.new_registry(2)
        self.assertFalse(first.announce(["a"], self.now_s))

    def test_record_written_after_a_newer_one(self):
        """Guards against a late write that removes a newer order."""
        first = self.new_registry(1)
        for is_late in (True, False):
            self.store.loses_calls = True
            self.assertFalse(first.announce(["a"], self.now_s))
            self.store.loses_calls = False
            if not is_late:
                self.store.commit(*self.store.late.pop())
            self.assertTrue(first.announce(["b"], self.now_s))
            if is_late:
                self.store.commit(*self.store.late.pop())
            second = self.new_registry(1, "n")
            self.assertFalse(second.may_order("b", self.now_s + 1))

    def test_unreadable_record_blocks_all_vms(self):
        """Guards against orders while the record cannot be read.

        Any VM may have been ordered recently.
        """
        self.store.is_down = True
        registry = self.new_registry(2)
        self.assertFalse(registry.may_order("b", self.now_s))
        self.assertTrue(
            registry.may_order("b", self.now_s + HOLDER_INTERVAL_S)
        )
        self.assertFalse(registry.announce(["b"], self.now_s))


class TestPoolSizeLines(testtools.TestCase):
    """Guards against errors in the log lines about the sizes of the pools.

    They are written once a second.
    """

    def test_pool_named_like_a_log_field(self):
        """Guards against pool names that end the term.

        Used as names of log fields, they clashed with other parameters.
        """
        lines = []
        manager = types.SimpleNamespace(
            _reported_at_s=0.0,
            _sizer=DemandSizer(),
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
