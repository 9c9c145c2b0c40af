"""Tests of the policies for waves, moves and placement."""

import testtools

from rosemarynotch._internal.policy.moves import HysteresisMoves
from rosemarynotch._internal.policy.moves import Move
from rosemarynotch._internal.policy.moves import PoolLoad
from rosemarynotch._internal.policy.moves import ThresholdMoves
from rosemarynotch._internal.policy.placement import JobSize
from rosemarynotch._internal.policy.placement import LearnedSizeSpread
from rosemarynotch._internal.policy.placement import WorkerCapacity
from rosemarynotch._internal.policy.waves import AsManyAsAllowed
from rosemarynotch._internal.policy.waves import OneAtATime
from rosemarynotch._internal.policy.waves import WaveCandidate
from rosemarynotch._internal.policy.waves import WavePool


def wave_pool(name="quotes", **fields):
    """Return a pool with six candidates in two racks of four and two."""
    candidates = tuple(
        WaveCandidate(vm=f"{name}-{n}", rack=("gent", f"r{n // 4}"), slots=8)
        for n in range(6)
    )
    values = {
        "candidates": candidates,
        "spare_vms": 2,
        "out_vms": 0,
        "out_racks": frozenset(),
        "demand_slots": 0.0,
        "serving_slots": 48,
        **fields,
    }
    return WavePool(name=name, **values)


def load(
    name,
    demand,
    slots=48,
    borrowed=0,
    spare=False,
    available=2,
    is_wave_blocked=False,
):
    """Return the load of a pool of VMs with 8 slots."""
    return PoolLoad(
        name=name,
        spare=spare,
        demand_slots=demand,
        slots=slots,
        vm_slots=8,
        available_vms=available,
        borrowed_vms=borrowed,
        is_wave_blocked=is_wave_blocked,
    )


class WavePolicyTest(testtools.TestCase):
    """Guards against waves that are slower or larger than permitted."""

    def test_choices(self):
        """Guards against choices beyond budget, load, limit or rack."""
        cases = [
            ("budget", {}, 9, ["quotes-0", "quotes-1"]),
            ("parallel limit", {}, 1, ["quotes-0"]),
            ("no budget", {"spare_vms": 0}, 9, []),
            ("load", {"demand_slots": 34.0}, 9, ["quotes-0"]),
            ("high load", {"demand_slots": 40.0}, 9, []),
            (
                "rack that is out",
                {"out_vms": 1, "out_racks": frozenset([("gent", "r1")])},
                9,
                ["quotes-4", "quotes-5"],
            ),
        ]
        for name, fields, limit, expected in cases:
            chosen = AsManyAsAllowed().choose([wave_pool(**fields)], limit)
            self.assertEqual(expected, chosen, name)

    def test_baseline_chooses_one_vm_over_all_pools(self):
        """Guards against a baseline that maintains several VMs at once."""
        pools = [wave_pool("a"), wave_pool("b")]
        self.assertEqual(["a-0"], OneAtATime().choose(pools, 9))
        pools.append(wave_pool("c", out_vms=1))
        self.assertEqual([], OneAtATime().choose(pools, 9))


class MovePolicyTest(testtools.TestCase):
    """Guards against moves that cost more than they gain."""

    def choose(self, policy, demands, borrowed=0, spare_vms=2):
        """Return the moves of each second for a demand given by second."""
        moves = []
        for second, demand in enumerate(demands):
            loads = [
                load("quotes", demand, borrowed=borrowed),
                load("desk", 0.0, spare=True, available=spare_vms),
            ]
            moves.append(policy.choose(loads, float(second)))
        return moves

    def test_short_peak_moves_nothing_with_hysteresis(self):
        """Guards against moves that come after a short peak has ended."""
        peak = [60.0] * 2 + [2.0] * 10
        self.assertEqual([], sum(self.choose(HysteresisMoves(), peak), []))
        moves = sum(self.choose(ThresholdMoves(), peak), [])
        self.assertEqual(2, len(moves))

    def test_lasting_shortage_borrows_and_lasting_idleness_returns(self):
        """Guards against lasting shortages and VMs that never return."""
        borrow = Move(source="desk", destination="quotes")
        moves = sum(self.choose(HysteresisMoves(), [60.0] * 4), [])
        self.assertIn(borrow, moves)
        back = sum(self.choose(HysteresisMoves(), [2.0] * 9, borrowed=1), [])
        self.assertEqual([Move(source="quotes", destination="desk")], back)

    def test_blocked_wave_borrows_at_once(self):
        """Guards against a wave that waits for demand to bring a VM."""
        loads = [
            load("quotes", 0.0, available=0, is_wave_blocked=True),
            load("desk", 0.0, spare=True),
        ]
        borrow = [Move(source="desk", destination="quotes")]
        self.assertEqual(borrow, HysteresisMoves().choose(loads, 0.0))

    def test_idle_borrowed_vm_moves_to_the_pool_that_needs_it(self):
        """Guards against returning a VM that another pool needs."""
        policy = HysteresisMoves()
        moves = []
        for second in range(6):
            loads = [
                load("quotes", 2.0, borrowed=1),
                load("orders", 80.0),
                load("desk", 0.0, spare=True, available=0),
            ]
            moves += policy.choose(loads, float(second))
        expected = Move(source="quotes", destination="orders")
        self.assertEqual(expected, moves[0])


class PlacementPolicyTest(testtools.TestCase):
    """Guards against placement that ignores observed job sizes."""

    def test_learned_size_replaces_the_declared_one(self):
        """Guards against wrong sizes from few or foreign observations.

        Observations of one team must not change the sizes of another.
        """
        policy = LearnedSizeSpread()
        declared = JobSize(cores=4.0, memory_mb=100)
        for _ in range(4):
            policy.observe("ann", "batch", JobSize(cores=1.0, memory_mb=50))
            size = policy.size("ann", "batch", declared)
            self.assertEqual(declared, size)
        policy.observe("ann", "batch", JobSize(cores=1.0, memory_mb=50))
        size = policy.size("ann", "batch", declared)
        self.assertEqual((1.0, 50), (size.cores, size.memory_mb))
        self.assertEqual(declared, policy.size("bob", "batch", declared))

    def test_jobs_are_spread_over_racks(self):
        """Guards against losing all jobs of a queue with one rack."""
        workers = [
            WorkerCapacity(
                name=f"w{n}",
                rack=("kochi", f"r{n // 2}"),
                cores=8.0,
                memory_mb=800,
                accelerators=0,
            )
            for n in range(4)
        ]
        size = JobSize(cores=1.0, memory_mb=10)
        racks = []
        for _ in range(4):
            name = LearnedSizeSpread().choose(size, workers)
            worker = next(worker for worker in workers if worker.name == name)
            worker.take(size)
            racks.append(worker.rack[1])
        self.assertEqual(["r0", "r1", "r0", "r1"], racks)
