"""Tests of portions of team limits (rules R1 and R2)."""

import testtools

from rosemarynotch._internal.admission.reclaimable import HolderKey
from rosemarynotch._internal.admission.reclaimable import ReclaimableHolders
from rosemarynotch._internal.control.dead_members import DeadMemberRemover
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.records import LimitRecord
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib.fleet import control
from tests.lib.fleet import FakeVmService
from tests.lib.fleet import limit_document
from tests.lib.fleet import LONGEST_RUN_S
from tests.lib.fleet import member
from tests.lib.fleet import pointer
from tests.lib.fleet import Process
from tests.lib.stores import Fault

TEAM = "ledger"


class PermitsTest(testtools.TestCase):
    """Guards against portions whose sum exceeds the limit (P4)."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.core = KeyValue(lambda: self.clock.now_s)
        self.hints = []
        self.processes = []
        self.version = 0

    def start(self, names, limit):
        self.processes = [self.process(name) for name in names]
        self.change_limit(limit)
        return self.processes

    def process(self, name, incarnation="i1"):
        return self.register(member(name, incarnation))

    def register(self, me):
        process = Process(self.core, self.clock, me, notify=self.hint)
        process.membership.register()
        return process

    def hint(self, name, team):
        self.hints.append(name)
        for process in self.processes:
            if process.membership.me.name == name:
                process.permits.handle_limit_changed(team)

    def change_limit(self, limit, rounds=4):
        self.version += 1
        self.document = limit_document({TEAM: limit} if limit else {})
        for process in self.processes:
            process.follow_members()
            process.in_force.apply(pointer(self.version), self.document)
        self.run_rounds(rounds)

    def run_rounds(self, rounds=4):
        for _ in range(rounds):
            self.clock.advance(1)
            for process in self.processes:
                process.guard.tick()
                process.permits.step()

    def poll(self):
        for process in self.processes:
            process.guard.tick()
            process.permits.poll()
        self.run_rounds(1)

    def portions(self):
        return [process.permits.portion(TEAM) for process in self.processes]

    def record(self):
        data = self.core.get(f"limits/{TEAM}").value
        return codec.decode(data, LimitRecord)

    def fill(self, process):
        count = 0
        while process.permits.try_acquire(TEAM):
            count += 1
        return count

    def request_portion(self, short, holder):
        self.poll()
        self.fill(short)
        holder.permits.record_heartbeat(short.heartbeat())

    def test_small_limit_leaves_an_entry_without_a_portion(self):
        """Guards against portions rounded up to more than the limit."""
        self.start("abcdef", 5)
        self.assertEqual([0, 1, 1, 1, 1, 1], sorted(self.portions()))
        self.assertEqual("e", self.processes[5].permits.largest_holder(TEAM))
        self.assertEqual("", self.processes[5].permits.largest_holder("x"))

    def test_idle_permits_are_transferred_to_a_short_holder(self):
        """Guards against idle permits while another process needs them."""
        a, b = self.start("ab", 8)
        self.assertEqual([4, 4], self.portions())
        self.hints.clear()
        self.request_portion(b, a)
        self.run_rounds()
        self.assertEqual([2, 6], self.portions())
        self.assertIn("b", self.hints)

    def test_delayed_write_does_not_add_permits(self):
        """Guards against permits that a late write gives away twice."""
        a, b = self.start("ab", 8)
        self.request_portion(b, a)
        a.store.is_delaying = True
        self.clock.advance(1)
        a.permits.step()
        self.assertEqual(2, a.permits.portion(TEAM))
        a.guard.tick()
        a.store.fault = Fault.DOWN
        a.permits.revalidate()
        self.assertEqual(2, a.permits.portion(TEAM))
        a.store.fault = Fault.NONE
        a.permits.revalidate()
        a.store.apply_delayed()
        b.permits.revalidate()
        self.assertEqual(8, sum(self.portions()))

    def test_usable_permits_are_lowered_before_the_write(self):
        """Guards against using permits that a write has just given away."""
        a, b = self.start("ab", 8)
        self.request_portion(b, a)
        portions_at_write, put = [], a.store.put
        a.store.put = lambda *args: portions_at_write.append(
            self.portions()
        ) or put(*args)
        self.clock.advance(1)
        a.permits.step()
        self.assertEqual([[2, 4]], portions_at_write)

    def test_usable_permits_are_restored_after_a_failed_write(self):
        """Guards against losing permits after a write that failed."""
        a, b = self.start("ab", 8)
        self.request_portion(b, a)
        a.store.fault = Fault.DOWN
        self.clock.advance(1)
        a.permits.step()
        self.assertEqual([4, 4], self.portions())

    def test_nothing_starts_while_a_lowered_limit_is_exceeded(self):
        """Guards against starts beside too many earlier requests."""
        a, b = self.start("ab", 10)
        self.assertEqual(5, self.fill(a))
        self.change_limit(4, rounds=1)
        self.assertEqual(2, self.record().portions["b"].requests)
        self.assertEqual(0, self.fill(b))
        for running in (4, 3, 2):
            a.permits.release(TEAM)
            recorded = self.record().portions["a"].requests
            self.assertGreaterEqual(recorded, running)
            self.run_rounds(2)
            total = running + self.fill(a) + self.fill(b)
            self.assertLessEqual(total, 4)

    def test_lowered_limit_applies_while_the_store_is_down(self):
        """Guards against using the old limit during an outage."""
        a, b = self.start("ab", 10)
        a.permits.try_acquire(TEAM)
        for process in (a, b):
            process.store.fault = Fault.DOWN
        self.change_limit(4)
        self.assertEqual([0, 0], self.portions())

    def test_raised_limit_is_claimed_and_removed_team_gets_nothing(self):
        """Guards against an unused limit and permits of a removed team."""
        self.start("ab", 4)
        self.change_limit(10)
        self.assertEqual([5, 5], self.portions())
        self.change_limit(0)
        self.assertEqual([0, 0], self.portions())
        self.assertEqual({}, self.record().portions)

    def test_new_entry_gets_its_fair_portion_of_idle_permits(self):
        """Guards against a new entry that gets no permits."""
        self.start("ab", 9)
        self.processes.append(self.process("c"))
        c = self.processes[-1]
        c.in_force.apply(pointer(self.version), self.document)
        for process in self.processes:
            process.follow_members()
        self.run_rounds()
        self.assertEqual([3, 3, 3], self.portions())

    def test_graceful_stop_gives_portions_back(self):
        """Guards against permits lost when a process stops."""
        a, b = self.start("ab", 8)
        a.store.is_delaying = True
        self.assertFalse(a.permits.stop())
        self.assertTrue(a.permits.stop())
        a.membership.remove()
        self.processes = [b]
        b.follow_members()
        self.run_rounds()
        self.assertEqual([8], self.portions())

    def test_earlier_incarnation_is_reclaimed_after_the_wait(self):
        """Guards against reclaiming permits while earlier runs may go on."""
        a, b = self.start("ab", 8)
        self.processes[0] = restarted = self.process("a", "i2")
        restarted.in_force.apply(pointer(self.version), self.document)
        for process in self.processes:
            process.follow_members()
        self.run_rounds(1)
        self.assertEqual([0, 4], self.portions())
        self.poll()
        self.clock.advance(LONGEST_RUN_S + 0.9)
        self.poll()
        self.assertEqual(4, sum(self.portions()))
        self.clock.advance(0.2)
        self.poll()
        self.run_rounds()
        self.assertEqual([4, 4], self.portions())

    def test_paused_process_admits_nothing_until_it_has_read(self):
        """Guards against using permits that were reclaimed in a pause."""
        a, b = self.start("ab", 8)
        self.clock.advance(2.1)
        self.assertEqual(0, self.fill(a))
        a.store.fault = Fault.DOWN
        a.guard.tick()
        self.assertEqual(0, self.fill(a))
        a.store.fault = Fault.NONE
        a.guard.tick()
        self.assertEqual(4, self.fill(a))

    def test_removed_process_continues_without_its_portion(self):
        """Guards against using a portion after being removed."""
        a, b = self.start("ab", 8)
        a.permits.try_acquire(TEAM)
        replacement = self.process("a", "i9")
        self.assertIsNone(replacement.membership.remove())
        self.clock.advance(3)
        a.guard.tick()
        self.assertEqual(0, a.permits.portion(TEAM))
        self.assertNotEqual("i1", a.membership.me.incarnation)

    def test_resumed_process_that_was_removed_holds_nothing(self):
        """Guards against a resumed process that uses reclaimed permits."""
        a, b = self.processes = [self.process("a"), self.process("b", "i5")]
        self.change_limit(8)
        vms = FakeVmService("b")
        leader = DeadMemberRemover(b.records, "vm-b", self.clock)
        self.processes = [b]
        for _ in range(25):
            self.clock.advance(1)
            leader.step(
                b.members.record, {}, vms.vms(), self.clock.monotonic_s()
            )
            b.follow_members()
        self.assertEqual({"b"}, set(b.members.record.members))
        self.poll()
        self.assertEqual(4, b.permits.portion(TEAM))
        for _ in range(7):
            self.clock.advance(1)
            self.poll()
        self.run_rounds()
        self.assertEqual(8, b.permits.portion(TEAM))
        self.assertEqual(8, self.fill(b))
        self.assertEqual(0, self.fill(a))
        a.guard.tick()
        self.assertEqual(0, self.fill(a))
        self.assertNotEqual("i1", a.membership.me.incarnation)

    def test_leading_control_is_notified_of_a_transfer(self):
        """Guards against jobs that wait until control polls again."""
        a = self.process("a")
        leader = self.register(control("c"))
        self.processes = [a]
        self.change_limit(4)
        self.assertEqual(4, a.permits.portion(TEAM))
        leader.in_force.apply(pointer(self.version), self.document)
        leader.permits.step()
        self.processes.append(leader)
        self.request_portion(leader, a)
        self.run_rounds()
        self.assertIn("c", self.hints)
        self.assertEqual(2, leader.permits.portion(TEAM))

    def test_process_that_is_no_longer_passive_polls_as_often_as_others(self):
        """Guards against a new leader that waits long for permits."""
        a = self.process("a")
        self.processes = [a]
        self.change_limit(4)
        a.permits.set_passive(True)
        self.run_rounds()
        passive_s = a.permits.poll_wait_s()
        a.permits.set_passive(False)
        self.assertLess(a.permits.poll_wait_s(), passive_s)

    def test_passive_process_gives_up_only_idle_permits(self):
        """Guards against giving up permits of requests that still run."""
        a, b = self.start("ab", 8)
        a.permits.try_acquire(TEAM)
        a.permits.set_passive(True)
        self.run_rounds()
        self.assertFalse(a.permits.try_acquire(TEAM))
        self.assertEqual(1, self.record().portions["a"].requests)
        self.assertEqual(10, a.permits.poll_wait_s())
        a.permits.release(TEAM)
        self.run_rounds()
        self.assertNotIn("a", self.record().portions)
        self.assertEqual(60, a.permits.poll_wait_s())
        a.permits.set_passive(False)
        self.assertEqual(10, a.permits.poll_wait_s())
        self.run_rounds()
        self.assertEqual(4, a.permits.portion(TEAM))


class ReclaimableHoldersTest(testtools.TestCase):
    """Guards against reclaiming a portion that is still in use (R2)."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        core = KeyValue(lambda: self.clock.now_s)
        self.a, self.b = (
            Process(core, self.clock, member(name)) for name in "ab"
        )
        self.restarted = Process(core, self.clock, member("b", "i2"))
        for process in (self.a, self.b):
            process.membership.register()
        self.a.follow_members()
        self.holders = ReclaimableHolders(
            self.a.records, self.a.members, self.clock
        )

    def reclaimable(self, *holders):
        """Return which (key, incarnation) pairs may be reclaimed."""
        keys = {HolderKey(*holder) for holder in holders}
        return self.holders.reclaimable(keys, LONGEST_RUN_S)

    def assert_reclaimable_after_wait(self, holder, expected, reason):
        """Check a holder now, shortly before the end of the wait and after."""
        self.reclaimable(holder)
        self.clock.advance(LONGEST_RUN_S + 1.9)
        self.assertFalse(self.reclaimable(holder), reason)
        self.clock.advance(0.2)
        self.assertEqual(expected, bool(self.reclaimable(holder)), reason)

    def test_holder_is_reclaimable_only_when_removed_or_replaced(self):
        """Guards against reclaiming the portion of a listed process."""
        holder = ("b", "i1")
        self.assert_reclaimable_after_wait(holder, False, "listed")
        self.assert_reclaimable_after_wait(
            ("b#i0", "i0"), True, "key of an earlier incarnation"
        )
        self.b.membership.remove()
        self.assert_reclaimable_after_wait(
            holder, False, "removed, but the view lists it"
        )
        self.a.follow_members()
        self.assert_reclaimable_after_wait(holder, True, "removed")
        self.restarted.membership.register()
        self.assertTrue(self.reclaimable(holder))
        self.a.follow_members()
        self.assertTrue(self.reclaimable(holder), "newer incarnation")
        self.assert_reclaimable_after_wait(("b", "i2"), False, "listed again")
        self.assert_reclaimable_after_wait(holder, True, "newer incarnation")

    def test_wait_restarts_when_the_holder_is_listed_again(self):
        """Guards against counting an earlier absence towards the wait."""
        holder = ("b", "i1")
        self.b.membership.remove()
        self.a.follow_members()
        self.assertFalse(self.reclaimable(holder))
        self.clock.advance(LONGEST_RUN_S + 1)
        self.b.membership.register()
        self.assertFalse(self.reclaimable(holder))
        self.b.membership.remove()
        self.assert_reclaimable_after_wait(holder, True, "removed again")

    def test_view_older_than_the_holder_is_not_relied_on(self):
        """Guards against taking a new holder for a removed one."""
        self.restarted.membership.register()
        self.assert_reclaimable_after_wait(
            ("b", "i2"), False, "view older than the holder"
        )

    def test_nothing_is_reclaimable_while_the_record_is_unreadable(self):
        """Guards against reclaiming on the basis of an old members view."""
        self.b.membership.remove()
        self.a.follow_members()
        self.a.store.fault = Fault.DOWN
        self.assert_reclaimable_after_wait(("b", "i1"), False, "store down")

    def test_listed_holders_cause_no_store_calls(self):
        """Guards against load on the store while no holder is missing."""
        self.a.store.fault = Fault.DOWN
        self.a.store.get = None
        self.assertFalse(self.reclaimable(("a", "i1"), ("b", "i1")))
