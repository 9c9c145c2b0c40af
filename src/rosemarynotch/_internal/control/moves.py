"""Pure functions on the fleet record that move VMs between pools."""

from collections.abc import Sequence
from collections import Counter

import attrs

from rosemarynotch._internal.control.availability import Availability
from rosemarynotch._internal.control.fleet import begin_drain
from rosemarynotch._internal.control.fleet import return_to_service
from rosemarynotch._internal.control.fleet import with_vms
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.models.records import WaveState
from rosemarynotch._internal.policy.moves import Move
from rosemarynotch._internal.policy.moves import PoolLoad

__all__ = ["begin_moves", "finish_moves", "home_pools", "pool_loads"]


def home_pools(document: Document) -> dict[str, str]:
    """Return the declared pool of each VM."""
    return {
        spec.name: pool.name for pool in document.pools for spec in pool.vms
    }


def pool_loads(
    record: FleetRecord,
    document: Document,
    demand_slots: dict[str, float],
    failed: frozenset[str] = frozenset(),
) -> list[PoolLoad]:
    """Return the loads of the spare and service pools for a move policy."""
    homes = home_pools(document)
    spares = {p.name for p in document.pools if p.kind is PoolKind.SPARE}
    in_wave = _pools_in_waves(record, document)
    serving: dict[str, list[str]] = {}
    incoming_slots: dict[str, int] = {}
    members: Counter[str] = Counter()
    for name, vm in record.vms.items():
        if vm.state is VmState.SERVING and name not in failed:
            serving.setdefault(vm.pool, []).append(name)
        if vm.destination:
            slots = incoming_slots.get(vm.destination, 0)
            incoming_slots[vm.destination] = slots + vm.slots
        if vm.state is not VmState.FAILED and name not in failed:
            members[vm.destination or vm.pool] += 1
    loads = []
    for pool in document.pools:
        if pool.kind is PoolKind.WORKERS:
            continue
        names = serving.get(pool.name, [])
        minimum = pool.min_available_vms
        # A wave needs one VM beyond the budget to drain another.
        is_guarded = minimum > 0 and pool.name in in_wave
        slots = [record.vms[name].slots for name in names]
        loads.append(
            PoolLoad(
                name=pool.name,
                spare=pool.kind is PoolKind.SPARE,
                demand_slots=demand_slots.get(pool.name, 0.0),
                slots=sum(slots) + incoming_slots.get(pool.name, 0),
                vm_slots=max(slots, default=1),
                available_vms=max(0, len(names) - minimum - is_guarded),
                borrowed_vms=sum(homes.get(name) in spares for name in names),
                is_wave_blocked=is_guarded and members[pool.name] <= minimum,
            )
        )
    return loads


def _pools_in_waves(record: FleetRecord, document: Document) -> set[str]:
    """Return the pools in which running waves have unfinished VMs."""
    pools = set()
    for name, wave in record.waves.items():
        spec = document.wave(name)
        if spec is None or wave.state is not WaveState.RUNNING:
            continue
        pools |= {
            vm.pool
            for vm_name, vm in record.vms.items()
            if vm.pool in spec.pools and vm_name not in wave.done_vms
        }
    return pools


def begin_moves(
    record: FleetRecord,
    document: Document,
    moves: Sequence[Move],
    token: str,
    failed: frozenset[str] = frozenset(),
) -> FleetRecord:
    """Begin to drain one VM for each move, as far as budgets allow."""
    if not moves:
        return record
    homes = home_pools(document)
    spares = {p.name for p in document.pools if p.kind is PoolKind.SPARE}
    availability = Availability(record, document, failed)
    vms = dict(record.vms)
    for move in moves:
        for name, vm in vms.items():
            if vm.pool != move.source or vm.state is not VmState.SERVING:
                continue
            if homes.get(name) not in spares or name in failed:
                continue
            if availability.refusal(name) is None:
                availability.mark_planned_outage(name)
                vms[name] = begin_drain(
                    vm, f"move/{name}/{token}", destination=move.destination
                )
                break
    return with_vms(record, vms)


def finish_moves(record: FleetRecord) -> FleetRecord:
    """Return drained VMs to service in the pool that they move to."""
    vms = dict(record.vms)
    count = 0
    for name, vm in record.vms.items():
        if vm.state is VmState.DRAINED and vm.destination:
            moved = attrs.evolve(vm, pool=vm.destination)
            vms[name] = return_to_service(moved, vm.operation_id)
            count += 1
    if not count:
        return record
    return attrs.evolve(
        record, vms=vms, moves_count=record.moves_count + count
    )
