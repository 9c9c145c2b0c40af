"""Registration of this process in the members record."""

import secrets
import threading
from typing import Callable

import attrs
import logbook

from rosemarynotch._internal.configuration.views import MembersView
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import STORE_CONFLICT
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import Record
from rosemarynotch._internal.reference.records import RecordStore

__all__ = ["Membership", "new_incarnation"]

INCARNATION_BYTES = 8

_log = logbook.Logger(__name__)


def new_incarnation() -> str:
    """Return a random identifier for one start of a process."""
    return secrets.token_hex(INCARNATION_BYTES)


class Membership:
    """Registers, revalidates and removes this process (rule R2).

    :param me: member to register; it gets a new incarnation if another
        process has removed it from the record
    """

    def __init__(
        self, records: RecordStore, view: MembersView, me: Member
    ) -> None:
        self._records = records
        self._view = view
        self._lock = threading.Lock()
        self._me = me
        self._registered_revision = 0
        self._listeners: tuple[Callable[[Member], None], ...] = ()

    @property
    def me(self) -> Member:
        """Return this member with its current incarnation."""
        return self._me

    def add_listener(self, callback: Callable[[Member], None]) -> None:
        """Register a callback that gets the member with a new incarnation."""
        self._listeners += (callback,)

    def register(self) -> None | Failure:
        """Add this member to the members record.

        An existing member with the same name on the same VM is replaced: it
        has ended, because this process could bind its port. A member with
        the same name on another VM may still run and is kept.

        :returns: None, STORE_CONFLICT if a member on another VM has the
            name, or STORE_UNAVAILABLE
        """
        me = self._me

        def add(record: MembersRecord) -> MembersRecord | Failure:
            other = record.members.get(me.name)
            if other is not None and other.vm != me.vm:
                return STORE_CONFLICT.with_reason(
                    f"{me.name} is already registered on VM {other.vm}"
                )
            return MembersRecord(members={**record.members, me.name: me})

        written = self._update(add)
        if isinstance(written, Failure):
            return written
        self._registered_revision = written.revision
        return None

    def remove(self) -> None | Failure:
        """Remove this member from the record at a graceful stop.

        :returns: None or STORE_UNAVAILABLE
        """
        me = self._me

        def without_me(record: MembersRecord) -> MembersRecord:
            if not _is_listed(record, me):
                return record
            others = dict(record.members)
            del others[me.name]
            return MembersRecord(members=others)

        written = self._update(without_me)
        return written if isinstance(written, Failure) else None

    def revalidate(self) -> None | Failure:
        """Read the record, and register again if this member is missing.

        :returns: None if this member is registered, or the failure
        """
        read = self._records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), lambda same: same
        )
        if isinstance(read, Failure):
            return read
        self._view.apply(read.value, read.revision)
        with self._lock:
            if _is_listed(read.value, self._me):
                self._registered_revision = read.revision
                return None
            self._me = attrs.evolve(self._me, incarnation=new_incarnation())
            me = self._me
        _log.warning("{} was removed, registering again", me.name)
        # Listeners discard the state of the old incarnation before other
        # members can see the new one.
        for callback in self._listeners:
            callback(me)
        return self.register()

    def is_removed(self) -> bool:
        """Return whether a newer members record lacks this incarnation."""
        if not self._registered_revision:
            return False
        newer = self._view.revision > self._registered_revision
        return newer and not _is_listed(self._view.record, self._me)

    def _update(self, change) -> Record | Failure:
        written = self._records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), change
        )
        if isinstance(written, Failure) and written.ran is not Ran.NO:
            # The write may have taken effect. Repeating it is safe, because
            # applying either change twice gives the same record.
            written = self._records.update(
                MEMBERS_KEY, MembersRecord, MembersRecord(), change
            )
        if isinstance(written, Failure):
            return written
        self._view.apply(written.value, written.revision)
        self._records.bump_head(members_revision=written.revision)
        return written


def _is_listed(record: MembersRecord, member: Member) -> bool:
    found = record.members.get(member.name)
    return found is not None and found.incarnation == member.incarnation
