"""Tests of how a leader follows the requests to evacuate data centres."""

import threading
import types
from unittest import mock

import testtools

from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.evacuation_feed import EvacuationFeed
from rosemarynotch._internal.scheduling.fleet_manager import FleetTiming
from rosemarynotch._internal.scheduling.leadership import Leadership
from rosemarynotch._internal.scheduling.planner import StartCommand
from rosemarynotch._internal.scheduling.policies import ControllerPorts
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.metrics import Metrics
from rosemarynotch._internal.wiring.policies import choose_policies
from tests.lib.coordination import RecordedStore
from tests.lib.scheduling import Leader

PREFIX = "op/evacuate/"
BOUND_S = 5.0


class FeedCase(testtools.TestCase):
    """Base of tests with a feed, a store and a scheduler."""

    PREFIX = PREFIX

    def setUp(self):
        super().setUp()
        self.store = RecordedStore()
        self.leader = Leader()
        self.leader.add_workers("w1", data_centre="one")
        self.leader.add_workers("w2", data_centre="two")
        self.events = []
        self.controller = types.SimpleNamespace(
            ports=types.SimpleNamespace(
                store=self.store,
                evacuations_prefix=self.PREFIX,
                evacuation_bound_s=BOUND_S,
            ),
            clock=types.SimpleNamespace(monotonic_s=lambda: self.leader.now_s),
            lock=threading.RLock(),
            scheduler=self.leader.scheduler,
            metrics=Metrics(),
            is_running=True,
            may_start=True,
            stop=threading.Event(),
            log=self.log,
        )
        self.leader.scheduler._log = self.log
        self.feed = EvacuationFeed(self.controller)

    def log(self, event, **fields):
        self.events.append((event, fields))

    def logged(self, event):
        """Return the fields of all log lines of an event."""
        return [fields for name, fields in self.events if name == event]

    def evacuated(self):
        """Return the workers that are marked as evacuated."""
        workers = self.leader.scheduler.workers
        return {name for name, each in workers.items() if each.is_evacuated}


class TestFollowing(FeedCase):
    """Guards against requests that are missed or outlive their key."""

    def test_requests_of_before_the_term_are_read_first(self):
        """Guards against a new leader that learns of a request too late."""
        self.store.put(PREFIX + "one")
        self.assertTrue(self.feed.load())
        self.assertEqual({"w1"}, self.evacuated())
        self.assertEqual(
            1, self.controller.metrics.gauges()["evacuations_in_force"]
        )
        (fields,) = self.logged("evacuation in force")
        self.assertEqual("one", fields["data_centre"])

    def test_request_and_return_are_followed(self):
        """Guards against an evacuation that outlasts its request."""
        self.feed.load()
        self.store.put(PREFIX + "one")
        self.assertTrue(self.feed._watch())
        self.assertEqual({"w1"}, self.evacuated())
        self.store.remove(PREFIX + "one")
        self.feed._watch()
        self.assertEqual(set(), self.evacuated())
        (fields,) = self.logged("evacuation ended")
        self.assertEqual("one", fields["data_centre"])
        self.assertEqual(
            0, self.controller.metrics.gauges()["evacuations_in_force"]
        )

    def test_request_within_a_second_leaves_no_trace(self):
        """Guards against state that remains of a request that was withdrawn.

        Its creation and deletion may be received together or separately.
        """
        self.feed.load()
        self.store.put(PREFIX + "one")
        self.store.remove(PREFIX + "one")
        self.feed._watch()
        self.assertEqual([], self.logged("evacuation in force"))
        self.store.put(PREFIX + "one")
        self.feed._watch()
        self.leader.now_s += 0.9
        self.store.remove(PREFIX + "one")
        self.feed._watch()
        worker = self.leader.scheduler.workers["w1"]
        self.assertTrue(worker.accepts_work(self.leader.now_s))
        self.assertEqual(0.0, worker.cold_until_s)
        self.assertEqual({}, self.leader.scheduler.evacuated_at_s)

    def test_several_data_centres(self):
        """Guards against a request that replaces an earlier one."""
        self.feed.load()
        self.store.put(PREFIX + "one")
        self.feed._watch()
        self.store.put(PREFIX + "two")
        self.feed._watch()
        self.assertEqual({"w1", "w2"}, self.evacuated())
        self.assertEqual({"one", "two"}, self.feed.data_centres)
        self.store.remove(PREFIX + "one")
        self.feed._watch()
        self.assertEqual({"w2"}, self.evacuated())

    def test_unknown_data_centre_concerns_its_later_workers_only(self):
        """Guards against effects on others, and on workers that come later."""
        self.store.put(PREFIX + "three")
        self.feed.load()
        self.assertEqual(set(), self.evacuated())
        self.leader.add_workers("w3", data_centre="three")
        self.assertEqual({"w3"}, self.evacuated())

    def test_key_without_a_name_and_odd_values(self):
        """Guards against requests that are read from their values."""
        self.store.put(PREFIX, b"one")
        self.store.put(PREFIX + "one", b"\xff{")
        self.store.put(PREFIX + "two", b"")
        self.feed.load()
        self.store.put(PREFIX, b"null")
        self.feed._watch()
        self.store.remove(PREFIX)
        self.feed._watch()
        self.assertEqual({"one", "two"}, self.feed.data_centres)
        self.assertEqual(1, len(self.logged("evacuation refused")))

    def test_older_change_than_listed_is_ignored(self):
        """Guards against a return by a deletion before the newest request.

        The pages of a listing are not of one revision.
        """
        key = PREFIX + "one"
        self.store.list_prefix = lambda prefix: Listing(
            items=(Item(key=key, revision=12, value=b""),), revision=10
        )
        self.feed.load()
        self.store.watch = lambda *args: Listing(
            items=(Item(key=key, revision=11, value=None),), revision=11
        )
        self.feed._watch()
        self.assertEqual({"w1"}, self.evacuated())

    def test_roster_worker_in_an_unknown_data_centre(self):
        """Guards against starts on a worker whose data centre is not known.

        The roster of the former leader names no data centres.
        """
        self.store.put(PREFIX + "one")
        self.feed.load()
        entry = self.leader.entry("w3")
        former = type(entry)(
            worker_id="w3", started_unix_ms=0, pool="p", address="h:1"
        )
        scheduler = self.leader.scheduler
        known = [worker.entry for worker in scheduler.workers.values()]
        scheduler.set_workers([*known, former], 1000.0, are_inherited=True)
        self.assertEqual({"w1", "w3"}, self.evacuated())
        self.leader.add_workers("w3", data_centre="two")
        self.assertEqual({"w1"}, self.evacuated())


