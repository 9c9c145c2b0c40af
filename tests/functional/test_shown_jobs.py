"""Tests that a job never runs again once it was shown as completed.

The store is silent when its tasks end. Each party that knows of the end is
lost before the store is back: the worker, the leader, or both.
"""

import signal
import time

from standins.fleet.store import StoreFault
from tests.functional.test_platform_path import PlatformCase
from tests.functional.test_platform_path import START_S
from tests.lib.nodes import wait_until

OUTAGE_S = 3.0
# A task of a lost worker starts elsewhere once its lease of 5 s is over.
RESTART_S = 9.0
# The platform allows a start that was ordered just before.
SHOWN_SLACK_S = 1.0


class TestShownJobs(PlatformCase):
    """Guards against a shown job that runs again (rule TWICE)."""

    def play(self, loses_worker: bool, loses_leader: bool) -> None:
        """Lose parties in an outage in which a job ends.

        A job that is not shown as completed may run again.
        """
        job, status = self.nodes.submit(0, "work=1.0", count=2)
        self.assertEqual(200, status)
        leader = self.nodes.leader()
        ledger = self.emulator.ledger
        wait_until(lambda: ledger.entries, START_S, "a run has started")
        self.emulator.store.fault = StoreFault.SILENT
        back_s = time.monotonic() + OUTAGE_S
        wait_until(
            lambda: job + ".0.0.0" in ledger.done_tasks(), START_S, "an end"
        )
        shown_s = self.poll(job, 1.0)
        if loses_worker:
            lost = {entry.worker for entry in ledger.snapshot()}
            for vm in self.emulator.vms.values():
                if vm.worker is not None and vm.worker.worker_id in lost:
                    vm.worker.kill()
        if loses_leader:
            self.nodes.signal(leader, signal.SIGKILL)
            self.nodes.wait(leader)
        time.sleep(max(0.0, back_s - time.monotonic()))
        self.emulator.store.fault = StoreFault.NONE
        if loses_leader:
            self.nodes.start(leader)
        shown_s = self.poll(job, RESTART_S) if shown_s is None else shown_s
        if shown_s is not None:
            time.sleep(RESTART_S)
            late = [
                entry
                for entry in ledger.snapshot()
                if entry.started_at_s > shown_s + SHOWN_SLACK_S
            ]
            self.assertEqual([], late)
        self.assert_completed([job])

    def poll(self, job: str, timeout_s: float) -> float | None:
        """Return when a node showed the job as completed, None if not."""
        until_s = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < until_s:
            number += 1
            if self.nodes.state(number % self.NODES, job) == "completed":
                return time.monotonic()
            time.sleep(0.02)
        return None

    def test_worker_is_lost(self):
        self.play(loses_worker=True, loses_leader=False)

    def test_leader_is_lost(self):
        self.play(loses_worker=False, loses_leader=True)

    def test_worker_and_leader_are_lost(self):
        self.play(loses_worker=True, loses_leader=True)
