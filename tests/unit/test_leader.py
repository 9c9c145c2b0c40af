"""Tests of the leader: removal of members, and its first drains."""

import attrs

from rosemarynotch._internal.control.dead_members import DeadMemberRemover
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


class DeadMemberRemoverTest(ControlTestCase):
    """Guards against the removal of live members (P4, P8).

    Also guards against a dead entry that is never removed and so blocks every
    drain.
    """

    def setUp(self):
        super().setUp()
        standby = attrs.evolve(
            fakes.entry_member("s1"), kind=MemberKind.CONTROL
        )
        members = {**self.members.record.members, "s1": standby}
        self.write(members)
        self.remover = DeadMemberRemover(self.records, "vm-e1", self.clock)
        self.listed = [
            PlatformVm(
                name=member.vm,
                instance=member.vm_instance,
                state=PlatformVmState.LIVE,
            )
            for member in members.values()
        ]
        self.e2_silent = {"e1": self.heard()["e1"]}

    def write(self, members):
        """Set the members record."""
        self.record = MembersRecord(members=members)
        self.records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), lambda _: self.record
        )

    def without(self, *names):
        """Return the VM list without the VMs of some members."""
        excluded = {f"vm-{name}" for name in names}
        return [row for row in self.listed if row.name not in excluded]

    def run_steps(self, listed, heard, seconds=1, read_s=None):
        """Run one step per second and return the remaining members.

        :param read_s: time at which the same list was read for all steps; by
            default, each step has a new list
        """
        for _ in range(seconds):
            now_s = self.clock.monotonic_s()
            self.remover.step(
                self.record,
                heard,
                listed,
                now_s if read_s is None else read_s,
            )
            self.clock.advance(1.0)
        found = self.records.read(MEMBERS_KEY, MembersRecord)
        return sorted(found.value.members)

    def test_only_absent_and_silent_members_are_removed(self):
        """Guards against removing members that are listed or heard.

        An empty list and a list without the leader are not relied on.
        """
        heard = self.heard()
        everyone = ["e1", "e2", "s1"]
        without = self.without("e2")
        table = [
            (self.listed, self.e2_silent, "listed"),
            (without, heard, "heard"),
            ([], self.e2_silent, "empty list"),
            (self.without("e1"), {}, "list without the leader"),
        ]
        for listed, heartbeats, reason in table:
            remaining = self.run_steps(listed, heartbeats, 30)
            self.assertEqual(everyone, remaining, reason)
        self.assertEqual(everyone, self.run_steps(without, self.e2_silent, 10))
        self.assertEqual(
            ["e1", "s1"], self.run_steps(without, self.e2_silent, 2)
        )

    def test_another_instance_on_the_same_vm_is_absent(self):
        """Guards against taking a replaced VM for the one of the member."""
        rows = self.without("e2") + [
            attrs.evolve(row, instance="next")
            for row in self.listed
            if row.name == "vm-e2"
        ]
        self.assertEqual(
            ["e1", "s1"], self.run_steps(rows, self.e2_silent, 25)
        )

    def test_one_faulty_list_removes_nobody(self):
        """Guards against removing members because of one faulty VM list."""
        everyone = ["e1", "e2", "s1"]
        self.run_steps(self.listed, self.e2_silent, 20)
        for _ in range(3):
            faulty = self.without("e2", "s1")
            read_s = self.clock.monotonic_s()
            self.assertFalse(self.remover.needs_newer_list())
            remaining = self.run_steps(faulty, self.e2_silent, 700, read_s)
            self.assertEqual(everyone, remaining)
            self.assertTrue(self.remover.needs_newer_list())
            self.assertEqual(
                everyone, self.run_steps(self.listed, self.e2_silent)
            )

    def test_new_leader_ignores_earlier_observations(self):
        """Guards against removals based on an earlier term.

        The process did not follow the members while it was not leading.
        """
        without = self.without("e2", "s1")
        self.run_steps(self.listed, self.heard())
        self.run_steps(without, self.e2_silent, 9)
        old_s = self.clock.monotonic_s() - 1
        self.clock.advance(3600)
        self.remover.reset()
        everyone = ["e1", "e2", "s1"]
        self.assertEqual(everyone, self.run_steps(without, {}, 9, old_s))
        self.assertEqual(everyone, self.run_steps(without, {}, 10))
        self.assertEqual(["e1", "e2"], self.run_steps(without, {}, 1))
        self.assertEqual(["e1"], self.run_steps(without, {}, 10))

    def test_standby_control_without_heartbeats_is_kept(self):
        """Guards against removing standby processes, which are not heard."""
        self.assertNotIn("s1", self.heard())
        remaining = self.run_steps(self.listed, self.heard(), 1300)
        self.assertEqual(["e1", "e2", "s1"], remaining)

    def test_control_whose_vm_has_gone_is_removed(self):
        """Guards against a control process that stays listed for ever."""
        self.run_steps(self.listed, self.heard())
        without = self.without("s1")
        remaining = self.run_steps(without, self.heard(), 10)
        self.assertEqual(["e1", "e2", "s1"], remaining)
        self.assertEqual(["e1", "e2"], self.run_steps(without, self.heard()))

    def test_control_missing_in_the_list_is_kept_at_first(self):
        """Guards against removing a control process that is not listed yet."""
        without = self.without("s1")
        remaining = self.run_steps(without, self.heard(), 600)
        self.assertEqual(["e1", "e2", "s1"], remaining)
        self.assertEqual(["e1", "e2"], self.run_steps(without, self.heard()))

    def test_dead_entry_that_was_never_listed_is_removed(self):
        """Guards against a dead entry that blocks drains for ever.

        It died before its VM was listed.
        """
        without = self.without("e2")
        remaining = self.run_steps(without, self.e2_silent, 20)
        self.assertEqual(["e1", "e2", "s1"], remaining)
        self.assertEqual(["e1", "s1"], self.run_steps(without, self.e2_silent))