class TestStoreFaults(FeedCase):
    """Guards against starts that a request forbids while the store fails."""

    def test_store_down_when_the_request_is_made(self):
        """Guards against a request that was made unseen and stays unseen."""
        self.feed.load()
        self.store.is_down = True
        self.store.put(PREFIX + "one")
        self.assertFalse(self.feed._watch())
        self.assertFalse(self.feed.load())
        self.store.is_down = False
        self.assertTrue(self.feed.load())
        self.assertEqual({"w1"}, self.evacuated())

    def test_store_down_while_in_force(self):
        """Guards against an outage that ends an evacuation."""
        self.store.put(PREFIX + "one")
        self.feed.load()
        self.store.is_down = True
        for _ in range(3):
            self.feed._watch()
            self.feed.load()
        self.assertEqual({"w1"}, self.evacuated())

    def test_requests_of_unknown_age_permit_no_start(self):
        """Guards against starts later than the bound after a request.

        A leader whose reads fail does not learn of the request.
        """
        self.assertFalse(self.feed.is_fresh(self.leader.now_s))
        self.feed.load()
        self.store.is_down = True
        self.leader.now_s += 4.0
        self.feed._watch()
        self.assertTrue(self.feed.is_fresh(self.leader.now_s))
        self.leader.now_s += 1.0
        self.feed.load()
        self.assertFalse(self.feed.is_fresh(self.leader.now_s))
        self.store.is_down = False
        self.feed.load()
        self.assertTrue(self.feed.is_fresh(self.leader.now_s))

    def test_history_lost_in_between(self):
        """Guards against changes that no watch reports any more."""
        self.store.put(PREFIX + "one")
        self.feed.load()
        self.store.remove(PREFIX + "one")
        self.store.put(PREFIX + "two")
        self.store.compact()
        self.assertFalse(self.feed._watch())
        self.feed.load()
        self.assertEqual({"w2"}, self.evacuated())

    def test_leader_without_the_store_keeps_requests(self):
        """Guards against a return by an answer received after the term.

        Another leader may know of a later request.
        """
        self.store.put(PREFIX + "one")
        self.feed.load()
        self.controller.is_running = False
        self.store.remove(PREFIX + "one")
        self.store.put(PREFIX + "two")
        self.feed._watch()
        self.feed.load()
        self.assertEqual({"w1", "w2"}, self.evacuated())

    def test_thread_lists_again_after_a_failure(self):
        """Guards against a thread that watches from a lost position."""
        self.feed.load()
        self.store.put(PREFIX + "one")
        self.store.compact()
        rounds = iter((True, True, False))
        controller = self.controller

        class Term(types.SimpleNamespace):
            may_start = property(lambda self: next(rounds))

        controller.stop.set()
        fields = {
            k: v for k, v in vars(controller).items() if k != "may_start"
        }
        self.feed._controller = Term(**fields)
        self.feed.run()
        self.assertEqual({"w1"}, self.evacuated())


