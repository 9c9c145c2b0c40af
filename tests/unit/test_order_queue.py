"""Unit tests of the queue of orders and of orders that become needless."""

import threading
from unittest import mock

import attrs
import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.order_queue import MAX_IN_FLIGHT
from rosemarynotch._internal.scheduling.order_queue import MAX_SILENT_EACH
from rosemarynotch._internal.scheduling.order_queue import MAX_SILENT_TOTAL
from rosemarynotch._internal.scheduling.order_queue import OrderKind
from rosemarynotch._internal.scheduling.order_queue import OrderQueue
from rosemarynotch._internal.scheduling.order_sender import ORDER_THREADS
from rosemarynotch._internal.scheduling.order_sender import OrderSender
from rosemarynotch._internal.scheduling.planner import StopCommand
from rosemarynotch._internal.scheduling.records import Phase
from tests.lib.scheduling import job_spec
from tests.lib.scheduling import Leader
from tests.lib.scheduling import step

LOST = failures.WORKER_UNREACHABLE.with_ran_unknown()
# Bound of waits that a correct run never reaches.
WAIT_S = 30.0


class Channel:
    """Channel to a worker that records orders and may not answer them.

    :ivar answers: set while the worker answers
    """

    def __init__(self):
        self.started = []
        self.stopped = []
        self.answers = threading.Event()
        self.answers.set()

    def start(self, fence, order):
        self.started.append((order.task, order.run))
        return 0 if self.answers.wait(WAIT_S) else LOST

    def stop(self, fence, task, run, repeats):
        self.stopped.append((task, run))
        return None


class SenderCase(testtools.TestCase):
    """Wires a sender to a leader and to channels without I/O."""

    def setUp(self):
        super().setUp()
        self.start_leader()

    def start_leader(self):
        """Start with a new leader and two idle workers."""
        self.leader = Leader()
        self.leader.add_workers("w1", "w2")
        self.channels = {name: Channel() for name in ("w1", "w2")}
        self.posted = []
        self.controller = mock.MagicMock(is_running=True)
        self.controller.scheduler = self.leader.scheduler
        self.controller.lock = threading.RLock()
        self.controller.clock.monotonic_s = lambda: self.leader.now_s
        self.controller.extend_lease.return_value = 1
        self.controller.post = self.posted.append
        self.controller.link = lambda name: mock.MagicMock(
            channel=self.channels[name]
        )
        self.sender = OrderSender(self.controller)
        self.addCleanup(self.sender.close)

    def apply_posted(self):
        """Apply the answers as the scheduling thread does."""
        while self.posted:
            self.posted.pop(0)(self.leader.now_s)

    def started(self):
        """Return all runs that a worker was told to start."""
        return [
            run
            for channel in self.channels.values()
            for run in channel.started
        ]


class TestNeedlessOrders(SenderCase):
    """Guards against starts that have become needless in the queue.

    A repeated start waited for a thread for a second, until after an earlier
    run of its task had ended as done. The task ran again (rule TWICE).
    """

    def place_one(self):
        self.leader.submit("j1")
        return self.leader.planner.place(self.leader.now_s, 1e6)[0]

    def repeated(self):
        """Return the repetition of a start that had no answer."""
        command = self.place_one()
        self.sender.send(command)
        self.posted.clear()
        run = command.run
        self.leader.scheduler.on_start_answer(run, LOST, self.leader.now_s)
        (again,) = self.leader.planner.reconcile_runs(self.leader.now_s + 0.4)
        self.channels[run.worker_id].started.clear()
        return again

    def change_end_of_earlier_run(self, command):
        command.run.task.step.occurrence.job.mark_done(command.run.task)

    def change_cancelled(self, command):
        self.leader.scheduler.cancel("j1")

    def change_hopeless(self, command):
        job = self.leader.scheduler.jobs["j1"]
        self.leader.scheduler.finish(job, Phase.FAILED)

    def change_marked_to_stop(self, command):
        command.run.phase = RunPhase.STOPPING

    def change_draining(self, command):
        worker = command.worker
        worker.entry = attrs.evolve(worker.entry, is_draining=True)

    def change_moved_elsewhere(self, command):
        other = next(
            worker
            for worker in self.leader.scheduler.workers.values()
            if worker is not command.worker
        )
        self.leader.scheduler.new_run(
            command.run.task, other, self.leader.now_s
        )

    CHANGES = (
        "end_of_earlier_run",
        "cancelled",
        "hopeless",
        "marked_to_stop",
        "draining",
        "moved_elsewhere",
    )

    def check(self, make_command):
        for name in self.CHANGES:
            with self.subTest(name):
                self.start_leader()
                command = make_command(self)
                getattr(self, f"change_{name}")(command)
                self.assertFalse(self.sender.send(command))
                self.assertEqual([], self.started())
                self.apply_posted()

    def test_first_starts_are_withheld(self):
        """Guards against first orders of runs that are no longer wanted."""
        self.check(TestNeedlessOrders.place_one)

    def test_repeated_starts_are_withheld(self):
        """Guards against repetitions of runs that are no longer wanted."""
        self.check(TestNeedlessOrders.repeated)

    def test_task_of_a_withheld_start_is_free(self):
        """Guards against a task that waits for a run that cannot exist."""
        command = self.place_one()
        self.change_draining(command)
        self.sender.send(command)
        self.apply_posted()
        self.assertTrue(command.run.task.is_waiting)
        again = self.leader.planner.place(self.leader.now_s, 1e6)
        self.assertNotEqual(command.worker, again[0].worker)

    def test_withheld_repetition_is_stopped(self):
        """Guards against a doubted run on a worker that drains.

        The first order may still be carried out, so the run is stopped.
        """
        again = self.repeated()
        self.change_draining(again)
        self.sender.send(again)
        self.apply_posted()
        self.assertIs(RunPhase.STOPPING, again.run.phase)
        (stop,) = self.leader.planner.reconcile_runs(self.leader.now_s + 1)
        self.assertIsInstance(stop, StopCommand)
        self.sender.send(stop)
        self.assertEqual(1, len(self.channels[again.worker.worker_id].stopped))

    def test_run_that_was_never_sent_needs_no_stop(self):
        """Guards against stops for orders that never left the queue."""
        command = self.place_one()
        self.leader.scheduler.cancel("j1")
        (stop,) = self.leader.planner.reconcile_runs(self.leader.now_s + 1)
        self.sender.send(stop)
        self.apply_posted()
        self.assertEqual([], self.channels[stop.worker.worker_id].stopped)
        self.assertEqual({}, command.worker.runs)


