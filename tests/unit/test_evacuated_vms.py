"""Tests of what VMs count for while their data centres are evacuated."""

import types
from unittest import mock

import attrs

from rosemarynotch._internal.scheduling.maintenance import SpreadOverPools
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.policy import Move
from rosemarynotch._internal.scheduling.pool_totals import count_pools
from rosemarynotch._internal.scheduling.progress_writer import ProgressWriter
from tests.unit.test_vms_without_workers import FleetCase


class TestCapacity(FleetCase):
    """Guards against VMs of the data centre that are counted as capacity."""

    def vms(self):
        """Return a VM of each pool in each of two data centres."""
        self.leader.add_workers("w-a", data_centre="a")
        self.leader.add_workers("w-b", data_centre="b")
        vms = {}
        for pool in self.pools:
            for zone in "ab":
                worker_id = f"w-{zone}" if pool == "p" else ""
                vm = attrs.evolve(
                    self.vm(pool, worker_id),
                    name=f"{pool}-{zone}",
                    data_centre=zone,
                )
                vms[vm.name] = vm
        return vms

    def evacuate(self, *names):
        """Make these the data centres that are being evacuated."""
        self.leader.scheduler.set_evacuated(
            frozenset(names), self.leader.now_s
        )

    def test_pools_count_without_them(self):
        """Guards against a shortage that is hidden or filled by such VMs."""
        vms = self.vms()
        self.evacuate("a")
        loads = {load.name: load for load in self.manager._pool_loads(vms)}
        self.assertEqual(1, loads["p"].vm_count)
        self.assertEqual(("p-b",), loads["p"].idle_vms)
        self.assertEqual(("spare-b",), loads["spare"].idle_vms)
        self.evacuate()
        loads = {load.name: load for load in self.manager._pool_loads(vms)}
        self.assertEqual(2, loads["p"].vm_count)
        self.assertEqual(("spare-a", "spare-b"), loads["spare"].idle_vms)

    def test_planned_move_is_not_ordered(self):
        """Guards against a move that was chosen just before the request."""
        vms = self.vms()
        self.evacuate("a")
        with mock.patch.object(self.manager, "order") as order:
            for name in ("p-a", "spare-a"):
                move = Move(vm=name, source="p", target="q")
                self.manager._move(vms[name], move, self.leader.now_s)
        order.assert_not_called()
        self.assertFalse(self.leader.scheduler.workers["w-a"].is_cordoned)

    def test_admission_counts_the_rest_of_the_fleet(self):
        """Guards against jobs accepted for capacity that is not there."""
        vms = self.vms()
        scheduler = self.leader.scheduler
        scheduler.measure_fleet(vms.values(), self.leader.now_s)
        whole = scheduler.fleet_millicores
        self.evacuate("a")
        scheduler.measure_fleet(vms.values(), self.leader.now_s)
        self.assertEqual(whole / 2, scheduler.fleet_millicores)

    def test_admission_without_any_data_centre(self):
        """Guards against jobs that wait until their deadline for nothing.

        Without capacity, no wait was reported, which means none.
        """
        vms, leader = self.vms(), self.leader
        self.evacuate("a", "b")
        controller = types.SimpleNamespace(
            scheduler=leader.scheduler,
            planner=leader.planner,
            clock=types.SimpleNamespace(monotonic_s=lambda: leader.now_s),
        )
        writer = types.SimpleNamespace(_controller=controller)
        leader.scheduler.measure_fleet(vms.values(), leader.now_s)
        leader.now_s += 20
        leader.scheduler.measure_fleet(vms.values(), leader.now_s)
        delays_ms = ProgressWriter._start_delays_ms(writer, 1e6)
        self.assertEqual({"q": 20_000}, delays_ms)
        self.evacuate("b")
        leader.scheduler.measure_fleet(vms.values(), leader.now_s)
        self.assertEqual({}, ProgressWriter._start_delays_ms(writer, 1e6))

    def test_waves_leave_them_out_of_their_pools(self):
        """Guards against maintenance that empties the rest of a pool.

        It also guards against maintenance there that waits for the others:
        they would count as out of service, and none might be added to them.
        """
        vms = self.vms()
        self.evacuate("a")
        totals = count_pools(self.leader.scheduler, vms.values())
        self.assertEqual(1, totals["p"].vms)
        self.assertEqual(0, totals["p"].unavailable_vms)
        wave = Wave(number=1, vms=("p-a", "p-b"), duration_s=20, max_down=2)
        record = types.SimpleNamespace(ordered={})
        state = types.SimpleNamespace(wave=wave, record=record, cordoned={})
        found = self.manager._waves._candidates(state, vms, set(), 1000.0)
        self.assertEqual(
            {"p-a": True, "p-b": False},
            {each.name: each.is_free for each in found},
        )
        chosen = SpreadOverPools().choose(found, 2, 0.0)
        self.assertEqual("p-a", chosen[0])
