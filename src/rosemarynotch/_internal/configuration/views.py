"""Views of the shared records, which never return to an older revision."""

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

    :ivar version: version, 0 before the first configuration
    :ivar encoded: encoded document, from which the digest is computed
    :ivar pointer: pointer to this version, None before the first
        configuration
    """

    version: int = 0
    digest: str = ""
    document: Document = Document(pools=(), teams=(), queues=())
    pointer: ConfigPointer | None = None
    encoded: bytes = attrs.field(default=b"", repr=False)


class _Listeners:
    """Callbacks that are called without arguments after a view changed."""

    def __init__(self) -> None:
        self._callbacks: tuple[Listener, ...] = ()

    def add(self, callback: Listener) -> None:
        self._callbacks += (callback,)

    def call(self) -> None:
        for callback in self._callbacks:
            callback()


class ConfigInForce:
    """Holds the configuration in force, whose version only grows (rule R6)."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._current = DocumentInForce()
        self._listeners = _Listeners()

    @property
    def current(self) -> DocumentInForce:
        """Return the configuration in force."""
        return self._current

    def apply(
        self, pointer: ConfigPointer, document: Document, encoded: bytes = b""
    ) -> bool:
        """Put a document in force if its version is newer.

        :param encoded: the document as it was read. Encoding the document
            again may give other bytes, which do not match the digest
        :returns: whether the document was put in force
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
        """Register a callback, called without arguments on each change."""
        self._listeners.add(callback)


class _RecordView:
    """The newest revision of a record that this process has read."""

    def __init__(self, record) -> None:
        self._lock = threading.Lock()
        self._state = (record, 0)
        self._listeners = _Listeners()

    @property
    def record(self):
        """Return the newest revision of the record."""
        return self._state[0]

    @property
    def revision(self) -> int:
        """Return the number of the newest revision, 0 before the first."""
        return self._state[1]

    def apply(self, record, revision: int) -> bool:
        """Replace the record if the given revision is newer.

        :returns: whether the record was replaced
        """
        with self._lock:
            if revision <= self._state[1]:
                return False
            self._build_index(record)
            self._state = (record, revision)
        self._listeners.call()
        return True

    def add_listener(self, callback: Listener) -> None:
        """Register a callback, called without arguments on each change."""
        self._listeners.add(callback)

    def _build_index(self, record) -> None:
        """Prepare lookups in a record before it becomes visible."""


class FleetView(_RecordView):
    """View of the fleet record."""

    def __init__(self) -> None:
        super().__init__(FleetRecord())
        self._serving: dict[str, list[tuple[str, VmRecord]]] = {}

    def serving(self, pool: str) -> list[tuple[str, VmRecord]]:
        """Return the names and records of the VMs that serve a pool."""
        return list(self._serving.get(pool, ()))

    def _build_index(self, record: FleetRecord) -> None:
        serving: dict[str, list[tuple[str, VmRecord]]] = {}
        for name, vm in sorted(record.vms.items()):
            if vm.state is VmState.SERVING:
                serving.setdefault(vm.pool, []).append((name, vm))
        self._serving = serving


class MembersView(_RecordView):
    """View of the members record."""

    def __init__(self) -> None:
        super().__init__(MembersRecord())
        self._entries: tuple[Member, ...] = ()

    def entries(self) -> list[Member]:
        """Return the entries, which accept requests, sorted by name."""
        return list(self._entries)

    def member(self, name: str) -> Member | None:
        """Return the member of that name, or None."""
        return self.record.members.get(name)

    def owner(self, team: str, idempotency_key: str) -> str:
        """Return the entry that owns an idempotency key (rule R5).

        The owner is chosen by rendezvous hashing, so that a key changes its
        owner only if the owner leaves or if the new owner has just joined.

        :returns: name of the entry, empty if there are no entries
        """
        item = f"{len(team)}:{team}:{idempotency_key}"
        return max(
            (member.name for member in self._entries),
            key=lambda name: (_rank(name, item), name),
            default="",
        )

    def _build_index(self, record: MembersRecord) -> None:
        self._entries = tuple(
            member
            for _, member in sorted(record.members.items())
            if member.kind is MemberKind.ENTRY
        )


def _rank(name: str, item: str) -> bytes:
    text = f"{len(name)}:{name}:{item}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
