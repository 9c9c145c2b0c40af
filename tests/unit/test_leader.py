"""Tests of the leader: whom it removes, and when it begins to drain."""

import attrs

from rosemarynotch._internal.control.gone_members import GoneMembers
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.reference.interface import PlatformVm
from rosemarynotch._internal.reference.interface import PlatformVmState
from rosemarynotch._internal.reference.records import FLEET_KEY
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from tests.lib import control_fakes as fakes
from tests.lib.stores import Fault
from tests.unit.test_control_fleet import ControlTestCase


class GoneMembersTest(ControlTestCase):
    """Guards against a removal of members that are alive (P4, P8), and
    against a dead entry that holds up every drain for ever.
    """

    def setUp(self):
        super().setUp()
        standby = attrs.evolve(
            fakes.entry_member("s1"), kind=MemberKind.CONTROL
        )
        members = {**self.members.record.members, "s1": standby}
        self.write(members)
        self.gone = GoneMembers(self.records, "vm-e1", self.clock)
        self.listed = [
            PlatformVm(
                name=member.vm,
                instance=member.vm_instance,
                state=PlatformVmState.LIVE,
            )
            for member in members.values()
        ]
        self.silent = {"e1": self.heard()["e1"]}

    def write(self, members):
        """Set the members record."""
        self.record = MembersRecord(members=members)
        self.records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), lambda _: self.record
        )

    def without(self, *names):
        """Return the list without the VMs of some members."""
        gone = {f"vm-{name}" for name in names}
        return [row for row in self.listed if row.name not in gone]

    def look(self, listed, heard, seconds=1, read_s=None):
        """Look once a second; return the members left after that.

        :param read_s: time of the only list, otherwise each time a new one
        """
        for _ in range(seconds):
            now_s = self.clock.monotonic_s()
            self.gone.step(
                self.record,
                heard,
                listed,
                now_s if read_s is None else read_s,
            )
            self.clock.advance(1.0)
        found = self.records.read(MEMBERS_KEY, MembersRecord)
        return sorted(found.value.members)

    def test_only_absent_and_silent_members_are_removed(self):
        heard = self.heard()
        everyone = ["e1", "e2", "s1"]
        without = self.without("e2")
        table = [
            (self.listed, self.silent, "listed"),
            (without, heard, "heard"),
            ([], self.silent, "empty list"),
            (self.without("e1"), {}, "list without the leader"),
        ]
        for listed, beats, reason in table:
            left = self.look(listed, beats, 30)
            self.assertEqual(everyone, left, reason)
        self.assertEqual(everyone, self.look(without, self.silent, 10))
        self.assertEqual(["e1", "s1"], self.look(without, self.silent, 2))

    def test_another_instance_on_the_same_vm_is_absent(self):
        rows = self.without("e2") + [
            attrs.evolve(row, instance="next")
            for row in self.listed
            if row.name == "vm-e2"
        ]
        self.assertEqual(["e1", "s1"], self.look(rows, self.silent, 25))

    def test_one_faulty_list_removes_nobody(self):
        everyone = ["e1", "e2", "s1"]
        self.look(self.listed, self.silent, 20)
        for _ in range(3):
            faulty = self.without("e2", "s1")
            read_s = self.clock.monotonic_s()
            self.assertFalse(self.gone.needs_newer_list())
            left = self.look(faulty, self.silent, 700, read_s)
            self.assertEqual(everyone, left)
            self.assertTrue(self.gone.needs_newer_list())
            self.assertEqual(everyone, self.look(self.listed, self.silent))

    def test_new_leader_starts_without_evidence(self):
        without = self.without("e2", "s1")
        self.look(self.listed, self.heard())
        self.look(without, self.silent, 9)
        old_s = self.clock.monotonic_s() - 1
        self.clock.advance(3600)
        self.gone.begin()
        everyone = ["e1", "e2", "s1"]
        self.assertEqual(everyone, self.look(without, {}, 9, old_s))
        self.assertEqual(everyone, self.look(without, {}, 10))
        self.assertEqual(["e1", "e2"], self.look(without, {}, 1))
        self.assertEqual(["e1"], self.look(without, {}, 10))

    def test_standby_control_is_not_heard_and_stays(self):
        self.assertNotIn("s1", self.heard())
        left = self.look(self.listed, self.heard(), 1300)
        self.assertEqual(["e1", "e2", "s1"], left)

    def test_control_whose_vm_has_gone_is_removed(self):
        self.look(self.listed, self.heard())
        without = self.without("s1")
        left = self.look(without, self.heard(), 10)
        self.assertEqual(["e1", "e2", "s1"], left)
        self.assertEqual(["e1", "e2"], self.look(without, self.heard()))

    def test_control_that_the_list_does_not_show_yet_stays(self):
        without = self.without("s1")
        left = self.look(without, self.heard(), 600)
        self.assertEqual(["e1", "e2", "s1"], left)
        self.assertEqual(["e1", "e2"], self.look(without, self.heard()))

    def test_dead_entry_that_was_never_listed_is_removed(self):
        without = self.without("e2")
        left = self.look(without, self.silent, 20)
        self.assertEqual(["e1", "e2", "s1"], left)
        self.assertEqual(["e1", "s1"], self.look(without, self.silent))


