"""Tests of starts and of job states while the store does not answer."""

import threading
import time
import types

import testtools

from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.access import CallerAccess
from rosemarynotch._internal.scheduling.controller import Controller
from rosemarynotch._internal.scheduling.hints import HintReceiver
from rosemarynotch._internal.scheduling.leader_query import CompletedJob
from rosemarynotch._internal.scheduling.leader_query import LeaderQuery
from rosemarynotch._internal.scheduling import phase_reader
from rosemarynotch._internal.scheduling.phase_reader import PhaseReader
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.utils.clock import SystemClock
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import step

HOST = "127.0.0.1"
WITHDRAWAL_S = 3.0
JOB_ID = "0123456789abcdef"
DONE = CompletedJob(JOB_ID, "o", "q")


def no_log(event, **fields):
    """Write no log."""


class QueryTest(testtools.TestCase):
    """Guards against wrong or missing answers between nodes."""

    def setUp(self):
        super().setUp()
        self.known = {JOB_ID: DONE}
        receiver = HintReceiver(
            HOST, 0, lambda keys: None, no_log, self.known.get
        )
        stop = threading.Event()
        self.addCleanup(stop.set)
        threading.Thread(
            target=receiver.run, args=(stop,), daemon=True
        ).start()
        self.leader = (HOST, receiver.port)

    def query(self, leader="default", local=None):
        address = self.leader if leader == "default" else leader
        return LeaderQuery(lambda: address, lambda job_id: local)

    def test_leader_knows_the_job(self):
        """Guards against a job that only the leader knows as completed."""
        for _ in range(50):
            if self.query().ask(JOB_ID) == DONE:
                return
        self.fail("no answer to 50 queries")

    def test_other_jobs_have_no_answer(self):
        """Guards against a state that nobody confirmed."""
        self.assertIsNone(self.query().ask("f" * 16))
        self.assertIsNone(self.query(leader=None).ask(JOB_ID))

    def test_answer_about_another_job_is_ignored(self):
        """Guards against late answers that are read for another query."""
        self.known["f" * 16] = DONE
        self.assertIsNone(self.query().ask("f" * 16))

    def test_leading_node_asks_itself(self):
        """Guards against a leader that cannot answer its own callers."""
        self.assertEqual(DONE, self.query(leader=None, local=DONE).ask(JOB_ID))


class PhaseTest(testtools.TestCase):
    """Guards against finished jobs that nobody can see in an outage."""

    def phase(self, organisation="o", age_s=1.0, stored=STORE_UNAVAILABLE):
        """Return the phase that a node shows for a job that is done."""
        feed = types.SimpleNamespace(
            contact_age_s=lambda: age_s, is_failing=True
        )
        reader = PhaseReader(
            types.SimpleNamespace(phase=lambda job_id, organisation: stored),
            types.SimpleNamespace(ask=lambda job_id: DONE),
            feed,
            SystemClock(),
            withdrawal_s=WITHDRAWAL_S,
            log=no_log,
        )
        return reader.read(JOB_ID, CallerAccess(organisation, "q"))

    def test_completed_job_is_shown(self):
        """Guards against callers that wait for the store to return."""
        self.assertIs(Phase.COMPLETED, self.phase())

    def test_foreign_job_is_not_shown(self):
        """Guards against access to the jobs of another organisation."""
        self.assertTrue(self.phase("other").is_a(STORE_UNAVAILABLE))

    def test_withdrawn_key(self):
        """Guards against a key that may have been withdrawn meanwhile."""
        age_s = WITHDRAWAL_S - 0.4
        self.assertTrue(self.phase(age_s=age_s).is_a(STORE_UNAVAILABLE))

    def test_key_that_cannot_have_been_withdrawn_for_long(self):
        """Guards against jobs that are not shown for most of an outage."""
        self.assertIs(Phase.COMPLETED, self.phase(age_s=WITHDRAWAL_S - 0.6))


class RecordedJobTest(testtools.TestCase):
    """Guards against a shown job that runs again (rule TWICE).

    The leader told that a job was completed before this was written. Its
    worker was lost, and the next leader started its tasks once more.
    """

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1")
        self.job = self.leader.submit(JOB_ID)
        (run,) = self.leader.place()
        self.leader.end(run)

    def find(self, leader):
        return Controller.find_completed(
            types.SimpleNamespace(scheduler=leader.scheduler), JOB_ID
        )

    def next_leader(self, progress):
        """Return the next leader, which hears of no worker of the first."""
        leader = Leader(term=2, started_revision=20)
        leader.submit(JOB_ID, progress=progress)
        leader.add_workers("w2")
        return leader

    def test_job_that_is_not_written(self):
        """Guards against a completion that only this leader knows.

        The next leader has to start the tasks again.
        """
        self.assertIsNone(self.find(self.leader))
        self.assertEqual(1, len(self.next_leader(None).place()))

    def test_job_that_is_written(self):
        """Guards against a shown completion that the next leader lacks."""
        progress = self.job.progress()
        self.leader.scheduler.mark_written(self.job, self.job.change, 5)
        expected = CompletedJob(JOB_ID, "o", "q")
        self.assertEqual(expected, self.find(self.leader))
        following = self.next_leader(progress)
        self.assertEqual([], following.place())
        self.assertEqual(expected, self.find(following))


