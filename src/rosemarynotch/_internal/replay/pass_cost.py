"""Measures CPU time, store traffic and calls of a control pass."""

import time
from typing import Callable

import msgspec

from rosemarynotch._internal.control import operations
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.policy.moves import HysteresisMoves
from rosemarynotch._internal.policy.waves import AsManyAsAllowed
from rosemarynotch._internal.replay.fleet_simulation import FleetSimulation

__all__ = ["print_pass_costs"]

VMS = (10, 100, 1_300)
VMS_PER_POOL = 10
PASSES = 400


def print_pass_costs(
    make_document: Callable[[list[int]], Document], seed: int
) -> None:
    """Print the cost of passes by fleet size, without and with a wave."""
    print(f"control pass, mean of {PASSES} passes one second apart")
    for vms in VMS:
        document = make_document([VMS_PER_POOL] * (vms // VMS_PER_POOL))
        for wave in (False, True):
            simulation = FleetSimulation(
                document, AsManyAsAllowed(), HysteresisMoves(), seed
            )
            if wave:
                started = operations.start_wave(
                    simulation.records, document, "all", "trial", ""
                )
                simulation.fleet.apply(started.value, started.revision)
            print(_measure(vms, "wave" if wave else "idle", simulation))


def _measure(vms: int, label: str, simulation: FleetSimulation) -> str:
    """Run passes and return the line of the table with their mean costs."""
    store = simulation.store
    store.calls = store.writes = store.transferred_bytes = 0
    simulation.vms.list_calls = 0
    cpu_s = 0.0
    for _ in range(PASSES):
        simulation.entries.send_heartbeats()
        start_s = time.process_time()
        simulation.loop.step()
        cpu_s += time.process_time() - start_s
        simulation.clock.sleep(1.0)
    rows = msgspec.json.encode(list(simulation.vms.rows.values()))
    list_bytes = simulation.vms.list_calls * len(rows)
    return (
        f"{vms:5} VMs {label}: CPU {1000 * cpu_s / PASSES:6.2f} ms,"
        f" store {store.transferred_bytes / PASSES:7.0f} B"
        f" {store.calls / PASSES:5.2f} calls"
        f" {store.writes / PASSES:5.2f} writes,"
        f" VM list {list_bytes / PASSES:6.0f} B;"
        f" record {simulation.record_bytes():6} B"
    )
