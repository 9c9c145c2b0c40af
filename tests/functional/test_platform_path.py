"""Tests of node processes against the emulator of the users' platform."""

import json
import os
import signal
import socket
import subprocess
import time

import testtools

from standins.fleet import Emulator
from standins.fleet.store import StoreFault
from standins.fleet.worker import WorkerFault
from tests.lib.nodes import configuration
from tests.lib.nodes import Nodes
from tests.lib.nodes import wait_until

START_S = 15.0
# Three leases of a leader plus the lease of a worker.
RECOVERY_S = 20.0


class PlatformCase(testtools.TestCase):
    """Starts an emulator and nodes for each test."""

    NODES = 2
    POOLS = {"one": 3, "two": 2, "spare": 2}

    def setUp(self):
        super().setUp()
        self.emulator = Emulator(dict(self.POOLS), standby="spare")
        self.addCleanup(self.emulator.close)
        self.emulator.put_configuration(configuration())
        self.nodes = self.make_nodes()
        self.addCleanup(self.nodes.close)
        wait_until(
            lambda: all(map(self.nodes.is_ready, range(self.NODES))),
            START_S,
            "all nodes are ready",
        )
        wait_until(
            lambda: self.nodes.leader() is not None, START_S, "a leader"
        )

    def make_nodes(self):
        """Start the nodes."""
        return Nodes(self.emulator, self.NODES)

    def assert_completed(self, job_ids, timeout_s=RECOVERY_S, node=0):
        for job_id in job_ids:
            wait_until(
                lambda: self.nodes.state(node, job_id) == "completed",
                timeout_s,
                f"{job_id} is completed",
            )

    def assert_each_task_once(self, job_ids, tasks=3):
        """Check that each task was done once and had no overlapping runs."""
        done = self.emulator.ledger.done_tasks()
        for job_id in job_ids:
            for index in range(tasks):
                self.assertEqual(1, done.get(f"{job_id}.0.0.{index}"))
        self.assertEqual([], self.emulator.ledger.overlaps())

    def follower(self):
        """Return a node that is not the leader."""
        return next(n for n in range(self.NODES) if n != self.nodes.leader())


