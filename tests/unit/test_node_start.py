"""Tests of the start of a node process."""

import signal
from unittest import mock

import testtools

from rosemarynotch._internal.cli.node import main


class StartTest(testtools.TestCase):
    """Guards against a node that a signal ends while it starts.

    SIGHUP tells of changed settings. In the first 0.3 s, before the node
    handled it, it ended the process.
    """

    def test_settings_signal_before_the_node_handles_it(self):
        former = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, former)
        handlers = []

        def run_node():
            handlers.append(signal.getsignal(signal.SIGHUP))
            return 0

        with mock.patch(
            "rosemarynotch._internal.wiring.node.run_node", run_node
        ):
            self.assertEqual(0, main())
        self.assertEqual([signal.SIG_IGN], handlers)
