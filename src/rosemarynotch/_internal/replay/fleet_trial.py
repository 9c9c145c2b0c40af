"""Simulates waves, moves and placement, and measures control passes.

Run with ``python -m rosemarynotch._internal.replay.fleet_trial [seed]``.
Everything runs in one process on simulated time; only the CPU time of
passes is measured on the real clock.
"""

import math
import sys

import attrs

from rosemarynotch._internal.control import operations
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.document import WaveSpec
from rosemarynotch._internal.models.records import WaveState
from rosemarynotch._internal.policy.moves import NoMoves
from rosemarynotch._internal.policy.waves import AsManyAsAllowed
from rosemarynotch._internal.policy.waves import OneAtATime
from rosemarynotch._internal.policy.waves import WavePolicy
from rosemarynotch._internal.replay.fleet_simulation import FleetSimulation
from rosemarynotch._internal.replay.job_pass_cost import print_job_pass_costs
from rosemarynotch._internal.replay.move_trial import print_moves
from rosemarynotch._internal.replay.pass_cost import print_pass_costs
from rosemarynotch._internal.replay.placement_trial import print_placements

__all__ = ["budget_bound_s", "main", "roll_out", "wave_document"]

SEED = 1
REBOOT_S = (50.0, 70.0)
VMS_PER_RACK = 4
AVAILABLE_FRACTION = 0.8
WAVE_TIMEOUT_S = 20_000
# A wave of one VM at a time over 1,300 VMs takes more than a day, so its
# duration is extrapolated from this many VMs.
BASELINE_VMS = 40


@attrs.frozen
class RollOut:
    """Duration and cost of one wave."""

    duration_s: float
    done_vms: int
    store_bytes_per_s: float
    store_calls_per_s: float
    list_calls: int
    record_bytes: int


def wave_document(sizes: list[int]) -> Document:
    """Return a document of service pools that keep 80 % of VMs available."""
    pools = tuple(
        PoolSpec(
            name=f"pool-{number:03d}",
            kind=PoolKind.SERVICE,
            min_available_vms=math.ceil(size * AVAILABLE_FRACTION - 1e-9),
            vms=tuple(
                VmSpec(
                    name=f"p{number:03d}-{n}",
                    data_centre="one",
                    rack=f"r{n // VMS_PER_RACK}",
                )
                for n in range(size)
            ),
        )
        for number, size in enumerate(sizes)
    )
    wave = WaveSpec(name="all", pools=tuple(pool.name for pool in pools))
    return Document(pools=pools, teams=(), queues=(), waves=(wave,))


def budget_bound_s(document: Document) -> float:
    """Estimate the duration of a wave without drains and delays.

    The estimate assumes that each pool reboots as many VMs at once as its
    budget allows, rack by rack, and that each reboot takes the mean time.
    """
    longest_rounds = 0
    for pool in document.pools:
        max_unavailable = len(pool.vms) - pool.min_available_vms
        racks: dict[str, int] = {}
        for vm in pool.vms:
            racks[vm.rack] = racks.get(vm.rack, 0) + 1
        rounds = sum(
            math.ceil(size / max_unavailable) for size in racks.values()
        )
        longest_rounds = max(longest_rounds, rounds)
    return longest_rounds * sum(REBOOT_S) / 2


def roll_out(
    document: Document, policy: WavePolicy, seed: int, max_vms: int = 0
) -> RollOut:
    """Run a wave and measure it.

    :param max_vms: number of maintained VMs to stop after, 0 for all
    """
    simulation = FleetSimulation(document, policy, NoMoves(), seed, REBOOT_S)
    started = operations.start_wave(
        simulation.records, document, "all", "trial", "roll-out"
    )
    simulation.fleet.apply(started.value, started.revision)
    store = simulation.store
    store.calls = store.transferred_bytes = simulation.vms.list_calls = 0
    start_s = simulation.clock.now_s
    while simulation.clock.now_s - start_s < WAVE_TIMEOUT_S:
        simulation.step()
        wave = simulation.fleet.record.waves["all"]
        is_limit_reached = max_vms and len(wave.done_vms) >= max_vms
        if is_limit_reached or wave.state is WaveState.DONE:
            break
    duration_s = simulation.clock.now_s - start_s
    return RollOut(
        duration_s=duration_s,
        done_vms=len(wave.done_vms),
        store_bytes_per_s=store.transferred_bytes / duration_s,
        store_calls_per_s=store.calls / duration_s,
        list_calls=simulation.vms.list_calls,
        record_bytes=simulation.record_bytes(),
    )


def print_roll_outs(seed: int) -> None:
    """Print the roll-out times of two fleet sizes under both policies."""
    print("roll-out of VMs over pools with 80 % available, reboot 50 to 70 s")
    cases = (([6] * 5, 0), ([11] * 80 + [10] * 42, BASELINE_VMS))
    for sizes, max_vms in cases:
        document = wave_document(sizes)
        total = sum(sizes)
        bound_s = budget_bound_s(document)
        one = roll_out(document, OneAtATime(), seed, max_vms)
        many = roll_out(document, AsManyAsAllowed(), seed)
        one_s = one.duration_s / one.done_vms * total
        print(
            f"{total} VMs, {len(sizes)} pools: bound {bound_s:.0f} s;"
            f" one at a time {one_s:.0f} s (from {one.done_vms} VMs);"
            f" as many as allowed {many.duration_s:.0f} s"
            f" ({many.done_vms} VMs), {many.duration_s / bound_s:.2f} x bound"
        )
        print(
            f"  store {many.store_bytes_per_s:.0f} B/s,"
            f" {many.store_calls_per_s:.2f} calls/s;"
            f" {many.list_calls} VM lists; record {many.record_bytes} B"
        )


def main() -> None:
    """Run all trials and print their tables."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    print(f"seed {seed}")
    print_roll_outs(seed)
    print_moves(seed)
    print_placements(seed)
    print_pass_costs(wave_document, seed)
    print_job_pass_costs(seed)


if __name__ == "__main__":
    main()