class TestSilentWorker(SenderCase):
    """Guards against orders that wait behind those for a silent worker.

    48 threads with a time-out of 0.25 s carried 190 unanswered orders a
    second, and 300 waited, among them all orders for healthy workers.
    """

    def test_healthy_worker_is_served(self):
        """Guards against a silent worker that occupies all threads."""
        self.channels["w1"].answers.clear()
        self.addCleanup(self.channels["w1"].answers.set)
        spec = job_spec(step(ORDER_THREADS + 20, cpu=10))
        self.leader.submit("j1", spec)
        silent = self.leader.planner.place(self.leader.now_s, 1e6)
        first = silent[0].worker.worker_id
        self.assertEqual({first}, {each.worker.worker_id for each in silent})
        self.channels[first].answers.clear()
        self.addCleanup(self.channels[first].answers.set)
        other = "w2" if first == "w1" else "w1"
        self.channels[other].answers.set()
        for command in silent:
            self.sender.submit(command)
        self.leader.scheduler.workers[first].is_cordoned = True
        self.leader.submit("j2", job_spec(step(8)))
        healthy = self.leader.planner.place(self.leader.now_s, 1e6)
        for command in healthy:
            self.sender.submit(command)
        done = threading.Event()

        def poll():
            while len(self.channels[other].started) < len(healthy):
                if done.wait(0.01):
                    return
            done.set()

        thread = threading.Thread(target=poll, daemon=True)
        thread.start()
        thread.join(WAIT_S)
        self.assertEqual(
            len(healthy), len(self.channels[other].started), "not sent"
        )
        self.assertLessEqual(len(self.channels[first].started), MAX_IN_FLIGHT)


class TestOrderQueue(testtools.TestCase):
    """Guards against a wrong order, and against lost or unlimited orders."""

    def take_all(self, queue):
        """Return the orders that may be sent now."""
        taken = []
        while (queued := queue.take()) is not None:
            taken.append(queued.order)
        return taken

    def test_stops_first_and_repetitions_after_first_orders(self):
        """Guards against stops that wait although they free capacity."""
        queue = OrderQueue()
        for kind in (OrderKind.REPEAT, OrderKind.START, OrderKind.STOP):
            queue.put("w", kind, kind.name, 0.0)
        self.assertEqual(["STOP", "START", "REPEAT"], self.take_all(queue))

    def test_limits(self):
        """Guards against unlimited orders to one worker or silent ones."""
        queue = OrderQueue()
        for number in range(20):
            queue.put("w", OrderKind.START, number, 0.0)
        self.assertEqual(list(range(MAX_IN_FLIGHT)), self.take_all(queue))
        for _ in range(MAX_IN_FLIGHT):
            queue.release("w", True)
        self.assertEqual(MAX_SILENT_EACH, len(self.take_all(queue)))
        for _ in range(MAX_SILENT_EACH):
            queue.release("w", False)
        self.assertEqual(MAX_IN_FLIGHT, len(self.take_all(queue)))

    def test_silent_workers_share_a_limit(self):
        """Guards against many silent workers that occupy all threads."""
        queue = OrderQueue()
        names = [f"w{number}" for number in range(MAX_SILENT_TOTAL + 4)]
        for name in names:
            queue.put(name, OrderKind.START, name, 0.0)
            queue.put(name, OrderKind.START, name, 0.0)
        taken = self.take_all(queue)
        for name in taken:
            queue.release(name, True)
        first = self.take_all(queue)
        for name in names:
            queue.put(name, OrderKind.START, name, 0.0)
        self.assertEqual(0, len(first))
        self.assertEqual(MAX_SILENT_TOTAL, len(self.take_all(queue)))

    def test_every_order_is_taken_once(self):
        """Guards against orders that are lost while workers change sides."""
        queue = OrderQueue()
        expected = []
        for number in range(400):
            name = f"w{number % 7}"
            queue.put(name, OrderKind(number % 4), (name, number), 0.0)
            expected.append((name, number))
        taken, under_way = [], []
        while len(taken) < len(expected):
            queued = queue.take()
            if queued is None:
                name, number = under_way.pop(0)
                queue.release(name, number % 3 == 0)
                continue
            taken.append(queued.order)
            under_way.append(queued.order)
        self.assertEqual(sorted(expected), sorted(taken))
        self.assertEqual(0, queue.waiting_count)
