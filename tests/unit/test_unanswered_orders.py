"""Unit tests of orders to workers whose answers are lost."""

import random
import types
from unittest import mock

import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.platform import HttpWorkerChannel
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.order_sender import OrderSender
from rosemarynotch._internal.scheduling.planner import StartCommand
from rosemarynotch._internal.scheduling.planner import StopCommand
from rosemarynotch._internal.scheduling.policy import OrderTimeout
from rosemarynotch._internal.scheduling.ports import StartOrder
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.http import CallFailed
from rosemarynotch._internal.utils.http import HttpClient
from rosemarynotch._internal.utils.http import Reply
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import step

LOST = failures.WORKER_UNREACHABLE.with_ran_unknown()


class TestAttempts(testtools.TestCase):
    """Guards against orders that the HTTP client sends twice.

    It sent an order without an answer again. The refusal of the second
    attempt freed the task, and the first attempt was carried out seconds
    later, when the task was done elsewhere. The task ran twice (rule TWICE,
    fault hunt c7f545c3).
    """

    def test_unanswered_start_is_not_resent_by_the_http_client(self):
        """Guards against a refused second request that hides the first.

        The outcome of the first one is unknown and has to stay so.
        """
        lost = CallFailed(Ran.UNKNOWN, "timed out")
        refused = Reply(503, {}, b"")
        replies = [lost, refused]

        class Http(HttpClient):
            def _once(self, *args):
                return replies.pop(0)

        channel = HttpWorkerChannel(
            lambda timeout_s, check: Http("h:1", SystemClock(), timeout_s),
            "w",
            lambda repeats: 0.25,
        )
        order = StartOrder(
            task=TaskId("j", 0, 0, 0),
            run=1,
            payload="",
            lease_until_worker_ms=1,
        )
        answer = channel.start(1, order)
        self.assertIs(Ran.UNKNOWN, answer.ran)
        self.assertEqual([refused], replies)


class TestUnansweredOrders(testtools.TestCase):
    """Guards against tasks that run twice or never after a lost answer.

    A start order without an answer may still be carried out later.
    """

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1", "w2")

    def test_unanswered_start_is_repeated_with_its_lease(self):
        """Guards against a task that is never started again (rule LOST).

        Each repeated order had a new lease, so that a lost run never expired.
        """
        self.leader.submit("j1")
        command = self.leader.planner.place(1000.0, 1e6)[0]
        run = command.run
        run.lease_until_ms = 7
        self.leader.scheduler.on_start_answer(run, LOST, 1000.0)
        self.assertIs(RunPhase.UNCONFIRMED, run.phase)
        again = self.leader.planner.reconcile_runs(1001.0)
        self.assertEqual([run], [each.run for each in again])
        self.assertIsInstance(again[0], StartCommand)
        self.assertEqual(7, run.lease_until_ms)
        self.assertTrue(run.is_resent)

    def test_lost_answers_do_not_pause_a_pool(self):
        """Guards against tasks that wait as all their workers are paused.

        Every single lost answer paused a worker.
        """
        self.leader.submit("j1")
        self.leader.submit("j2")
        first = self.leader.planner.place(1000.0, 1e6)
        for command in first:
            self.leader.scheduler.on_start_answer(command.run, LOST, 1000.0)
        self.leader.submit("j3")
        again = self.leader.planner.place(1000.1, 1e6)
        self.assertEqual(1, len(again))

    def test_silent_worker_is_used_last(self):
        """Guards against orders to a silent worker while others answer.

        A worker that does not answer is avoided first, then paused, unless it
        still reports: then only the orders are being lost.
        """
        workers = self.leader.scheduler.workers
        for _ in range(2):
            workers["w1"].record_order_outcome(True)
        self.leader.submit("j1", job_spec(step(8)))
        for command in self.leader.planner.place(1000.0, 1e6):
            self.assertEqual("w2", command.worker.worker_id)
        self.leader.submit("j2")
        (command,) = self.leader.planner.place(1000.0, 1e6)
        self.assertEqual("w1", command.worker.worker_id)
        self.leader.scheduler.on_start_answer(command.run, LOST, 1000.0)
        self.assertTrue(workers["w1"].accepts_work(1000.1))
        self.leader.scheduler.on_start_answer(command.run, LOST, 1001.3)
        self.assertFalse(workers["w1"].accepts_work(1001.4))
        workers["w1"].record_order_outcome(False)
        self.leader.now_s = 1001.5
        self.leader.report_runs("w1")
        self.assertTrue(workers["w1"].accepts_work(1001.7))

    def test_refused_repetition_is_stopped(self):
        """Guards against a task that waits until the lease of its run ends.

        The worker refused the repeated order. A stop is sent, and a later
        report without the run frees the task.
        """
        self.leader.submit("j1")
        run = self.leader.planner.place(1000.0, 1e6)[0].run
        scheduler, planner = self.leader.scheduler, self.leader.planner
        scheduler.on_start_answer(run, LOST, 1000.0)
        planner.reconcile_runs(1000.4)
        scheduler.on_start_answer(run, failures.RUN_NO_ROOM, 1000.5)
        (stop,) = planner.reconcile_runs(1000.5)
        self.assertIsInstance(stop, StopCommand)
        self.leader.now_s = 1000.7
        self.leader.report(run.worker_id)
        self.assertEqual([run], run.task.runs)
        scheduler.on_stop_answer(run, None, 1000.7)
        self.leader.now_s = 1000.8
        self.leader.report(run.worker_id)
        self.assertEqual([], run.task.runs)

    def test_unanswered_start_does_not_mark_the_job_as_running(self):
        """Guards against a job shown as running before it runs (rule MIXED).

        A start without an answer may not have been carried out.
        """
        job = self.leader.submit("j1")
        run = self.leader.planner.place(1000.0, 1e6)[0].run
        self.assertIs(Phase.QUEUED, job.phase)
        self.leader.scheduler.on_start_answer(run, LOST, 1000.0)
        self.assertIs(Phase.QUEUED, job.phase)
        self.assertEqual({}, self.leader.scheduler.dirty)
        self.leader.report_runs(run.worker_id)
        self.assertIs(Phase.RUNNING, job.phase)
        self.assertIn("j1", self.leader.scheduler.dirty)

    def test_refused_repetition_does_not_free_the_task(self):
        """Guards against a second run after the refusal of a repeated order.

        The first order may still be carried out before its lease ends.
        """
        self.leader.submit("j1")
        run = self.leader.planner.place(1000.0, 1e6)[0].run
        self.leader.scheduler.on_start_answer(run, LOST, 1000.0)
        self.leader.planner.reconcile_runs(1001.0)
        refused = failures.RUN_NO_ROOM
        self.leader.scheduler.on_start_answer(run, refused, 1001.0)
        self.assertIs(RunPhase.STOPPING, run.phase)
        self.assertEqual([run], run.task.runs)
        self.leader.now_s = 1001.5
        self.leader.report(run.worker_id)
        self.assertEqual([run], run.task.runs)
        self.assertEqual([], self.leader.planner.place(1001.5, 1e6))

    def test_start_with_an_expired_lease_frees_its_task(self):
        """Guards against a start that is repeated for ever (rule LOST).

        The worker is alive and refuses it as late, since the repetition
        carries the lease of the first order (soak test, seed 24).
        """
        self.leader.submit("j1")
        run = self.leader.planner.place(1000.0, 1e6)[0].run
        self.leader.scheduler.on_start_answer(run, LOST, 1000.0)
        self.leader.planner.reconcile_runs(1001.0)
        self.leader.now_s = 1006.0
        late = failures.RUN_LATE
        self.leader.scheduler.on_start_answer(run, late, 1006.0)
        # The worker may still report the end of the run.
        self.assertEqual([run], run.task.runs)
        self.leader.now_s = 1006.1
        self.leader.report(run.worker_id)
        self.assertEqual([], run.task.runs)

    def test_repetition_of_an_ended_run_is_not_sent(self):
        """Guards against a repeated start that is sent after its run ended.

        Such orders waited for a free thread and were sent up to 2.9 s after
        the end (replay of fault hunt c7f545c3).
        """
        self.leader.submit("j1")
        run = self.leader.planner.place(1000.0, 1e6)[0].run
        self.leader.scheduler.on_start_answer(run, LOST, 1000.0)
        (again,) = self.leader.planner.reconcile_runs(1000.4)
        sent = []

        def start(fence, order):
            sent.append(order)
            return 0

        link = types.SimpleNamespace(
            channel=types.SimpleNamespace(start=start)
        )
        controller = mock.MagicMock(is_running=True)
        controller.link.return_value = link
        controller.clock.monotonic_s.return_value = 1000.0
        controller.extend_lease.return_value = 1
        sender = OrderSender(controller)
        self.addCleanup(sender.close)
        sender.send(again)
        self.assertEqual(1, len(sent))
        self.leader.end(run)
        sender.send(again)
        self.assertEqual(1, len(sent))


