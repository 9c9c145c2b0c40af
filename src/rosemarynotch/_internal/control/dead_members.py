"""Removes members whose VM instance is gone (rule R2)."""

import attrs
import logbook

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.platform.lost_vms import LostVms
from rosemarynotch._internal.platform.records import MEMBERS_KEY
from rosemarynotch._internal.platform.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["DeadMembers"]

# A gone member costs peers a link and drains a wait; the list lags anyway.
CHECK_INTERVAL_S = 5.0

_log = logbook.Logger(__name__)


class DeadMembers:
    """Takes members out of the record on the evidence of rule R2.

    :param members: MembersView
    :param lost_vms: the evidence
    """

    def __init__(
        self, records: RecordStore, members, lost_vms: LostVms, clock: Clock
    ) -> None:
        self._records = records
        self._members = members
        self._lost_vms = lost_vms
        self._clock = clock
        self._due_s = float("-inf")

    def step(self) -> None:
        """Remove members that are gone, if a look is due."""
        now_s = self._clock.monotonic_s()
        if now_s < self._due_s:
            return
        self._due_s = now_s + CHECK_INTERVAL_S
        lost = self._lost_vms.among(self._members.record)
        if lost:
            self._remove(lost)

    def _remove(self, lost: frozenset[tuple[str, str]]) -> None:
        def without_lost(record: MembersRecord) -> MembersRecord:
            kept = {
                name: member
                for name, member in record.members.items()
                if (member.vm, member.vm_instance) not in lost
            }
            if len(kept) == len(record.members):
                return record
            return attrs.evolve(record, members=kept)

        written = self._records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), without_lost
        )
        if isinstance(written, Failure):
            return
        self._members.apply(written.value, written.revision)
        self._records.bump_head(members_revision=written.revision)
        _log.notice("members removed", vms=sorted(vm for vm, _ in lost))
