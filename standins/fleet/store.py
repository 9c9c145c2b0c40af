"""Emulated metadata store of the platform."""

import base64
import enum
import itertools
import random
import threading
import time

import attrs

from standins.fleet.http import Answer
from standins.fleet.http import Call
from standins.fleet.http import LostAnswer

__all__ = ["EmulatedStore", "StoreFault"]

MAX_PAGE_ITEMS = 200
MAX_PAGE_BYTES = 1_000_000
MAX_VALUE_BYTES = 1_048_576
MAX_HISTORY_EVENTS = 5000
SILENT_DELAY_S = 3.0
LATE_WRITE_DELAY_S = (0.2, 1.5)


class StoreFault(enum.Enum):
    """Fault of the store.

    BUSY: calls are refused with 503. SILENT: calls get no answer. SLOW: calls
    are delayed. LOST: writes take effect, but their answers are lost. LATE:
    writes take effect after a delay and without an answer. LOST and LATE
    concern writes only.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    SLOW = "slow"
    LOST = "lost"
    LATE = "late"


@attrs.define
class _Row:
    value: str
    revision: int
    created: int
    lease: int


def _fits_page(size: int) -> bool:
    return size <= MAX_PAGE_BYTES


class EmulatedStore:
    """Key-value store with revisions, leases, transactions and watches.

    :ivar fault: fault applied to calls at present
    :ivar fault_share: share of the calls to which the fault applies
    :ivar slow_s: delay of calls under SLOW
    :ivar calls: number of calls so far
    """

    def __init__(self, seed: int = 0) -> None:
        self._changed = threading.Condition()
        self._rows: dict[str, _Row] = {}
        self._revision = 1
        self._events: list[dict] = []
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1)
        self._random = random.Random(seed)
        self.fault = StoreFault.NONE
        self.fault_share = 1.0
        self.slow_s = 0.2
        self.calls = 0

    # Direct access for tests and the emulator.

    def put(self, key: str, value: bytes) -> int:
        """Write a key without a lease, as the operator or a worker does."""
        with self._changed:
            return self._write({key: (value, 0)}, [])

    def delete(self, key: str) -> None:
        """Delete a key, as the platform does."""
        with self._changed:
            self._write({}, [key])

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, None if it does not exist."""
        with self._changed:
            row = self._rows.get(key)
            return None if row is None else base64.b64decode(row.value)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys that start with a prefix, sorted."""
        with self._changed:
            return sorted(key for key in self._rows if key.startswith(prefix))

    def compact(self) -> None:
        """Drop the history, so that watches from old revisions fail."""
        with self._changed:
            self._compacted_revision = self._revision
            self._events.clear()
            self._changed.notify_all()

    # Calls of the protocol.

    def respond(self, call: Call) -> Answer:
        """Answer a call under the current fault.

        :raises LostAnswer: if the caller gets no answer
        """
        self.calls += 1
        fault = self.fault
        if self._random.random() > self.fault_share:
            fault = StoreFault.NONE
        if fault is StoreFault.BUSY:
            return Answer(503)
        if fault is StoreFault.SILENT:
            time.sleep(SILENT_DELAY_S)
            raise LostAnswer
        if fault is StoreFault.SLOW:
            time.sleep(self.slow_s)
        is_write = call.path == "kv-txn"
        if is_write and fault is StoreFault.LATE:
            delay_s = self._random.uniform(*LATE_WRITE_DELAY_S)
            threading.Timer(delay_s, self._answer, [call]).start()
            raise LostAnswer
        answer = self._answer(call)
        if is_write and fault is StoreFault.LOST:
            raise LostAnswer
        return answer

    def _answer(self, call: Call) -> Answer:
        name, _, argument = call.path.partition("/")
        with self._changed:
            self._expire_leases()
            if name == "kv-key":
                return self._get(call.query["key"])
            if name == "kv-range":
                return self._range(call.query)
            if name == "kv-watch":
                return self._watch(call.query)
            if name == "kv-txn":
                return self._transact(call.body)
            if name == "kv-lease":
                return self._grant(call.body["ttl-ms"] / 1000)
            if name in ("kv-keep", "kv-lease-end"):
                return self._renew_or_end(int(argument), name == "kv-keep")
        return Answer(400)

    def _item(self, key: str) -> dict:
        row = self._rows[key]
        return {
            "key": key,
            "value": row.value,
            "revision": row.revision,
            "created": row.created,
            "lease": row.lease,
        }

    def _get(self, key: str) -> Answer:
        if key not in self._rows:
            return Answer(404, {"at": self._revision})
        return Answer(200, {**self._item(key), "at": self._revision})

    def _range(self, query: dict[str, str]) -> Answer:
        keys = sorted(
            key
            for key in self._rows
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        sizes = itertools.accumulate(
            len(self._rows[key].value) * 3 // 4 for key in keys
        )
        # A page ends with the item that exceeds the size.
        count = sum(1 for _ in itertools.takewhile(_fits_page, sizes)) + 1
        page = keys[: min(MAX_PAGE_ITEMS, count)]
        return Answer(
            200,
            {
                "items": [self._item(key) for key in page],
                "has-more": len(keys) > len(page),
                "at": self._revision,
            },
        )

    def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        until_s = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self._compacted_revision:
                return Answer(410)
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining_s = until_s - time.monotonic()
            if events or remaining_s <= 0:
                return Answer(200, {"events": events, "at": self._revision})
            self._changed.wait(min(remaining_s, 0.1))
            self._expire_leases()

    def _transact(self, body: dict) -> Answer:
        expected = body.get("expected", [])
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if len(expected) + len(puts) + len(deletes) > 32:
            return Answer(400)
        if any(
            len(base64.b64decode(put["value"])) > MAX_VALUE_BYTES
            for put in puts
        ):
            return Answer(400)
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return Answer(403)
        for row in expected:
            current = self._rows.get(row["key"])
            if (current.revision if current else 0) != row["revision"]:
                found = [
                    self._item(each["key"])
                    for each in expected
                    if each["key"] in self._rows
                ]
                return Answer(412, {"items": found})
        leases = {put.get("lease", 0) for put in puts} - {0}
        if not leases <= set(self._leases):
            return Answer(404)
        values = {
            put["key"]: (base64.b64decode(put["value"]), put.get("lease", 0))
            for put in puts
        }
        return Answer(200, {"revision": self._write(values, deletes)})

    def _write(self, puts: dict, deletes: list[str]) -> int:
        self._revision += 1
        for key, (value, lease) in puts.items():
            current = self._rows.get(key)
            created = current.created if current else self._revision
            text = base64.b64encode(value).decode()
            self._rows[key] = _Row(text, self._revision, created, lease)
            self._events.append(self._item(key))
        for key in deletes:
            if self._rows.pop(key, None) is not None:
                self._events.append(
                    {"key": key, "revision": self._revision, "deleted": True}
                )
        if len(self._events) > MAX_HISTORY_EVENTS:
            self._compacted_revision = self._events[0]["revision"]
            del self._events[: MAX_HISTORY_EVENTS // 2]
        self._changed.notify_all()
        return self._revision

    def _grant(self, ttl_s: float) -> Answer:
        lease = next(self._lease_ids)
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return Answer(200, {"lease": lease, "ttl-ms": round(ttl_s * 1000)})

    def _renew_or_end(self, lease: int, is_renewal: bool) -> Answer:
        current = self._leases.get(lease)
        if current is None:
            return Answer(404)
        now_s = time.monotonic()
        until_s = now_s + current[1] if is_renewal else now_s
        self._leases[lease] = (until_s, current[1])
        self._expire_leases()
        return Answer(200, {"ttl-ms": round(current[1] * 1000)})

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        ended = {i for i, (end_s, _) in self._leases.items() if end_s <= now_s}
        if not ended:
            return
        for lease in ended:
            del self._leases[lease]
        keys = [k for k, row in self._rows.items() if row.lease in ended]
        if keys:
            self._write({}, keys)
