"""What the control loop sees of other packages, set by tests."""

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
    """A heartbeat and its age."""

    heartbeat: Heartbeat
    age_s: float = 0.0


@attrs.frozen
class CurrentDocument:
    """A document with its version."""

    document: Document
    version: int = 1


class ConfigInForce:
    """The document that a test puts in force."""

    def __init__(self, document: Document) -> None:
        self.current = CurrentDocument(document)


class RecordView:
    """A record that only moves forward."""

    def __init__(self, record) -> None:
        self.record = record
        self.revision = 0

    def apply(self, record, revision):
        """Take a newer record."""
        if revision > self.revision:
            self.record, self.revision = record, revision
            return True
        return False

    def entries(self):
        """Return the entries of a members record."""
        return list(self.record.members.values())


class NoJobs:
    """A fleet without jobs."""

    def __init__(self) -> None:
        self.busy = frozenset()

    def step(self, leads, document, record):
        """Do nothing."""

    def busy_workers(self):
        """Return the workers that the test keeps busy."""
        return self.busy


class FakeVms(VmService):
    """A VM list without lag; a reboot ends at :meth:`finish_reboots`."""

    def __init__(self, document: Document) -> None:
        self.reboots: list[tuple[str, str]] = []
        self.rows = {
            spec.name: _row(spec.name, 1, spec)
            for pool in document.pools
            for spec in pool.vms
        }

    def vms(self):
        """Return the rows that the test left in the list."""
        return list(self.rows.values())

    def drain(self, vm, operation_id):
        """Do nothing."""

    def undrain(self, vm, operation_id):
        """Do nothing."""

    def reboot(self, vm, operation_id):
        """Reboot once per operation."""
        if (vm, operation_id) not in self.reboots:
            self.reboots.append((vm, operation_id))
            self.set_state(vm, PlatformVmState.REBOOTING)

    def set_state(self, vm, state):
        """Change the state of a row."""
        self.rows[vm] = attrs.evolve(self.rows[vm], state=state)

    def replace(self, vm):
        """Show a new instance."""
        row = self.rows[vm]
        life = int(row.instance.rsplit("#", 1)[1]) + 1
        self.rows[vm] = attrs.evolve(
            row, instance=f"{vm}#{life}", state=PlatformVmState.LIVE
        )

    def finish_reboots(self):
        """End all reboots that are under way."""
        for vm, row in list(self.rows.items()):
            if row.state is PlatformVmState.REBOOTING:
                self.replace(vm)


def _row(name, life, spec):
    return PlatformVm(
        name=name,
        instance=f"{name}#{life}",
        state=PlatformVmState.LIVE,
        address=f"{name}:80",
        data_centre=spec.data_centre,
        rack=spec.rack,
    )


def one_pool(vms=4, racks=2, minimum=2, name="quotes", **fields):
    """Return a pool with its VMs spread over racks in turn."""
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
    """Return an entry as it registers."""
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
    """Return a heartbeat of an entry without work on draining VMs."""
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
    """Return a view before the first read."""
    return RecordView(FleetRecord())
