"""Tests that a new leader repeats no run of a worker that it has not heard.

All tasks of a job run on one worker. The worker stops answering for less than
its lease, and the leader is killed. The tasks end while the worker is silent,
so only its next report tells of these ends.
"""

import signal
import time

from standins.fleet.worker import WorkerFault
from tests.functional.test_platform_path import PlatformCase
from tests.functional.test_platform_path import START_S
from tests.lib.nodes import configuration
from tests.lib.nodes import wait_until

TASKS = 6
WORK_S = 2.5
SILENT_AFTER_S = 0.5
# Below the lease of 5 s, so the runs go on.
SILENCE_S = 3.0
# The worker exits well after its silence.
DRAIN_S = 8.0
ABSENCE_S = 2.0


class TestTakeover(PlatformCase):
    """Guards against a task that runs twice after a change of the leader.

    The missing answers of a worker that lives on are not the end of its runs
    (rule TWICE).
    """

    POOLS = {"one": 1, "two": 1}

    def setUp(self):
        super().setUp()
        self.ledger = self.emulator.ledger
        self.vm = next(
            vm for vm in self.emulator.vms.values() if vm.pool == "one"
        )
        self.worker = self.vm.worker

    def play(self, disrupt=lambda: None):
        """Run a job, disrupt its worker as it falls silent, and lose the
        leader.

        :param disrupt: called at the beginning of the silence
        """
        job, status = self.nodes.submit(
            0, f"work={WORK_S}", TASKS, **{"estimated-ms": 2500}
        )
        self.assertEqual(200, status)
        wait_until(
            lambda: len(self.ledger.entries) == TASKS,
            START_S,
            "all tasks have started",
        )
        started_s = time.monotonic()
        self.assertEqual(TASKS, self.worker.running_count)
        # Another worker that could run the tasks.
        self.emulator.add_vm("one")
        time.sleep(started_s + SILENT_AFTER_S - time.monotonic())
        self.worker.fault = WorkerFault.SILENT
        disrupt()
        leader = self.nodes.leader()
        self.nodes.signal(leader, signal.SIGKILL)
        self.nodes.wait(leader)
        end_s = started_s + SILENT_AFTER_S + SILENCE_S
        time.sleep(end_s - time.monotonic())
        self.worker.fault = WorkerFault.NONE
        self.assert_completed([job], node=1 - leader)
        self.assertEqual([], self.ledger.overlaps())
        self.assertEqual([], self.ledger.repeats())

    def test_silent_worker(self):
        self.play()

    def test_draining_worker_is_listed(self):
        self.play(lambda: self.emulator.drain(self.vm, DRAIN_S))

    def test_draining_worker_outlives_row_of_its_vm(self):
        self.play(
            lambda: self.emulator.drain(self.vm, DRAIN_S, keeps_row=False)
        )

    def test_queue_is_routed_to_another_pool(self):
        document = configuration(2)
        document["routes"][0]["backend"] = "two"
        self.play(lambda: self.emulator.put_configuration(document))

    def test_entry_lapses_and_is_back(self):
        self.play(lambda: self.emulator.lapse_entry(self.vm, ABSENCE_S))
