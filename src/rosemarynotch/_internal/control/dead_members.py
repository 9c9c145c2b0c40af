"""Removal of dead members from the members record (rule R2)."""

from collections.abc import Mapping

import logbook

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.reference.interface import PlatformVm
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["DeadMemberRemover"]

# Time without a heartbeat after which an entry counts as silent. With 30
# entries, a live entry sends the leader a heartbeat every 7.75 s. A new leader
# counts from the start of its leadership.
SILENCE_TIMEOUT_S = 10.0
# Time between the first and the last list that lack an instance, so that a
# single faulty list removes no member.
ABSENCE_TIMEOUT_S = 10.0
# The list lags, so it may not include a new VM yet. This longer time applies
# to an instance that this process has never seen listed.
UNSEEN_ABSENCE_TIMEOUT_S = 600.0

_log = logbook.Logger(__name__)


class DeadMemberRemover:
    """Removes members whose VM instance is missing from the VM list.

    All other processes treat a removed member as dead, so a removal requires
    at least two separate lists without the instance. Entries must be silent
    as well, so the longer time for instances that were never seen listed does
    not apply to them: if a VM is lost with both the leader and an entry, the
    next leader has never seen that instance, and a long wait would block the
    limit portions of the entry and every drain. Control processes that do not
    lead send no heartbeats, so their silence is not evaluated.

    :param own_vm: VM of this process; a list without it is not used
    """

    def __init__(
        self, records: RecordStore, own_vm: str, clock: Clock
    ) -> None:
        self._records = records
        self._own_vm = own_vm
        self._clock = clock
        self._leading_since_s = clock.monotonic_s()
        self._seen_instances: set[tuple[str, str]] = set()
        # Time of the first list without the instance, by member.
        self._absent_since_s: dict[tuple[str, str], float] = {}
        self._needs_list = False

    def needs_newer_list(self) -> bool:
        """Return whether removing a member only requires a newer list."""
        return self._needs_list

    def reset(self) -> None:
        """Reset the observations when this process becomes the leader."""
        self._leading_since_s = self._clock.monotonic_s()
        self._absent_since_s = {}
        self._needs_list = False

    def step(
        self,
        members: MembersRecord,
        heard: Mapping,
        listed: list[PlatformVm],
        read_s: float,
    ) -> None:
        """Remove members whose absence and silence exceed the time-outs.

        :param heard: the last heartbeat of each member and its age, by name
        :param listed: the newest VM list, which must be plausible
        :param read_s: monotonic time at which that list was requested
        """
        self._needs_list = False
        instances = {(row.name, row.instance) for row in listed}
        if self._own_vm not in {row.name for row in listed}:
            self._absent_since_s = {}
            return
        if read_s < self._leading_since_s:
            return
        self._record_seen(members, instances)
        now_s = self._clock.monotonic_s()
        absent = {
            (member.name, member.incarnation): member
            for member in members.members.values()
            if (member.vm, member.vm_instance) not in instances
            and self._may_be_dead(member, heard, now_s)
        }
        self._absent_since_s = {
            key: self._absent_since_s.get(key, read_s) for key in absent
        }
        dead = set()
        for key, member in absent.items():
            due_s = self._absent_since_s[key] + self._absence_timeout_s(member)
            if read_s >= due_s:
                dead.add(key)
            elif now_s >= due_s:
                self._needs_list = True
        if dead:
            self._remove(dead)

    def _record_seen(self, members: MembersRecord, instances: set) -> None:
        of_members = {
            (member.vm, member.vm_instance)
            for member in members.members.values()
        }
        self._seen_instances = (self._seen_instances & of_members) | instances

    def _may_be_dead(self, member: Member, heard: Mapping, now_s) -> bool:
        if member.kind is not MemberKind.ENTRY:
            return True
        last = heard.get(member.name)
        if last is None or last.heartbeat.incarnation != member.incarnation:
            return now_s - self._leading_since_s >= SILENCE_TIMEOUT_S
        return (
            min(last.age_s, now_s - self._leading_since_s) >= SILENCE_TIMEOUT_S
        )

    def _absence_timeout_s(self, member: Member) -> float:
        if member.kind is MemberKind.ENTRY:
            return ABSENCE_TIMEOUT_S
        is_seen = (member.vm, member.vm_instance) in self._seen_instances
        return ABSENCE_TIMEOUT_S if is_seen else UNSEEN_ABSENCE_TIMEOUT_S

    def _remove(self, dead: set[tuple[str, str]]) -> None:
        def change(record: MembersRecord) -> MembersRecord:
            return MembersRecord(
                members={
                    name: member
                    for name, member in record.members.items()
                    if (name, member.incarnation) not in dead
                }
            )

        written = self._records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), change
        )
        if isinstance(written, Failure):
            return
        self._records.bump_head(members_revision=written.revision)
        _log.warning("removed dead members: {}", sorted(dead))