class TestJobs(PlatformCase):
    """Guards against wrong answers to callers and unwanted runs."""

    def test_job_is_run_and_shown(self):
        """Guards against a job that only the node that accepted it shows."""
        job_id, status = self.nodes.submit(0)
        self.assertEqual(200, status)
        self.assert_completed([job_id], node=1)
        self.assert_each_task_once([job_id])

    def test_repeated_submission_is_one_job(self):
        """Guards against further runs after a repeated submission.

        A caller may repeat it at any node.
        """
        job_id, _ = self.nodes.submit(0)
        body = {"spec": "work=0.1", "steps": [{"count": 3, "cpu": 500}]}
        for node in (0, 1, 1):
            status, _ = self.nodes.call(node, "POST", f"/one/{job_id}", body)
            self.assertEqual(200, status)
        self.assert_completed([job_id])
        self.assert_each_task_once([job_id])

    def test_callers_are_told_what_is_wrong(self):
        """Guards against wrong statuses for invalid requests.

        Keys, queues and jobs may be unknown, and jobs malformed.
        """
        job = "/one/0123456789abcdef"
        call = self.nodes.call
        self.assertEqual(401, call(0, "GET", job, key="no-key")[0])
        self.assertEqual(404, call(0, "GET", "/three/" + job[5:])[0])
        self.assertEqual(410, call(0, "GET", job)[0])
        self.assertEqual(410, call(0, "DELETE", job)[0])
        for body in ({}, {"steps": []}, {"steps": [{"count": 0}]}):
            status, answer = call(0, "POST", job, body)
            self.assertEqual(400, status)
            self.assertNotEqual("", answer["reason"])
        step = {"count": 1, "after": [0]}
        self.assertEqual(400, call(0, "POST", job, {"steps": [step]})[0])
        self.assertEqual(410, call(0, "GET", job)[0])

    def test_jobs_of_others_are_not_shown(self):
        """Guards against access to the jobs of another organisation."""
        job_id, _ = self.nodes.submit(0, "lasting", 1, **{"long-running": 1})
        path = f"/one/{job_id}"
        for method in ("GET", "DELETE"):
            status, _ = self.nodes.call(0, method, path, key="key-b")
            self.assertEqual(410, status)
        self.assertIn(self.nodes.state(0, job_id), ("queued", "running"))

    def test_public_queue_opens_no_other_jobs(self):
        """Guards against callers without a known key (rule ROUTE).

        On a public queue a key that nobody has counted as none, and a caller
        without a key could read and cancel the jobs of all organisations.
        """
        document = configuration(2)
        document["routes"][1]["public"] = True
        self.emulator.put_configuration(document)
        call = self.nodes.call
        wait_until(
            lambda: call(0, "GET", "/two/", key=None)[0] == 200,
            START_S,
            "the queue is public",
        )
        lasting = {"count": 1, "cpu": 500, "long-running": 1}
        body = {"spec": "lasting", "steps": [lasting]}
        owned, _ = self.nodes.submit(0, "lasting", 1, **{"long-running": 1})
        public = owned[::-1]
        path = f"/two/{public}"
        self.assertEqual(401, call(0, "POST", path, body, key="no-key")[0])
        self.assertEqual(200, call(0, "POST", path, body, key=None)[0])
        for method in ("GET", "DELETE"):
            for queue in ("one", "two"):
                status, _ = call(0, method, f"/{queue}/{owned}", key="no-key")
                self.assertEqual(401, status)
            self.assertEqual(401, call(0, method, path, key="no-key")[0])
            status, _ = call(0, method, f"/two/{owned}", key=None)
            self.assertEqual(410, status)
            self.assertEqual(410, call(0, method, f"/one/{public}")[0])
        self.assertIn(self.nodes.state(0, owned), ("queued", "running"))
        self.assertEqual(200, call(0, "DELETE", path, key=None)[0])
        self.assertEqual("cancelled", call(0, "GET", path)[1]["state"])

    def test_cancelled_job_stops(self):
        """Guards against tasks that go on after their job was cancelled."""
        job_id, _ = self.nodes.submit(0, "lasting", 2, **{"long-running": 1})
        wait_until(
            lambda: self.nodes.state(0, job_id) == "running",
            RECOVERY_S,
            "it runs",
        )
        self.assertEqual(
            200, self.nodes.call(1, "DELETE", f"/one/{job_id}")[0]
        )
        wait_until(
            lambda: all(
                entry.ended_at_s for entry in self.emulator.ledger.entries
            ),
            3.0,
            "its tasks have ended",
        )
        wait_until(
            lambda: self.nodes.state(0, job_id) == "cancelled", 3.0, "shown"
        )

    def test_failing_job_is_shown_as_failed(self):
        """Guards against more or fewer attempts than the queue allows."""
        job_id, _ = self.nodes.submit(0, "work=0.05 failing", 1)
        wait_until(
            lambda: self.nodes.state(0, job_id) == "failed",
            RECOVERY_S,
            "it has failed",
        )
        runs = self.emulator.ledger.of_task(f"{job_id}.0.0.0")
        self.assertEqual(3, len(runs))

    def test_withdrawn_key_stops_working(self):
        """Guards against a withdrawn key that a node accepts for over 2 s."""
        document = configuration(version=2)
        document["tenants"][0]["api-keys"] = ["key-c"]
        self.emulator.put_configuration(document)
        time.sleep(2.0)
        for node in range(self.NODES):
            self.assertEqual(401, self.nodes.call(node, "GET", "/one/")[0])
            status, _ = self.nodes.call(node, "GET", "/one/", key="key-c")
            self.assertEqual(200, status)

    def test_stalled_callers_do_not_block_others(self):
        """Guards against stalled callers that block others.

        300 callers send incomplete requests and have to be disconnected.
        """
        host, port = self.nodes.addresses[0].split(":")
        stalled = []
        for _ in range(300):
            sock = socket.create_connection((host, int(port)), 5.0)
            self.addCleanup(sock.close)
            sock.sendall(b"POST /one/0123456789abcdef HTTP/1.1\r\nHost: q")
            stalled.append(sock)
        started_s = time.monotonic()
        job_id, status = self.nodes.submit(0)
        self.assertEqual(200, status)
        self.assertLess(time.monotonic() - started_s, 2.0)
        # The limit for headers is 0.5 s, and the same again for bodies.
        time.sleep(3.0)
        for sock in stalled:
            sock.settimeout(1.0)
            self.assertEqual(b"", sock.recv(1))


