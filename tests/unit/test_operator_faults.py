"""Regression tests for faults known from operating similar systems."""

import json
import socket
import types

import testtools

from rosemarynotch._internal.exceptions import PLATFORM_UNAVAILABLE
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.platform import decode_configuration
from rosemarynotch._internal.platform import decode_worker
from rosemarynotch._internal.platform import HttpFleetService
from rosemarynotch._internal.scheduling.config_feed import ConfigFeed
from rosemarynotch._internal.scheduling.order_sender import OrderSender
from rosemarynotch._internal.scheduling.planner import StartCommand
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.worker_feed import WorkerFeed
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.http import HttpClient
from tests.lib.nodes import configuration
from tests.lib.scheduling import Leader


def no_log(event, **fields):
    """Write no log."""


class ExpiredPermissionTest(testtools.TestCase):
    """Guards against orders under an expired permission.

    The term may end while the process is paused, connects or waits.
    """

    def test_vm_order_after_a_slow_connection(self):
        """Guards against a VM order that is sent after the term has ended.

        The VM service checks no fence, and connecting takes up to 1 s, so the
        permission has to be checked once the connection exists.
        """
        with socket.create_server(("127.0.0.1", 0)) as server:
            host, port = server.getsockname()
            http = HttpClient(f"{host}:{port}", SystemClock(), 2.0)
            connections = []

            def may_order():
                # The connection must exist when the permission is checked.
                connections.append(server.accept()[0])
                return False

            fleet = HttpFleetService(http, "n", may_order)
            answer = fleet.move(1, "vm", "pool")
            http.close()
            self.assertTrue(answer.is_a(PLATFORM_UNAVAILABLE))
            self.assertIs(Ran.NO, answer.ran)
            with connections[0] as connection:
                self.assertEqual(b"", connection.recv(100))

    def test_queued_order_of_an_ended_term(self):
        """Guards against an order whose term ended while it was queued."""
        leader = Leader()
        leader.add_workers("w1")
        leader.submit("j1")
        (command,) = leader.planner.place(1000.0, 1e6)
        self.assertIsInstance(command, StartCommand)
        sent = []
        link = types.SimpleNamespace(
            channel=types.SimpleNamespace(start=lambda *a: sent.append(a))
        )
        controller = types.SimpleNamespace(
            is_running=False,
            may_start=False,
            link=lambda worker_id: link,
            log=no_log,
        )
        OrderSender(controller).send(command)
        self.assertEqual([], sent)


class RestartTest(testtools.TestCase):
    """Guards against removed workers or old settings after a restart."""

    def test_configuration_is_not_read_from_an_old_copy(self):
        """Guards against a start with an old configuration.

        A stale read of the store may return a value that is seconds old.
        """
        reads = []
        body = json.dumps(configuration()).encode()

        class Store:
            def get(self, key, allow_stale=False):
                reads.append(allow_stale)
                return Item(key=key, revision=3, value=body)

        feed = ConfigFeed(
            Store(), SystemClock(), "op/config", decode_configuration, no_log
        )
        self.assertIsNone(feed.current)
        feed.refresh()
        self.assertEqual([False], reads)
        self.assertEqual(3, feed.current.revision)

    def test_worker_of_the_roster_that_has_left(self):
        """Guards against starts on a worker that has left the environment.

        The new leader knows the worker from the roster and requests its runs.
        """
        leader = Leader(term=2)
        removed = WorkerEntry(
            worker_id="w1", started_unix_ms=0, pool="p", address="h:1"
        )
        leader.scheduler.set_workers([removed], 1000.0, are_inherited=True)
        leader.scheduler.workers["w1"].is_enrolled = True
        leader.report("w1")
        leader.submit("j1")
        self.assertEqual([], leader.planner.place(1000.0, 1e6))
        leader.scheduler.set_workers([], 1000.5)
        self.assertEqual([], leader.planner.place(1000.5, 1e6))


class OneMalformedValueTest(testtools.TestCase):
    """Guards against one malformed value that stops the whole process."""

    def test_malformed_entry_beside_workers(self):
        """Guards against a malformed entry that hides the other workers."""
        good = {
            "state": "ready",
            "backend": "p",
            "address": "10.0.0.1:80",
            "capacity": {"cpu": 1000},
        }
        values = {
            "servers/a": b"\xff",
            "servers/b": json.dumps({**good, "capacity": None}).encode(),
            "servers/c": json.dumps({**good, "state": "odd"}).encode(),
            "servers/d": json.dumps({**good, "address": 7}).encode(),
            "servers/e": json.dumps(good).encode(),
        }
        listing = Listing(
            items=tuple(
                Item(key=key, revision=1, value=value)
                for key, value in values.items()
            ),
            revision=1,
        )
        posted = []
        controller = types.SimpleNamespace(
            is_running=True,
            ports=types.SimpleNamespace(
                store=types.SimpleNamespace(list_prefix=lambda p: listing),
                workers_prefix="servers/",
                decode_worker=decode_worker,
            ),
            post=posted.append,
            log=no_log,
            stop=types.SimpleNamespace(
                wait=lambda time_s: setattr(controller, "is_running", False)
            ),
        )
        found = []
        feed = WorkerFeed(controller)
        feed.list_now.set()
        feed._set_workers = lambda entries, now_s: found.extend(entries)
        feed.run()
        posted[0](1000.0)
        self.assertEqual(["e"], [entry.worker_id for entry in found])
