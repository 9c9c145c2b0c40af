"""Tests that a new leader keeps the cap of an organisation.

It counts the runs that it has heard of. A worker with runs of the
organisation does not answer when the leader changes.
"""

import signal
import time

from standins.fleet.worker import WorkerFault
from tests.functional.test_platform_path import PlatformCase
from tests.functional.test_platform_path import START_S
from tests.lib.nodes import configuration
from tests.lib.nodes import wait_until

TASKS = 6
TASK_MILLICORES = 500
# Counted from the acceptance of the second job. With the change of the leader,
# the worker is silent for less than its lease of 5 s.
SILENCE_S = 1.5
# The bound of rule QUOTA is the cap, a tenth of it and one task.
MAX_RUNNING = 7


class TestCap(PlatformCase):
    """Guards against twice the tasks that an organisation may have."""

    POOLS = {"one": 1, "two": 1}

    def test_job_accepted_while_a_worker_is_silent(self):
        document = configuration(2)
        for row in document["tenants"]:
            row["cap"] = {"cpu": TASKS * TASK_MILLICORES}
        self.emulator.put_configuration(document)
        ledger = self.emulator.ledger
        vm = next(v for v in self.emulator.vms.values() if v.pool == "one")
        wait_until(
            lambda: all(
                any(
                    line.get("version") == 2
                    for line in self.nodes.log_lines(node)
                )
                for node in range(self.NODES)
            ),
            START_S,
            "the cap is known",
        )
        worker = vm.worker
        first, _ = self.nodes.submit(0, "work=4", TASKS)
        wait_until(
            lambda: len(ledger.entries) == TASKS, START_S, "tasks start"
        )
        self.emulator.add_vm("one")
        worker.fault = WorkerFault.SILENT
        leader = self.nodes.leader()
        self.nodes.signal(leader, signal.SIGKILL)
        self.nodes.wait(leader)
        # A job that was accepted before the term would wait for the worker.
        wait_until(
            lambda: self.nodes.leader() == 1 - leader, START_S, "a leader"
        )
        second, _ = self.nodes.submit(1 - leader, "work=1", TASKS)
        time.sleep(SILENCE_S)
        worker.fault = WorkerFault.NONE
        self.assert_completed([first, second], node=1 - leader)
        self.assertLessEqual(most_running(ledger.snapshot()), MAX_RUNNING)


def most_running(entries) -> int:
    """Return the largest number of runs at the same time."""
    return max(
        sum(
            other.started_at_s <= entry.started_at_s < other.ended_at_s
            for other in entries
        )
        for entry in entries
    )
