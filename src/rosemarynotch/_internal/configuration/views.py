"""Views of the shared records, which only move forward."""

import hashlib
import threading
from typing import Callable

import attrs

from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.records import ConfigPointer
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState

__all__ = ["ConfigInForce", "DocumentInForce", "FleetView", "MembersView"]

Listener = Callable[[], None]


@attrs.frozen(kw_only=True)
class DocumentInForce:
    """The configuration that this process applies.

    :ivar version: 0 until a configuration is known
    :ivar encoded: the bytes that the digest belongs to
    :ivar pointer: None until a configuration is known
    """

    version: int = 0
    digest: str = ""
    document: Document = Document(pools=(), teams=(), queues=())
    pointer: ConfigPointer | None = None
    encoded: bytes = attrs.field(default=b"", repr=False)


class _Listeners:
    """Callbacks without arguments, called after a view has changed."""

    def __init__(self) -> None:
        self._callbacks: tuple[Listener, ...] = ()

    def add(self, callback: Listener) -> None:
        self._callbacks += (callback,)

    def call(self) -> None:
        for callback in self._callbacks:
            callback()


class ConfigInForce:
    """The document in force; its version never goes back (rule R6)."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._current = DocumentInForce()
        self._listeners = _Listeners()

    @property
    def current(self) -> DocumentInForce:
        """Return the document in force."""
        return self._current

    def apply(
        self, pointer: ConfigPointer, document: Document, encoded: bytes = b""
    ) -> bool:
        """Put a document in force unless its version is not newer.

        :param encoded: bytes of the document as they were read. Encoding the
            document again may give other bytes than the digest belongs to
        :returns: whether the document is now in force
        """
        candidate = DocumentInForce(
            version=pointer.current.version,
            digest=pointer.current.digest,
            document=document,
            pointer=pointer,
            encoded=encoded or codec.encode(document),
        )
        with self._lock:
            if candidate.version <= self._current.version:
                return False
            self._current = candidate
        self._listeners.call()
        return True

    def add_listener(self, callback: Listener) -> None:
        """Call back, without arguments, after each change."""
        self._listeners.add(callback)


class _RecordView:
    """The newest revision of a record that was seen."""

    def __init__(self, record) -> None:
        self._lock = threading.Lock()
        self._state = (record, 0)
        self._listeners = _Listeners()

    @property
    def record(self):
        """Return the newest record."""
        return self._state[0]

    @property
    def revision(self) -> int:
        """Return the revision of the newest record, 0 before the first."""
        return self._state[1]

    def apply(self, record, revision: int) -> bool:
        """Take a record unless its revision is not newer.

        :returns: whether the record was taken
        """
        with self._lock:
            if revision <= self._state[1]:
                return False
            self._index(record)
            self._state = (record, revision)
        self._listeners.call()
        return True

    def add_listener(self, callback: Listener) -> None:
        """Call back, without arguments, after each change."""
        self._listeners.add(callback)

    def _index(self, record) -> None:
        """Prepare look-ups; called before the record is visible."""


class FleetView(_RecordView):
    """The fleet record as this process knows it."""

    def __init__(self) -> None:
        super().__init__(FleetRecord())
        self._serving: dict[str, list[tuple[str, VmRecord]]] = {}

    def serving(self, pool: str) -> list[tuple[str, VmRecord]]:
        """Return name and record of the VMs that serve a pool."""
        return list(self._serving.get(pool, ()))

    def _index(self, record: FleetRecord) -> None:
        serving: dict[str, list[tuple[str, VmRecord]]] = {}
        for name, vm in sorted(record.vms.items()):
            if vm.state is VmState.SERVING:
                serving.setdefault(vm.pool, []).append((name, vm))
        self._serving = serving


class MembersView(_RecordView):
    """The members record as this process knows it."""

    def __init__(self) -> None:
        super().__init__(MembersRecord())
        self._entries: tuple[Member, ...] = ()

    def entries(self) -> list[Member]:
        """Return the members that take requests, in order of name."""
        return list(self._entries)

    def member(self, name: str) -> Member | None:
        """Return the member of that name."""
        return self.record.members.get(name)

    def owner(self, team: str, idempotency_key: str) -> str:
        """Return the entry that runs a request (rendezvous hashing, R5).

        A key changes its owner only if its owner leaves or the new owner
        has joined.

        :returns: name of the entry, empty when there is none
        """
        item = f"{len(team)}:{team}:{idempotency_key}"
        return max(
            (member.name for member in self._entries),
            key=lambda name: (_rank(name, item), name),
            default="",
        )

    def _index(self, record: MembersRecord) -> None:
        self._entries = tuple(
            member
            for _, member in sorted(record.members.items())
            if member.kind is MemberKind.ENTRY
        )


def _rank(name: str, item: str) -> bytes:
    text = f"{len(name)}:{name}:{item}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
