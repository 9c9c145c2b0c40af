"""Tests of workers whose entries change while they have runs or orders."""

from unittest import mock

import attrs

from rosemarynotch._internal.scheduling.order_sender import OrderSender
from tests.lib.scheduling import Leader
from tests.unit.test_roster import RosterTest


class OrderWithoutLinkTest(RosterTest):
    """Guards against a task that waits for ever (rule LOST).

    The address of its worker has changed to one that cannot be connected to
    while the order was queued. The order was dropped without a word.
    """

    def test_first_start(self):
        entry = Leader.entry("w1")
        self.list_workers(entry)
        self.assertTrue(self.writer._write())
        self.leader.report("w1")
        self.leader.submit("j1")
        (command,) = self.leader.planner.place(self.leader.now_s, 1e6)
        self.controller.ports.connect_worker = mock.Mock(
            side_effect=ValueError("odd")
        )
        self.list_workers(attrs.evolve(entry, address="h:2"))
        sender = OrderSender(self.controller)
        self.addCleanup(sender.close)
        sender.send(command)
        while self.events:
            self.events.pop(0)(self.leader.now_s)
        self.assertTrue(command.run.task.is_waiting)
