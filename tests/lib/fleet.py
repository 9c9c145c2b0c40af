"""Parts of a fleet of processes on one store, for tests."""

import random

import attrs

from rosemarynotch._internal.admission.permits import Permits
from rosemarynotch._internal import configuration
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import ConfigPointer
from rosemarynotch._internal.models.records import ConfigVersion
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.reference.interface import PlatformVm
from rosemarynotch._internal.reference.interface import PlatformVmState
from rosemarynotch._internal.reference.interface import VmService
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from standins.kv import KeyValue
from tests.lib.stores import MemoryStore

__all__ = [
    "control",
    "DelayingStore",
    "FakeVmService",
    "heartbeat",
    "limit_document",
    "LONGEST_RUN_S",
    "member",
    "pointer",
    "Process",
    "start_process",
]

LONGEST_RUN_S = 5.0


def member(name, incarnation="i1", instance="1", address=""):
    """Build an entry."""
    return Member(
        name=name,
        kind=MemberKind.ENTRY,
        incarnation=incarnation,
        vm=f"vm-{name}",
        vm_instance=instance,
        data_centre="Gent",
        peer_address=address,
    )


def control(name, incarnation="i1", instance="1", address=""):
    """Build a control process."""
    entry = member(name, incarnation, instance, address)
    return attrs.evolve(entry, kind=MemberKind.CONTROL)


def heartbeat(sender, incarnation="i1", sequence=1, **fields):
    """Build a heartbeat."""
    values = {
        "members_revision": 1,
        "config_version": 0,
        "fleet_revision": 0,
        "store_age_s": 0.0,
    }
    return Heartbeat(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        **{**values, **fields},
    )


def pointer(version, digest="d"):
    """Build a pointer to a version."""
    return ConfigPointer(
        current=ConfigVersion(
            version=version,
            digest=digest,
            change_id=f"c{version}",
            operator="op",
            reason="test",
            accepted_at_s=0.0,
        )
    )


def limit_document(limits):
    """Build a document from limits by team."""
    return Document(
        pools=(),
        teams=tuple(
            TeamSpec(name=team, share=1.0, limit_requests=limit)
            for team, limit in limits.items()
        ),
        queues=(
            QueueSpec(
                name="q", pool="p", longest_run_ms=int(1000 * LONGEST_RUN_S)
            ),
        ),
    )


class DelayingStore(MemoryStore):
    """A store that may apply a write after its caller gave up.

    :ivar is_delaying: whether writes wait for :meth:`apply_delayed`
    """

    def __init__(self, core):
        super().__init__(core)
        self.is_delaying = False
        self.delayed = []

    def put(self, key, value, expected, lease=""):
        """Write a value, or let the write wait."""
        if not self.is_delaying:
            return super().put(key, value, expected, lease)
        self.delayed.append((key, value, expected, lease))
        self.is_delaying = False
        return failures.Failure("store-unavailable", 503, Ran.UNKNOWN)

    def apply_delayed(self):
        """Let the waiting writes happen, if their revision still fits."""
        for item in self.delayed:
            super().put(*item)
        self.delayed = []


class FakeVmService(VmService):
    """A list of VMs that a test edits."""

    def __init__(self, names):
        self.instances = {f"vm-{name}": "1" for name in names}
        self.shown = None

    def vms(self):
        """Return the list, or what the test wants to be shown."""
        if self.shown is not None:
            return self.shown
        return [
            PlatformVm(name=vm, instance=instance, state=PlatformVmState.LIVE)
            for vm, instance in self.instances.items()
        ]

    def drain(self, vm, operation_id):
        """Do nothing."""

    def undrain(self, vm, operation_id):
        """Do nothing."""

    def reboot(self, vm, operation_id):
        """Do nothing."""


class Process:
    """The views, membership and permits of one entry, without threads."""

    def __init__(self, core, clock, me, seed=1, notify=None):
        rng = random.Random(seed)
        self.store = DelayingStore(core)
        self.records = RecordStore(self.store, clock, rng)
        self.in_force = configuration.ConfigInForce()
        self.members = configuration.MembersView()
        self.membership = configuration.Membership(
            self.records, self.members, me
        )
        self.guard = configuration.PauseGuard(clock)
        self.permits = Permits(
            self.records,
            me,
            self.in_force,
            self.members,
            self.guard,
            clock,
            rng,
            notify or (lambda member, team: None),
        )
        self.membership.add_listener(self.permits.restart)
        self.guard.add_revalidation(self.membership.revalidate)
        self.guard.add_revalidation(self.permits.revalidate)
        self.guard.set_removal_check(self.membership.is_removed)

    def follow_members(self):
        """Read the members record."""
        read = self.records.read(MEMBERS_KEY, MembersRecord)
        if not isinstance(read, failures.Failure):
            self.members.apply(read.value, read.revision)

    def heartbeat(self):
        """Build a heartbeat with the teams that are short."""
        me = self.membership.me
        return heartbeat(
            me.name, me.incarnation, short_teams=self.permits.short_teams()
        )


def start_process(clock, document, name="entry-1"):
    """Return a registered process that holds all limits of a document."""
    core = KeyValue(clock.monotonic_s)
    process = Process(core, clock, member(name))
    process.membership.register()
    process.follow_members()
    process.in_force.apply(pointer(1), document)
    process.permits.revalidate()
    return process
