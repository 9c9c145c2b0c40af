"""Tests of VMs that the VM service lists without a worker, or not at all."""

import threading
import types
from unittest import mock

import attrs
import testtools

from rosemarynotch._internal.exceptions import PLATFORM_UNAVAILABLE
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.scheduling.fleet_manager import FleetManager
from rosemarynotch._internal.scheduling.fleet_manager import FleetTiming
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.model import PoolPolicy
from rosemarynotch._internal.scheduling.policy import Move
from tests.lib.scheduling import CAPACITY
from tests.lib.scheduling import Leader
from tests.unit.test_wave_records import MAINTENANCE_S
from tests.unit.test_wave_records import WaveCase


class FleetCase(testtools.TestCase):
    """A fleet manager with a pool at work and a standby pool."""

    def setUp(self):
        super().setUp()
        self.leader = leader = Leader()
        self.pools = leader.scheduler.configuration.pools
        self.pools["p"] = PoolPolicy(name="p")
        self.pools["spare"] = PoolPolicy(name="spare", is_standby=True)
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
        self.manager = FleetManager(controller, mock.Mock(), timing)

    @staticmethod
    def vm(pool, worker_id=""):
        return FleetVm(
            name=f"vm-{pool}",
            pool=pool,
            phase=VmPhase.UP,
            data_centre="z",
            labels=(),
            capacity=CAPACITY,
            worker_id=worker_id,
        )


class IdleVmTest(FleetCase):
    """Guards against moves that end the work of a worker not named yet.

    Only the VMs of a standby pool are off.
    """

    def test_vms_without_workers(self):
        vms = {f"vm-{pool}": self.vm(pool) for pool in self.pools}
        loads = self.manager._pool_loads(vms)
        idle = {load.name: load.idle_vms for load in loads}
        self.assertEqual({"p": (), "spare": ("vm-spare",)}, idle)


class MissingVmTest(FleetCase):
    """Guards against a worker that gets no work although its VM stays.

    A list lacked the VM while its move had no answer. The move was forgotten,
    and the worker was left as it was prepared for the move.
    """

    def test_move_without_an_answer(self):
        self.leader.add_workers("w1")
        worker = self.leader.scheduler.workers["w1"]
        vm = self.vm("p", "w1")
        move = Move(vm=vm.name, source="p", target="spare")
        with mock.patch.object(
            self.manager, "order", return_value=PLATFORM_UNAVAILABLE
        ):
            self.manager._move(vm, move, self.leader.now_s)
        self.assertTrue(worker.is_cordoned)
        self.manager._drop_finished_moves({}, self.leader.now_s + 1.0)
        late_s = self.leader.now_s + 10.0
        self.manager._drop_finished_moves({vm.name: vm}, late_s)
        self.assertFalse(worker.is_cordoned)


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