class LeaderTest(ControlTestCase):
    """Guards against steps of a leader on what it does not know yet."""

    def setUp(self):
        super().setUp()
        self.names = ("e1", "e2")
        self.seen = []
        self.loop.add_lead_listener(self.seen.append)

    def heard(self):
        """Hear the entries that the test has not silenced."""
        names = getattr(self, "names", ("e1", "e2"))
        heard = super().heard()
        return {name: heard[name] for name in names}

    def lose_lead(self):
        """Let the lease end in an outage of the store."""
        self.store.fault = Fault.DOWN
        self.steps(8)
        self.store.fault = Fault.NONE

    def declare(self, vms):
        """Put a document in force with these VMs in its pool."""
        pool = attrs.evolve(self.document.pools[0], vms=tuple(vms))
        self.in_force.current = attrs.evolve(
            self.in_force.current, document=fakes.document_of(pool), version=2
        )

    def remove_vm(self):
        """Put a document in force that lacks a VM."""
        self.declare(self.document.pools[0].vms[:-1])

    def test_listeners_learn_who_leads(self):
        self.lose_lead()
        self.steps(3)
        self.assertEqual([False, True], self.seen)

    def test_new_leader_drains_nothing_before_it_hears_the_entries(self):
        self.lose_lead()
        self.names = ("e1",)
        self.remove_vm()
        self.steps(9)
        self.assertEqual(0, self.count(VmState.DRAINING))
        self.names = ("e1", "e2")
        self.steps(1)
        self.assertEqual(3, len(self.states()) - self.count(VmState.DRAINING))

    def test_first_record_is_written_before_the_entries_are_heard(self):
        """Guards against a start at which no target is known for 10 s."""
        self.names = ()
        self.core.delete(FLEET_KEY, self.fleet.revision)
        self.follow(self.document)
        self.steps(1)
        states = set(self.states().values())
        self.assertEqual({VmState.SERVING}, states)

    def test_declared_vm_is_added_before_the_entries_are_heard(self):
        """Guards against a wait for all entries that holds up new VMs."""
        self.lose_lead()
        self.names = ()
        vms = self.document.pools[0].vms
        self.declare((*vms, attrs.evolve(vms[0], name="new")))
        self.steps(9)
        self.assertEqual(VmState.JOINING, self.states()["new"])

    def test_dead_entry_delays_new_drains_for_a_while_only(self):
        self.lose_lead()
        self.names = ("e1",)
        self.remove_vm()
        self.steps(15)
        self.assertEqual(1, self.count(VmState.DRAINING))

    def test_dead_entry_is_removed_by_the_loop(self):
        for vm in ("vm-c", "vm-e1"):
            row = next(iter(self.vms.rows.values()))
            self.vms.rows[vm] = attrs.evolve(row, name=vm, instance="i")
        self.names = ("e1",)
        self.steps(30)
        found = self.records.read(MEMBERS_KEY, MembersRecord)
        self.assertEqual({"e1"}, set(found.value.members))
