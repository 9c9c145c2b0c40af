"""Tests of orders whose run was dropped and adopted again meanwhile."""

import threading
import types
from unittest import mock

import testtools

from rosemarynotch._internal.exceptions import WORKER_UNREACHABLE
from rosemarynotch._internal.scheduling.order_sender import OrderSender
from rosemarynotch._internal.scheduling.planner import StopCommand
from rosemarynotch._internal.scheduling.policy import PaceChange
from tests.lib.scheduling import Leader


class DroppedRunTest(testtools.TestCase):
    """Guards against orders that are applied to another record of their run.

    A run that is dropped, and listed by a report again, gets a new record.
    """

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.leader.add_workers("w1")
        self.scheduler = self.leader.scheduler
        self.job = self.leader.submit("j1")
        (command,) = self.leader.planner.place(1000.0, 1e6)
        self.run = command.run
        self.run.is_sent = True
        self.worker = command.worker
        self.report(is_listed=True)
        self.report(is_listed=False)
        self.assertEqual({}, self.worker.runs)
        self.report(is_listed=True)
        (self.adopted,) = self.worker.runs.values()
        self.assertIsNot(self.run, self.adopted)

    def report(self, is_listed):
        self.leader.now_s += 0.1
        status = (self.run.task.task_id, self.run.number, 50)
        self.leader.report("w1", [status] if is_listed else [])

    def test_answer_to_a_start(self):
        """Guards against a refusal that ends the term.

        The record was not among those of its task.
        """
        for answer in (WORKER_UNREACHABLE, 1000_000):
            self.scheduler.on_start_answer(self.run, answer, self.leader.now_s)
            self.assertEqual([self.adopted], self.run.task.runs)
            self.assertEqual([self.adopted], list(self.worker.runs.values()))

    def test_record_that_was_dropped_before(self):
        """Guards against capacity that is freed twice."""
        reserved = self.worker.reserved
        self.worker.drop_run(self.run)
        self.assertEqual(reserved, self.worker.reserved)
        self.assertEqual([self.adopted], self.run.task.runs)

    def test_commands_that_waited(self):
        """Guards against a stop or a pace that nobody has chosen."""
        channel = mock.Mock()
        controller = types.SimpleNamespace(
            lock=threading.RLock(),
            scheduler=self.scheduler,
            clock=types.SimpleNamespace(monotonic_s=lambda: 1001.0),
            link=lambda worker_id: types.SimpleNamespace(channel=channel),
            is_running=True,
            metrics=mock.Mock(),
            post=lambda event: event(self.leader.now_s),
            check_fence=mock.Mock(),
            grant=types.SimpleNamespace(fence=1),
            log=mock.Mock(),
        )
        sender = OrderSender(controller)
        self.addCleanup(sender.close)
        sender.send(StopCommand(self.run, self.worker))
        sender.send(PaceChange(self.run, self.worker, 30))
        self.assertEqual([], channel.mock_calls)
        sender.send(PaceChange(self.adopted, self.worker, 30))
        sender.send(StopCommand(self.adopted, self.worker))
        self.assertEqual(
            ["pace", "stop"], [name for name, _, _ in channel.mock_calls]
        )
