"""Finds holders whose portions may be reclaimed (rule R2)."""

from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.admission.portions import is_predecessor
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import MembersView

__all__ = ["HolderKey", "ReclaimableHolders"]

# Wait beyond the longest run time. A process detects a pause only if it is
# longer than this; after a shorter one it admits requests without reading its
# portions again.
MARGIN_S = 2.0


@attrs.frozen
class HolderKey:
    """The key of a portion in a limit record and the holder's incarnation."""

    key: str
    incarnation: str


class ReclaimableHolders:
    """Tells which holders have been missing for long enough.

    A holder is missing if the members record does not list its incarnation:
    it registers before it holds portions, and it is removed only after a
    graceful stop or by the leading control process
    (``DeadMemberRemover``), which alone compares the members with the
    platform's VM list. Each call checks this again, and a holder that is
    listed again starts a new wait.

    :param view: the followed members record. A holder that it lists is not
        missing, which saves reading the record from the store in each call
    """

    def __init__(
        self, records: RecordStore, view: "MembersView", clock: Clock
    ) -> None:
        self._records = records
        self._view = view
        self._clock = clock
        self._since_s: dict[HolderKey, float] = {}

    def has_pending(self) -> bool:
        """Tell whether a holder is missing and has not been reclaimed yet."""
        return bool(self._since_s)

    def reclaimable(
        self, holders: set[HolderKey], longest_run_s: float
    ) -> frozenset[HolderKey]:
        """Return the holders whose portions may be reclaimed.

        :param holders: from limit records that were read before this call
        """
        missing = self._find_missing(holders)
        if isinstance(missing, Failure):
            return frozenset()
        now_s = self._clock.monotonic_s()
        self._since_s = {
            holder: self._since_s.get(holder, now_s) for holder in missing
        }
        wait_s = longest_run_s + MARGIN_S
        return frozenset(
            holder
            for holder, since_s in self._since_s.items()
            if now_s - since_s >= wait_s
        )

    def _find_missing(
        self, holders: set[HolderKey]
    ) -> set[HolderKey] | Failure:
        listed = self._view.record
        missing = {each for each in holders if _is_missing(each, listed)}
        if all(is_predecessor(holder.key) for holder in missing):
            return missing
        members = self._read_members()
        if isinstance(members, Failure):
            return members
        return {each for each in missing if _is_missing(each, members)}

    def _read_members(self) -> MembersRecord | Failure:
        """Read the record again, as the view may be older than a portion."""
        read = self._records.read(MEMBERS_KEY, MembersRecord)
        if isinstance(read, Failure):
            if read.is_a(STORE_KEY_MISSING):
                return MembersRecord()
            return read
        return read.value


def _is_missing(holder: HolderKey, members: MembersRecord) -> bool:
    if is_predecessor(holder.key):
        return True
    member = members.members.get(holder.key)
    return member is None or member.incarnation != holder.incarnation
