"""Tests of how a new leader polls a worker."""

import threading
import types
from unittest import mock

import testtools

from rosemarynotch._internal.scheduling.answer_losses import AnswerLosses
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling import worker_link
from rosemarynotch._internal.scheduling.worker_link import WorkerLink
from rosemarynotch._internal.scheduling.workers import Worker
from tests.lib.scheduling import Leader

WAIT_S = 10.0
LEASE_MS = 5000


class Channel:
    """A worker that answers each request for a report at once.

    :ivar leases_ms: ends of the leases in the requests
    :ivar requests: released once for each request
    """

    def __init__(self):
        self.leases_ms = []
        self.requests = threading.Semaphore(0)

    def report(self, fence, acked_sequence, lease_ms, wait_ms):
        self.leases_ms.append(lease_ms)
        self.requests.release()
        return WorkerReport(clock_ms=100)

    def close(self):
        """Do nothing."""


class FakeController:
    """A controller that keeps events until the test applies them."""

    def __init__(self):
        self.scheduler = Leader().scheduler
        self.clock = types.SimpleNamespace(monotonic_s=lambda: 1000.0)
        self.grant = types.SimpleNamespace(fence=1)
        self.answer_losses = AnswerLosses()
        self.is_running = self.may_start = True
        self.stop = threading.Event()
        self.events = []
        self.writer = mock.Mock()
        self._lease_lock = threading.Lock()
        self._is_granting = True

    def post(self, event):
        self.events.append(event)

    def log(self, event, **fields):
        """Write no log."""

    def extend_lease(self, worker, clock):
        return clock.lease_end_ms(1000.0, LEASE_MS / 1000)


class RefusedRowTest(testtools.TestCase):
    """Guards against requests without a pause to a worker with odd rows.

    An end that cannot be read is not acknowledged, and a worker with such ends
    answers at once.
    """

    def test_request_after_a_pause(self):
        controller, channel = FakeController(), Channel()
        channel.report = lambda *arguments: (
            channel.requests.release()
            or WorkerReport(clock_ms=100, refused=("EndRow: odd",))
        )
        controller.post = lambda event: event(1000.0)
        worker = Worker(entry=Leader.entry("w1"))
        link = WorkerLink(controller, worker, channel)
        self.patch(worker_link, "PERSIST_WAIT_S", WAIT_S)
        thread = threading.Thread(target=link.run, daemon=True)
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(link.close)
        self.addCleanup(setattr, controller, "may_start", False)
        thread.start()
        self.assertTrue(channel.requests.acquire(timeout=WAIT_S))
        self.assertFalse(channel.requests.acquire(timeout=0.4))


class TakeOverTest(testtools.TestCase):
    """Guards against effects of polling while a new leader reads the jobs.

    It applies no reports until it has read them.
    """

    def setUp(self):
        super().setUp()
        self.controller = FakeController()
        self.channel = Channel()
        worker = Worker(entry=Leader.entry("w1"))
        self.link = WorkerLink(self.controller, worker, self.channel)
        thread = threading.Thread(target=self.link.run, daemon=True)
        self.addCleanup(thread.join, WAIT_S)
        self.addCleanup(self.link.close)
        self.addCleanup(setattr, self.controller, "is_running", False)
        thread.start()

    def test_reports_wait_until_they_are_applied(self):
        """Guards against links that slow down the reading of the jobs.

        276 links requested six reports a second each, and reading the jobs
        took 2.5 s.
        """
        self.assertTrue(self.channel.requests.acquire(timeout=WAIT_S))
        # The next report is requested after a second, or as soon as this one
        # is applied.
        self.assertFalse(self.channel.requests.acquire(timeout=0.4))
        self.controller.events[0](1000.0)
        self.assertTrue(self.channel.requests.acquire(timeout=WAIT_S))

    def test_leases_are_extended_meanwhile(self):
        """Guards against runs that lapse while the new leader reads jobs.

        Reports are not applied yet, so the leases have to be extended before.
        """
        for _ in range(2):
            self.assertTrue(self.channel.requests.acquire(timeout=WAIT_S))
        self.assertEqual([0, 100 + LEASE_MS], self.channel.leases_ms[:2])
