"""Tests of queues whose starts need tickets of the advice service."""

import testtools

from standins.fleet import AdviceTimes
from standins.fleet import EmulatedAdvisor
from standins.fleet import Emulator
from tests.lib.nodes import configuration
from tests.lib.nodes import Nodes
from tests.lib.nodes import wait_until

START_S = 15.0
# Longer than the lease of a worker, so that its tasks start anew.
DOWN_S = 6.5
RUN_S = 10.0


class AdvisedNodes(Nodes):
    """Nodes that are told the address of the advice service."""

    def __init__(self, emulator, count):
        self._advisor = emulator.advisor.address
        super().__init__(emulator, count)

    def write_settings(self, name, settings):
        """Add the service to the settings."""
        settings = {**settings, "advisor": self._advisor}
        return super().write_settings(name, settings)


class AdviceCase(testtools.TestCase):
    """Starts a node with a pool of which some workers are allowed.

    :cvar vms: number of VMs of the pool
    :cvar times: times of the service
    """

    vms = 6
    times = AdviceTimes(decision_ms=50, period_ms=10, validity_ms=3000)

    def setUp(self):
        """Start the emulator and a node."""
        super().setUp()
        self.allowed = set()
        advisor = EmulatedAdvisor(
            lambda name: name in self.allowed, self.times
        )
        self.emulator = Emulator({"one": self.vms}, advisor=advisor)
        self.addCleanup(self.emulator.close)
        document = configuration()
        document["routes"] = [
            document["routes"][0] | {"advisor": self.times.row()}
        ]
        document["services"] = document["services"][:1]
        self.emulator.put_configuration(document)
        self.nodes = AdvisedNodes(self.emulator, 1)
        self.addCleanup(self.nodes.close)
        wait_until(lambda: self.nodes.is_ready(0), START_S, "it is ready")

    def allow(self, vms):
        """Allow the workers of some VMs."""
        self.allowed |= {vm.worker.worker_id for vm in vms}

    def running(self, vms):
        """Return the number of runs on some VMs."""
        return sum(vm.worker.running_count for vm in vms if vm.worker)

    def submit(self, **fields):
        """Submit a job that is accepted; return its identifier."""
        job_id, status = self.nodes.submit(0, **fields)
        self.assertEqual(200, status)
        return job_id


class ManyWorkersTest(AdviceCase):
    """Guards against workers that are never asked for (rule LOST)."""

    vms = 40

    def test_allowed_workers_that_are_listed_last(self):
        # Workers are listed in the order of their identifiers.
        vms = sorted(
            self.emulator.vms.values(), key=lambda vm: vm.worker.worker_id
        )
        self.allow(vms[-8:])
        job_id = self.submit(spec="work=0.1", count=2)
        wait_until(
            lambda: self.nodes.state(0, job_id) == "completed",
            RUN_S,
            "the job is completed",
        )
        # The first request names workers that are not allowed.
        self.assertGreater(len(self.emulator.advisor.calls), 1)


class SlowServiceTest(AdviceCase):
    """Guards against calls that are given up before they can be answered."""

    times = AdviceTimes(decision_ms=200, period_ms=50, validity_ms=6000)
    vms = 30

    def test_call_of_the_configured_time(self):
        """Guards against a time-out that does not follow from the times."""
        self.allow(self.emulator.vms.values())
        job_id = self.submit(spec="work=0.1", count=2)
        wait_until(
            lambda: self.nodes.state(0, job_id) == "completed",
            RUN_S,
            "the job is completed",
        )
        self.assertEqual(30, len(self.emulator.advisor.calls[0]))


class RestartedWorkerTest(AdviceCase):
    """Guards against tickets of a life that has ended (rule LOST)."""

    def test_rack_that_comes_back(self):
        vms = list(self.emulator.vms.values())[:2]
        self.allow(vms)
        fields = {"long-running": True}
        self.submit(spec="lasting", count=2, **fields)
        wait_until(lambda: self.running(vms) == 2, RUN_S, "two runs")
        for vm in vms:
            self.emulator.crash(vm, DOWN_S, keeps_id=True)
        wait_until(
            lambda: all(vm.worker for vm in vms), DOWN_S + 1, "they are up"
        )
        wait_until(lambda: self.running(vms) == 2, RUN_S, "two runs again")
