"""Tests of hints about new jobs and of stale reads of job states."""

import threading
from unittest import mock

import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.access import CallerAccess
from rosemarynotch._internal.scheduling import hints
from rosemarynotch._internal.scheduling.hints import HintReceiver
from rosemarynotch._internal.scheduling.hints import HintSender
from rosemarynotch._internal.scheduling.intake import JobIntake
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.utils.clock import SystemClock

HOST = "127.0.0.1"
JOB_ID = "0123456789abcdef"


def no_log(event, **fields):
    """Write no log."""


class HintsTest(testtools.TestCase):
    """Guards against lost hints and harm by malformed ones."""

    def setUp(self):
        super().setUp()
        self.received = []
        self.arrived = threading.Event()
        self.receiver = HintReceiver(HOST, 0, self.on_keys, no_log)
        stop = threading.Event()
        self.addCleanup(stop.set)
        threading.Thread(
            target=self.receiver.run, args=(stop,), daemon=True
        ).start()

    def on_keys(self, keys):
        self.received += keys
        if keys:
            self.arrived.set()

    def sender(self, address, deliver_locally=lambda keys: None):
        return HintSender(lambda: address, deliver_locally, no_log)

    def test_hint_reaches_the_leader(self):
        """Guards against jobs that the leader learns of too late.

        It learns of them from a hint if the event of its watch is delayed.
        """
        key = JOBS_PREFIX + JOB_ID
        self.sender((HOST, self.receiver.port)).send([key])
        self.assertTrue(self.arrived.wait(5))
        self.assertEqual([key], self.received)

    def test_malformed_hints_are_ignored(self):
        """Guards against reads of arbitrary keys.

        Any data may arrive at an open port.
        """
        sender = self.sender((HOST, self.receiver.port))
        for data in (b"", b"\xff\xff", encode({"keys": 1})):
            sender._socket.sendto(data, (HOST, self.receiver.port))
        sender.send(["control/leader", JOBS_PREFIX + "../x"])
        sender.send([JOBS_PREFIX + JOB_ID])
        self.assertTrue(self.arrived.wait(5))
        self.assertEqual([JOBS_PREFIX + JOB_ID], self.received)

    def test_flood_is_slowed_down(self):
        """Guards against datagrams that take all processor time."""

        class Stop:
            pauses_s = []

            def is_set(self):
                return bool(self.pauses_s)

            def wait(self, pause_s):
                self.pauses_s.append(pause_s)

        received, limits = [], []
        receiver = HintReceiver(
            HOST, 0, received.append, no_log, on_limit=limits.append
        )
        sender = self.sender((HOST, receiver.port))

        def flood():
            while not limits:
                sender.send([JOBS_PREFIX + JOB_ID])

        # The window is longer than the test on any machine.
        with mock.patch.object(hints, "WINDOW_S", 600):
            thread = threading.Thread(target=flood)
            thread.start()
            receiver.run(Stop())
            thread.join()
        self.assertEqual(hints.MAX_DATAGRAMS_PER_WINDOW, len(received))
        self.assertEqual(["hints"], limits)
        self.assertLess(0, Stop.pauses_s[0])

    def test_own_hints_need_no_network(self):
        """Guards against a leader without hints about its own node's jobs."""
        local = []
        self.sender(None, local.extend).send([JOBS_PREFIX + JOB_ID])
        self.assertEqual([JOBS_PREFIX + JOB_ID], local)


class StaleStore:
    """A store with different answers to stale and current reads.

    :ivar reads: for each read, whether it allowed a stale answer
    """

    def __init__(self, old, new):
        self._states = {True: old, False: new}
        self.reads = []

    def get(self, key, allow_stale=False):
        self.reads.append(allow_stale)
        phase = self._states[allow_stale]
        if phase is None or not key.startswith(PROGRESS_PREFIX):
            return STORE_KEY_MISSING
        record = ProgressRecord(phase=phase, queue="q", organisation="o")
        return Item(key=key, revision=1, value=encode(record))


class StateReadsTest(testtools.TestCase):
    """Guards against stale states of jobs.

    A stale state is used only if it cannot have changed.
    """

    def phase(self, old, new):
        store = StaleStore(old, new)
        intake = JobIntake(store, SystemClock(), "config", no_log)
        return intake.phase(JOB_ID, CallerAccess("o", "q")), store.reads

    def test_final_state_is_read_once(self):
        """Guards against a second read of a state that cannot change."""
        phase, reads = self.phase(Phase.COMPLETED, Phase.COMPLETED)
        self.assertEqual(Phase.COMPLETED, phase)
        self.assertEqual([True], reads)

    def test_open_state_is_read_again(self):
        """Guards against a stale 'running' for a job that is completed."""
        phase, _ = self.phase(Phase.RUNNING, Phase.COMPLETED)
        self.assertEqual(Phase.COMPLETED, phase)

    def test_unknown_job_is_confirmed(self):
        """Guards against an unknown state of a job that has started.

        A stale read may miss its record.
        """
        phase, reads = self.phase(None, Phase.RUNNING)
        self.assertEqual(Phase.RUNNING, phase)
        self.assertEqual([True, False], reads)
