"""Tests of the control loop on the fleet record."""

import random

import attrs
import testtools

from rosemarynotch._internal.control import ControlLoop
from rosemarynotch._internal.control.fleet import apply_vm_list
from rosemarynotch._internal.control import FleetSources
from rosemarynotch._internal.control import Leadership
from rosemarynotch._internal.control import operations
from rosemarynotch._internal.control import Policies
from rosemarynotch._internal.control.waves import advance_drained
from rosemarynotch._internal.control.waves import advance_waves
from rosemarynotch._internal.control.waves import WaveInputs
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.models.records import WaveState
from rosemarynotch._internal.policy.moves import NoMoves
from rosemarynotch._internal.policy.waves import AsManyAsAllowed
from rosemarynotch._internal.policy.waves import WavePolicy
from rosemarynotch._internal.reference.interface import PlatformVmState
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib import control_fakes as fakes
from tests.lib.stores import Fault
from tests.lib.stores import MemoryStore


class AllCandidates(WavePolicy):
    """A policy that chooses every candidate, regardless of budgets."""

    def choose(self, pools, limit):
        """Return all candidates."""
        return [each.vm for pool in pools for each in pool.candidates]


class ControlTestCase(testtools.TestCase):
    """Fixture with one control loop, one store and two entries."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.core = KeyValue(self.clock.monotonic_s)
        self.store = MemoryStore(self.core)
        self.records = RecordStore(self.store, self.clock, random.Random(1))
        self.jobs = fakes.NoJobs()
        self.running = {}
        self.fixed_revisions = {}
        self.ejected = ()
        self.follow(fakes.document_of(fakes.one_pool()))

    def follow(self, document):
        """Start a loop on a document whose VMs are all in the VM list."""
        self.document = document
        self.in_force = fakes.ConfigInForce(document)
        self.fleet = fakes.empty_fleet_view()
        self.vms = fakes.FakeVms(document)
        self.members = fakes.RecordView(MembersRecord())
        self.members.apply(fakes.members_of("e1", "e2"), 1)
        self.records.update(
            MEMBERS_KEY,
            MembersRecord,
            MembersRecord(),
            lambda _: self.members.record,
        )
        sources = FleetSources(
            in_force=self.in_force,
            fleet=self.fleet,
            members=self.members,
            heard=self.heard,
            vms=self.vms,
        )
        self.loop = ControlLoop(
            self.records,
            sources,
            Policies(waves=AsManyAsAllowed(), moves=NoMoves()),
            Leadership(self.store, self.clock, "c1/1"),
            self.jobs,
            "vm-c",
            self.clock,
            random.Random(2),
        )
        self.steps(4)

    def heard(self):
        """Return heartbeats of entries that have the newest fleet record.

        An entry in ``fixed_revisions`` reports that revision instead.
        """
        return {
            name: fakes.ReceivedHeartbeat(
                fakes.idle_heartbeat(
                    name,
                    self.fixed_revisions.get(name, self.fleet.revision),
                    running_by_vm=dict(self.running),
                    ejected_vms=self.ejected,
                )
            )
            for name in ("e1", "e2")
        }

    def steps(self, count=1):
        """Run passes one second apart."""
        for _ in range(count):
            self.loop.step()
            self.clock.advance(1.0)

    def states(self):
        """Return the state of each VM."""
        return {n: v.state for n, v in self.fleet.record.vms.items()}

    def count(self, state):
        """Return how many VMs have a state."""
        return list(self.states().values()).count(state)


class FleetTest(ControlTestCase):
    """Guards against a fleet record that deviates from the document."""

    def test_declared_vms_join_their_pool_once_listed(self):
        """Guards against declared VMs that never serve."""
        self.assertEqual({VmState.SERVING}, set(self.states().values()))
        vm = self.fleet.record.vms["quotes-1"]
        self.assertEqual("quotes-1:80", vm.address)

    def test_idle_pass_writes_nothing(self):
        """Guards against load on the store while nothing changes."""
        writes = self.core.calls["write"]
        reads = self.core.calls["read"]
        self.steps(20)
        self.assertEqual(writes, self.core.calls["write"])
        self.assertEqual(reads, self.core.calls["read"])

    def test_removed_vm_is_drained_before_it_is_dropped(self):
        """Guards against dropping a VM with requests in flight."""
        self.running = {"quotes-3": 1}
        self.in_force.current = fakes.CurrentDocument(
            fakes.document_of(fakes.one_pool(vms=3))
        )
        self.steps(3)
        self.assertIs(VmState.DRAINING, self.states()["quotes-3"])
        self.running = {}
        self.steps(3)
        self.assertNotIn("quotes-3", self.states())

    def test_removed_pool_is_drained_before_it_is_dropped(self):
        """Guards against dropping a pool with requests in flight."""
        self.running = {"quotes-0": 1}
        self.in_force.current = fakes.CurrentDocument(fakes.document_of())
        self.steps(4)
        self.assertEqual({"quotes-0": VmState.DRAINING}, self.states())

    def test_missing_vm_fails_and_its_replacement_serves(self):
        """Guards against requests to a lost VM and an unused replacement."""
        row = self.vms.rows.pop("quotes-2")
        self.steps(2)
        self.assertIs(VmState.FAILED, self.states()["quotes-2"])
        self.vms.rows["quotes-2"] = row
        self.vms.replace("quotes-2")
        self.steps(3)
        self.assertIs(VmState.SERVING, self.states()["quotes-2"])

    def test_implausible_list_changes_nothing(self):
        """Guards against failing all VMs because of a faulty VM list."""
        rows = self.vms.rows
        for kept in (0, 1):
            self.vms.rows = dict(list(rows.items())[:kept])
            self.steps(3)
            self.assertEqual(4, self.count(VmState.SERVING))
            self.assertEqual(1, len(self.loop.alarms))
        self.vms.rows = rows
        self.steps(1)
        self.assertEqual((), self.loop.alarms)

    def test_former_leader_reports_no_alarm(self):
        """Guards against alarms of a process that no longer leads."""
        self.vms.rows = {}
        self.steps(3)
        self.assertEqual(1, len(self.loop.alarms))
        self.store.fault = Fault.DOWN
        self.steps(10)
        self.assertEqual((), self.loop.alarms)

    def test_record_is_never_paired_with_another_revision(self):
        """Guards against a reboot of a VM that entries still use."""
        # With an older revision, a drain would count as known to entries
        # that do not know it yet.
        self.vms.rows.pop("quotes-2")
        view = self.fleet

        class MovingView:
            record = view.record
            revision = property(lambda _: next(revisions))

        revisions = iter(range(view.revision, view.revision + 100))
        self.loop._sources = attrs.evolve(
            self.loop._sources, fleet=MovingView()
        )
        writes = self.core.calls["write"]
        self.steps(3)
        self.assertEqual(writes, self.core.calls["write"])

    def test_leaving_vm_gets_no_new_work(self):
        """Guards against new work on a VM that the platform takes away."""
        self.vms.set_state("quotes-0", PlatformVmState.LEAVING)
        self.steps(2)
        self.assertIs(VmState.LEAVING, self.states()["quotes-0"])

    def test_list_older_than_another_controllers_change_is_not_used(self):
        """Guards against undoing the change of another controller.

        It had a newer VM list than this controller.
        """
        old_rows = self.vms.vms()
        self.vms.replace("quotes-0")
        self.steps(3)
        newer = self.fleet.record
        self.assertIsNot(newer, apply_vm_list(newer, old_rows))
        self.vms.rows = {row.name: row for row in old_rows}
        self.loop._vm_list._base_record = None
        self.assertEqual([], self.loop._vm_list.rows_for(newer))

    def test_lost_answer_is_recognised_on_the_next_pass(self):
        """Guards against a controller that goes on with an old record."""
        self.vms.rows.pop("quotes-2")
        self.clock.advance(1.0)
        # The lease renewal and the read succeed; the answer to the write is
        # lost.
        original = self.store.put

        def lose_once(*arguments):
            self.store.put = original
            self.store.fault = Fault.LOST_ANSWER
            self.store.fault_calls = 1
            return original(*arguments)

        self.store.put = lose_once
        self.steps(2)
        self.assertIs(VmState.FAILED, self.states()["quotes-2"])
        self.assertEqual(
            self.fleet.revision, self.records.store.get("fleet").revision
        )


class WaveTest(ControlTestCase):
    """Guards against waves that break budgets or interrupt work."""

    def start(self):
        """Start the wave over all pools."""
        started = operations.start_wave(
            self.records, self.document, "patch", "ann", "kernel"
        )
        self.fleet.apply(started.value, started.revision)

    def wave(self):
        """Return the record of the wave."""
        return self.fleet.record.waves["patch"]

    def test_wave_maintains_every_vm_once(self):
        """Guards against VMs that a wave leaves out or reboots twice."""
        self.start()
        for _ in range(60):
            self.steps()
            self.vms.finish_reboots()
        self.assertIs(WaveState.DONE, self.wave().state)
        self.assertEqual(
            sorted(self.states()), sorted(vm for vm, _ in self.vms.reboots)
        )
        self.assertEqual(4, self.count(VmState.SERVING))

    def test_nothing_is_rebooted_with_work_in_flight(self):
        """Guards against requests that are interrupted by a reboot."""
        self.running = {"quotes-0": 1, "quotes-2": 1}
        self.start()
        self.steps(10)
        self.assertEqual([], self.vms.reboots)
        self.assertEqual(2, self.count(VmState.DRAINING))

    def test_entry_with_an_older_record_holds_the_wave(self):
        """Guards against a reboot while an entry may send new work.

        Its fleet record is older than the drain.
        """
        self.fixed_revisions = {"e2": self.fleet.revision}
        self.start()
        self.steps(5)
        self.assertEqual([], self.vms.reboots)
        self.assertIn("e2", self.wave().held_by)

    def test_entry_that_registered_unseen_holds_the_wave(self):
        """Guards against a reboot while an unknown entry may send work.

        The entry has registered, but sent no heartbeat yet.
        """
        self.records.update(
            MEMBERS_KEY,
            MembersRecord,
            MembersRecord(),
            lambda _: fakes.members_of("e1", "e2", "e3"),
        )
        self.start()
        self.steps(5)
        self.assertEqual([], self.vms.reboots)
        self.assertIn("e3", self.wave().held_by)

    def test_unplanned_failure_returns_draining_vms(self):
        """Guards against a wave that goes on while a VM has failed."""
        self.running = {"quotes-0": 1, "quotes-2": 1}
        self.start()
        self.steps(2)
        row = self.vms.rows.pop("quotes-1")
        self.steps(3)
        self.assertEqual(3, self.count(VmState.SERVING))
        self.assertIn("quotes-1", self.wave().held_by)
        self.vms.rows["quotes-1"] = row
        self.steps(4)
        self.assertEqual(2, self.count(VmState.DRAINING))

    def test_vm_ejected_by_most_entries_pauses_the_wave(self):
        """Guards against a wave that goes on while a target fails."""
        self.running = {"quotes-0": 1, "quotes-2": 1}
        self.start()
        self.steps(2)
        self.ejected = ("quotes-1",)
        self.steps(2)
        self.assertEqual(4, self.count(VmState.SERVING))

    def test_lasting_failure_no_longer_pauses_the_wave(self):
        """Guards against a wave that one broken VM stops for ever."""
        self.start()
        del self.vms.rows["quotes-1"]
        self.steps(5)
        self.assertEqual([], self.vms.reboots)
        self.steps(40)
        self.assertEqual(1, len(self.vms.reboots))

    def test_reboot_is_repeated_with_the_same_operation(self):
        """Guards against a second reboot after a lost answer.

        The platform recognises a repeat by the operation id.
        """
        self.start()
        self.vms.reboot = lambda vm, operation_id: (
            self.vms.reboots.append((vm, operation_id))
            or failures.PLATFORM_UNAVAILABLE.with_ran_unknown()
        )
        self.steps(8)
        self.assertTrue(len(self.vms.reboots) > 2)
        self.assertEqual(2, len(set(self.vms.reboots)))

    def test_abort_returns_vms_that_were_not_rebooted(self):
        """Guards against VMs that stay out of service after an abort."""
        self.running = {"quotes-0": 1, "quotes-2": 1}
        self.start()
        self.steps(2)
        done = operations.abort_wave(self.records, "patch", "ann", "stop")
        self.fleet.apply(done.value, done.revision)
        self.steps(3)
        self.assertEqual(4, self.count(VmState.SERVING))
        self.assertIs(WaveState.ABORTED, self.wave().state)

    def test_worker_with_tasks_is_not_drained(self):
        """Guards against tasks that are interrupted by a reboot."""
        pool = fakes.one_pool(kind=PoolKind.WORKERS)
        self.follow(fakes.document_of(pool))
        self.jobs.busy = frozenset(("quotes-0", "quotes-2"))
        self.start()
        self.steps(6)
        self.assertEqual([], self.vms.reboots)

    def test_late_report_of_an_earlier_drain_is_ignored(self):
        """Guards against a reboot because of a report on an earlier drain."""
        self.start()
        self.steps(1)
        draining = self.fleet.record
        late = WaveInputs(token="t", drained=frozenset([("quotes-0", "old")]))
        self.assertIs(draining, advance_drained(draining, late))


class OperationsTest(ControlTestCase):
    """Guards against operations that break budgets or apply twice."""

    def drain(self, vm, operation_id):
        """Drain a VM and update the loop's view of the fleet."""
        done = operations.drain_vm(
            self.records, self.document, vm, operation_id
        )
        if not isinstance(done, failures.Failure):
            self.fleet.apply(done.value, done.revision)
        return done

    def test_refusals(self):
        """Guards against operations on unknown or busy VMs or pools."""
        self.drain("quotes-0", "op-1")
        cases = [
            ("quotes-1", failures.BUDGET_WOULD_BREAK),
            ("quotes-0", failures.VM_BUSY),
            ("absent", failures.VM_UNKNOWN),
        ]
        for vm, expected in cases:
            self.assertTrue(self.drain(vm, "op-2").is_a(expected), vm)
        self.drain("quotes-2", "op-3")
        moved = operations.move_vm(
            self.records, self.document, "quotes-1", "quotes", "op-4"
        )
        self.assertNotIsInstance(moved, failures.Failure)
        unknown = operations.move_vm(
            self.records, self.document, "quotes-1", "absent", "op-5"
        )
        self.assertTrue(unknown.is_a(failures.POOL_UNKNOWN))

    def test_budget_holds_whatever_operators_and_policies_ask(self):
        """Guards against budgets that rely on operators and policies.

        A wave policy chooses all VMs, and operators drain further ones.
        """
        self.follow(fakes.document_of(fakes.one_pool(racks=1, minimum=3)))

        def drain(vm, failed=()):
            return operations.drain_vm(
                self.records, self.document, vm, "op-1", frozenset(failed)
            )

        # The failed VM does not count as available.
        refused = drain("quotes-0", failed=["quotes-3"])
        self.assertTrue(refused.is_a(failures.BUDGET_WOULD_BREAK))
        record = operations.start_wave(
            self.records, self.document, "patch", "ann", ""
        ).value
        for ejected, expected in (((), 1), (("quotes-3",), 0)):
            inputs = WaveInputs(
                ejected=frozenset(ejected),
                lasting_failures=frozenset(ejected),
                token="t",
            )
            after = advance_waves(
                record, self.document, AllCandidates(), inputs
            )
            vm_states = [vm.state for vm in after.vms.values()]
            self.assertEqual(expected, vm_states.count(VmState.DRAINING))
        self.assertNotIsInstance(drain("quotes-0"), failures.Failure)
        refused = drain("quotes-1")
        self.assertTrue(refused.is_a(failures.BUDGET_WOULD_BREAK))

    def test_repeats_change_nothing(self):
        """Guards against a repeated operation that applies twice."""
        first = self.drain("quotes-0", "op-1")
        self.assertEqual(first, self.drain("quotes-0", "op-1"))
        for _ in range(2):
            back = operations.undrain_vm(self.records, "quotes-0", "op-2")
        self.assertIs(VmState.SERVING, back.value.vms["quotes-0"].state)

    def test_unknown_wave(self):
        """Guards against changes of a wave that does not exist."""
        for refused in (
            operations.start_wave(
                self.records, self.document, "absent", "ann", ""
            ),
            operations.pause_wave(self.records, "patch", "ann", ""),
        ):
            self.assertTrue(refused.is_a(failures.WAVE_UNKNOWN))

    def test_drained_vm_stays_out_over_a_replacement(self):
        """Guards against ending an operator's drain by replacing the VM."""
        self.drain("quotes-0", "op-1")
        self.steps(3)
        row = self.vms.rows.pop("quotes-0")
        self.steps(3)
        self.vms.rows["quotes-0"] = row
        self.vms.replace("quotes-0")
        self.steps(3)
        self.assertIs(VmState.DRAINED, self.states()["quotes-0"])

    def test_move_changes_the_pool_once_drained(self):
        """Guards against a move of a VM with requests in flight."""
        spare = fakes.one_pool(
            vms=2, minimum=0, name="desk", kind=PoolKind.SPARE
        )
        self.follow(fakes.document_of(fakes.one_pool(), spare))
        self.running = {"desk-0": 1}
        moved = operations.move_vm(
            self.records, self.document, "desk-0", "quotes", "op-1"
        )
        self.fleet.apply(moved.value, moved.revision)
        self.steps(3)
        self.assertEqual("desk", self.fleet.record.vms["desk-0"].pool)
        self.running = {}
        self.steps(3)
        vm = self.fleet.record.vms["desk-0"]
        self.assertEqual(("quotes", VmState.SERVING), (vm.pool, vm.state))
        repeated = operations.move_vm(
            self.records, self.document, "desk-0", "quotes", "op-1"
        )
        self.assertEqual(vm, repeated.value.vms["desk-0"])

    def test_move_and_drain_of_the_same_vm(self):
        """Guards against an operation that overrides an earlier one."""
        spare = fakes.one_pool(
            vms=2, minimum=0, name="desk", kind=PoolKind.SPARE
        )
        self.follow(fakes.document_of(fakes.one_pool(), spare))

        def move(vm, operation_id):
            return operations.move_vm(
                self.records, self.document, vm, "quotes", operation_id
            )

        for vm, first, second, pool in (
            ("desk-0", self.drain, move, "desk"),
            ("desk-1", move, self.drain, "quotes"),
        ):
            done = first(vm, "op-1")
            self.fleet.apply(done.value, done.revision)
            self.assertTrue(second(vm, "op-2").is_a(failures.VM_BUSY))
            self.steps(5)
            found = self.fleet.record.vms[vm]
            self.assertEqual((pool, "op-1"), (found.pool, found.operation_id))
            done = operations.undrain_vm(self.records, vm, "op-3")
            self.fleet.apply(done.value, done.revision)


