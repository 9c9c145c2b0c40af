"""Stateful test of two controllers and operators on one store."""

import random

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies as st
import testtools

from rosemarynotch._internal.control import ControlLoop
from rosemarynotch._internal.control import FleetSources
from rosemarynotch._internal.control import operations
from rosemarynotch._internal.control import Policies
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.models.records import WaveState
from rosemarynotch._internal.policy.moves import HysteresisMoves
from rosemarynotch._internal.policy.waves import AsManyAsAllowed
from rosemarynotch._internal.reference.interface import PlatformVmState
from rosemarynotch._internal.reference.records import FLEET_KEY
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from standins.kv import KeyValue
from tests.lib.clocks import ManualClock
from tests.lib import control_fakes as fakes
from tests.lib.stores import Fault
from tests.lib.stores import MemoryStore

DOCUMENT = fakes.document_of(
    fakes.one_pool(vms=6, racks=2, minimum=3, name="quotes"),
    fakes.one_pool(vms=4, racks=2, minimum=3, name="orders"),
    fakes.one_pool(
        vms=3, racks=2, minimum=0, name="desk", kind=PoolKind.SPARE
    ),
)
MINIMUM = {pool.name: pool.min_available_vms for pool in DOCUMENT.pools}
POOLS = sorted(MINIMUM)
VMS = sorted(spec.name for pool in DOCUMENT.pools for spec in pool.vms)
# Failures pause the wave; if every VM could fail, it would rarely advance.
FAILING_VMS = ["quotes-1", "desk-1"]
ENTRIES = ("e1", "e2")
PLANNED_OUT_STATES = (VmState.DRAINING, VmState.DRAINED, VmState.REBOOTING)


class AlwaysLeads:
    """Leadership under which both controllers run every pass."""

    def hold(self):
        """Return True."""
        return True


class CheckedStore(MemoryStore):
    """Checks every change of the fleet record when it is written.

    :ivar before_put: called once between a controller's read and its write
    """

    before_put = None

    def put(self, key, value, expected, lease=""):
        """Write a value, checking new drains if it is the fleet record."""
        if self.before_put is not None and key == FLEET_KEY:
            run, self.before_put = self.before_put, None
            run()
        if key != FLEET_KEY:
            return super().put(key, value, expected, lease)
        old = self.core.get(key)
        written = super().put(key, value, expected, lease)
        new = self.core.get(key)
        if new is not None and (old is None or old.revision != new.revision):
            _check_planned_removals(_decoded(old), _decoded(new))
        return written


def _decoded(entry):
    if entry is None:
        return FleetRecord()
    return codec.decode_compressed(entry.value, FleetRecord)


def _serves(record, vm):
    found = record.vms.get(vm)
    return found is not None and found.state is VmState.SERVING


def _check_planned_removals(old, new):
    """Fail if a new drain breaks a budget or affects a second rack."""
    assert sorted(new.vms) == VMS
    for pool in POOLS:
        drained = [
            name
            for name, vm in new.vms.items()
            if vm.pool == pool
            and vm.state is VmState.DRAINING
            and old.vms[name].state is VmState.SERVING
        ]
        if not drained:
            continue
        members = [vm for vm in new.vms.values() if vm.pool == pool]
        serving = sum(vm.state is VmState.SERVING for vm in members)
        assert serving >= MINIMUM[pool], f"{pool} keeps {serving}"
        racks = {vm.rack for vm in members if vm.state in PLANNED_OUT_STATES}
        assert len(racks) <= 1, f"{pool} has {racks} out of service"


class Controller:
    """A control process with its own view and store client."""

    def __init__(self, name, machine):
        self.store = CheckedStore(machine.core)
        self.fleet = fakes.empty_fleet_view()
        members = fakes.RecordView(MembersRecord())
        members.apply(fakes.members_of(*ENTRIES), 1)
        rng = random.Random(name)
        self.records = RecordStore(self.store, machine.clock, rng)
        sources = FleetSources(
            in_force=fakes.ConfigInForce(DOCUMENT),
            fleet=self.fleet,
            members=members,
            heard=machine.heard,
            vms=machine.vms,
        )
        self.loop = ControlLoop(
            self.records,
            sources,
            Policies(waves=AsManyAsAllowed(), moves=HysteresisMoves(8.0)),
            AlwaysLeads(),
            fakes.NoJobs(),
            "vm-c",
            machine.clock,
            rng,
        )

    def follow(self):
        """Update the view of the fleet record from the store."""
        found = self.records.read(FLEET_KEY, FleetRecord, compressed=True)
        if hasattr(found, "revision"):
            self.fleet.apply(found.value, found.revision)


