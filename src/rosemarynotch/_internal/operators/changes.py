"""Changes of the configuration in the store.

This is the write side of rule R6: a new version is announced to all members,
and entries accept work only under a recent configuration.
"""

import attrs
import logbook

from rosemarynotch._internal.configuration import document_digest
from rosemarynotch._internal.configuration import document_key
from rosemarynotch._internal.configuration import read_document
from rosemarynotch._internal.exceptions import CHANGE_UNKNOWN
from rosemarynotch._internal.exceptions import DOCUMENT_NOT_TRIED
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import IDEMPOTENCY_KEY_REUSED
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import STORE_CONFLICT
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import VERSION_CHANGED
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.records import ConfigPointer
from rosemarynotch._internal.models.records import ConfigVersion
from rosemarynotch._internal.operators.trials import Trial
from rosemarynotch._internal.operators.trials import Trials
from rosemarynotch._internal.reference.records import CONFIG_KEY
from rosemarynotch._internal.reference.records import Record
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Change", "ConfigChanges", "MAX_HISTORY"]

MAX_HISTORY = 20
WRITE_ATTEMPTS = 4
RETRY_DELAY_S = 0.2

_log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class Change:
    """The operator, reason and id of a change and the version it is based on.

    :ivar change_id: chosen by the operator's program; a repeat with the same
        id has no effect
    :ivar expected_version: the newest version known to the operator, 0 if
        there is none yet
    """

    change_id: str
    operator: str
    reason: str
    expected_version: int