class LeadershipTest(testtools.TestCase):
    """Guards against a leader that acts after its lease has expired."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.core = KeyValue(self.clock.monotonic_s)
        self.stores = [MemoryStore(self.core) for _ in range(2)]
        self.members = [
            Leadership(store, self.clock, f"c{index}/1")
            for index, store in enumerate(self.stores)
        ]

    def test_one_leads_and_another_takes_over(self):
        """Guards against two leaders, and against none after an expiry."""
        held = [member.hold() for member in self.members]
        self.assertEqual([True, False], held)
        self.clock.advance(5.1)
        self.assertTrue(self.members[1].hold())
        self.assertFalse(self.members[0].hold())

    def test_store_outage_ends_leadership_in_time(self):
        """Guards against a leader that acts after its lease has ended.

        It cannot renew the lease while the store is down.
        """
        self.members[0].hold()
        self.stores[0].fault = Fault.DOWN
        self.clock.advance(4.9)
        self.assertTrue(self.members[0].hold())
        self.clock.advance(0.2)
        self.assertFalse(self.members[0].hold())

    def test_lost_answer_to_the_creation_is_recovered(self):
        """Guards against a lease that its holder does not know of."""
        create = self.members[0]
        self.stores[0].put = lambda *arguments: (
            self.core.put(*arguments) and failures.STORE_UNAVAILABLE
        )
        self.assertFalse(create.hold())
        self.clock.advance(2.0)
        self.assertTrue(create.hold())

    def test_resigning_lets_another_lead_at_once(self):
        """Guards against waiting for the lease of a leader that stopped."""
        self.members[0].hold()
        self.members[0].resign()
        self.assertTrue(self.members[1].hold())
