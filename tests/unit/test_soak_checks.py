"""Tests of the checks and the proxy of the soak."""

import math
import time
import types

import attrs
import testtools

from rosemarynotch._internal.utils.clock import SystemClock
from rosemarynotch._internal.utils.http import CallFailed
from rosemarynotch._internal.utils.http import HttpClient
from soak.checks import Checker
from soak.checks import WORKER_MILLICORES
from soak.history import History
from soak.history import JobHistory
from soak.proxy import LinkFault
from soak.proxy import Proxy
from standins.fleet.emulator import EmulatedEvacuation
from standins.fleet.http import Answer
from standins.fleet.http import JsonServer
from standins.fleet.ledger import Ledger

JOB_ID = "0123456789abcdef"
TASK = f"{JOB_ID}.0.0.0"


class CheckerTest(testtools.TestCase):
    """Guards against checks that miss a violation or report a false one."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.orders = []
        self.history = History()
        emulator = types.SimpleNamespace(
            ledger=self.ledger,
            orders=self.orders,
            evacuations=[],
            data_centre_by_worker={"w": "zone-1"},
        )
        self.evacuations = emulator.evacuations
        self.checker = Checker(emulator, self.history, {"team-b": 2000})
        self.job = JobHistory(
            job_id=JOB_ID,
            spec="work=1",
            team="team-b",
            task_count=1,
            cpu_millicores=1000,
            is_long_running=False,
            sent_at_s=time.monotonic(),
            accepted_at_s=time.monotonic(),
        )
        self.history.add(self.job)

    def start(self, task=TASK, run=1, worker="w", spec="work=1"):
        return self.ledger.start(task, run, worker, spec)

    def finish(self, entry, how="done", acknowledged=True):
        self.ledger.end(entry, how)
        if acknowledged:
            self.ledger.acknowledge(entry)

    def test_start_in_an_evacuated_data_centre(self):
        now_s = time.monotonic()
        for name, acknowledged_at_s, ended_at_s in (
            ("zone-1", now_s - 3.0, math.inf),
            ("zone-1", now_s - 9.0, now_s - 0.1),
            ("zone-2", now_s - 9.0, math.inf),
        ):
            self.evacuations.append(
                EmulatedEvacuation(name, acknowledged_at_s, ended_at_s)
            )
        self.start()
        self.assertEqual([], self.checker.violations())
        self.evacuations.append(EmulatedEvacuation("zone-1", now_s - 3.6))
        self.assert_violation("after the request to evacuate it")

    def assert_violation(self, text):
        found = [*self.checker.violations(), *self.checker.unfinished()]
        self.assertTrue(any(text in line for line in found), found)

    def test_valid_run_has_no_violations(self):
        """Guards against a violation reported for a valid run."""
        self.finish(self.start())
        self.assertEqual([], self.checker.violations())
        self.assertEqual([], self.checker.unfinished())

    def test_two_runs_at_once(self):
        """Guards against missing two runs of a task at the same time."""
        self.start(worker="a")
        self.start(run=2, worker="b")
        self.assert_violation("overlap")

    def test_start_after_an_acknowledged_end(self):
        """Guards against missing a run after an acknowledged end."""
        first = self.start()
        self.finish(first)
        self.ledger.entries[0].acknowledged_at_s -= 5
        self.start(run=2)
        self.assert_violation("after its end was acknowledged")

    def test_repeated_run_of_an_unacknowledged_end_is_allowed(self):
        """Guards against a violation reported for an end that may be lost."""
        self.finish(self.start(), acknowledged=False)
        self.finish(self.start(run=2))
        self.assertEqual([], self.checker.violations())

    def test_start_before_the_end_is_acknowledged(self):
        """Guards against missing a run after an end that counts later."""
        first = self.start()
        self.finish(first, acknowledged=False)
        self.finish(self.start(run=2), how="stopped")
        self.ledger.acknowledge(first)
        self.assert_violation("started after run 1 was done")

    def test_start_after_the_lease_was_over(self):
        """Guards against violations reported for an end that was not known.

        A start before the end of the lease repeats the run all the same.
        """
        first = self.start()
        self.finish(first, acknowledged=False)
        self.ledger.lapse(first, first.ended_at_s)
        second = self.start(run=2)
        self.finish(second, how="stopped")
        self.ledger.acknowledge(first)
        self.assertEqual([], self.checker.violations())
        self.assertEqual([], self.ledger.repeats())
        first.lapsed_at_s = second.started_at_s + 0.1
        self.assert_violation("started after run 1 was done")
        self.assertEqual([(first, second)], self.ledger.repeats())

    def test_lease_that_is_over_after_the_acknowledgement(self):
        """Guards against a lapse that excuses an end known before."""
        first = self.start()
        self.finish(first)
        self.ledger.lapse(first, first.ended_at_s)
        self.finish(self.start(run=2), how="stopped")
        self.assert_violation("started after run 1 was done")

    def test_unknown_and_changed_work(self):
        """Guards against missing tasks that nobody submitted.

        Their job is unknown, or its specification differs.
        """
        self.start(task="f" * 16 + ".0.0.0")
        self.assert_violation("never submitted")
        self.start(run=2, spec="work=9")
        self.assert_violation(f"{TASK}: started but never submitted")

    def test_refused_job_runs(self):
        """Guards against missing a run of a refused job."""
        self.job.is_refused = True
        self.start()
        self.assert_violation("started but refused")

    def test_start_after_cancellation(self):
        """Guards against missing runs after a cancellation."""
        self.job.cancel_sent_at_s = self.job.cancelled_at_s = (
            time.monotonic() - 6
        )
        self.start()
        self.assert_violation("too late")
        self.assert_violation("runs after cancellation")

    def test_too_many_failures(self):
        """Guards against missing more failed runs than permitted."""
        for run in range(1, 5):
            self.finish(self.start(run=run), how="failed")
        self.assert_violation("4 failed runs")

    def test_failed_without_cause(self):
        """Guards against missing a job that failed too early."""
        self.finish(self.start(), how="failed")
        self.finish(self.start(run=2), how="failed")
        self.job.is_failed = True
        self.assert_violation("failed without cause")
        self.finish(self.start(run=3), how="failed")
        self.assertEqual([], self.checker.violations())
        self.assertEqual([], self.checker.unfinished())

    def test_lost_job(self):
        """Guards against missing an accepted job that never runs."""
        self.assert_violation("not served")

    def test_cap_that_is_in_use(self):
        """Guards against a violation for tasks that wait for their cap.

        Two teams of earlier seeds had 12.5 and 14 of 14 processors in use at
        the end. With less than half in use, a task has to run.
        """
        lasting = attrs.evolve(
            self.job, job_id="f" * 16, is_long_running=True, task_count=1
        )
        self.history.add(lasting)
        entry = self.start(task=f"{lasting.job_id}.0.0.0")
        self.assertEqual([], self.checker.unfinished())
        self.ledger.end(entry, "stopped")
        self.assert_violation(f"{TASK}: not served")

    def test_full_worker_and_cap(self):
        """Guards against missing overloaded workers and exceeded caps."""
        for number in range(WORKER_MILLICORES // 1000 + 1):
            self.start(task=f"{JOB_ID}.0.0.{number}")
        self.assert_violation("w: 9000 of 8000")
        self.assert_violation("team-b:")

    def test_old_fence(self):
        """Guards against missing an order with an old fence."""
        self.orders += [("vm", "machine-move", "a", 5)]
        self.orders += [("vm", "machine-move", "b", 4)]
        self.assert_violation("old fence")


class ProxyTest(testtools.TestCase):
    """Guards against faults that do not reach the client or do not end."""

    def setUp(self):
        super().setUp()
        self.server = JsonServer(lambda call: Answer(200, {"ok": 1}))
        self.addCleanup(self.server.close)
        self.proxy = Proxy(self.server.address)
        self.addCleanup(self.proxy.close)

    def get(self):
        client = HttpClient(self.proxy.address, SystemClock(), timeout_s=0.6)
        reply = client.call("GET", ("x",))
        client.close()
        return 0 if isinstance(reply, CallFailed) else reply.status

    def test_passes_bytes(self):
        """Guards against a proxy that interferes without a fault."""
        self.assertEqual(200, self.get())

    def test_lost_answers_and_silence(self):
        """Guards against faults that are without effect or do not end."""
        for fault in (LinkFault.ANSWERS_LOST, LinkFault.SILENT):
            self.proxy.fault = fault
            self.assertEqual(0, self.get())
        self.proxy.fault = LinkFault.NONE
        self.assertEqual(200, self.get())
