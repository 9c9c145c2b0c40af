"""Evidence that a holder of portions is gone (rule R2)."""

from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.admission.portions import is_set_aside
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import MembersView

__all__ = ["GoneWatch", "HolderKey"]

# Beyond the longest run time; covers the gap after which a paused process
# stops admitting requests.
MARGIN_S = 2.0


@attrs.frozen
class HolderKey:
    """The key of a portion in a limit record and its incarnation."""

    key: str
    incarnation: str


class GoneWatch:
    """Tells which holders are gone for long enough to reclaim portions.

    The evidence is looked at again in each call; the wait starts anew when
    it vanishes. A holder that is not in the members record is gone: it
    registers before it holds portions, and it is removed only after a
    graceful stop or by the leading control process (``GoneMembers``), which
    alone compares the members with the platform's VM list.

    :param view: the followed members record. A holder that it lists is not
        gone, which saves reading the record in each call
    """

    def __init__(
        self, records: RecordStore, view: "MembersView", clock: Clock
    ) -> None:
        self._records = records
        self._view = view
        self._clock = clock
        self._since_s: dict[HolderKey, float] = {}

    def waiting(self) -> bool:
        """Tell whether a holder seems gone, but not for long enough."""
        return bool(self._since_s)

    def gone(
        self, holders: set[HolderKey], longest_run_s: float
    ) -> frozenset[HolderKey]:
        """Return the holders whose portions may be reclaimed.

        :param holders: from limit records that were read before this call
        """
        suspects = self._suspects(holders)
        if isinstance(suspects, Failure):
            return frozenset()
        now_s = self._clock.monotonic_s()
        self._since_s = {
            holder: self._since_s.get(holder, now_s) for holder in suspects
        }
        wait_s = longest_run_s + MARGIN_S
        return frozenset(
            holder
            for holder, since_s in self._since_s.items()
            if now_s - since_s >= wait_s
        )

    def _suspects(self, holders: set[HolderKey]) -> set[HolderKey] | Failure:
        listed = self._view.record
        suspects = {each for each in holders if _is_replaced(each, listed)}
        if all(is_set_aside(holder.key) for holder in suspects):
            return suspects
        members = self._members()
        if isinstance(members, Failure):
            return members
        return {each for each in suspects if _is_replaced(each, members)}

    def _members(self) -> MembersRecord | Failure:
        """Read the record anew, as the view may be older than a portion."""
        read = self._records.read(MEMBERS_KEY, MembersRecord)
        if isinstance(read, Failure):
            if read.is_a(STORE_KEY_MISSING):
                return MembersRecord()
            return read
        return read.value


def _is_replaced(holder: HolderKey, members: MembersRecord) -> bool:
    if is_set_aside(holder.key):
        return True
    member = members.members.get(holder.key)
    return member is None or member.incarnation != holder.incarnation
