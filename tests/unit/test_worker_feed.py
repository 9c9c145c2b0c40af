"""Tests of the list of workers, to which other writers may add entries."""

from concurrent import futures
import json
import threading

import testtools

from rosemarynotch._internal.platform import decode_worker
from rosemarynotch._internal.platform import HttpWorkerChannel
from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.fleet_manager import FleetTiming
from rosemarynotch._internal.scheduling.leadership import Leadership
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.policies import ControllerPorts
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.http import HttpClient
from rosemarynotch._internal.utils.metrics import Metrics
from rosemarynotch._internal.wiring.policies import choose_policies
from standins.fleet.http import Answer
from standins.fleet.http import JsonServer
from tests.lib.scheduling import QUEUE
from tests.unit.test_leading import EmptyStore

WAIT_S = 10.0
PREFIX = "workers/"


class ListStore(EmptyStore):
    """A store that lists the given workers."""

    def __init__(self, entries):
        super().__init__()
        self.entries = entries

    def list_prefix(self, prefix):
        if prefix != PREFIX:
            return super().list_prefix(prefix)
        items = tuple(
            Item(
                key=f"servers/{name}",
                revision=1,
                value=json.dumps(entry).encode(),
            )
            for name, entry in self.entries.items()
        )
        return Listing(items=items, revision=1)


def entry(address, pool=QUEUE.pool):
    """Return the entry of a worker as it writes it to the store."""
    return {
        "backend": pool,
        "address": address,
        "state": "ready",
        "born": 1,
        "capacity": {"cpu": 64000, "mem-mb": 131072, "gpu": 0},
        "labels": ["a", "rack-1"],
    }


class OddEntryTest(testtools.TestCase):
    """Guards against a leader that one entry of another writer stops.

    Each next leader read the same entry and its term ended in the same way,
    so that no task started any more.
    """

    def setUp(self):
        super().setUp()
        self.events = []
        self.has_reported = threading.Event()
        self.server = JsonServer(self.respond)
        self.addCleanup(self.server.close)

    def respond(self, call):
        self.has_reported.set()
        return Answer(200, {"clock-ms": 1, "born": 1})

    def log(self, event, **fields):
        self.events.append((event, fields))

    def lead(self, entries):
        """Lead until a worker among the entries has reported twice.

        :returns: the controller, whose term must have lasted until then
        """
        store = ListStore({**entries, "w1": entry(self.server.address)})
        leadership = Leadership(store, SystemClock(), "n", "ip", "i", self.log)
        stop = threading.Event()
        self.addCleanup(stop.set)
        threading.Thread(
            target=leadership.run, args=(stop,), daemon=True
        ).start()
        while leadership.grant is None:
            threading.Event().wait(0.01)
        controller = Controller(
            leadership.grant,
            leadership,
            ControllerPorts(
                store=store,
                workers_prefix=PREFIX,
                decode_worker=decode_worker,
                connect_worker=self.connect,
                waves_prefix="waves/",
                wave_status_prefix="status/",
                decode_wave=None,
                encode_wave_status=None,
            ),
            lambda: Configuration(version=1, revision=1, queues=(QUEUE,)),
            SystemClock(),
            Metrics(),
            self.log,
            FleetTiming(holder_interval_s=0.0, maintenance_s=0.0),
            choose_policies(),
        )
        threads = futures.ThreadPoolExecutor(1)
        self.addCleanup(threads.shutdown)
        self.addCleanup(controller.stop.set)
        threads.submit(controller.run)
        for _ in range(2):
            self.assertTrue(self.has_reported.wait(WAIT_S))
            self.has_reported.clear()
        # The links to the other workers fail within milliseconds.
        threading.Event().wait(0.3)
        self.assertTrue(controller.is_running, self.events)
        return controller

    @staticmethod
    def connect(worker, order_timeout):
        return HttpWorkerChannel(
            lambda timeout_s, check: HttpClient(
                worker.address, SystemClock(), timeout_s, check=check
            ),
            worker.worker_id,
            order_timeout,
        )

    def test_host_that_cannot_be_looked_up(self):
        """Guards against the UnicodeError that the lookup of a host raises."""
        self.lead({"w0": entry("127.0.0..1:9200")})

    def test_id_that_cannot_be_sent(self):
        """Guards against the error that encoding an id as a header raises."""
        self.lead({"\u0d15\u0d4a-1": entry(self.server.address)})

    def test_worker_of_an_unknown_pool(self):
        """Guards against calls to servers that are no workers."""
        controller = self.lead({"w0": entry("127.0.0.1:1", "another")})
        self.assertEqual({"w1"}, set(controller.scheduler.workers))

    def test_event_that_fails(self):
        """Guards against input that raises while it is applied."""
        controller = self.lead({})
        done = threading.Event()
        controller.post(lambda now_s: {}["odd"])
        controller.post(lambda now_s: done.set())
        self.assertTrue(done.wait(WAIT_S))
        self.assertTrue(controller.is_running)
        self.assertIn("event failed", [event for event, _ in self.events])
