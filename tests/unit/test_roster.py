"""Tests of the roster, from which a new leader learns who may have runs."""

import threading
import types
from unittest import mock

import attrs
import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.exceptions import WORKER_REPLACED
from rosemarynotch._internal.exceptions import WORKER_UNREACHABLE
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.order_sender import OrderSender
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.progress_writer import ProgressWriter
from rosemarynotch._internal.scheduling.records import LEADER_KEY
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ROSTER_KEY
from rosemarynotch._internal.scheduling.records import RosterRecord
from rosemarynotch._internal.scheduling.worker_feed import WorkerFeed
from tests.lib.scheduling import Leader
from tests.lib.scheduling import LEASE_S

FENCE = 1
MAX_ENTRIES = 32


class Store:
    """A store with revisions whose answers can be lost.

    :ivar loses_calls: whether a transaction has no answer and is kept in
        ``late`` until :meth:`apply_late`
    """

    def __init__(self):
        self.revision = FENCE
        self.items = {LEADER_KEY: Item(key=LEADER_KEY, revision=1, value=b"")}
        self.loses_calls = False
        self.late = []
        self.entry_counts = []

    def get(self, key):
        return self.items.get(key, STORE_KEY_MISSING)

    def commit(self, conditions, writes, deletes=()):
        self.entry_counts.append(len(conditions) + len(writes) + len(deletes))
        if self.loses_calls:
            self.late.append((conditions, writes))
            return STORE_UNAVAILABLE.with_ran_unknown()
        return self.apply(conditions, writes)

    def apply(self, conditions, writes):
        known = [self.items.get(each.key) for each in conditions]
        for each, item in zip(conditions, known):
            if each.revision != (item.revision if item else 0):
                return CommitConflict(tuple(item for item in known if item))
        self.revision += 1
        for write in writes:
            self.items[write.key] = Item(
                key=write.key, revision=self.revision, value=write.value
            )
        return self.revision

    def apply_late(self):
        """Apply the transactions that had no answer."""
        self.loses_calls = False
        while self.late:
            self.apply(*self.late.pop(0))

    def roster(self):
        """Return the workers of the roster."""
        return self.record().workers

    def record(self):
        """Return the roster."""
        return decode(self.items[ROSTER_KEY].value, RosterRecord)


class RosterCase(testtools.TestCase):
    """A leader with its writer, its worker feed and a store."""

    def setUp(self):
        super().setUp()
        self.store = Store()
        self.events = []
        self.lease_ends_s = None
        self.lead()

    def lead(self, term=1, now_s=1000.0):
        """Begin a term with the state of the store."""
        self.leader = leader = Leader(term=term, started_revision=20)
        leader.now_s = now_s
        self.scheduler = leader.scheduler
        self.leadership = mock.Mock()
        self.controller = controller = types.SimpleNamespace(
            lock=threading.RLock(),
            scheduler=leader.scheduler,
            planner=leader.planner,
            forecast=types.SimpleNamespace(turns=()),
            ports=types.SimpleNamespace(
                store=self.store,
                connect_worker=lambda entry, timeout: mock.Mock(),
            ),
            clock=types.SimpleNamespace(
                monotonic_s=lambda: leader.now_s,
                wall_s=lambda: leader.now_s,
            ),
            grant=types.SimpleNamespace(fence=FENCE, term=term),
            leadership=self.leadership,
            order_timeout=mock.Mock(),
            start_thread=lambda target, name: None,
            log=mock.Mock(),
            post=self.events.append,
            check_fence=mock.Mock(),
            answer_losses=mock.Mock(),
            metrics=mock.Mock(),
            stop=mock.Mock(),
            may_start=True,
            evacuations=types.SimpleNamespace(is_fresh=lambda now_s: True),
            extend_lease=lambda worker, clock: 7,
            known_lease_ends_s=lambda: self.lease_ends_s,
        )
        controller.writer = self.writer = ProgressWriter(controller)
        controller.worker_feed = self.feed = WorkerFeed(controller)
        controller.link = self.feed.link
        self.assertTrue(self.feed.load_roster())

    def list_workers(self, *entries):
        """Apply a list of workers."""
        self.feed._set_workers(list(entries), self.leader.now_s)