class LeaderTest(ControlTestCase):
    """Guards against a new leader that acts before it knows the fleet."""

    def setUp(self):
        super().setUp()
        self.names = ("e1", "e2")
        self.seen = []
        self.loop.add_leadership_listener(self.seen.append)

    def heard(self):
        """Return heartbeats of the entries that the test has not silenced."""
        names = getattr(self, "names", ("e1", "e2"))
        heard = super().heard()
        return {name: heard[name] for name in names}

    def lose_leadership(self):
        """Let the lease expire during an outage of the store."""
        self.store.fault = Fault.DOWN
        self.steps(8)
        self.store.fault = Fault.NONE

    def declare(self, vms):
        """Put a document into force with these VMs in its pool."""
        pool = attrs.evolve(self.document.pools[0], vms=tuple(vms))
        self.in_force.current = attrs.evolve(
            self.in_force.current, document=fakes.document_of(pool), version=2
        )

    def remove_vm(self):
        """Put a document into force that lacks one VM."""
        self.declare(self.document.pools[0].vms[:-1])

    def test_listeners_are_called_when_the_leadership_changes(self):
        """Guards against parts that do not learn of the leadership."""
        self.lose_leadership()
        self.steps(3)
        self.assertEqual([False, True], self.seen)

    def test_new_leader_drains_nothing_before_all_heartbeats(self):
        """Guards against drains based on heartbeats of some entries only."""
        self.lose_leadership()
        self.names = ("e1",)
        self.remove_vm()
        self.steps(9)
        self.assertEqual(0, self.count(VmState.DRAINING))
        self.names = ("e1", "e2")
        self.steps(1)
        self.assertEqual(3, len(self.states()) - self.count(VmState.DRAINING))

    def test_first_record_is_written_before_any_heartbeat(self):
        """Guards against a start without any known target for 10 s."""
        self.names = ()
        self.core.delete(FLEET_KEY, self.fleet.revision)
        self.follow(self.document)
        self.steps(1)
        states = set(self.states().values())
        self.assertEqual({VmState.SERVING}, states)

    def test_declared_vm_is_added_before_any_heartbeat(self):
        """Guards against new VMs that wait for heartbeats of all entries."""
        self.lose_leadership()
        self.names = ()
        vms = self.document.pools[0].vms
        self.declare((*vms, attrs.evolve(vms[0], name="new")))
        self.steps(9)
        self.assertEqual(VmState.JOINING, self.states()["new"])

    def test_dead_entry_delays_new_drains_for_a_while_only(self):
        """Guards against a dead entry that blocks drains of a new leader."""
        self.lose_leadership()
        self.names = ("e1",)
        self.remove_vm()
        self.steps(15)
        self.assertEqual(1, self.count(VmState.DRAINING))

    def test_dead_entry_is_removed_by_the_loop(self):
        """Guards against a loop that does not remove dead members."""
        for vm in ("vm-c", "vm-e1"):
            row = next(iter(self.vms.rows.values()))
            self.vms.rows[vm] = attrs.evolve(row, name=vm, instance="i")
        self.names = ("e1",)
        self.steps(30)
        found = self.records.read(MEMBERS_KEY, MembersRecord)
        self.assertEqual({"e1"}, set(found.value.members))
