"""Replication of the shared records from the store and from peers."""

import threading
from typing import Callable

import logbook

from rosemarynotch._internal.configuration.documents import read_document
from rosemarynotch._internal.configuration.documents import unpack_answer
from rosemarynotch._internal.configuration.freshness import Freshness
from rosemarynotch._internal.configuration.views import ConfigInForce
from rosemarynotch._internal.configuration.views import FleetView
from rosemarynotch._internal.configuration.views import MembersView
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNCHANGED
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.messages import DocumentAnswer
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import ConfigPointer
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import Head
from rosemarynotch._internal.models.records import MembersRecord
from rosemarynotch._internal.reference.records import CONFIG_KEY
from rosemarynotch._internal.reference.records import FLEET_KEY
from rosemarynotch._internal.reference.records import HEAD_KEY
from rosemarynotch._internal.reference.records import MEMBERS_KEY
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["ConfigFetcher", "Follower"]

# A writer may stop between writing a record and updating the head record, so
# the records are also checked at this interval. Three reads in 10 s from 60
# processes are 18 of the 2,000 reads per second that the store allows.
FULL_READ_INTERVAL_S = 10.0
WATCH_MS = 4_000
# Delay after a failed call, which avoids a busy loop during an outage.
RETRY_DELAY_S = 0.5

_log = logbook.Logger(__name__)


