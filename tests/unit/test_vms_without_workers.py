"""Tests of VMs for which the VM service names no worker."""

import threading
import types
from unittest import mock

import attrs
import testtools

from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.scheduling.fleet_manager import FleetManager
from rosemarynotch._internal.scheduling.fleet_manager import FleetTiming
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.model import PoolPolicy
from tests.lib.scheduling import CAPACITY
from tests.lib.scheduling import Leader
from tests.unit.test_wave_records import MAINTENANCE_S
from tests.unit.test_wave_records import WaveCase


class IdleVmTest(testtools.TestCase):
    """Guards against moves that end the work of a worker not named yet.

    Only the VMs of a standby pool are off.
    """

    def test_vms_without_workers(self):
        leader = Leader()
        pools = leader.scheduler.configuration.pools
        pools["p"] = PoolPolicy(name="p")
        pools["spare"] = PoolPolicy(name="spare", is_standby=True)
        controller = types.SimpleNamespace(
            lock=threading.RLock(),
            scheduler=leader.scheduler,
            planner=leader.planner,
            forecast=mock.Mock(expected_vms=lambda wall_ms: {}),
            ports=types.SimpleNamespace(
                store=types.SimpleNamespace(get=lambda key: STORE_KEY_MISSING)
            ),
            clock=types.SimpleNamespace(
                monotonic_s=lambda: leader.now_s, wall_s=lambda: leader.now_s
            ),
            leadership=types.SimpleNamespace(node="n"),
        )
        timing = FleetTiming(holder_interval_s=0.0, maintenance_s=2.0)
        manager = FleetManager(controller, mock.Mock(), timing)
        vms = {
            pool: FleetVm(
                name=pool,
                pool=pool,
                phase=VmPhase.UP,
                data_centre="z",
                labels=(),
                capacity=CAPACITY,
                worker_id="",
            )
            for pool in pools
        }
        idle = {load.name: load.idle_vms for load in manager._pool_loads(vms)}
        self.assertEqual({"p": (), "spare": ("spare",)}, idle)


class UnnamedWorkerTest(WaveCase):
    """Guards against a maintenance that ends work (rule AVAIL).

    A VM without a named worker was taken for empty.
    """

    def setUp(self):
        super().setUp()
        self.wave = attrs.evolve(self.wave, vms=tuple("abcdef"))
        self.lead()
        self.wave = attrs.evolve(self.wave, vms=("a",))
        self.show("a")
        self.worker = self.leader.scheduler.workers.pop("a-1")

    def test_worker_that_is_named_late(self):
        """Guards against the end of a worker that is about to start."""
        self.order_next()
        self.step(MAINTENANCE_S)
        self.assertEqual([], self.ordered)

    def test_worker_that_never_starts(self):
        """Guards against a wave that is late for a VM without a worker.

        Being out of service, it used up the limit of its pool.
        """
        self.vms = {"a": self.vms["a"]}
        self.leader.scheduler.workers.clear()
        self.step()
        self.step(MAINTENANCE_S + 1.5)
        self.step()
        self.assertEqual(["a"], self.ordered)

    def test_worker_that_is_named_nowhere(self):
        """Guards against the end of tasks on a worker that is never named."""
        workers = self.leader.scheduler.workers
        others = dict(workers)
        workers.clear()
        workers["a-1"] = self.worker
        self.leader.submit("j1")
        (run,) = self.leader.place()
        workers |= others
        self.step()
        for _ in range(3):
            self.step(MAINTENANCE_S)
        self.assertEqual([], self.ordered)
        self.worker.drop_run(run)
        self.order_next()
        self.assertEqual(["a"], self.ordered)

    def test_vm_that_is_off(self):
        """Guards against standby VMs that wait without need."""
        pools = self.leader.scheduler.configuration.pools
        pools["p"] = PoolPolicy(name="p", is_standby=True)
        self.order_next()
        self.assertEqual(["a"], self.ordered)
