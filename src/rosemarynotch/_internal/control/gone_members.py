"""Removal of dead members from the members record (rule R2)."""

from collections.abc import Mapping

import logbook

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.platform.interface import PlatformVm
from rosemarynotch._internal.platform.records import MEMBERS_KEY
from rosemarynotch._internal.platform.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["GoneMembers"]

# The list lags, so a new VM instance may have registered before the list
# shows it. Such a member is heard; a dead one is silent for this long.
SILENT_S = 10.0
ABSENT_S = 10.0

_log = logbook.Logger(__name__)


class GoneMembers:
    """Removes members whose VM instance has disappeared from the list.

    :param own_vm: VM of this process; a list without it proves nothing
    """

    def __init__(
        self, records: RecordStore, own_vm: str, clock: Clock
    ) -> None:
        self._records = records
        self._own_vm = own_vm
        self._clock = clock
        self._absent_since_s: dict[tuple[str, str], float] = {}

    def step(
        self, members: MembersRecord, heard: Mapping, listed: list[PlatformVm]
    ) -> None:
        """Remove members that have been absent and silent long enough.

        :param listed: the newest VM list, which must be plausible
        """
        instances = {(row.name, row.instance) for row in listed}
        if self._own_vm not in {row.name for row in listed}:
            self._absent_since_s = {}
            return
        now_s = self._clock.monotonic_s()
        self._absent_since_s = {
            (member.name, member.incarnation): self._absent_since_s.get(
                (member.name, member.incarnation), now_s
            )
            for member in members.members.values()
            if (member.vm, member.vm_instance) not in instances
            and _is_silent(member, heard)
        }
        gone = {
            key
            for key, since_s in self._absent_since_s.items()
            if now_s - since_s >= ABSENT_S
        }
        if gone:
            self._remove(gone)

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


def _is_silent(member: Member, heard: Mapping) -> bool:
    last = heard.get(member.name)
    if last is None or last.heartbeat.incarnation != member.incarnation:
        return True
    return last.age_s >= SILENT_S