class TestShortBound(FeedCase):
    """Guards against settings that make a leader useless."""

    def test_bound_of_zero(self):
        """Guards against watches without a pause, and no starts at all."""
        self.controller.ports.evacuation_bound_s = 0.0
        feed = EvacuationFeed(self.controller)
        feed.load()
        self.assertTrue(feed.is_fresh(self.leader.now_s + 0.4))
        self.assertGreaterEqual(feed._watch_ms, 100)


class TestFeatureOff(FeedCase):
    """Guards against effects where the settings have no bound."""

    PREFIX = ""

    def test_nothing_is_read_and_starts_are_permitted(self):
        """Guards against reads of keys that the platform does not know."""
        self.store.put(PREFIX + "one")
        self.assertTrue(self.feed.load())
        self.feed.close()
        self.assertTrue(self.feed.is_fresh(self.leader.now_s))
        self.assertEqual(0, self.store.reads)
        self.assertEqual(set(), self.evacuated())
        self.assertEqual({}, self.controller.metrics.gauges())


class TestTerm(testtools.TestCase):
    """Guards against a leader that starts tasks before it knows requests."""

    def setUp(self):
        super().setUp()
        self.store = RecordedStore()
        self.events = []
        self.leadership = Leadership(
            self.store, SystemClock(), "n", "ip", "i", self.log
        )
        self.stop = threading.Event()
        self.addCleanup(self.stop.set)
        threading.Thread(
            target=self.leadership.run, args=(self.stop,), daemon=True
        ).start()
        while self.leadership.grant is None:
            threading.Event().wait(0.01)
        self.controller = Controller(
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
                evacuations_prefix=PREFIX,
                evacuation_bound_s=BOUND_S,
            ),
            lambda: None,
            SystemClock(),
            Metrics(),
            self.log,
            FleetTiming(holder_interval_s=0.0, maintenance_s=0.0),
            choose_policies(),
        )

    def log(self, event, **fields):
        self.events.append(event)

    def test_requests_are_read_before_the_first_start(self):
        """Guards against starts between the election and the first read.

        The read fails at first, as right after an outage of the store.
        """
        controller, store = self.controller, self.store
        store.put(PREFIX + "one")
        failures = [STORE_UNAVAILABLE, STORE_UNAVAILABLE]
        read = store.list_prefix

        def list_prefix(prefix):
            if prefix == PREFIX and failures:
                return failures.pop()
            return read(prefix)

        store.list_prefix = list_prefix
        seen = []

        def place(now_s, wall_ms):
            seen.append(set(controller.scheduler.evacuated_at_s))
            controller.leadership.step_down(controller.grant, "test")
            return []

        controller.planner.place = place
        controller.run()
        self.assertEqual([{"one"}], seen)
        self.assertIn("evacuations read again", self.events)
        gauges = controller.metrics.gauges()
        self.assertEqual(0, gauges["evacuations_in_force"])

    def test_stale_requests_stop_all_starts(self):
        """Guards against starts of a leader that cannot read requests.

        This also holds for a leader without the store, whose 4 s would
        outlast a shorter bound.
        """
        controller = self.controller
        controller.evacuations.load()
        controller.planner.place = mock.Mock(return_value=[])
        now_s = controller.clock.monotonic_s()
        controller._plan(now_s)
        controller.planner.place.assert_called_once()
        controller._plan(now_s + BOUND_S - 0.3)
        controller.planner.place.assert_called_once()
        command = mock.Mock(spec=StartCommand)
        command.is_current.return_value = True
        command.run.is_sent = False
        controller.evacuations._contact_at_s = -1e9
        is_needed, _ = controller._sender._prepare(command)
        self.assertFalse(is_needed)
