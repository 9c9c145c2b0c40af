"""Tests of what starts, stops and counts while data centres are evacuated."""

import threading
import types
from unittest import mock

import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.advice import AdviceRequest
from rosemarynotch._internal.scheduling.advice_requester import AdviceRequester
from rosemarynotch._internal.scheduling.evacuation import ServingTaskMover
from rosemarynotch._internal.scheduling.fleet_ports import AdviceAnswer
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.model import AdvicePolicy
from rosemarynotch._internal.scheduling.planner import StartCommand
from rosemarynotch._internal.scheduling.planner import StopCommand
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.worker_registry import COLD_S
from rosemarynotch._internal.utils.metrics import Metrics
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import LEASE_S
from tests.lib.scheduling import step

LOST = failures.WORKER_UNREACHABLE.with_ran_unknown()


class EvacuationCase(testtools.TestCase):
    """Base of tests with two workers in each of two data centres."""

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.scheduler = self.leader.scheduler
        self.leader.add_workers("a1", "a2", data_centre="a")
        self.leader.add_workers("b1", "b2", data_centre="b")

    def evacuate(self, *names):
        """Make these the data centres that are being evacuated."""
        self.scheduler.set_evacuated(frozenset(names), self.leader.now_s)

    def start_on(self, name, job_id="j1"):
        """Order a start on a worker; return the command."""
        others = set("ab") - {name[0]}
        self.evacuate(*others)
        self.leader.submit(job_id)
        now_s = self.leader.now_s
        (command,) = self.leader.planner.place(now_s, now_s * 1000)
        self.evacuate()
        self.assertEqual(name, command.worker.worker_id)
        command.run.is_sent = True
        return command

    def place(self):
        """Run a placement pass; return the names of the chosen workers."""
        return [run.worker_id for run in self.leader.place()]

    def reconcile(self):
        """Return the commands for runs that stop or are unconfirmed."""
        return self.leader.planner.reconcile_runs(self.leader.now_s)

    def serving_runs(self, data_centre, count, **fields):
        """Start serving tasks in a data centre and report them at work."""
        self.evacuate(*(set("ab") - {data_centre}))
        fields.setdefault("cpu", 4000)
        self.leader.submit(
            "s1", job_spec(step(count, long_running=True, **fields))
        )
        runs = self.leader.place()
        self.evacuate()
        for name in self.scheduler.workers:
            self.leader.report_runs(name, percent=100)
        return runs

    def mover(self):
        """Return a mover of serving tasks."""
        return ServingTaskMover(
            types.SimpleNamespace(
                lock=threading.RLock(),
                scheduler=self.scheduler,
                log=lambda event, **fields: None,
            )
        )