class SilentStoreTest(testtools.TestCase):
    """Guards against reads that wait for a silent store.

    Each caller of a job that ended in an outage used to wait for up to three
    time-outs of the store before the leader was asked.
    """

    def setUp(self):
        super().setUp()
        self.answered = threading.Event()
        self.addCleanup(self.answered.set)
        self.asked = []
        self.done_after = 1
        self.reads = 0
        feed = types.SimpleNamespace(
            contact_age_s=lambda: 0.5, is_failing=False
        )
        self.reader = PhaseReader(
            types.SimpleNamespace(phase=self.stored_phase),
            types.SimpleNamespace(ask=self.ask),
            feed,
            SystemClock(),
            withdrawal_s=WITHDRAWAL_S,
            log=no_log,
        )

    def stored_phase(self, job_id, organisation):
        self.reads += 1
        self.answered.wait(10)
        return Phase.RUNNING

    def ask(self, job_id):
        self.asked.append(job_id)
        return DONE if len(self.asked) >= self.done_after else None

    def read(self):
        start_s = time.monotonic()
        phase = self.reader.read(JOB_ID, CallerAccess("o", "q"))
        return phase, time.monotonic() - start_s

    def test_leader_is_asked_before_the_time_out(self):
        """Guards against a completed job that is shown by a time-out late."""
        phase, took_s = self.read()
        self.assertIs(Phase.COMPLETED, phase)
        self.assertLess(took_s, 0.5)

    def test_job_that_ends_during_a_read_is_shown(self):
        """Guards against a leader that is asked only once."""
        self.done_after = 3
        phase, took_s = self.read()
        self.assertIs(Phase.COMPLETED, phase)
        self.assertLess(took_s, 1.0)

    def test_leader_is_asked_first_while_the_store_is_silent(self):
        """Guards against more reads of a store that does not answer."""
        self.read()
        phase, took_s = self.read()
        self.assertIs(Phase.COMPLETED, phase)
        self.assertEqual(1, self.reads)

    def test_store_that_answers_late(self):
        """Guards against a lost answer of a slow store."""
        self.done_after = 1000
        threading.Timer(0.3, self.answered.set).start()
        self.assertIs(Phase.RUNNING, self.read()[0])

    def test_silent_store_and_leader(self):
        """Guards against callers that wait for ever."""
        self.done_after = 1000
        self.patch(phase_reader, "READ_LIMIT_S", 0.3)
        self.assertTrue(self.read()[0].is_a(STORE_UNAVAILABLE))


class DetachedStartsTest(testtools.TestCase):
    """Guards against starts that the next leader does not expect.

    It counts on the end of all leases that the former leader granted while it
    held its own.
    """

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1", "w2")
        for name, left_ms in (("w1", 3000), ("w2", 1000)):
            worker = self.leader.scheduler.workers[name]
            worker.granted_until_ms = worker.clock_ms + left_ms
            worker.lease_until_ms = worker.granted_until_ms

    def place(self):
        return self.leader.planner.place(self.leader.now_s, 1e6, 2.0)

    def test_only_workers_with_a_lease(self):
        """Guards against tasks that are killed before they are done."""
        self.leader.submit("j1", job_spec(step(4)))
        started = {each.worker.worker_id for each in self.place()}
        self.assertEqual({"w1"}, started)

    def test_no_long_running_tasks(self):
        """Guards against tasks that surely outlive the lease."""
        self.leader.submit("j1", job_spec(step(1, long_running=True)))
        self.assertEqual([], self.place())

    def test_leases_are_not_extended(self):
        """Guards against runs that outlast what the next leader assumes."""
        worker = self.leader.scheduler.workers["w1"]
        before_ms = worker.lease_until_ms
        controller = types.SimpleNamespace(
            is_running=False,
            clock=types.SimpleNamespace(monotonic_s=lambda: self.leader.now_s),
            _lease_lock=threading.Lock(),
            _is_granting=True,
        )
        until_ms = Controller.extend_lease(controller, worker, worker.clock)
        self.assertEqual(before_ms, until_ms)
        self.assertEqual(before_ms, worker.lease_until_ms)