class Follower:
    """Keeps the views of this process up to date with the store.

    :param freshness: records each contact with the store
    """

    def __init__(
        self,
        records: RecordStore,
        in_force: ConfigInForce,
        fleet: FleetView,
        members: MembersView,
        freshness: Freshness,
        clock: Clock,
    ) -> None:
        self._records = records
        self._in_force = in_force
        self._fleet = fleet
        self._members = members
        self._freshness = freshness
        self._clock = clock
        self._head_revision = 0
        self._config_revision = 0
        self._full_read_at_s = -float("inf")
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that follows the head record."""
        self._thread = threading.Thread(
            target=self._run, name="follower", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Make the thread end after its current watch call."""
        self._stopped.set()

    def step(self, watch_ms: int = WATCH_MS) -> bool:
        """Wait for one change of the head record and apply it.

        :param watch_ms: longest time to wait for a change
        :returns: whether the store answered
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._full_read_at_s >= FULL_READ_INTERVAL_S:
            if not self.refresh():
                return False
            self._full_read_at_s = now_s
        found = self._records.store.watch(
            HEAD_KEY, self._head_revision, watch_ms
        )
        if isinstance(found, Failure):
            return self._handle_failure(found)
        head = codec.decode(found.value, Head)
        if isinstance(head, Failure) or not self._apply_head(head):
            return False
        self._freshness.record_store_contact()
        self._head_revision = found.revision
        return True

    def refresh(self) -> bool:
        """Read each record whose revision is newer than that of its view.

        The fleet record of 1,300 VMs has 13 to 17 KB, and the configuration
        pointer contains 20 versions. Reading them every 10 s regardless of
        their revision would use more than half of the control traffic that
        a node is allowed.

        :returns: whether the store answered each call
        """
        return all(
            [
                self._follow_config(),
                self._follow(self._fleet, FLEET_KEY, FleetRecord, True),
                self._follow(self._members, MEMBERS_KEY, MembersRecord),
            ]
        )

    def refresh_config(self) -> bool:
        """Read the newest configuration and put it in force.

        The store contact is recorded only after the newest document is in
        force. Otherwise a key that was withdrawn during an outage would be
        accepted again until the document has been read.

        :returns: whether the store answered each call
        """
        read = self._records.read(CONFIG_KEY, ConfigPointer)
        if isinstance(read, Failure):
            return self._handle_failure(read)
        pointer = read.value
        if pointer.current.version > self._in_force.current.version:
            stored = read_document(self._records.store, pointer.current.digest)
            if isinstance(stored, Failure):
                _log.warning("configuration not read: {}", stored.reason)
                return self._handle_failure(stored)
            self._in_force.apply(pointer, stored.document, stored.encoded)
        self._config_revision = max(self._config_revision, read.revision)
        self._freshness.record_store_contact()
        return True

    def _apply_head(self, head: Head) -> bool:
        answered = True
        if head.config_revision > self._config_revision:
            answered &= self.refresh_config()
        if head.fleet_revision > self._fleet.revision:
            answered &= self._refresh(
                self._fleet, FLEET_KEY, FleetRecord, True
            )
        if head.members_revision > self._members.revision:
            answered &= self._refresh(
                self._members, MEMBERS_KEY, MembersRecord
            )
        return answered

    def _follow(self, view, key, kind, compressed=False) -> bool:
        return self._read_if_newer(
            key,
            view.revision,
            lambda: self._refresh(view, key, kind, compressed),
        )

    def _follow_config(self) -> bool:
        answered = self._read_if_newer(
            CONFIG_KEY, self._config_revision, self.refresh_config
        )
        if answered:
            self._freshness.record_store_contact()
        return answered

    def _read_if_newer(
        self, key: str, revision: int, read: Callable[[], bool]
    ) -> bool:
        """Read a record if the list of keys shows a newer revision."""
        listed = self._records.store.keys(key)
        if isinstance(listed, Failure):
            return self._handle_failure(listed)
        newer = any(
            item.key == key and item.revision > revision for item in listed
        )
        return not newer or read()

    def _refresh(self, view, key, kind, compressed=False) -> bool:
        read = self._records.read(key, kind, compressed)
        if isinstance(read, Failure):
            return self._handle_failure(read)
        view.apply(read.value, read.revision)
        return True

    def _handle_failure(self, failure: Failure) -> bool:
        """Record a store contact if the failure is an answer of the store.

        :returns: whether the store answered
        """
        answered = failure.is_a(STORE_KEY_MISSING)
        answered |= failure.is_a(STORE_UNCHANGED)
        if answered:
            self._freshness.record_store_contact()
        return answered

    def _run(self) -> None:
        while not self._stopped.is_set():
            if not self.step():
                self._stopped.wait(RETRY_DELAY_S)


class ConfigFetcher:
    """Fetches configurations announced by heartbeats (rule R6).

    The configuration is read from the store first. It is requested from a
    peer if the store does not have the version or does not answer.

    :param refresh: reads the newest configuration from the store
    :param fetch: requests a version from a member
    """

    def __init__(
        self,
        in_force: ConfigInForce,
        refresh: Callable[[], bool],
        fetch: Callable[[str, int], DocumentAnswer | Failure],
    ) -> None:
        self._in_force = in_force
        self._refresh = refresh
        self._fetch = fetch
        self._changed = threading.Condition()
        self._announced: dict[str, int] = {}
        self._stopped = False

    def start(self) -> None:
        """Start the thread that fetches configurations."""
        threading.Thread(
            target=self._run, name="catch-up", daemon=True
        ).start()

    def stop(self) -> None:
        """Make the thread end."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record the configuration version that a member has in force."""
        if heartbeat.config_version <= self._in_force.current.version:
            return
        with self._changed:
            self._announced[heartbeat.sender] = heartbeat.config_version
            self._changed.notify_all()

    def step(self) -> None:
        """Fetch the newest version that has been announced."""
        with self._changed:
            announced, self._announced = self._announced, {}
        newest = sorted(announced.items(), key=lambda item: -item[1])
        if newest and newest[0][1] > self._in_force.current.version:
            self._refresh()
        for sender, version in newest:
            if version <= self._in_force.current.version:
                return
            self._fetch_from(sender, version)

    def document_answer(self, version: int) -> DocumentAnswer | Failure:
        """Return the configuration in force for a peer that requests one.

        :param version: oldest version that the peer can use
        :returns: the configuration, or STORE_KEY_MISSING if the one in force
            is older
        """
        current = self._in_force.current
        if current.pointer is None or current.version < version:
            return STORE_KEY_MISSING.with_reason(
                f"version {version} is unknown"
            )
        return DocumentAnswer(
            pointer=codec.encode(current.pointer), document=current.encoded
        )

    def _fetch_from(self, sender: str, version: int) -> None:
        answer = self._fetch(sender, version)
        if isinstance(answer, Failure):
            return
        unpacked = unpack_answer(answer)
        if isinstance(unpacked, Failure):
            _log.warning("document of {} refused: {}", sender, unpacked.reason)
            return
        pointer, stored = unpacked
        self._in_force.apply(pointer, stored.document, stored.encoded)

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(
                    lambda: self._announced or self._stopped
                )
                if self._stopped:
                    return
            self.step()
