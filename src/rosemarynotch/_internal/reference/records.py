"""Typed records in the platform's store."""

import random
from typing import Any
from typing import Callable

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_CONFLICT
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.records import Head
from rosemarynotch._internal.reference.interface import Store
from rosemarynotch._internal.utils.clock import Clock

__all__ = [
    "CONFIG_KEY",
    "FLEET_KEY",
    "HEAD_KEY",
    "LIMITS_PREFIX",
    "MEMBERS_KEY",
    "Record",
    "RecordStore",
]

CONFIG_KEY = "config/current"
FLEET_KEY = "fleet"
HEAD_KEY = "head"
LIMITS_PREFIX = "limits/"
MEMBERS_KEY = "members"

UPDATE_ATTEMPTS = 12
RETRY_DELAY_S = 0.02


@attrs.frozen(kw_only=True)
class Record:
    """A decoded record and its revision, 0 if the key is missing."""

    value: Any
    revision: int


class RecordStore:
    """Reads and updates typed records.

    :param store: the platform's store
    :param clock: used for the delay between attempts
    :param rng: source of jitter for the delays of competing processes
    """

    def __init__(self, store: Store, clock: Clock, rng: random.Random) -> None:
        self.store = store
        self._clock = clock
        self._rng = rng

    def read(
        self, key: str, kind: type, compressed: bool = False
    ) -> Record | Failure:
        """Read and decode a record.

        :returns: the record, STORE_KEY_MISSING, STORE_UNAVAILABLE or
            RECORD_MALFORMED
        """
        found = self.store.get(key)
        if isinstance(found, Failure):
            return found
        decode = codec.decode_compressed if compressed else codec.decode
        value = decode(found.value, kind)
        if isinstance(value, Failure):
            return value.with_reason(f"{key}: {value.reason}")
        return Record(value=value, revision=found.revision)

    def update(
        self,
        key: str,
        kind: type,
        default: Any,
        change: Callable[[Any], Any],
        compressed: bool = False,
    ) -> Record | Failure:
        """Update a record by compare-and-swap, with retries on conflict.

        ``change`` must compute its result from its argument alone, since it
        is called again with the newer value after a conflict. If the answer
        to a write is lost, the failure has ``ran`` unknown: the write may or
        may not have taken effect.

        :param default: value to use if the record is missing
        :param change: returns the new value, an equal value if there is
            nothing to write, or a Failure that ends the update
        :returns: the record after the update, or a Failure
        """
        encode = codec.encode_compressed if compressed else codec.encode
        for attempt in range(UPDATE_ATTEMPTS):
            record = self.read(key, kind, compressed)
            if isinstance(record, Failure):
                if not record.is_a(STORE_KEY_MISSING):
                    return record
                record = Record(value=default, revision=0)
            value = change(record.value)
            if isinstance(value, Failure):
                return value
            if value == record.value and record.revision:
                return record
            written = self.store.put(key, encode(value), record.revision)
            if not isinstance(written, Failure):
                return Record(value=value, revision=written)
            if not written.is_a(STORE_CONFLICT):
                return written
            delay_s = self._rng.random() * RETRY_DELAY_S * (attempt + 1)
            self._clock.sleep(delay_s)
        return STORE_CONFLICT.with_reason(f"{key}: conflict in every attempt")

    def bump_head(self, **revisions: int) -> Record | Failure:
        """Raise revisions in the head record, which notifies watchers.

        A lower value than the recorded one has no effect.

        :param revisions: fields of :class:`Head` with their new values
        """

        def raise_revisions(head: Head) -> Head:
            newer = {
                name: max(value, getattr(head, name))
                for name, value in revisions.items()
            }
            return attrs.evolve(head, **newer)

        return self.update(HEAD_KEY, Head, Head(), raise_revisions)
