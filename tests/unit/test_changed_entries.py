"""Tests of workers whose entries change while they have runs or orders."""

from unittest import mock

import attrs

from rosemarynotch._internal.scheduling.order_sender import OrderSender
from tests.lib.scheduling import Leader
from tests.unit.test_roster import RosterCase


class OrderWithoutLinkTest(RosterCase):
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


class ChangedPoolTest(RosterCase):
    """Guards against a roster that names only the newest pool of a worker.

    The entry of the worker has changed while it had a run, as when another
    writer replaces it. The next leader did not look for runs of the job in
    the pool that the roster names (rule TWICE).
    """

    def test_run_from_before_the_change(self):
        entry = Leader.entry("w1")
        self.list_workers(entry)
        self.assertTrue(self.writer._write())
        self.leader.report("w1")
        self.leader.submit("j1")
        self.assertEqual(1, len(self.leader.place()))
        self.list_workers(attrs.evolve(entry, pool="p2"))
        self.assertTrue(self.writer._write())
        self.lead(term=2)
        self.leader.submit("j1")
        self.list_workers(Leader.entry("w2"))
        self.assertTrue(self.writer._write())
        self.leader.report("w2")
        self.assertEqual([], self.leader.place())