class LateWriteTest(RosterCase):
    """Guards against a late write of the roster that replaces a newer one.

    The next leader did not know the newest workers, and started the tasks of
    their runs a second time (rule TWICE).
    """

    def test_write_applied_after_a_newer_one(self):
        self.list_workers(Leader.entry("w1"))
        self.store.loses_calls = True
        self.assertFalse(self.writer._write())
        self.store.loses_calls = False
        self.list_workers(Leader.entry("w1"), Leader.entry("w2"))
        self.assertTrue(self.writer._write())
        self.assertTrue(self.scheduler.workers["w2"].is_enrolled)
        self.store.apply_late()
        self.assertEqual({"w1", "w2"}, set(self.store.roster()))

    def test_write_applied_before_a_newer_one(self):
        """Guards against a term that ends, or a roster never written again."""
        job = self.leader.submit("j1")
        self.scheduler.mark_dirty(job)
        self.assertTrue(self.writer._write())
        self.list_workers(Leader.entry("w1"))
        self.store.loses_calls = True
        self.assertFalse(self.writer._write())
        self.store.apply_late()
        self.scheduler.mark_dirty(job)
        self.list_workers(Leader.entry("w1"), Leader.entry("w2"))
        known_revision = job.progress_revision
        self.writer._wake.clear()
        self.assertTrue(self.writer._write())
        self.assertFalse(self.scheduler.workers["w2"].is_enrolled)
        self.assertEqual(known_revision, job.progress_revision)
        self.assertTrue(self.writer._wake.is_set())
        self.assertTrue(self.writer._write())
        self.assertTrue(self.scheduler.workers["w2"].is_enrolled)
        self.assertEqual({"w1", "w2"}, set(self.store.roster()))
        item = self.store.items[PROGRESS_PREFIX + "j1"]
        self.assertEqual(item.revision, job.progress_revision)
        self.leadership.step_down.assert_not_called()

    def test_first_write_of_a_term(self):
        """Guards against a leader that never replaces an earlier roster."""
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.lead(term=2)
        self.controller.log.assert_called_once_with(
            "roster read",
            workers=1,
            revision=self.store.revision,
            written_in_term=1,
            complete=True,
        )
        self.list_workers(Leader.entry("w2"))
        self.assertTrue(self.writer._write())
        self.assertEqual({"w1", "w2"}, set(self.store.roster()))

    def test_entries_of_the_largest_transaction(self):
        """Guards against a transaction that the store refuses as too long."""
        for number in range(40):
            self.scheduler.mark_dirty(self.leader.submit(f"j{number}"))
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.assertLessEqual(max(self.store.entry_counts), MAX_ENTRIES)


class UnreadableRosterTest(RosterCase):
    """Guards against a roster that counts as empty as it is unreadable.

    The new leader waited for no worker, and started the tasks of runs that it
    had not heard of a second time (rule TWICE).
    """

    def setUp(self):
        super().setUp()
        self.store.items[ROSTER_KEY] = Item(
            key=ROSTER_KEY, revision=5, value=b"\xc1"
        )
        self.lead(term=2)

    def report_new_worker(self):
        """List a worker that reports no runs."""
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.leader.report("w1")

    def test_inherited_jobs_wait_for_the_longest_lease(self):
        self.leader.submit("j1")
        self.leader.submit("j2", revision=30)
        self.report_new_worker()
        (run,) = self.leader.place()
        self.assertEqual("j2", run.task.task_id.job_id)
        self.leader.advance(LEASE_S)
        self.assertEqual([], self.leader.place())
        self.leader.advance(1.0)
        self.assertEqual(1, len(self.leader.place()))

    def test_cut_report_of_a_worker_that_is_not_named(self):
        """Guards against ends that are hidden when the leases are over."""
        self.list_workers(Leader.entry("w1"))
        self.leader.report("w1", is_cut=True)
        self.assertEqual(
            {"p"},
            self.scheduler.pools_with_unknown_runs(self.leader.now_s),
        )

    def test_leader_after_the_next(self):
        """Guards against a readable roster that lacks unknown workers."""
        self.report_new_worker()
        self.assertFalse(self.store.record().is_complete)
        self.lead(term=3)
        self.assertLess(
            self.leader.now_s + LEASE_S, self.scheduler.unknown_until_s
        )
        self.assertTrue(self.writer._write())
        self.leader.now_s = self.scheduler.unknown_until_s
        self.assertTrue(self.writer._write())
        self.assertTrue(self.store.record().is_complete)
        self.lead(term=4)
        self.assertEqual(0.0, self.scheduler.unknown_until_s)