class ConfigChanges:
    """Writes documents and the pointer to the newest version.

    :param environment: name of this environment, for the record of trials
    """

    def __init__(
        self, records: RecordStore, clock: Clock, environment: str
    ) -> None:
        self._records = records
        self._clock = clock
        self._environment = environment
        self.trials = Trials(records)

    def pointer(self) -> ConfigPointer | None | Failure:
        """Return the current pointer, None before the first version."""
        read = self._records.read(CONFIG_KEY, ConfigPointer)
        if isinstance(read, Failure):
            return None if read.is_a(STORE_KEY_MISSING) else read
        return read.value

    def document(self, digest: str) -> Document | Failure:
        """Return a document by its digest."""
        stored = read_document(self._records.store, digest)
        return stored if isinstance(stored, Failure) else stored.document

    def apply(
        self, document: Document, change: Change
    ) -> ConfigVersion | Failure:
        """Put a document in force as the next version.

        :returns: the accepted version, VERSION_CHANGED if the newest version
            is not ``expected_version``, IDEMPOTENCY_KEY_REUSED if the change
            id belongs to another document, CHANGE_UNKNOWN if the change may
            or may not take effect, or STORE_UNAVAILABLE if nothing was
            changed
        """
        encoded = codec.encode(document)
        digest = document_digest(encoded)
        failure = self._write_document(digest, encoded)
        if failure is not None:
            return failure
        return self._write_pointer(digest, change)

    def try_document(
        self, document: Document, change: Change
    ) -> ConfigVersion | Failure:
        """Put a document in force in this environment and record its trial.

        :returns: as for :meth:`apply`; after CHANGE_UNKNOWN the same change
            can be repeated
        """
        version = self.apply(document, change)
        if isinstance(version, Failure):
            return version
        trial = Trial(
            digest=version.digest,
            operator=change.operator,
            reason=change.reason,
            tried_at_s=version.accepted_at_s,
            environment=self._environment,
        )
        failure = self.trials.add(trial)
        if failure is not None:
            return CHANGE_UNKNOWN.with_reason(
                f"version {version.version} is accepted, but the trial is not"
                f" recorded; repeat with change id {change.change_id}"
            )
        return version

    def promote(
        self,
        document: Document,
        digest: str,
        change: Change,
        trial: Trial | None = None,
    ) -> ConfigVersion | Failure:
        """Put a tried document in force if it has the approved digest.

        :param digest: the digest that was approved after its trial
        :param trial: the trial as reported by the trial environment, None if
            that environment shares this store
        :returns: as for :meth:`apply`, or DOCUMENT_NOT_TRIED
        """
        actual = document_digest(codec.encode(document))
        if actual != digest:
            return DOCUMENT_NOT_TRIED.with_reason(
                f"document has digest {actual[:12]}, approved: {digest[:12]}"
            )
        found = trial or self.trials.find(digest)
        if isinstance(found, Failure):
            return found
        if found.digest != digest:
            return DOCUMENT_NOT_TRIED.with_reason(
                f"trial is of digest {found.digest[:12]}, not {digest[:12]}"
            )
        return self.apply(document, change)

    def rollback(
        self, to_version: int, change: Change
    ) -> ConfigVersion | Failure:
        """Put the document of an earlier version in force, as a new version.

        :returns: as for :meth:`apply`, or STORE_KEY_MISSING if the version
            is not in the history
        """
        pointer = self.pointer()
        if isinstance(pointer, Failure):
            return pointer
        found = find_version(pointer, to_version)
        if isinstance(found, Failure):
            return found
        return self._write_pointer(found.digest, change)

    def find_change(self, change_id: str) -> ConfigVersion | None | Failure:
        """Return the version that a change created.

        :returns: the version, None if the history has no such change, or
            STORE_UNAVAILABLE
        """
        pointer = self.pointer()
        if isinstance(pointer, Failure):
            return pointer
        return _find_change(pointer, change_id)

    def _write_document(self, digest: str, encoded: bytes) -> None | Failure:
        """Write the document under its digest, unless it exists already.

        An existing document with the same digest has the same bytes.
        """
        key = document_key(digest)
        for _ in range(WRITE_ATTEMPTS):
            written = self._records.store.put(key, encoded, 0)
            if not isinstance(written, Failure):
                return None
            if written.is_a(STORE_CONFLICT):
                return None
            if written.ran is Ran.NO:
                break
        # A document that no pointer names has no effect.
        return attrs.evolve(written, ran=Ran.NO)

    def _write_pointer(
        self, digest: str, change: Change
    ) -> ConfigVersion | Failure:
        """Write the pointer and retry while the outcome is unknown.

        Reading the pointer back is not enough, since a lost write may still
        arrive. A repeated write with the same change id decides the outcome:
        only one of the two writes can succeed, and the repeat finds the
        change id.
        """
        maybe_written = False
        for attempt in range(WRITE_ATTEMPTS):
            if attempt:
                self._clock.sleep(RETRY_DELAY_S)
            written = self._records.update(
                CONFIG_KEY,
                ConfigPointer,
                None,
                lambda pointer: self._next_pointer(pointer, digest, change),
            )
            if not isinstance(written, Failure):
                return self._announce(written, change)
            maybe_written |= written.ran is not Ran.NO
            if not maybe_written or _is_refusal(written):
                return written
        return CHANGE_UNKNOWN.with_reason(
            f"store did not answer; look up change id {change.change_id}"
        )

    def _next_pointer(
        self, pointer, digest, change
    ) -> ConfigPointer | Failure:
        known = _find_change(pointer, change.change_id)
        if known is not None:
            if known.digest == digest:
                return pointer
            return IDEMPOTENCY_KEY_REUSED.with_reason(
                f"change id {change.change_id} belongs to version"
                f" {known.version}"
            )
        version = pointer.current.version if pointer else 0
        if version != change.expected_version:
            by = f" by {pointer.current.operator}" if pointer else ""
            return VERSION_CHANGED.with_reason(
                f"newest version is {version}{by}, expected"
                f" {change.expected_version}"
            )
        current = ConfigVersion(
            version=version + 1,
            digest=digest,
            change_id=change.change_id,
            operator=change.operator,
            reason=change.reason,
            accepted_at_s=self._clock.wall_s(),
        )
        if pointer is None:
            return ConfigPointer(current=current)
        history = (pointer.current, *pointer.history)[:MAX_HISTORY]
        return ConfigPointer(current=current, history=history)

    def _announce(self, written: Record, change: Change) -> ConfigVersion:
        """Notify followers of an accepted version, log and return it."""
        # Followers also poll the pointer; the head only makes them read it
        # earlier.
        self._records.bump_head(config_revision=written.revision)
        version = _find_change(written.value, change.change_id)
        _log.notice(
            "configuration accepted",
            version=version.version,
            digest=version.digest,
            change_id=version.change_id,
            operator=version.operator,
        )
        return version


def find_version(
    pointer: ConfigPointer | None, version: int
) -> ConfigVersion | Failure:
    """Return a version from the history, or STORE_KEY_MISSING."""
    for item in _versions(pointer):
        if item.version == version:
            return item
    return STORE_KEY_MISSING.with_reason(
        f"version {version} is not in the history"
    )


def _is_refusal(failure: Failure) -> bool:
    """Return whether the content of the pointer rules the change out."""
    return failure.is_a(VERSION_CHANGED) or failure.is_a(
        IDEMPOTENCY_KEY_REUSED
    )


def _find_change(pointer, change_id) -> ConfigVersion | None:
    for item in _versions(pointer):
        if item.change_id == change_id:
            return item
    return None


def _versions(pointer: ConfigPointer | None) -> tuple[ConfigVersion, ...]:
    return (pointer.current, *pointer.history) if pointer else ()
