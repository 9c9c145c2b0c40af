"""Tests of entries that other writers leave among those of the workers."""

import contextlib
import json
import time

from standins.fleet.http import Answer
from standins.fleet.http import JsonServer
from tests.functional.test_platform_path import PlatformCase

ENTRY = {
    "backend": "one",
    "address": "127.0.0.1:9",
    "zone": "zone-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "capacity": {"cpu": 8000, "mem-mb": 16384, "gpu": 0},
    "labels": ["a", "rack-0"],
    "born": 1,
}
# The leader lists the workers twice a second.
LISTED_S = 1.5
PORT_RANGE = 65_536
# Ports below have five digits also out of range.
MAX_WRAPPED_PORT = 99_999 - PORT_RANGE


def entry(**changes) -> bytes:
    """Return an entry with some other fields."""
    return json.dumps(ENTRY | changes).encode()


def listen(handler) -> JsonServer:
    """Start a server on a free port of at most MAX_WRAPPED_PORT."""
    for port in range(MAX_WRAPPED_PORT, 1024, -1):
        with contextlib.suppress(OSError):
            return JsonServer(handler, port)
    raise AssertionError("no port is free")


class TestOddEntries(PlatformCase):
    """Guards against a process or a term that one odd entry ends.

    Other operators saw processes that ended again and again, or no longer
    followed the list, after one entry that was very deeply nested, or had a
    number too large or a port out of range.
    """

    def test_tasks_start_beside_odd_entries(self):
        """Guards against tasks that do not start any more (rule LOST)."""
        calls = []
        server = listen(lambda call: calls.append(call) or Answer(404))
        self.addCleanup(server.close)
        port = int(server.address.rpartition(":")[2])
        # Lookups take a port modulo this range, so the node called a server
        # that the entry does not name.
        port_out_of_range = f"127.0.0.1:{port + PORT_RANGE}"
        entries = {
            "nested": b'{"state": ' + b"[" * 200_000,
            "nested-labels": entry()[:-1]
            + b', "labels": '
            + b"[" * 100_000
            + b"]" * 100_000
            + b"}",
            "digits": entry(slots=0)[:-1] + b', "born": ' + b"9" * 5000 + b"}",
            "exponent": entry()[:-1] + b', "remaining-ms": 1e400}',
            "negative": entry(capacity={"cpu": -1, "mem-mb": 1, "gpu": 0}),
            "huge": entry(capacity={"cpu": 10**30, "mem-mb": 1, "gpu": 0}),
            "no-number": entry()[:-1] + b', "born": NaN}',
            "bytes": b"\xff\xfe\x00",
            "empty": b"",
            "null": b"null",
            "list": b"[]",
            "wrapped-port": entry(address=port_out_of_range),
            "port-0": entry(address="127.0.0.1:0"),
            "no-port": entry(address="127.0.0.1"),
            "no-host": entry(address=":80"),
            "empty-label": entry(address="127.0.0..1:80"),
            "long-label": entry(address="a" * 64 + ".example:80"),
            "number": entry(address="999.1.1.1:80"),
            "newline": entry(address="127.0.0.1\r\nX: 1:80"),
            "nul": entry(address="127.0.0.1\0:80"),
            "surrogate": b'{"address": "\\ud800"}',
            "scope": entry(address="[fe80::1%\u0d15]:80"),
            "other-server": entry(address=server.address),
            "other-pool": entry(backend="archive", address=server.address),
            "": entry(),
            "with space": entry(address=server.address),
            "line\r\nbreak": entry(address=server.address),
            "\u0d15\u0d4a-1": entry(address=server.address),
            "a/b": entry(address=server.address),
            "x" * 190: entry(address=server.address),
        }
        for name, value in entries.items():
            self.emulator.put_foreign_entry(name, value)
        time.sleep(LISTED_S)
        leader = self.nodes.leader()
        for node in range(self.NODES):
            job, status = self.nodes.submit(node)
            self.assertEqual(200, status)
            self.assert_completed([job])
            self.assert_each_task_once([job])
        self.assertEqual(leader, self.nodes.leader())
        events = [
            line
            for number in range(self.NODES)
            for line in self.nodes.log_lines(number)
        ]
        failed = [
            line
            for line in events
            if line["event"]
            in ("leading failed", "thread crashed", "leadership lost")
        ]
        self.assertEqual([], failed)
        refused = {
            line["why"].partition(":")[0].strip("'")
            for line in events
            if line["event"] == "worker entry refused"
        }
        for name in ("nested", "digits", "wrapped-port", "empty-label"):
            self.assertIn(f"servers/{name}", refused)
        called = {
            call.headers["Rosemarynotch-Expected-Instance"] for call in calls
        }
        self.assertEqual({"other-server", "a/b", "x" * 190}, called)
