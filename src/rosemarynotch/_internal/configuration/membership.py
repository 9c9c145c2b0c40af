"""This process in the members record."""

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
    """Registers, removes and revalidates this process (rule R2).

    :param me: what to register; its incarnation is replaced when it turns
        out to have been removed from the record
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
        """Return this member with its present incarnation."""
        return self._me

    def add_listener(self, callback: Callable[[Member], None]) -> None:
        """Call back with the new member after a change of incarnation."""
        self._listeners += (callback,)

    def register(self) -> None | Failure:
        """Write this member into the record.

        A predecessor of the same name on the same VM is replaced: this
        process could bind its port, so it is dead. A member of the same
        name on another VM may be alive and is kept.

        :returns: None, STORE_CONFLICT when the name is in use elsewhere,
            or STORE_UNAVAILABLE
        """
        me = self._me

        def add(record: MembersRecord) -> MembersRecord | Failure:
            other = record.members.get(me.name)
            if other is not None and other.vm != me.vm:
                return STORE_CONFLICT.with_reason(
                    f"{me.name} is registered by VM {other.vm}"
                )
            return MembersRecord(members={**record.members, me.name: me})

        written = self._update(add)
        if isinstance(written, Failure):
            return written
        self._registered_revision = written.revision
        return None

    def remove(self) -> None | Failure:
        """Remove this member at a graceful stop.

        :returns: None or STORE_UNAVAILABLE
        """
        me = self._me

        def drop(record: MembersRecord) -> MembersRecord:
            if not _lists(record, me):
                return record
            others = dict(record.members)
            del others[me.name]
            return MembersRecord(members=others)

        written = self._update(drop)
        return written if isinstance(written, Failure) else None

    def revalidate(self) -> None | Failure:
        """Read the record and register anew if this member is not in it.

        :returns: None when this member is registered, or a Failure
        """
        read = self._records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), lambda same: same
        )
        if isinstance(read, Failure):
            return read
        self._view.apply(read.value, read.revision)
        with self._lock:
            if _lists(read.value, self._me):
                self._registered_revision = read.revision
                return None
            self._me = attrs.evolve(self._me, incarnation=new_incarnation())
            me = self._me
        _log.warning("{} was removed, registers again", me.name)
        # Listeners drop what the old incarnation held before the new one
        # becomes visible to others.
        for callback in self._listeners:
            callback(me)
        return self.register()

    def is_removed(self) -> bool:
        """Tell whether a newer members record lacks this incarnation."""
        if not self._registered_revision:
            return False
        newer = self._view.revision > self._registered_revision
        return newer and not _lists(self._view.record, self._me)

    def _update(self, change) -> Record | Failure:
        written = self._records.update(
            MEMBERS_KEY, MembersRecord, MembersRecord(), change
        )
        if isinstance(written, Failure) and written.ran is not Ran.NO:
            # The write may have taken effect. Both changes give the same
            # record when they are applied twice.
            written = self._records.update(
                MEMBERS_KEY, MembersRecord, MembersRecord(), change
            )
        if isinstance(written, Failure):
            return written
        self._view.apply(written.value, written.revision)
        self._records.bump_head(members_revision=written.revision)
        return written


def _lists(record: MembersRecord, member: Member) -> bool:
    found = record.members.get(member.name)
    return found is not None and found.incarnation == member.incarnation