class TestFaults(PlatformCase):
    """Guards against accepted jobs that do not complete exactly once."""

    NODES = 3

    def _submit_many(self, count, spec="work=0.4"):
        accepted = []
        for number in range(count):
            job_id, status = self.nodes.submit(number % self.NODES, spec)
            if status == 200:
                accepted.append(job_id)
        return accepted

    def test_killed_leader_loses_and_repeats_nothing(self):
        """Guards against lost or repeated runs after the leader is killed.

        The new leader has to take over the existing runs.
        """
        jobs = self._submit_many(6, "work=2.0")
        leader = self.nodes.leader()
        self.nodes.signal(leader, signal.SIGKILL)
        self.nodes.wait(leader)
        node = (leader + 1) % self.NODES
        self.assert_completed(jobs, node=node)
        self.assert_each_task_once(jobs)

    def test_stopped_leader_hands_over(self):
        """Guards against waiting for the lease of a leader that has stopped.

        It has to be replaced within 1.5 s.
        """
        jobs = self._submit_many(6)
        leader = self.nodes.leader()
        self.nodes.signal(leader, signal.SIGTERM)
        wait_until(
            lambda: self.nodes.leader() not in (leader, None),
            1.5,
            "another leader",
        )
        self.assertEqual(0, self.nodes.wait(leader))
        self.assert_completed(jobs, node=(leader + 1) % self.NODES)
        self.assert_each_task_once(jobs)

    def test_suspended_leader_gives_no_orders_after_its_lease(self):
        """Guards against orders of a leader that resumes after its lease.

        Workers have to refuse them because of the higher fence.
        """
        jobs = self._submit_many(3, "work=1.0")
        leader = self.nodes.leader()
        self.nodes.signal(leader, signal.SIGSTOP)
        wait_until(
            lambda: self.nodes.leader() not in (leader, None),
            RECOVERY_S,
            "another leader",
        )
        more = []
        for number in range(3):
            if number != leader:
                more.append(self.nodes.submit(number)[0])
        self.nodes.signal(leader, signal.SIGCONT)
        self.assert_completed(jobs + more)
        self.assert_each_task_once(jobs + more)

    def test_all_nodes_killed(self):
        """Guards against accepted jobs that are lost with the nodes.

        All nodes are killed, and the jobs have to be read from the store.
        """
        jobs = self._submit_many(6, "work=1.0")
        for node in range(self.NODES):
            self.nodes.signal(node, signal.SIGKILL)
            self.nodes.wait(node)
        for node in range(self.NODES):
            self.nodes.start(node)
        self.assert_completed(jobs, timeout_s=30.0)
        self.assert_each_task_once(jobs)

    def test_busy_store_means_true_refusals(self):
        """Guards against a job that runs after its refusal with 503.

        The store is busy. The refusal must take less than 2 s.
        """
        self.emulator.store.fault = StoreFault.BUSY
        started_s = time.monotonic()
        refused = [self.nodes.submit(n) for n in range(self.NODES)]
        self.assertLess(time.monotonic() - started_s, 2.0)
        self.emulator.store.fault = StoreFault.NONE
        self.assertEqual([503] * self.NODES, [each[1] for each in refused])
        job_id = None
        wait_until(
            lambda: self.nodes.submit(0)[1] == 200, RECOVERY_S, "accepted"
        )
        for job_id, _ in refused:
            self.assertEqual("410", self.nodes.state(0, job_id))

    def test_lost_and_late_writes(self):
        """Guards against writes that are lost or take effect twice.

        They are late, or their answers are lost.
        """
        jobs = []
        for fault in (StoreFault.LOST, StoreFault.LATE):
            self.emulator.store.fault = fault
            self.emulator.store.fault_share = 0.4
            jobs += self._submit_many(8, "work=0.1")
        self.emulator.store.fault = StoreFault.NONE
        self.assertNotEqual([], jobs)
        self.assert_completed(jobs)
        self.assert_each_task_once(jobs)

    def test_lost_and_late_orders(self):
        """Guards against orders that are lost or take effect twice.

        They are late, or their answers are lost.
        """
        jobs = []
        for fault in (WorkerFault.LOST, WorkerFault.LATE):
            for worker in self.emulator.workers():
                worker.fault = fault
                worker.fault_share = 0.3
            jobs += self._submit_many(6, "work=0.2")
            time.sleep(1.0)
        for worker in self.emulator.workers():
            worker.fault = WorkerFault.NONE
        self.assert_completed(jobs, timeout_s=30.0)
        self.assert_each_task_once(jobs)

    def test_silent_worker(self):
        """Guards against tasks that stay on a silent worker.

        They have to start elsewhere after its lease. This never happens if
        repeated orders to the worker extend the lease.
        """
        silent = [
            vm.worker for vm in self.emulator.vms.values() if vm.pool == "one"
        ][0]
        silent.fault = WorkerFault.SILENT
        jobs = self._submit_many(6, "work=0.3")
        self.assert_completed(jobs, timeout_s=25.0)
        self.assertEqual([], self.emulator.ledger.overlaps())

    def test_crashed_worker(self):
        """Guards against tasks that are lost when their worker crashes."""
        jobs = self._submit_many(6, "work=0.6")
        wait_until(
            lambda: self.emulator.ledger.entries,
            RECOVERY_S,
            "a run has started",
        )
        vm = next(v for v in self.emulator.vms.values() if v.pool == "one")
        self.emulator.crash(vm, down_s=3.0)
        self.assert_completed(jobs, timeout_s=25.0)
        self.assert_each_task_once(jobs)

    def test_workers_that_restart_under_their_ids(self):
        """Guards against tasks that run again after a restart (rule TWICE).

        All runs of a worker were dropped when the list showed its restart,
        and the ends of its new runs were acknowledged before they were read.
        """
        jobs = []
        pool = [v for v in self.emulator.vms.values() if v.pool == "one"]
        for number in range(8):
            vm = pool[number % len(pool)]
            if vm.worker is not None:
                vm.worker.fault = WorkerFault.SILENT
            jobs += self._submit_many(4, "work=0.4")
            time.sleep(0.3)
            self.emulator.crash(vm, down_s=0.05, keeps_id=True)
            time.sleep(0.4)
        self.assert_completed(jobs, timeout_s=30.0)
        self.assertEqual([], self.emulator.ledger.overlaps())
        self.assertEqual([], self.emulator.ledger.repeats())

    def test_forgotten_history(self):
        """Guards against jobs missed after the store drops its history.

        A watch cannot continue then, so the store has to be listed again.
        """
        jobs = self._submit_many(3)
        self.emulator.store.compact()
        jobs += self._submit_many(3)
        self.assert_completed(jobs)
        self.assert_each_task_once(jobs)


