"""Tests that a new leader repeats no run of a worker that it has not heard.

All tasks of a job run on one worker. The worker stops answering for less than
its lease, and the leader is killed. The tasks end while the worker is silent,
so only its next report tells of these ends.
"""

import signal
import time
import uuid

from standins.fleet.worker import WorkerFault
from tests.functional.test_platform_path import PlatformCase
from tests.functional.test_platform_path import RECOVERY_S
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
RESTART_S = 0.2


class TakeoverCase(PlatformCase):
    """Runs a job on the only worker, and loses the leader."""

    POOLS = {"one": 1, "two": 1}

    def setUp(self):
        super().setUp()
        self.ledger = self.emulator.ledger
        self.vm = next(
            vm for vm in self.emulator.vms.values() if vm.pool == "one"
        )

    def start_job(self, pool="one"):
        """Start a job in a pool; return its path."""
        path = f"/{pool}/{uuid.uuid4().hex[:16]}"
        step = {"count": TASKS, "cpu": 500, "estimated-ms": 2500}
        body = {"spec": f"work={WORK_S}", "steps": [step]}
        self.assertEqual(200, self.nodes.call(0, "POST", path, body)[0])
        wait_until(
            lambda: len(self.ledger.entries) == TASKS,
            START_S,
            "all tasks have started",
        )
        self.assertEqual(TASKS, self.vm.worker.running_count)
        return path

    def lose_leader(self, job, disrupt):
        """Kill the leader as the worker falls silent.

        :param disrupt: called once the leader is gone
        """
        time.sleep(SILENT_AFTER_S)
        worker, leader = self.vm.worker, self.nodes.leader()
        worker.fault = WorkerFault.SILENT
        back_s = time.monotonic() + SILENCE_S
        self.nodes.signal(leader, signal.SIGKILL)
        self.nodes.wait(leader)
        disrupt()
        time.sleep(back_s - time.monotonic())
        worker.fault = WorkerFault.NONE
        wait_until(
            lambda: self.nodes.call(1 - leader, "GET", job)[1]
            == {"state": "completed"},
            RECOVERY_S,
            "the job is completed",
        )
        self.assertEqual([], self.ledger.overlaps())
        self.assertEqual([], self.ledger.repeats())


class TestTakeover(TakeoverCase):
    """Guards against a task that runs twice after a change of the leader.

    The missing answers of a worker that lives on are not the end of its runs
    (rule TWICE).
    """

    def play(self, disrupt=lambda: None):
        """Play a change of the leader beside an idle worker."""
        job = self.start_job()
        self.emulator.add_vm("one")
        self.lose_leader(job, disrupt)

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


class TestTakeoverAfterRestart(TakeoverCase):
    """Guards against a roster that names the pool of an earlier incarnation.

    A worker may start again under its identifier as one of another kind.
    """

    POOLS = {"one": 1}

    def test_worker_restarted_in_another_pool(self):
        former = self.vm.worker
        wait_until(self.is_enrolled, START_S, "the roster has the worker")
        self.emulator.crash(self.vm, RESTART_S, keeps_id=True)
        self.vm.pool = "two"
        wait_until(lambda: self.vm.worker, START_S, "the worker is back")
        self.assertEqual(former.worker_id, self.vm.worker.worker_id)
        job = self.start_job("two")

        def disrupt():
            self.emulator.lapse_entry(self.vm, ABSENCE_S)
            self.emulator.add_vm("two")

        self.lose_leader(job, disrupt)

    def is_enrolled(self):
        """Return whether the roster has the worker in its first pool."""
        roster = self.emulator.store.value("control/roster") or b""
        return self.vm.worker.worker_id.encode() in roster
