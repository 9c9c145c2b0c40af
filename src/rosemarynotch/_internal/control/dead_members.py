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

# An entry that is alive is heard by the leader every 7.75 s with 30 entries.
# It counts as silent after this time, which a new leader waits out from the
# start of its lead.
SILENT_S = 10.0
# Time between the first and the last list that lack an instance, so that a
# single faulty list removes nobody.
ABSENT_S = 10.0
# The list lags, so it may not show a new VM yet. An instance that this
# process has never seen listed has to be absent for this time instead.
UNSEEN_S = 600.0

_log = logbook.Logger(__name__)


class DeadMemberRemover:
    """Removes members whose VM instance has disappeared from the list.

    All other processes take a member that was removed for dead, so this
    needs at least two separate lists. Entries must be silent as well. That
    is why the longer wait for instances that were never seen listed does
    not apply to them: after the loss of a VM with the leader and an entry,
    the next leader has not seen the instance, and waiting would hold up the
    portions of the entry and every drain. Controls that do not lead send no
    heartbeats, so their silence tells nothing.

    :param own_vm: VM of this process; a list without it proves nothing
    """

    def __init__(
        self, records: RecordStore, own_vm: str, clock: Clock
    ) -> None:
        self._records = records
        self._own_vm = own_vm
        self._clock = clock
        self._begun_s = clock.monotonic_s()
        self._seen: set[tuple[str, str]] = set()
        # Time of the first list that lacks the instance, by member.
        self._absent_since_s: dict[tuple[str, str], float] = {}
        self._needs_list = False

    def needs_list(self) -> bool:
        """Tell whether only a newer list is missing to remove a member."""
        return self._needs_list

    def begin(self) -> None:
        """Begin anew, when this process has become the leader."""
        self._begun_s = self._clock.monotonic_s()
        self._absent_since_s = {}
        self._needs_list = False

    def step(
        self,
        members: MembersRecord,
        heard: Mapping,
        listed: list[PlatformVm],
        read_s: float,
    ) -> None:
        """Remove members that have been absent and silent long enough.

        :param listed: the newest VM list, which must be plausible
        :param read_s: monotonic time at which that list was requested
        """
        self._needs_list = False
        instances = {(row.name, row.instance) for row in listed}
        if self._own_vm not in {row.name for row in listed}:
            self._absent_since_s = {}
            return
        if read_s < self._begun_s:
            return
        self._note_seen(members, instances)
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
        gone = set()
        for key, member in absent.items():
            due_s = self._absent_since_s[key] + self._wait_s(member)
            if read_s >= due_s:
                gone.add(key)
            elif now_s >= due_s:
                self._needs_list = True
        if gone:
            self._remove(gone)

    def _note_seen(self, members: MembersRecord, instances: set) -> None:
        of_members = {
            (member.vm, member.vm_instance)
            for member in members.members.values()
        }
        self._seen = (self._seen & of_members) | instances

    def _may_be_dead(self, member: Member, heard: Mapping, now_s) -> bool:
        if member.kind is not MemberKind.ENTRY:
            return True
        last = heard.get(member.name)
        if last is None or last.heartbeat.incarnation != member.incarnation:
            return now_s - self._begun_s >= SILENT_S
        return min(last.age_s, now_s - self._begun_s) >= SILENT_S

    def _wait_s(self, member: Member) -> float:
        if member.kind is MemberKind.ENTRY:
            return ABSENT_S
        is_seen = (member.vm, member.vm_instance) in self._seen
        return ABSENT_S if is_seen else UNSEEN_S

    def _remove(self, gone: set[tuple[str, str]]) -> None:
        def change(record: MembersRecord) -> MembersRecord:
            return MembersRecord(
                members={
                    name: member
                    for name, member in record.members.items()
                    if (name, member.incarnation) not in gone
                }
            )

        written = self._records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), change
        )
        if isinstance(written, Failure):
            return
        self._records.bump_head(members_revision=written.revision)
        _log.warning("removed dead members: {}", sorted(gone))
