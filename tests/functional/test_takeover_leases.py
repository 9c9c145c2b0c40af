"""Tests of leases that two leaders count differently.

A task starts elsewhere once the lease of its worker is over. The leader that
decides this must not count the lease as shorter than it is.
"""

import signal
import time

from standins.fleet.http import Answer
from standins.fleet.http import JsonServer
from standins.fleet.worker import WorkerFault
from tests.functional.test_platform_path import PlatformCase
from tests.functional.test_platform_path import START_S
from tests.lib.nodes import Nodes
from tests.lib.nodes import wait_until

# Above the longest wait of a report, which an idle worker answers late.
IDLE_S = 2.5
# Above the nominal lease of 5 s.
LONG_WORK_S = 6.5
SILENCE_S = 7.0


def fence_of(call):
    """Return the fencing token of a call to a worker."""
    return call.body.get("fencing-token", 0)


class LeaseCase(PlatformCase):
    """Runs tasks and checks their runs."""

    POOLS = {"one": 1}

    def setUp(self):
        super().setUp()
        self.ledger = self.emulator.ledger

    def run_task(self, work_s, **step):
        """Submit a job with one task; return its id once it has started."""
        started = len(self.ledger.entries)
        job, status = self.nodes.submit(
            0, f"work={work_s}", 1, **{"estimated-ms": work_s * 1000, **step}
        )
        self.assertEqual(200, status)
        wait_until(
            lambda: len(self.ledger.entries) > started,
            START_S,
            "the task has started",
        )
        return job

    def fence(self):
        """Return the fence of the present leader."""
        leader = self.nodes.leader()

        def fences():
            return [
                line["fence"]
                for line in self.nodes.log_lines(leader)
                if line["event"] == "leadership taken"
            ]

        wait_until(fences, START_S, "the leader has logged its fence")
        return fences()[-1]

    def assert_single_runs(self, job, node):
        """Check that a job is completed and no task ran twice."""
        self.assert_completed([job], node=node)
        self.assertEqual([], self.ledger.overlaps())
        self.assertEqual([], self.ledger.repeats())


class TestLongLease(LeaseCase):
    """Guards against a lease that outlasts the one that is assumed.

    The leader grants a lease from the request of the worker's last report,
    which waits up to 2 s there, so that the lease lasts up to 7 s (rule
    TWICE).
    """

    def play(self, is_affected):
        """Start a task on an idle worker, silence it and stop the leader.

        :param is_affected: takes a call to the worker and the fence of the
            first leader; returns whether the call is lost
        """
        time.sleep(IDLE_S)
        job = self.run_task(LONG_WORK_S)
        worker = self.emulator.workers()[0]
        self.emulator.add_vm("one")
        leader = self.nodes.leader()
        fence = self.fence()
        worker.affects = lambda call: is_affected(call, fence)
        worker.fault = WorkerFault.SILENT
        self.nodes.signal(leader, signal.SIGTERM)
        time.sleep(SILENCE_S)
        worker.fault = WorkerFault.NONE
        # A later run of the task has no more to show.
        for each in self.emulator.workers():
            each.finish_runs()
        self.assert_single_runs(job, 1 - leader)

    def test_worker_is_not_heard(self):
        self.play(lambda call, fence: True)

    def test_worker_is_heard_once(self):
        """Guards against the same assumption after the first report."""
        heard = []

        def is_affected(call, fence):
            if not heard and fence_of(call) > fence:
                heard.append(call)
                return False
            return True

        self.play(is_affected)
        self.assertEqual(1, len(heard))


class _RefusableNodes(Nodes):
    """Nodes whose calls the store may refuse, each on its own.

    :ivar refused: numbers of the nodes that get 503
    :ivar watch_delay_s: time that a watch of the jobs takes to arrive
    """

    def __init__(self, emulator, count):
        self.refused = set()
        self.watch_delay_s = 0.0
        self._servers = {}
        for number in range(count):
            self._servers[number] = JsonServer(
                lambda call, number=number: self._respond(call, number)
            )
        super().__init__(emulator, count)

    def store_address(self, number):
        """Return the address at which a node calls the store."""
        return self._servers[number].address

    def close(self):
        """Kill all nodes."""
        super().close()
        for server in self._servers.values():
            server.close()

    def _respond(self, call, number):
        if number in self.refused:
            return Answer(503)
        prefix = call.query.get("prefix", "")
        if call.path == "kv-watch" and prefix.startswith("intake/"):
            time.sleep(self.watch_delay_s)
        return self._emulator.store.respond(call)


class TestDetachedLeader(LeaseCase):
    """Guards against a leader without the store that knows less than the next.

    The store refuses one machine and serves the others. That leader goes on
    for up to 4 s while the next one leads, and each of them reaches other
    workers (rule TWICE).
    """

    NODES = 3

    def make_nodes(self):
        return _RefusableNodes(self.emulator, self.NODES)

    def cut(self, worker, fence, is_old):
        """Cut a worker off from the present leader, or from the next ones."""
        worker.affects = lambda call: (fence_of(call) <= fence) is is_old
        worker.fault = WorkerFault.SILENT

    def heal(self):
        """End all cuts."""
        self.nodes.refused.clear()
        for worker in self.emulator.workers():
            worker.fault = WorkerFault.NONE

    def test_next_leader_extends_lease(self):
        """Guards against a lease that ends for the former leader only."""
        former = self.emulator.workers()[0]
        vm = next(iter(self.emulator.vms.values()))
        other_vm = self.emulator.add_vm("one")
        self.run_task(8, **{"required-label": other_vm.rack})
        job = self.run_task(LONG_WORK_S, affinity=vm.rack)
        started_s = time.monotonic()
        self.assertEqual(1, former.running_count)
        self.assertEqual(1, other_vm.worker.running_count)
        time.sleep(0.5)
        fence = self.fence()
        # Not reached by the former leader, whose last extension is over at
        # about 5.4 s.
        self.cut(former, fence, is_old=True)
        # Not reached by the next one, which would make it refuse the former.
        self.cut(other_vm.worker, fence, is_old=False)
        time.sleep(started_s + 3.0 - time.monotonic())
        leader = self.nodes.leader()
        self.nodes.refused = {leader}
        time.sleep(started_s + SILENCE_S - time.monotonic())
        self.heal()
        self.assert_single_runs(job, (leader + 1) % self.NODES)

    def test_job_is_accepted_after_next_leader(self):
        """Guards against a watch that brings a job of the next term.

        The job is not inherited by the next leader, which starts it at once.
        """
        former = self.emulator.workers()[0]
        leader = self.nodes.leader()
        fence = self.fence()
        self.nodes.watch_delay_s = 0.5
        # The watch under way, without the delay, takes up to 1.5 s.
        time.sleep(1.6)
        # The leader's watch begins again with this job.
        self.run_task(LONG_WORK_S)
        time.sleep(0.15)
        self.nodes.refused = {leader}
        self.cut(former, fence, is_old=False)
        self.emulator.add_vm("one")
        wait_until(
            lambda: self.nodes.leader() not in (None, leader),
            START_S,
            "another node leads",
        )
        node = (leader + 1) % self.NODES
        job, status = self.nodes.submit(
            node, "work=3", 1, **{"estimated-ms": 3000}
        )
        self.assertEqual(200, status)
        time.sleep(4.0)
        self.heal()
        self.assert_single_runs(job, node)