class TestStarts(EvacuationCase):
    """Guards against starts in a data centre that is being evacuated."""

    def test_new_work_goes_elsewhere(self):
        """Guards against new runs there, and against tasks that then wait."""
        self.evacuate("a")
        self.leader.submit("j1", job_spec(step(4)))
        self.assertEqual({"b"}, {name[0] for name in self.place()})

    def test_queued_start_is_not_sent(self):
        """Guards against a start that was planned just before the request.

        Its task was never started, so it is free at once.
        """
        command = self.start_on("a1")
        command.run.is_sent = False
        self.evacuate("a")
        self.assertFalse(command.is_current(self.leader.now_s))
        self.scheduler.on_order_withheld(command.run)
        self.assertEqual(["b1"], self.place())

    def test_unanswered_start_is_stopped_and_not_repeated(self):
        """Guards against a task that runs twice, or starts there late.

        Its worker may carry out the start seconds later. Neither the
        evacuation nor an answer to the stop alone frees the task.
        """
        run = self.start_on("a1").run
        self.scheduler.on_start_answer(run, LOST, self.leader.now_s)
        self.evacuate("a")
        (command,) = self.reconcile()
        self.assertIsInstance(command, StopCommand)
        self.assertIs(run, command.run)
        self.leader.report("a1")
        self.assertEqual([], self.place())
        self.leader.now_s += 0.1
        self.scheduler.on_stop_answer(run, None, self.leader.now_s)
        self.assertEqual([], self.place())
        self.leader.report("a1", asked_before_s=0.05)
        self.leader.now_s += 0.1
        self.leader.report("a1", is_cut=True)
        self.assertEqual([], self.place())
        self.leader.report("a1")
        self.assertEqual(["b1"], self.place())

    def test_end_of_an_unanswered_start_frees_its_task(self):
        """Guards against a task that waits although its run has ended."""
        run = self.start_on("a1").run
        self.scheduler.on_start_answer(run, LOST, self.leader.now_s)
        self.evacuate("a")
        self.reconcile()
        self.leader.end(run, EndKind.STOPPED)
        self.assertEqual(["b1"], self.place())

    def test_lease_frees_the_task_of_a_silent_worker(self):
        """Guards against a start elsewhere before the lease is over."""
        run = self.start_on("a1").run
        self.scheduler.on_start_answer(run, LOST, self.leader.now_s)
        worker = self.scheduler.workers["a1"]
        worker.lease_until_ms = worker.clock_ms + round(LEASE_S * 1000)
        self.evacuate("a")
        self.leader.now_s += LEASE_S - 1
        self.leader.report("b1")
        self.scheduler.expire_workers(self.leader.now_s)
        self.assertEqual([], self.place())
        self.leader.now_s += 2
        self.leader.report("b1")
        self.scheduler.expire_workers(self.leader.now_s)
        self.assertEqual(["b1"], self.place())

    def test_queued_repetition_is_not_sent(self):
        """Guards against a repeated start that was queued before."""
        run = self.start_on("a1").run
        self.scheduler.on_start_answer(run, LOST, self.leader.now_s)
        (again,) = self.reconcile()
        self.assertIsInstance(again, StartCommand)
        self.evacuate("a")
        self.assertFalse(again.is_current(self.leader.now_s))
        self.scheduler.on_order_withheld(run)
        (command,) = self.reconcile()
        self.assertIsInstance(command, StopCommand)

    def test_batch_tasks_end_where_they_are(self):
        """Guards against work that is discarded by an evacuation."""
        run = self.start_on("a1").run
        self.leader.report_runs("a1")
        self.evacuate("a")
        for _ in range(20):
            self.leader.advance(0.1)
            run.percent += 1
            self.assertEqual([], self.reconcile())
        self.leader.end(run)
        self.assertEqual({}, self.scheduler.active)

    def test_all_data_centres(self):
        """Guards against starts anywhere, and against stops without use."""
        serving = self.serving_runs("a", 2)
        self.evacuate("a", "b")
        self.leader.submit("j2")
        self.leader.advance(3.0)
        self.mover().move_from_evacuated(self.leader.now_s)
        self.assertEqual([], self.place())
        self.assertEqual([], self.reconcile())
        self.assertEqual(2, len(serving))

    def test_work_returns_at_once_but_to_warm_workers_first(self):
        """Guards against idle workers, and against slow ones that are used.

        The best fit would be the worker that was evacuated.
        """
        self.evacuate("a")
        self.leader.advance(2.0)
        self.evacuate()
        workers = self.scheduler.workers
        self.assertTrue(workers["a1"].accepts_work(self.leader.now_s))
        self.leader.submit("j1")
        self.assertEqual(["b1"], self.place())
        self.leader.submit("j2", job_spec(step(25)))
        self.assertEqual({"a1", "a2", "b1", "b2"}, set(self.place()))
        self.leader.advance(COLD_S)
        self.assertLessEqual(workers["a1"].cold_until_s, self.leader.now_s)


