"""Hints of new jobs, and reads of states that may be old."""

import threading

import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import encode
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
    """Datagrams between nodes."""

    def setUp(self):
        super().setUp()
        self.taken = []
        self.arrived = threading.Event()
        self.receiver = HintReceiver(HOST, 0, self.take, no_log)
        stop = threading.Event()
        self.addCleanup(stop.set)
        threading.Thread(
            target=self.receiver.run, args=(stop,), daemon=True
        ).start()

    def take(self, keys):
        self.taken += keys
        if keys:
            self.arrived.set()

    def sender(self, address, deliver=lambda keys: None):
        return HintSender(lambda: address, deliver, no_log)

    def test_hint_reaches_the_leader(self):
        """A job whose watch event is held back is known from a hint."""
        key = JOBS_PREFIX + JOB_ID
        self.sender((HOST, self.receiver.port)).send([key])
        self.assertTrue(self.arrived.wait(5))
        self.assertEqual([key], self.taken)

    def test_other_keys_and_bytes_are_ignored(self):
        """Anything may arrive at an open port; it names no key to read."""
        sender = self.sender((HOST, self.receiver.port))
        for data in (b"", b"\xff\xff", encode({"keys": 1})):
            sender._socket.sendto(data, (HOST, self.receiver.port))
        sender.send(["control/leader", JOBS_PREFIX + "../x"])
        sender.send([JOBS_PREFIX + JOB_ID])
        self.assertTrue(self.arrived.wait(5))
        self.assertEqual([JOBS_PREFIX + JOB_ID], self.taken)

    def test_own_hints_need_no_network(self):
        """The node that leads hears of its own jobs, too."""
        own = []
        self.sender(None, own.extend).send([JOBS_PREFIX + JOB_ID])
        self.assertEqual([JOBS_PREFIX + JOB_ID], own)


class StaleStore:
    """Answers reads that may be old with an old state."""

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
    """States are read from old data only where that is still true."""

    def phase(self, old, new):
        store = StaleStore(old, new)
        intake = JobIntake(store, SystemClock(), "config", no_log)
        return intake.phase(JOB_ID, "o"), store.reads

    def test_final_state_is_read_once(self):
        """An ended job stays as it is; the cheap read will do."""
        phase, reads = self.phase(Phase.COMPLETED, Phase.COMPLETED)
        self.assertEqual(Phase.COMPLETED, phase)
        self.assertEqual([True], reads)

    def test_open_state_is_read_again(self):
        """An old 'running' would hide from a caller that its job is done."""
        phase, _ = self.phase(Phase.RUNNING, Phase.COMPLETED)
        self.assertEqual(Phase.COMPLETED, phase)

    def test_unknown_job_is_confirmed(self):
        """A job that an old state does not have may exist."""
        phase, reads = self.phase(None, Phase.RUNNING)
        self.assertEqual(Phase.RUNNING, phase)
        self.assertEqual([True, False], reads)
