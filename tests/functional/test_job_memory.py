"""Tests of the memory of a leader beside few jobs with many tasks.

Each job is within the limits of the interface. Without a bound, a leader took
3 to 7 MB for each, exceeded the memory of its machine, and so did each next
leader, which read the same jobs. Memory is checked against the settings.
"""

import signal
import time

from tests.lib.limited_nodes import LimitedNodeCase
from tests.lib.limited_nodes import START_S
from tests.lib.nodes import KEYS
from tests.lib.nodes import wait_until
from tests.lib.process_memory import MemorySampler

JOBS = 30
MAX_TASKS = 5000
MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
END_S = 20.0
STEP = {"count": 1, "cpu": 500, "mem-mb": 64, "estimated-ms": 100}


def schedule(first_ms: float, interval_ms: int) -> dict:
    """Return a job with the most occurrences."""
    return {
        "spec": "work=0.1",
        "steps": [STEP],
        "repeat-count": MAX_TASKS,
        "first-run-ms": round(first_ms),
        "interval-ms": interval_ms,
    }


class JobMemoryTest(LimitedNodeCase):
    """Guards against a leader that ends, and whose successors end as well."""

    def submit_all(self, body: dict) -> None:
        """Submit the jobs of an organisation, all of which are accepted."""
        for number in range(JOBS):
            path = f"/one/{number:016x}"
            status, answer = self.nodes.call(0, "POST", path, body)
            self.assertEqual((200, {}), (status, answer))

    def assert_serves_others(self) -> None:
        """Check that a job of another organisation ends, and the memory."""
        path = f"/one/{0xABC:016x}"
        body = {"spec": "work=0.1", "steps": [STEP]}
        key = KEYS["team-b"]
        status, answer = self.nodes.call(0, "POST", path, body, key)
        self.assertEqual((200, {}), (status, answer))
        wait_until(
            lambda: self.nodes.call(0, "GET", path, key=key)[1].get("state")
            == "completed",
            END_S,
            "the job of another organisation is completed",
        )
        self.assertTrue(self.nodes.is_alive(0), "the process has ended")
        peak = self.memory.stop()
        # Shown by pytest for a test that fails.
        print(peak)
        self.assertLess(peak.total_mb, self.memory_mb)

    def test_schedules_of_later_days(self):
        """Guards against memory for occurrences that are not due."""
        first_ms = time.time() * 1000 + HOUR_MS
        self.submit_all(schedule(first_ms, MINUTE_MS))
        self.assert_serves_others()

    def test_schedules_that_are_due_at_once(self):
        """Guards against memory for occurrences that cannot start yet."""
        self.submit_all(schedule(time.time() * 1000, 1))
        self.assert_serves_others()

    def test_wide_jobs(self):
        """Guards against memory for tasks that cannot start yet."""
        # Jobs that last have no objective that a long wait would miss.
        step = STEP | {"count": MAX_TASKS, "long-running": True}
        self.submit_all({"spec": "lasting", "steps": [step | {"cpu": 5000}]})
        self.assert_serves_others()

    def test_next_leader(self):
        """Guards against a leader that ends while it reads the jobs."""
        first_ms = time.time() * 1000 + HOUR_MS
        self.submit_all(schedule(first_ms, MINUTE_MS))
        self.nodes.signal(0, signal.SIGKILL)
        self.nodes.wait(0)
        self.nodes.start(0)
        wait_until(lambda: self.nodes.is_ready(0), START_S, "it is ready")
        self.memory = MemorySampler(
            self.nodes.pid(0), list(self.nodes.ports(0))
        )
        self.addCleanup(self.memory.stop)
        self.assert_serves_others()
