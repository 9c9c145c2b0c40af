"""A leader that cannot go on must not keep others from leading."""

import threading

import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.controller import ControllerPorts
from rosemarynotch._internal.scheduling.fleet_manager import FleetTiming
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.leadership import Leadership
from rosemarynotch._internal.scheduling.order_sender import OrderSender
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.metrics import Metrics
from tests.lib.scheduling import Leader


class EmptyStore(CoordinationStore):
    """A store that accepts everything and holds nothing."""

    def __init__(self):
        self.is_down = False

    def get(self, key, allow_stale=False):
        return STORE_KEY_MISSING

    def list_prefix(self, prefix):
        return Listing(items=(), revision=1)

    def watch(self, prefix, after_revision, wait_ms):
        threading.Event().wait(0.05)
        return Listing(items=(), revision=1)

    def commit(self, conditions, writes, deletes=[]):
        return STORE_UNAVAILABLE if self.is_down else 7

    def grant_lease(self, ttl_ms):
        return 1

    def renew_lease(self, lease_id):
        return STORE_UNAVAILABLE if self.is_down else None

    def end_lease(self, lease_id):
        return None


class TestLeading(testtools.TestCase):
    """Terms begin and end."""

    def setUp(self):
        super().setUp()
        self.events = []
        self.store = EmptyStore()
        self.leadership = Leadership(
            self.store, SystemClock(), "n", "ip", "i", self.log
        )
        stop = threading.Event()
        self.addCleanup(stop.set)
        threading.Thread(
            target=self.leadership.run, args=(stop,), daemon=True
        ).start()
        while self.leadership.grant is None:
            threading.Event().wait(0.01)

    def log(self, event, **fields):
        self.events.append((event, fields))

    def controller(self):
        return Controller(
            self.leadership.grant,
            self.leadership,
            ControllerPorts(
                store=self.store,
                workers_prefix="workers/",
                decode_worker=None,
                connect_worker=None,
                waves_prefix="waves/",
                wave_status_prefix="status/",
                decode_wave=None,
                encode_wave_status=None,
            ),
            lambda: None,
            SystemClock(),
            Metrics(),
            self.log,
            FleetTiming(holder_interval_s=0.0, maintenance_s=0.0),
        )

    def test_unexpected_error_ends_the_term(self):
        """Without it, the node leads on and starts nothing."""
        controller = self.controller()
        grant = controller.grant

        def fail(now_s, wall_ms):
            raise KeyError("x")

        controller.planner.place = fail
        controller.run()
        self.assertFalse(self.leadership.holds(grant))
        events = [event for event, _ in self.events]
        self.assertIn("leading failed", events)

    def test_error_in_another_thread_ends_the_term(self):
        """A leader that hears of no new worker is of no use."""
        controller = self.controller()
        controller.ports.store.list_prefix = lambda prefix: (
            Listing(items=(), revision=1)
            if prefix != "workers/"
            else self.fail_to_list()
        )
        controller.run()
        self.assertFalse(self.leadership.holds(controller.grant))

    def fail_to_list(self):
        raise ValueError("malformed")

    def test_order_that_fails_is_in_doubt(self):
        """An unexpected error once left a run as ordered for good."""
        controller = self.controller()
        leader = Leader()
        leader.add_workers("w1")
        leader.submit("j1")
        command = leader.planner.place(1000.0, 1e6)[0]
        controller.scheduler = leader.scheduler
        posted = []
        controller.post = posted.append
        controller.link = lambda worker_id: object()
        OrderSender(controller).send(command)
        posted[0](1000.0)
        self.assertIs(RunPhase.UNCONFIRMED, command.run.phase)

    def test_late_renewal_does_not_revive_a_term(self):
        """Soak, seed 14: a process that was paused for 1.4 s was told that
        its lease may have ended; the threads that asked had gone, a renewal
        came, and the others led on without the feed of new jobs.
        """
        grant = self.leadership.grant
        self.leadership._valid_until_s = 0.0
        self.assertFalse(self.leadership.holds(grant))
        self.leadership._renew(grant)
        self.assertFalse(self.leadership.holds(grant))

    def test_no_renewal_ends_the_term_before_the_lease(self):
        """Its holder may not know that the lease has ended."""
        grant = self.leadership.grant
        self.store.is_down = True
        threading.Event().wait(2.4)
        self.assertFalse(self.leadership.holds(grant))
