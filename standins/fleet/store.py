"""The platform's metadata store."""

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

PAGE_ITEMS = 200
HISTORY_EVENTS = 5000
SILENCE_S = 3.0
LATE_S = (0.2, 1.5)


class StoreFault(enum.Enum):
    """What happens to calls. LOST and LATE concern writes only."""

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


class EmulatedStore:
    """Keys with revisions, leases, transactions and watches.

    :ivar fault: what happens to calls now
    :ivar fault_share: part of the calls that it concerns
    :ivar slow_s: delay of a slow answer
    """

    def __init__(self, seed: int = 0) -> None:
        self._changed = threading.Condition()
        self._rows: dict[str, _Row] = {}
        self._revision = 1
        self._events: list[dict] = []
        self._forgotten = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1)
        self._random = random.Random(seed)
        self.fault = StoreFault.NONE
        self.fault_share = 1.0
        self.slow_s = 0.2
        self.calls = 0

    # Used by tests.

    def put(self, key: str, value: bytes) -> int:
        """Write as the operator or a worker does."""
        with self._changed:
            return self._write({key: (value, 0)}, [])

    def delete(self, key: str) -> None:
        """Delete as the platform does."""
        with self._changed:
            self._write({}, [key])

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        with self._changed:
            row = self._rows.get(key)
            return None if row is None else base64.b64decode(row.value)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys below a prefix."""
        with self._changed:
            return sorted(key for key in self._rows if key.startswith(prefix))

    def compact(self) -> None:
        """Forget the history."""
        with self._changed:
            self._forgotten = self._revision
            self._events.clear()
            self._changed.notify_all()

    # Calls.

    def respond(self, call: Call) -> Answer:
        """Answer a call, subject to the present fault."""
        self.calls += 1
        fault = self.fault
        if self._random.random() > self.fault_share:
            fault = StoreFault.NONE
        if fault is StoreFault.BUSY:
            return Answer(503)
        if fault is StoreFault.SILENT:
            time.sleep(SILENCE_S)
            raise LostAnswer
        if fault is StoreFault.SLOW:
            time.sleep(self.slow_s)
        is_write = call.path == "kv-txn"
        if is_write and fault is StoreFault.LATE:
            delay_s = self._random.uniform(*LATE_S)
            threading.Timer(delay_s, self._answer, [call]).start()
            raise LostAnswer
        answer = self._answer(call)
        if is_write and fault is StoreFault.LOST:
            raise LostAnswer
        return answer

    def _answer(self, call: Call) -> Answer:
        name, _, argument = call.path.partition("/")
        with self._changed:
            self._expire()
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
                return self._renew(int(argument), name == "kv-keep")
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
        page = keys[:PAGE_ITEMS]
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
            if after < self._forgotten:
                return Answer(410)
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return Answer(200, {"events": events, "at": self._revision})
            self._changed.wait(min(left_s, 0.1))
            self._expire()

    def _transact(self, body: dict) -> Answer:
        expected = body.get("expected", [])
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if len(expected) + len(puts) + len(deletes) > 32:
            return Answer(400)
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return Answer(403)
        for row in expected:
            known = self._rows.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
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
            known = self._rows.get(key)
            created = known.created if known else self._revision
            text = base64.b64encode(value).decode()
            self._rows[key] = _Row(text, self._revision, created, lease)
            self._events.append(self._item(key))
        for key in deletes:
            if self._rows.pop(key, None) is not None:
                self._events.append(
                    {"key": key, "revision": self._revision, "deleted": True}
                )
        if len(self._events) > HISTORY_EVENTS:
            self._forgotten = self._events[0]["revision"]
            del self._events[: HISTORY_EVENTS // 2]
        self._changed.notify_all()
        return self._revision

    def _grant(self, ttl_s: float) -> Answer:
        lease = next(self._lease_ids)
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return Answer(200, {"lease": lease, "ttl-ms": round(ttl_s * 1000)})

    def _renew(self, lease: int, is_kept: bool) -> Answer:
        known = self._leases.get(lease)
        if known is None:
            return Answer(404)
        now_s = time.monotonic()
        until_s = now_s + known[1] if is_kept else now_s
        self._leases[lease] = (until_s, known[1])
        self._expire()
        return Answer(200, {"ttl-ms": round(known[1] * 1000)})

    def _expire(self) -> None:
        now_s = time.monotonic()
        ended = {i for i, (end_s, _) in self._leases.items() if end_s <= now_s}
        if not ended:
            return
        for lease in ended:
            del self._leases[lease]
        keys = [k for k, row in self._rows.items() if row.lease in ended]
        if keys:
            self._write({}, keys)