class TestFleet(PlatformCase):
    """Guards against interrupted work, and pools of the wrong size."""

    def test_wave_within_its_limits(self):
        """Guards against maintenance that kills serving tasks.

        Each VM is maintained once, after its tasks have moved.
        """
        job_id, _ = self.nodes.submit(
            0, "lasting", 2, **{"long-running": 1, "max-unavailable": 1}
        )
        wait_until(
            lambda: self.nodes.state(0, job_id) == "running",
            RECOVERY_S,
            "it runs",
        )
        names = sorted(self.emulator.vms)
        self.emulator.put_wave(1, names, cap=2)
        wait_until(
            lambda: b"completed"
            in (self.emulator.store.value("status/wave/1") or b""),
            30.0,
            "the wave is completed",
        )
        for vm in self.emulator.vms.values():
            self.assertEqual({1}, vm.waves)
        hows = {entry.how for entry in self.emulator.ledger.entries}
        self.assertNotIn("killed", hows)

    def test_demand_brings_vms_and_idle_ones_leave(self):
        """Guards against VMs that do not follow the demand.

        They have to move to the pool with waiting jobs, and to leave it when
        they are idle.
        """

        def count(pool):
            vms = self.emulator.vms.values()
            return sum(vm.pool == pool for vm in vms)

        wait_until(
            lambda: count("spare") >= 3,
            RECOVERY_S,
            "idle VMs have moved to the spare pool",
        )
        before = count("one")
        jobs = [
            self.nodes.submit(0, "work=4.0", 8, cpu=4000)[0] for _ in range(2)
        ]
        wait_until(
            lambda: count("one") > before, RECOVERY_S, "VMs move to the pool"
        )
        self.assert_completed(jobs, timeout_s=40.0)
        self.assert_each_task_once(jobs, tasks=8)
        wait_until(
            lambda: count("one") == before, RECOVERY_S, "VMs leave the pool"
        )


