"""Fakes of what the control loop reads; tests set their content."""

import attrs

from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.document import WaveSpec
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.reference.interface import PlatformVm
from rosemarynotch._internal.reference.interface import PlatformVmState
from rosemarynotch._internal.reference.interface import VmService

__all__ = [
    "ConfigInForce",
    "entry_member",
    "FakeVms",
    "idle_heartbeat",
    "NoJobs",
    "one_pool",
    "ReceivedHeartbeat",
    "RecordView",
]


@attrs.frozen
class ReceivedHeartbeat:
    """A received heartbeat and its age."""

    heartbeat: Heartbeat
    age_s: float = 0.0


@attrs.frozen
class CurrentDocument:
    """A document with its version."""

    document: Document
    version: int = 1


class ConfigInForce:
    """View of the document that a test puts into force."""

    def __init__(self, document: Document) -> None:
        self.current = CurrentDocument(document)


class RecordView:
    """A record that is only replaced by one with a higher revision."""

    def __init__(self, record) -> None:
        self.record = record
        self.revision = 0

    def apply(self, record, revision):
        """Replace the record if the revision is newer.

        :returns: whether the record was replaced
        """
        if revision > self.revision:
            self.record, self.revision = record, revision
            return True
        return False

    def entries(self):
        """Return the members of a members record, all of them entries."""
        return list(self.record.members.values())


class NoJobs:
    """A job controller without jobs."""

    def __init__(self) -> None:
        self.busy = frozenset()

    def step(self, leads, document, record):
        """Do nothing."""

    def busy_workers(self):
        """Return the workers that the test declares busy."""
        return self.busy


class FakeVms(VmService):
    """A VM service whose list has no lag.

    A reboot ends with :meth:`finish_reboots`.
    """

    def __init__(self, document: Document) -> None:
        self.reboots: list[tuple[str, str]] = []
        self.rows = {
            spec.name: _row(spec.name, 1, spec)
            for pool in document.pools
            for spec in pool.vms
        }

    def vms(self):
        """Return the rows of the list."""
        return list(self.rows.values())

    def drain(self, vm, operation_id):
        """Do nothing."""

    def undrain(self, vm, operation_id):
        """Do nothing."""

    def reboot(self, vm, operation_id):
        """Begin a reboot once per operation."""
        if (vm, operation_id) not in self.reboots:
            self.reboots.append((vm, operation_id))
            self.set_state(vm, PlatformVmState.REBOOTING)

    def set_state(self, vm, state):
        """Set the state of a row."""
        self.rows[vm] = attrs.evolve(self.rows[vm], state=state)

    def replace(self, vm):
        """Replace a VM by a new instance."""
        row = self.rows[vm]
        generation = int(row.instance.rsplit("#", 1)[1]) + 1
        self.rows[vm] = attrs.evolve(
            row, instance=f"{vm}#{generation}", state=PlatformVmState.LIVE
        )

    def finish_reboots(self):
        """Complete all reboots in progress."""
        for vm, row in list(self.rows.items()):
            if row.state is PlatformVmState.REBOOTING:
                self.replace(vm)


def _row(name, generation, spec):
    return PlatformVm(
        name=name,
        instance=f"{name}#{generation}",
        state=PlatformVmState.LIVE,
        address=f"{name}:80",
        data_centre=spec.data_centre,
        rack=spec.rack,
    )


def one_pool(vms=4, racks=2, minimum=2, name="quotes", **fields):
    """Return a pool whose VMs are distributed evenly over racks."""
    specs = tuple(
        VmSpec(
            name=f"{name}-{index}",
            data_centre="gent",
            rack=f"r{index % racks}",
        )
        for index in range(vms)
    )
    fields.setdefault("kind", PoolKind.SERVICE)
    return PoolSpec(name=name, min_available_vms=minimum, vms=specs, **fields)


def document_of(*pools, parallel=0):
    """Return a document with one wave over all pools."""
    wave = WaveSpec(
        name="patch",
        pools=tuple(pool.name for pool in pools),
        max_parallel_vms=parallel,
    )
    return Document(pools=pools, teams=(), queues=(), waves=(wave,))


def entry_member(name, incarnation="1"):
    """Return an entry as a registered member."""
    return Member(
        name=name,
        kind=MemberKind.ENTRY,
        incarnation=incarnation,
        vm=f"vm-{name}",
        vm_instance="1",
        data_centre="gent",
        peer_address="127.0.0.1:1",
    )


def members_of(*names):
    """Return a members record with these entries."""
    return MembersRecord(members={n: entry_member(n) for n in names})


def idle_heartbeat(name, fleet_revision, **fields):
    """Return a heartbeat of an entry, by default without work."""
    return Heartbeat(
        sender=name,
        incarnation="1",
        sequence=1,
        members_revision=1,
        config_version=1,
        fleet_revision=fleet_revision,
        store_age_s=0.0,
        **fields,
    )


def empty_fleet_view():
    """Return a fleet view that has not read any record yet."""
    return RecordView(FleetRecord())
