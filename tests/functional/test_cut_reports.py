"""Tests of workers with more ends than they list at a time.

The store is silent when the tasks of a job end, so no end is acknowledged,
and only the first 500 of each worker are listed.
"""

import signal
import time

from standins.fleet.store import StoreFault
from tests.functional.test_platform_path import PlatformCase
from tests.functional.test_platform_path import START_S
from tests.lib.nodes import wait_until

TASKS = 560
OUTAGE_S = 3.0
# The emulator starts some hundred tasks a second, less beside other tests.
START_ALL_S = 45.0
RECOVERY_S = 30.0


class CutReportCase(PlatformCase):
    """Runs a job whose tasks end on a silent store."""

    POOLS = {"one": 1}

    def setUp(self):
        super().setUp()
        self.ledger = self.emulator.ledger

    def submit(self, count=TASKS, cpu=5):
        """Submit a job to the first pool; return it once all tasks run."""
        started = len(self.ledger.entries)
        job, status = self.nodes.submit(
            0, "work=60", count, **{"cpu": cpu, "estimated-ms": 1000}
        )
        self.assertEqual(200, status)
        self.wait_started(started + count)
        return job

    def wait_started(self, count):
        """Wait until a number of runs have started."""
        wait_until(
            lambda: len(self.ledger.entries) == count,
            START_ALL_S,
            f"{count} runs have started",
        )

    def finish_runs(self):
        """End all runs as done."""
        for worker in self.emulator.workers():
            worker.finish_runs()

    def begin_outage(self):
        """Silence the store, and end all runs."""
        self.emulator.store.fault = StoreFault.SILENT
        self.back_s = time.monotonic() + OUTAGE_S
        self.finish_runs()

    def end_outage(self):
        """Let the store answer again."""
        time.sleep(max(0.0, self.back_s - time.monotonic()))
        self.emulator.store.fault = StoreFault.NONE

    def lose_leader_in_outage(self):
        """Kill the leader in an outage, and start its node after it."""
        leader = self.nodes.leader()
        self.begin_outage()
        self.nodes.signal(leader, signal.SIGKILL)
        self.nodes.wait(leader)
        self.end_outage()
        self.nodes.start(leader)

    def vm(self):
        """Return the VM of the first pool."""
        return next(
            vm for vm in self.emulator.vms.values() if vm.pool == "one"
        )

    def assert_kept(self, *jobs):
        """Check that the jobs are completed and no known end is repeated."""
        self.assert_completed(jobs, RECOVERY_S)
        self.assertEqual([], self.ledger.overlaps())
        self.assertEqual([], self.ledger.repeats())


class TestCutReports(CutReportCase):
    """Guards against a task that runs again as its end is hidden (TWICE)."""

    def test_leader_of_the_outage(self):
        job = self.submit()
        self.begin_outage()
        self.end_outage()
        self.assert_kept(job)
        self.assertEqual(TASKS, len(self.ledger.entries))

    def test_leader_is_lost(self):
        """Guards against a new leader that counts the worker as heard."""
        job = self.submit()
        self.lose_leader_in_outage()
        self.assert_kept(job)
        self.assertEqual(TASKS, len(self.ledger.entries))

    def test_second_job(self):
        """Guards against a job on capacity that is not known to be free."""
        job = self.submit(cpu=11)
        large, status = self.nodes.submit(0, "work=0.5", 2, cpu=4000)
        self.assertEqual(200, status)
        self.begin_outage()
        self.end_outage()
        self.assert_kept(job, large)

    def test_worker_restarts(self):
        """Guards against a new incarnation that is judged by the last one.

        The ends of the earlier incarnation are lost, so its tasks run again.
        """
        job = self.submit()
        self.begin_outage()
        self.emulator.crash(self.vm(), 0.3, keeps_id=True)
        self.end_outage()
        self.wait_started(2 * TASKS)
        self.finish_runs()
        self.assert_kept(job)

    def test_wave(self):
        """Guards against maintenance of a worker with hidden ends."""
        job = self.submit()
        self.begin_outage()
        self.emulator.put_wave(1, [self.vm().name], 1)
        self.end_outage()
        self.assert_kept(job)
        self.assertEqual(TASKS, len(self.ledger.entries))

    def test_cancellation(self):
        """Guards against tasks that start after their job was cancelled."""
        job = self.submit()
        self.begin_outage()
        self.end_outage()
        status, _ = self.nodes.call(0, "DELETE", f"/one/{job}")
        self.assertEqual(200, status)
        wait_until(
            lambda: all(
                entry.acknowledged_at_s for entry in self.ledger.snapshot()
            ),
            START_S,
            "all ends are acknowledged",
        )
        self.assertEqual(TASKS, len(self.ledger.entries))


class TestTwoWorkers(CutReportCase):
    """Guards against a whole report of one worker that counts for two."""

    POOLS = {"one": 2}

    def test_two_workers(self):
        job = self.submit(count=2 * TASKS)
        self.lose_leader_in_outage()
        self.assert_kept(job)
        self.assertEqual(2 * TASKS, len(self.ledger.entries))
