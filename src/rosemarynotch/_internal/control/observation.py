"""State of the fleet derived from heartbeats and the members record."""

from collections.abc import Mapping
from typing import Callable

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore

__all__ = ["DrainProgress", "demand_by_pool", "ejected_by_most"]

# Older heartbeats are not used for demand and ejections. An entry sends one
# every 1.75 s with 6 entries and every 7.75 s with 30.
MAX_HEARTBEAT_AGE_S = 10.0


def fresh_heartbeats(heard: Mapping, entries: list[Member]) -> list[Heartbeat]:
    """Return the recent heartbeats of the given entries."""
    return [
        heard[entry.name].heartbeat
        for entry in entries
        if entry.name in heard
        and heard[entry.name].age_s < MAX_HEARTBEAT_AGE_S
    ]


def demand_by_pool(heartbeats: list[Heartbeat]) -> dict[str, float]:
    """Return queued and running requests by pool, over all entries."""
    demand: dict[str, float] = {}
    for heartbeat in heartbeats:
        for row in heartbeat.demand:
            requests = row.queued_requests + row.running_requests
            demand[row.pool] = demand.get(row.pool, 0.0) + requests
    return demand


def ejected_by_most(heartbeats: list[Heartbeat]) -> frozenset[str]:
    """Return the VMs that more than half of the entries have ejected."""
    votes: dict[str, int] = {}
    for heartbeat in heartbeats:
        for vm in heartbeat.ejected_vms:
            votes[vm] = votes.get(vm, 0) + 1
    return frozenset(
        vm for vm, count in votes.items() if 2 * count > len(heartbeats)
    )


class DrainProgress:
    """Finds draining VMs without work in flight (rule R8).

    An entry whose fleet revision shows the VM as draining, and that reports
    no work in flight on it, starts no more work there. The revision required
    is the first at which this process saw the drain; the newest would be
    raised by unrelated changes before the entries reach it.

    :param records: for reading the members record before a VM counts as
        drained. An entry registers before it reads the fleet record, so one
        that registers after this read knows of the drain.
    :param busy_workers: returns the workers on which tasks may be running
    """

    def __init__(
        self,
        records: RecordStore,
        busy_workers: Callable[[], frozenset[str]],
    ) -> None:
        self._records = records
        self._busy_workers = busy_workers
        self._first_revisions: dict[tuple[str, str], int] = {}

    def check(
        self,
        record: FleetRecord,
        revision: int,
        heard: Mapping,
        entries: list[Member],
    ) -> tuple[frozenset[tuple[str, str]], dict[str, str]]:
        """Check all draining VMs.

        :returns: (VM, operation id) pairs that are drained, and by VM, why
            the others are not
        """
        self._first_revisions = {
            (name, vm.operation_id): self._first_revisions.get(
                (name, vm.operation_id), revision
            )
            for name, vm in record.vms.items()
            if vm.state is VmState.DRAINING
        }
        if not self._first_revisions:
            return frozenset(), {}
        idle, waiting = self._split_draining(heard, entries)
        if idle:
            current = self._read_entries()
            if current is None:
                return frozenset(), waiting
            idle, waiting = self._split_draining(heard, current)
        return frozenset(idle), waiting

    def _split_draining(self, heard, entries):
        """Return idle draining VMs, and why the others are not idle."""
        busy = self._busy_workers()
        idle = []
        waiting = {}
        for (name, operation_id), revision in self._first_revisions.items():
            reason = self._blocking_reason(name, revision, heard, entries)
            if not reason and name in busy:
                reason = f"tasks run on {name}"
            if reason:
                waiting[name] = reason
            else:
                idle.append((name, operation_id))
        return idle, waiting

    @staticmethod
    def _blocking_reason(name, revision, heard, entries) -> str:
        for entry in entries:
            if entry.name not in heard:
                return f"entry {entry.name} is not heard"
            heartbeat = heard[entry.name].heartbeat
            if heartbeat.incarnation != entry.incarnation:
                return f"entry {entry.name} is not heard"
            if heartbeat.fleet_revision < revision:
                if heard[entry.name].age_s >= MAX_HEARTBEAT_AGE_S:
                    return f"entry {entry.name} is not heard"
                return f"entry {entry.name} has an older fleet record"
            if heartbeat.running_by_vm.get(name, 0):
                return f"work in flight on {name}"
        return ""

    def _read_entries(self) -> list[Member] | None:
        found = self._records.read(MEMBERS_KEY, MembersRecord)
        if isinstance(found, Failure):
            return None
        return [
            member
            for member in found.value.members.values()
            if member.kind is MemberKind.ENTRY
        ]