class TestServingTasks(EvacuationCase):
    """Guards against interruptions of serving tasks beyond their budget."""

    def stopping(self, runs):
        """Return the runs that are being stopped."""
        return [run for run in runs if run.phase is RunPhase.STOPPING]

    def advance(self, seconds):
        """Advance the clock and report all runs at work."""
        self.leader.now_s += seconds
        for name in list(self.scheduler.workers):
            self.leader.report_runs(name, percent=100)

    def test_one_at_a_time_within_the_budget(self):
        """Guards against more unavailable tasks than the budget allows."""
        runs = self.serving_runs("a", 3, cpu=2000, max_unavailable=1)
        self.evacuate("a")
        mover, moved = self.mover(), []
        for _ in range(3):
            self.advance(1.1)
            mover.move_from_evacuated(self.leader.now_s)
            self.advance(0.2)
            mover.move_from_evacuated(self.leader.now_s)
            (stopping,) = self.stopping(runs)
            moved.append(stopping)
            runs.remove(stopping)
            self.leader.end(stopping, EndKind.STOPPED)
            (started,) = self.place()
            self.assertEqual("b", started[0])
        self.assertEqual(3, len(moved))
        self.assertEqual([], runs)

    def test_task_that_does_not_serve_is_moved(self):
        """Guards against an evacuation that a stuck task holds up for good.

        It used up the budget by itself.
        """
        runs = self.serving_runs("a", 3, cpu=2000, max_unavailable=1)
        self.evacuate("a")
        self.advance(1.1)
        runs[0].percent = 40
        self.mover().move_from_evacuated(self.leader.now_s)
        self.assertEqual([runs[0]], self.stopping(runs))

    def test_no_move_without_room_elsewhere(self):
        """Guards against serving tasks that end without a successor."""
        runs = self.serving_runs("a", 2, max_unavailable=2)
        self.scheduler.workers["b1"].is_cordoned = True
        self.scheduler.workers["b2"].is_cordoned = True
        self.evacuate("a")
        self.advance(1.1)
        self.mover().move_from_evacuated(self.leader.now_s)
        self.assertEqual([], self.stopping(runs))

    def test_room_is_not_counted_twice(self):
        """Guards against two tasks that are stopped for the same room."""
        runs = self.serving_runs("a", 2, cpu=6000, max_unavailable=2)
        self.scheduler.workers["b2"].is_cordoned = True
        self.evacuate("a")
        mover = self.mover()
        for _ in range(2):
            self.advance(1.1)
            mover.move_from_evacuated(self.leader.now_s)
            self.assertEqual(1, len(self.stopping(runs)))

    def test_request_within_a_second_moves_nothing(self):
        """Guards against interruptions by a request that was withdrawn."""
        runs = self.serving_runs("a", 2)
        self.evacuate("a")
        self.advance(0.9)
        mover = self.mover()
        mover.move_from_evacuated(self.leader.now_s)
        self.evacuate()
        self.advance(1.0)
        mover.move_from_evacuated(self.leader.now_s)
        self.assertEqual([], self.stopping(runs))


class TestAdvice(EvacuationCase):
    """Guards against tickets that are requested for such workers."""

    def test_request_that_waited(self):
        """Guards against a request that was queued before the evacuation."""
        self.evacuate("a")
        cache, calls = AdviceCache(), []
        rounds = iter((True, True, True, False))
        advisor = mock.Mock()
        advisor.advise = lambda job, occurrence, number, workers, wait_s: (
            calls.append(workers) or AdviceAnswer(tickets=())
        )
        for number, workers in enumerate((("a1", "b1"), ("a1", "a2"))):
            key = ("j", 0, number)
            cache._pending_requests[key] = AdviceRequest(
                key=key,
                workers=dict.fromkeys(workers, 1),
                policy=AdvicePolicy(
                    decision_ms=1, per_worker_ms=1, validity_ms=1000
                ),
            )
        cache.has_requests.set()
        AdviceRequester(
            cache,
            advisor,
            mock.Mock(monotonic_s=lambda: self.leader.now_s),
            lambda: next(rounds),
            lambda event: None,
            lambda event, **fields: None,
            Metrics(),
            lambda name: self.scheduler.accepts_work(name, self.leader.now_s),
        ).run()
        self.assertEqual([["b1"]], calls)
