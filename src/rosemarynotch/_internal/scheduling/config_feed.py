"""Watch on the configuration in the store."""

from collections.abc import Callable
import threading

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_HISTORY_LOST
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["ConfigFeed"]

# A watch whose connection has gone silent is noticed after this time and the
# time-out of a call. Together they are less than the platform's bound for the
# adoption of new versions (2 s).
WATCH_MS = 800
RETRY_S = 0.2


class ConfigFeed:
    """Provides the newest valid configuration that the store has.

    :param key: key to which the operator writes the configuration
    :param decode: parses the operator's document
    """

    def __init__(
        self,
        store: CoordinationStore,
        clock: Clock,
        key: str,
        decode: Callable[[Item], Configuration | Failure],
        log: Callable[..., None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._decode = decode
        self._log = log
        self._lock = threading.Lock()
        self._current: Configuration | None = None
        self._contact_at_s = -1e9
        self._failing = False
        self._is_behind = False

    @property
    def current(self) -> Configuration | None:
        """Return the newest known version, None if there is none yet."""
        return self._current

    @property
    def is_failing(self) -> bool:
        """Return whether the last call to the store failed."""
        return self._failing

    def contact_age_s(self) -> float:
        """Return the time since the last call that the store answered.

        It counts from the start of that call.
        """
        return self._clock.monotonic_s() - self._contact_at_s

    def run(self, stop: threading.Event) -> None:
        """Read and watch the key until the process stops."""
        while not stop.is_set():
            revision = self.refresh()
            while revision and not stop.is_set():
                if self._is_behind:
                    revision = self._catch_up(revision)
                else:
                    revision = self._watch(revision)
            stop.wait(RETRY_S)

    def _catch_up(self, revision: int) -> int:
        """Read the key instead of its changes until it no longer changes.

        A watch returns every version since the last answer. If versions are
        written faster than they are transferred, each answer would be larger
        than the one before, up to the whole memory of the node.

        :param revision: revision that was read last
        :returns: the revision from which to go on, 0 after a failure
        """
        read_revision = self.refresh()
        self._is_behind = read_revision > revision
        return read_revision

    def refresh(self) -> int:
        """Read the key.

        :returns: the revision of the key, 0 if it could not be read
        """
        requested_at_s = self._clock.monotonic_s()
        item = self._store.get(self._key)
        if isinstance(item, Failure):
            self._record_failure(item)
            return 0
        self._record_contact(requested_at_s)
        self._apply(item)
        return item.revision

    def _watch(self, revision: int) -> int:
        """Wait for a change after a revision.

        :returns: the revision from which to go on, 0 to read the key again
        """
        requested_at_s = self._clock.monotonic_s()
        changes = self._store.watch(self._key, revision, WATCH_MS)
        if isinstance(changes, Failure):
            if not changes.is_a(STORE_HISTORY_LOST):
                self._record_failure(changes)
            return 0
        self._record_contact(requested_at_s)
        versions = [
            item
            for item in changes.items
            if item.key == self._key and item.value is not None
        ]
        self._is_behind = len(versions) > 1
        # Earlier versions matter only if the newest one cannot be decoded.
        for item in reversed(versions):
            if self._apply(item):
                break
        return max(revision, changes.revision)

    def _apply(self, item: Item) -> bool:
        """Put a version in force; return whether it can be decoded."""
        known = self._current
        if known is not None and item.revision <= known.revision:
            return True
        decoded = self._decode(item)
        if isinstance(decoded, Failure):
            self._log("configuration refused", why=decoded.reason)
            return False
        for reason in decoded.refused:
            self._log(
                "configuration row refused",
                version=decoded.version,
                why=reason,
            )
        with self._lock:
            # Answers on two connections may arrive out of order.
            known = self._current
            if known is None or decoded.revision > known.revision:
                self._current = decoded
        self._log(
            "configuration in force",
            version=decoded.version,
            revision=decoded.revision,
        )
        return True

    def _record_contact(self, requested_at_s: float) -> None:
        self._contact_at_s = requested_at_s
        if self._failing:
            self._failing = False
            self._log("store regained")

    def _record_failure(self, failure: Failure) -> None:
        if not self._failing:
            self._failing = True
            self._log("store lost", why=failure.reason)