class ChangedEntryTest(RosterCase):
    """Guards against a roster that names a worker where it no longer is.

    A worker may restart under its identifier at another address and in
    another pool. The next leader held no tasks of its new pool, and took a
    refusal at the old address for its end (rule TWICE).
    """

    def setUp(self):
        super().setUp()
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.leader.report("w1")
        self.worker = self.scheduler.workers["w1"]
        self.assertTrue(self.worker.accepts_work(self.leader.now_s))

    def test_start_before_the_changed_entry_is_written(self):
        for change in ({"address": "h:2"}, {"pool": "p2"}):
            entry = attrs.evolve(self.worker.entry, **change)
            self.list_workers(entry)
            self.assertFalse(self.worker.accepts_work(self.leader.now_s))
            self.assertTrue(self.writer._write())
            self.assertEqual({"w1": entry.roster_row}, self.store.roster())
            self.assertTrue(self.worker.accepts_work(self.leader.now_s))

    def test_start_that_is_repeated_at_another_address(self):
        self.leader.submit("j1")
        (run,) = self.leader.place()
        lost = WORKER_UNREACHABLE.with_ran_unknown()
        run.phase = RunPhase.ORDERED
        self.scheduler.on_start_answer(run, lost, self.leader.now_s)
        entry = attrs.evolve(self.worker.entry, address="h:2")
        self.list_workers(entry)
        reconcile = self.leader.planner.reconcile_runs
        self.assertEqual([], reconcile(self.leader.now_s))
        self.assertTrue(self.writer._write())
        (command,) = reconcile(self.leader.now_s)
        self.assertIs(run, command.run)

    def test_entry_that_changes_while_the_roster_is_written(self):
        """Guards against a write that enrols a worker at its old address."""
        entry = attrs.evolve(self.worker.entry, address="h:2")
        apply = self.store.apply
        self.writer.request_roster_write()
        self.patch(
            self.store,
            "apply",
            lambda *args: self.list_workers(entry) or apply(*args),
        )
        self.assertTrue(self.writer._write())
        self.assertEqual({"w1": ("p", "h:1")}, self.store.roster())
        self.assertFalse(self.worker.is_enrolled)
        self.assertTrue(self.writer.is_roster_outdated)


class RemovedWorkerTest(RosterCase):
    """Guards against a new leader that waits 5 s for workers that are gone."""

    def test_workers_whose_leases_have_ended(self):
        self.list_workers(*(Leader.entry(f"w{n}") for n in range(3)))
        self.assertTrue(self.writer._write())
        self.list_workers(Leader.entry("w0"))
        self.assertEqual(3, len(self.store.roster()))
        self.leader.now_s += 2 * LEASE_S
        self.leader.report("w0")
        self.store.entry_counts.clear()
        for worker_id in self.scheduler.expire_workers(self.leader.now_s):
            self.feed.close_link(worker_id)
        for _ in range(2):
            self.assertTrue(self.writer._write())
        self.assertEqual(["w0"], list(self.store.roster()))
        self.assertEqual(1, len(self.store.entry_counts))


class FormerAddressTest(RosterCase):
    """Guards against a worker that counts as ended but lives elsewhere.

    Another worker at the address of the roster, or of an old link, refused
    the calls. The runs of the worker, which had restarted at another address,
    were dropped, and its tasks started a second time (rule TWICE).
    """

    def setUp(self):
        super().setUp()
        self.list_workers(Leader.entry("w1"))
        self.assertTrue(self.writer._write())
        self.leader.report("w1")
        self.worker = self.scheduler.workers["w1"]
        self.moved = attrs.evolve(self.worker.entry, address="h:2")

    def refuse(self, link):
        """Let another worker answer the link's request for a report."""
        link.channel.report.return_value = WORKER_REPLACED
        link._request_report()
        self.apply_events()

    def apply_events(self):
        while self.events:
            self.events.pop(0)(self.leader.now_s)

    def test_answer_on_a_former_link(self):
        former = self.feed.link("w1")
        self.list_workers(self.moved)
        self.refuse(former)
        self.assertFalse(self.worker.is_replaced)
        self.refuse(self.feed.link("w1"))
        self.assertTrue(self.worker.is_replaced)

    def test_answer_before_the_changed_entry(self):
        self.refuse(self.feed.link("w1"))
        self.assertTrue(self.worker.is_replaced)
        self.list_workers(self.moved)
        self.assertFalse(self.worker.is_replaced)
        self.assertEqual("h:2", self.feed.link("w1").address)

    def test_start_at_a_former_address(self):
        self.leader.submit("j1")
        (command,) = self.leader.planner.place(self.leader.now_s, 1e6)

        def start(fence, order):
            self.list_workers(self.moved)
            return WORKER_REPLACED

        self.feed.link("w1").channel.start.side_effect = start
        sender = OrderSender(self.controller)
        self.addCleanup(sender.close)
        sender.send(command)
        self.apply_events()
        self.assertFalse(self.worker.is_replaced)
        self.assertTrue(command.run.task.is_waiting)

    def test_address_that_cannot_be_connected_to(self):
        """Guards against orders on the link to the former address."""
        self.controller.ports.connect_worker = mock.Mock(
            side_effect=ValueError("odd")
        )
        for _ in range(2):
            self.list_workers(self.moved)
            self.assertIsNone(self.feed.link("w1"))
        self.controller.ports.connect_worker.assert_called_once()