class TestOrderTimeout(testtools.TestCase):
    """Guards against long waits for answers that are lost.

    With three of ten orders unanswered, a step of six tasks almost always
    waits for one of them: 0.25 s for the answer and 0.3 s until the order was
    repeated, of the second that a short job may lose.
    """

    ANSWER_S = 0.004
    LOST_SHARE = 0.3
    TASKS = 6

    def wait_of_a_step_s(self, rng, timeout_s, pause_s):
        """Return when the last task of a step has been started."""
        waits_s = []
        for _ in range(self.TASKS):
            wait_s, repeats = self.ANSWER_S, 0
            while rng.random() < self.LOST_SHARE:
                wait_s += timeout_s(repeats) + pause_s
                repeats += 1
            waits_s.append(wait_s)
        return max(waits_s)

    def test_steps_start_sooner_than_with_a_fixed_timeout(self):
        """Guards against a time-out far above the usual time of answers."""
        timeout = OrderTimeout()
        for number in range(50):
            timeout.record(self.ANSWER_S * (1 + number % 3 / 10))
        rng = random.Random(3)
        baseline_s = sum(
            self.wait_of_a_step_s(rng, lambda repeats: 0.25, 0.05)
            for _ in range(200)
        )
        rng = random.Random(3)
        tested_s = sum(
            self.wait_of_a_step_s(rng, timeout, 0.05) for _ in range(200)
        )
        self.assertLess(tested_s, 0.4 * baseline_s)

    def test_slow_answers_are_awaited(self):
        """Guards against repeated orders to workers that answer slowly."""
        timeout = OrderTimeout()
        for _ in range(30):
            timeout.record(0.08)
        self.assertGreater(timeout(), 0.08)
        for _ in range(30):
            timeout.record(0.2)
        self.assertGreater(timeout(), 0.2)

    def test_repeated_orders_are_awaited_longer(self):
        """Guards against tasks that never start on slow workers (rule LOST).

        Answers that take longer than the time-out are never recorded, so it
        stayed below them, and each repeated order timed out as well.
        """
        timeout = OrderTimeout()
        for _ in range(30):
            timeout.record(0.002)
        self.assertLess(timeout(), 0.04)
        self.assertGreater(timeout(1), 0.04)
        self.assertEqual(0.25, timeout(9))

    def test_first_orders_are_awaited_longest(self):
        """Guards against a time-out that rests on one fast answer."""
        timeout = OrderTimeout()
        timeout.record(0.001)
        self.assertEqual(0.25, timeout())