class TestProcess(testtools.TestCase):
    """Guards against a process that blocks or does not report its state."""

    def setUp(self):
        super().setUp()
        self.emulator = Emulator({"one": 2, "two": 1})
        self.addCleanup(self.emulator.close)
        self.emulator.put_configuration(configuration())

    def test_log_reader_that_stalls_changes_no_answer(self):
        """Guards against requests that wait for a log reader.

        The reader stalls and the pipe is full; only log lines may be lost.
        """
        nodes = Nodes(self.emulator, 1)
        self.addCleanup(nodes.close)
        nodes.signal(0, signal.SIGKILL)
        nodes.wait(0)
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        process = subprocess.Popen(
            nodes.command(), env=nodes.environment(0), stdout=write_end
        )
        os.close(write_end)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        wait_until(lambda: nodes.is_ready(0), START_S, "it is ready")
        for _ in range(400):
            self.assertEqual(410, nodes.call(0, "DELETE", JOB)[0])
        job_id, status = nodes.submit(0)
        self.assertEqual(200, status)
        wait_until(
            lambda: nodes.state(0, job_id) == "completed", 10.0, "it is done"
        )

    def test_metrics_and_logs_tell_of_a_job(self):
        """Guards against missing metrics and log events of a job."""
        nodes = Nodes(self.emulator, 1)
        self.addCleanup(nodes.close)
        wait_until(lambda: nodes.is_ready(0), START_S, "it is ready")
        job_id, _ = nodes.submit(0, count=1)
        wait_until(
            lambda: nodes.state(0, job_id) == "completed", 10.0, "it is done"
        )
        text = nodes.metrics(0)
        self.assertIn('submissions_total{outcome="accepted"', text)
        self.assertIn("submission_ms_p99", text)
        events = [
            line["event"]
            for line in nodes.log_lines(0)
            if line.get("job") == job_id
        ]
        for event in ("job submitted", "run ordered", "run ended"):
            self.assertIn(event, events)

    def test_bad_settings_are_all_named(self):
        """Guards against reporting only the first of several problems."""
        nodes = Nodes(self.emulator, 0)
        self.addCleanup(nodes.close)
        path = nodes.write_settings("bad", {"node": "x", "zone": 1})
        result = subprocess.run(
            nodes.command(),
            env={"ROSEMARYNOTCH_CONFIG": str(path)},
            capture_output=True,
            text=True,
            timeout=10,
        )
        self.assertEqual(2, result.returncode)
        for name in ("ip", "listen-addrs.frontend", "platform.address"):
            self.assertIn(f"{name} is missing", result.stderr)


JOB = "/one/0123456789abcdef"


def test_settings_ignore_unknown_fields(tmp_path):
    """Guards against nodes that fail on fields unknown to them."""
    from rosemarynotch._internal.platform import load_settings

    fields = {
        "node": "n",
        "ip": "127.0.0.1",
        "zone": "z",
        "listen-addrs": {"frontend": "a:1", "ready": "a:2"},
        "internal-port-range": [7000, 7015],
        "platform": {"address": "a:3", "new": [1]},
        "unknown": {"deep": True},
    }
    path = tmp_path / "settings.yaml"
    path.write_text(json.dumps(fields), encoding="utf-8")
    assert load_settings(str(path)).store_address == "a:3"
