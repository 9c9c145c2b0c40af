"""Tests of the end of a term after errors and lost leases.

A leader that has lost one of its threads must step down, since it would block
other nodes from leading without doing the work itself.
"""

import threading
from unittest import mock

import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.fleet_manager import FleetTiming
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.leadership import Leadership
from rosemarynotch._internal.scheduling.order_sender import OrderSender
from rosemarynotch._internal.scheduling.policies import ControllerPorts
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.progress_writer import ProgressWriter
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.metrics import Metrics
from rosemarynotch._internal.wiring.policies import choose_policies
from tests.lib.scheduling import Leader


class EmptyStore(CoordinationStore):
    """A store that confirms all writes and keeps none of them."""

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
    """Guards against a term that goes on when the node can no longer lead."""

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
            choose_policies(),
        )

    def test_unexpected_error_ends_the_term(self):
        """Guards against a leader whose planning thread has ended.

        It would keep its lease and start no tasks.
        """
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
        """Guards against a leader without the thread that lists workers."""
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

    def test_failed_start_makes_the_run_unconfirmed(self):
        """Guards against runs that stay in phase ORDERED for ever.

        This happened after an unexpected error while sending a start.
        """
        controller = self.controller()
        leader = Leader()
        leader.now_s = controller.clock.monotonic_s()
        leader.add_workers("w1")
        leader.submit("j1")
        command = leader.planner.place(leader.now_s, 1e6)[0]
        controller.scheduler = leader.scheduler
        posted = []
        controller.post = posted.append
        controller.link = lambda worker_id: object()
        OrderSender(controller).send(command)
        posted[0](1000.0)
        self.assertIs(RunPhase.UNCONFIRMED, command.run.phase)

    def test_stopping_leader_hands_over_while_jobs_change(self):
        """Guards against a stop that waits as long as tasks end.

        The leader wrote changes until there were none before it handed over,
        and each write brought new ones.
        """
        controller = mock.MagicMock(is_running=True)
        controller.clock.monotonic_s = mock.Mock(
            side_effect=(0.1 * n for n in range(1000))
        )
        controller.scheduler.dirty = {"j1": object()}
        writer = ProgressWriter(controller)
        writes = []

        def write():
            writes.append(1)
            return len(writes) < 100

        writer._write = write
        writer.flush()
        self.assertLess(len(writes), 5)

    def test_late_renewal_does_not_revive_a_term(self):
        """Guards against a leader that continues without some of its threads.

        In the soak test (seed 14), a process was suspended for 1.4 s. Some
        threads saw that the lease may have ended and exited. A late renewal
        then let the others continue without the feed of new jobs.
        """
        grant = self.leadership.grant
        self.leadership._valid_until_s = 0.0
        self.assertFalse(self.leadership.holds(grant))
        self.leadership._renew(grant)
        self.assertFalse(self.leadership.holds(grant))

    def test_missing_renewal_ends_the_term_before_the_lease(self):
        """Guards against a leader that acts after its lease has expired.

        While the store does not answer, it cannot learn of the expiry.
        """
        grant = self.leadership.grant
        self.store.is_down = True
        threading.Event().wait(2.4)
        self.assertFalse(self.leadership.holds(grant))