class FleetRaces(RuleBasedStateMachine):
    """Runs controllers, operators, failures and traffic in any order."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.core = KeyValue(self.clock.monotonic_s)
        self.vms = fakes.FakeVms(DOCUMENT)
        self.known = {name: (FleetRecord(), 0) for name in ENTRIES}
        self.in_flight = {name: set() for name in ENTRIES}
        self.reboot = self.vms.reboot
        self.vms.reboot = self.check_reboot
        self.demand = {}
        self.operation = 0
        self.lost = {}
        setup = MemoryStore(self.core)
        setup.put(MEMBERS_KEY, codec.encode(fakes.members_of(*ENTRIES)), 0)
        self.controllers = [Controller(n, self) for n in ("c1", "c2")]
        for _ in range(4):
            for index in (0, 1):
                self.run_pass(index, True)

    def heard(self):
        """Return the last heartbeat of each entry."""
        rows = tuple(
            DemandRow(
                pool=pool,
                team="ann",
                queued_requests=queued,
                running_requests=0,
                served_worth=0.0,
                slot_s=0.0,
            )
            for pool, queued in self.demand.items()
        )
        return {
            name: fakes.ReceivedHeartbeat(
                fakes.idle_heartbeat(
                    name,
                    revision,
                    running_by_vm={
                        vm: 1
                        for vm in self.in_flight[name]
                        if not _serves(record, vm)
                    },
                    demand=rows,
                )
            )
            for name, (record, revision) in self.known.items()
        }

    def check_reboot(self, vm, operation_id):
        """Fail if a reboot is requested of a VM with work in flight."""
        if (vm, operation_id) not in self.vms.reboots:
            for name in ENTRIES:
                assert vm not in self.in_flight[name], f"{name} uses {vm}"
        return self.reboot(vm, operation_id)

    def record(self):
        """Return the record in the store."""
        return _decoded(self.core.get(FLEET_KEY))

    @initialize(vms=st.sets(st.sampled_from(VMS)))
    def begin(self, vms):
        """Start the wave with work in flight, so that every run has drains."""
        for entry in ENTRIES:
            self.entry_follows(entry)
            self.entry_works(entry, vms)
        self.wave("start")

    @rule(
        index=st.integers(0, 1),
        count=st.integers(2, 5),
        following=st.sets(st.sampled_from(ENTRIES)),
        finishing=st.sets(st.sampled_from(ENTRIES)),
    )
    def interleave_passes(self, index, count, following, finishing):
        """Run passes while some entries update their view or finish work."""
        for _ in range(count):
            for entry in sorted(following):
                self.entry_follows(entry)
            for entry in sorted(finishing):
                self.entry_finishes(entry)
            self.run_pass(index, True)

    @rule(index=st.integers(0, 1), follows=st.booleans())
    def run_pass(self, index, follows):
        """Run a pass, with the newest or an outdated view."""
        controller = self.controllers[index]
        if follows:
            controller.follow()
        controller.loop.step()
        self.clock.advance(1.0)

    @rule(index=st.integers(0, 1), vm=st.sampled_from(["", *VMS]))
    def race(self, index, vm):
        """Change the record between a controller's read and its write."""
        self.operation += 1
        operation_id = f"op-{self.operation}"
        other = self.controllers[1 - index]
        drained = []

        def interfere():
            if not vm:
                self.run_pass(1 - index, True)
                return
            done = operations.drain_vm(
                other.records, DOCUMENT, vm, operation_id
            )
            drained.extend([] if isinstance(done, Failure) else [vm])

        self.controllers[index].store.before_put = interfere
        self.run_pass(index, True)
        self.controllers[index].store.before_put = None
        for name in drained:
            found = self.record().vms[name]
            assert found.operation_id == operation_id, "the drain was lost"

    @rule(
        index=st.integers(0, 1),
        fault=st.sampled_from((Fault.DOWN, Fault.LOST_ANSWER)),
        calls=st.integers(1, 3),
    )
    def break_store(self, index, fault, calls):
        """Let the next calls of a controller fail."""
        self.controllers[index].store.fault = fault
        self.controllers[index].store.fault_calls = calls

    @rule(entry=st.sampled_from(ENTRIES))
    def entry_follows(self, entry):
        """Update the fleet record known to an entry."""
        found = self.core.get(FLEET_KEY)
        self.known[entry] = (_decoded(found), found.revision)

    @rule(entry=st.sampled_from(ENTRIES), vms=st.sets(st.sampled_from(VMS)))
    def entry_works(self, entry, vms):
        """Let an entry send work to VMs that serve according to its record."""
        record, _ = self.known[entry]
        self.in_flight[entry] |= {vm for vm in vms if _serves(record, vm)}

    @rule(entry=st.sampled_from(ENTRIES))
    def entry_finishes(self, entry):
        """End all work of an entry."""
        self.in_flight[entry] = set()

    @rule(
        vm=st.sampled_from(VMS),
        pool=st.sampled_from(POOLS + [""]),
        undrain=st.booleans(),
    )
    def operate(self, vm, pool, undrain):
        """Drain, undrain or move a VM as an operator."""
        self.operation += 1
        operation_id = f"op-{self.operation}"
        records = self.controllers[0].records
        if pool:
            operations.move_vm(records, DOCUMENT, vm, pool, operation_id)
        elif undrain:
            operations.undrain_vm(records, vm, operation_id)
        else:
            operations.drain_vm(records, DOCUMENT, vm, operation_id)

    @rule(what=st.sampled_from(("start", "pause", "resume", "abort")))
    def wave(self, what):
        """Start, pause, resume or abort the wave."""
        records = self.controllers[1].records
        if what == "start":
            operations.start_wave(records, DOCUMENT, "patch", "ann", "")
        else:
            change = getattr(operations, f"{what}_wave")
            change(records, "patch", "ann", "")

    @rule(vm=st.sampled_from(FAILING_VMS))
    def fail(self, vm):
        """Remove a VM from the list, or add it again if it was removed."""
        if vm in self.lost:
            self.vms.rows[vm] = self.lost.pop(vm)
            self.vms.replace(vm)
        else:
            self.lost[vm] = self.vms.rows.pop(vm)

    @rule()
    def finish_reboots(self):
        """End all reboots."""
        self.vms.finish_reboots()

    @rule(pool=st.sampled_from(POOLS), queued=st.integers(0, 200))
    def load(self, pool, queued):
        """Change the demand for a pool."""
        self.demand[pool] = queued

    def teardown(self):
        """Check that all VMs serve and waves end once there are no faults."""
        for vm in list(self.lost):
            self.fail(vm)
        self.demand = {}
        for controller in self.controllers:
            controller.store.fault = Fault.NONE
        for name, vm in self.record().vms.items():
            operations.undrain_vm(
                self.controllers[0].records, name, f"end-{name}"
            )
        wave = self.record().waves.get("patch")
        if wave and wave.state is WaveState.PAUSED:
            self.wave("resume")
        for _ in range(120):
            for entry in ENTRIES:
                self.entry_follows(entry)
                self.entry_finishes(entry)
            self.run_pass(0, True)
            self.finish_reboots()
        left = self.record()
        states = {vm.state for vm in left.vms.values()}
        assert states == {VmState.SERVING}, states
        assert all(row.state is PlatformVmState.LIVE for row in self.vms.vms())
        for wave in left.waves.values():
            assert wave.state in (WaveState.DONE, WaveState.ABORTED), wave


FleetRaces.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
FleetRacesTest = FleetRaces.TestCase


class BlockedWaveTest(testtools.TestCase):
    """Guards against a wave that a move of a VM blocks for good."""

    def test_pool_at_its_budget_borrows_a_vm(self):
        """Guards against a wave in a pool without a VM beyond its budget.

        An operator's move left such a pool, and the wave waited for ever.
        """
        races = FleetRaces()
        busy = {f"quotes-{number}" for number in (0, 1, 3, 5)}
        races.begin(
            vms=busy | {"desk-1", "desk-2", "orders-0", "orders-3"},
        )
        races.operate(pool="quotes", undrain=True, vm="orders-2")
        races.interleave_passes(
            count=2, finishing=set(), following={"e1", "e2"}, index=0
        )
        races.teardown()
