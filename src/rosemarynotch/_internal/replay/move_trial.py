"""Compares move policies on pools whose demand peaks one after another."""

import random

import attrs

from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.policy.moves import HysteresisMoves
from rosemarynotch._internal.policy.moves import MovePolicy
from rosemarynotch._internal.policy.moves import NoMoves
from rosemarynotch._internal.policy.moves import ThresholdMoves
from rosemarynotch._internal.policy.waves import OneAtATime
from rosemarynotch._internal.replay.fleet_simulation import FleetSimulation

__all__ = ["print_moves", "run_moves"]

POOLS = 5
VMS_PER_POOL = 6
SPARE_VMS = 6
VM_SLOTS = 8
MEAN_SLOTS = 12.0
PEAK_FACTOR = 5.0
OFF_PEAK_FACTOR = 0.05
JITTER = 0.2
# Long enough for several peaks of each pool.
TRIAL_S = 1_200
PEAKS_S = (8, 30, 120)
DRAIN_S = 0.5


@attrs.define
class MoveTotals:
    """Totals of one run.

    :ivar late_slot_s: queued work multiplied by its waiting time
    :ivar idle_vm_s: unused capacity of serving VMs, including spare VMs
    :ivar longest_queue_s: longest time that a pool would need to work off its
        queue at its current capacity
    """

    moves: int = 0
    late_slot_s: float = 0.0
    idle_vm_s: float = 0.0
    longest_queue_s: float = 0.0


def run_moves(policy: MovePolicy, peak_s: int, seed: int) -> MoveTotals:
    """Run a policy against queues that peak one after another."""
    simulation = FleetSimulation(
        _document(), OneAtATime(), policy, seed, mean_work_s=DRAIN_S
    )
    rng = random.Random(seed)
    names = [f"pool-{number}" for number in range(POOLS)]
    backlog = dict.fromkeys(names, 0.0)
    totals = MoveTotals()
    for second in range(TRIAL_S):
        capacity = _capacity(simulation)
        totals.idle_vm_s += capacity.pop("spare", 0) / VM_SLOTS
        for number, name in enumerate(names):
            slots = capacity.get(name, 0)
            is_peak = second // peak_s % POOLS == number
            factor = PEAK_FACTOR if is_peak else OFF_PEAK_FACTOR
            arriving = MEAN_SLOTS * factor
            arriving *= rng.uniform(1 - JITTER, 1 + JITTER)
            demand = backlog[name] + arriving
            done = min(demand, slots)
            backlog[name] = demand - done
            totals.late_slot_s += backlog[name]
            totals.idle_vm_s += (slots - done) / VM_SLOTS
            if slots:
                wait_s = backlog[name] / slots
                totals.longest_queue_s = max(totals.longest_queue_s, wait_s)
            simulation.entries.demand_slots[name] = demand
        simulation.step()
    totals.moves = simulation.fleet.record.moves_count
    return totals


def _capacity(simulation: FleetSimulation) -> dict[str, int]:
    """Return the slots of serving VMs by pool."""
    capacity: dict[str, int] = {}
    for vm in simulation.fleet.record.vms.values():
        if vm.state is VmState.SERVING:
            capacity[vm.pool] = capacity.get(vm.pool, 0) + vm.slots
    return capacity


def _document() -> Document:
    pools = [
        PoolSpec(
            name=f"pool-{number}",
            kind=PoolKind.SERVICE,
            min_available_vms=VMS_PER_POOL - 2,
            vms=_vms(f"p{number}", VMS_PER_POOL),
        )
        for number in range(POOLS)
    ]
    pools.append(
        PoolSpec(
            name="spare",
            kind=PoolKind.SPARE,
            min_available_vms=0,
            vms=_vms("s", SPARE_VMS),
        )
    )
    return Document(pools=tuple(pools), teams=(), queues=())


def _vms(prefix: str, count: int) -> tuple[VmSpec, ...]:
    return tuple(
        VmSpec(
            name=f"{prefix}-{n}",
            data_centre="one",
            rack="r0",
            slots=VM_SLOTS,
        )
        for n in range(count)
    )


def print_moves(seed: int) -> None:
    """Print the outcome of each policy."""
    print(
        f"moves, {POOLS} pools of {VMS_PER_POOL} VMs, {SPARE_VMS} spare VMs,"
        f" {TRIAL_S} s"
    )
    for peak_s in PEAKS_S:
        for policy in (NoMoves(), ThresholdMoves(), HysteresisMoves()):
            totals = run_moves(policy, peak_s, seed)
            print(
                f"peak {peak_s:4} s {type(policy).__name__:16}"
                f" {totals.moves:5} moves"
                f" {totals.idle_vm_s:8.0f} idle VM-s"
                f" {totals.late_slot_s:9.0f} late slot-s"
                f" {totals.longest_queue_s:6.1f} s longest queue"
            )
