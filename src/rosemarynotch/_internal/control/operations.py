"""Operators' changes of the fleet record.

Each operation is one compare-and-swap. Repeating it with the same operation
id has no further effect, so a caller can retry after a lost answer. An
operation id must not be reused for another operation.
"""

from typing import Callable

import attrs

from rosemarynotch._internal.control.availability import Availability
from rosemarynotch._internal.control.fleet import begin_drain
from rosemarynotch._internal.control.fleet import REMOVE_PREFIX
from rosemarynotch._internal.control.fleet import return_to_service
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import POOL_UNKNOWN
from rosemarynotch._internal.exceptions import VM_BUSY
from rosemarynotch._internal.exceptions import VM_UNKNOWN
from rosemarynotch._internal.exceptions import WAVE_UNKNOWN
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.models.records import WaveRecord
from rosemarynotch._internal.models.records import WaveState
from rosemarynotch._internal.reference.records import FLEET_KEY
from rosemarynotch._internal.reference.records import Record
from rosemarynotch._internal.reference.records import RecordStore

__all__ = [
    "abort_wave",
    "drain_vm",
    "move_vm",
    "pause_wave",
    "resume_wave",
    "start_wave",
    "undrain_vm",
]

DRAIN_STATES = (VmState.DRAINING, VmState.DRAINED)
ACTIVE_WAVES = (WaveState.RUNNING, WaveState.PAUSED)


def drain_vm(
    records: RecordStore,
    document: Document,
    vm: str,
    operation_id: str,
    failed: frozenset[str] = frozenset(),
) -> Record | Failure:
    """Take a VM out of service until it is undrained.

    :param failed: VMs observed as failed, besides those in the record
    :returns: the fleet record, VM_UNKNOWN, VM_BUSY, BUDGET_WOULD_BREAK or
        STORE_UNAVAILABLE
    """

    def change(record: FleetRecord) -> FleetRecord | Failure:
        found = record.vms.get(vm)
        if found is None:
            return VM_UNKNOWN.with_reason(vm)
        if found.operation_id == operation_id and found.state in DRAIN_STATES:
            return record
        refusal = _refusal(record, document, vm, failed)
        if refusal is not None:
            return refusal
        return _with_vm(record, vm, begin_drain(found, operation_id))

    return _apply(records, change)


def undrain_vm(
    records: RecordStore, vm: str, operation_id: str
) -> Record | Failure:
    """Return a VM to service that was drained or is about to move.

    :returns: the fleet record, VM_UNKNOWN, VM_BUSY or STORE_UNAVAILABLE
    """

    def change(record: FleetRecord) -> FleetRecord | Failure:
        found = record.vms.get(vm)
        if found is None:
            return VM_UNKNOWN.with_reason(vm)
        if found.state is VmState.SERVING:
            return record
        if found.state not in DRAIN_STATES:
            return _busy(vm, found)
        if found.wave or found.operation_id.startswith(REMOVE_PREFIX):
            return _busy(vm, found)
        return _with_vm(record, vm, return_to_service(found, operation_id))

    return _apply(records, change)


def move_vm(
    records: RecordStore,
    document: Document,
    vm: str,
    pool: str,
    operation_id: str,
    failed: frozenset[str] = frozenset(),
) -> Record | Failure:
    """Drain a VM and move it to another pool afterwards.

    :returns: the fleet record, VM_UNKNOWN, POOL_UNKNOWN, VM_BUSY,
        BUDGET_WOULD_BREAK or STORE_UNAVAILABLE
    """

    def change(record: FleetRecord) -> FleetRecord | Failure:
        found = record.vms.get(vm)
        if found is None:
            return VM_UNKNOWN.with_reason(vm)
        if document.pool(pool) is None:
            return POOL_UNKNOWN.with_reason(pool)
        if pool in (found.pool, found.destination):
            if found.operation_id == operation_id:
                return record
        if found.state is VmState.SERVING and found.pool == pool:
            return record
        refusal = _refusal(record, document, vm, failed)
        if refusal is not None:
            return refusal
        moving = begin_drain(found, operation_id, destination=pool)
        return _with_vm(record, vm, moving)

    return _apply(records, change)


def start_wave(
    records: RecordStore,
    document: Document,
    wave: str,
    operator: str,
    reason: str,
) -> Record | Failure:
    """Start a wave; no effect if it is running or paused.

    :returns: the fleet record, WAVE_UNKNOWN or STORE_UNAVAILABLE
    """

    def change(record: FleetRecord) -> FleetRecord | Failure:
        if document.wave(wave) is None:
            return WAVE_UNKNOWN.with_reason(wave)
        found = record.waves.get(wave)
        if found is not None and found.state in ACTIVE_WAVES:
            return record
        started = WaveRecord(
            state=WaveState.RUNNING, operator=operator, reason=reason
        )
        return _with_wave(record, wave, started)

    return _apply(records, change)


def pause_wave(
    records: RecordStore, wave: str, operator: str, reason: str
) -> Record | Failure:
    """Pause a wave, so that its draining VMs return to service.

    :returns: the fleet record, WAVE_UNKNOWN or STORE_UNAVAILABLE
    """
    return _set_wave(records, wave, WaveState.PAUSED, operator, reason)


def resume_wave(
    records: RecordStore, wave: str, operator: str, reason: str
) -> Record | Failure:
    """Resume a paused wave.

    :returns: the fleet record, WAVE_UNKNOWN or STORE_UNAVAILABLE
    """
    return _set_wave(records, wave, WaveState.RUNNING, operator, reason)


def abort_wave(
    records: RecordStore, wave: str, operator: str, reason: str
) -> Record | Failure:
    """Abort a wave; its VMs that are not rebooting return to service.

    :returns: the fleet record, WAVE_UNKNOWN or STORE_UNAVAILABLE
    """
    return _set_wave(records, wave, WaveState.ABORTED, operator, reason)


def _set_wave(records, wave, state, operator, reason) -> Record | Failure:
    def change(record: FleetRecord) -> FleetRecord | Failure:
        found = record.waves.get(wave)
        if found is None:
            return WAVE_UNKNOWN.with_reason(f"{wave} was never started")
        if found.state is state:
            return record
        if found.state not in ACTIVE_WAVES:
            return WAVE_UNKNOWN.with_reason(f"{wave} is {found.state}")
        changed = attrs.evolve(
            found, state=state, operator=operator, reason=reason, held_by=""
        )
        return _with_wave(record, wave, changed)

    return _apply(records, change)


def _apply(
    records: RecordStore, change: Callable[[FleetRecord], object]
) -> Record | Failure:
    """Apply a change and announce its revision in the head record.

    A failed announcement is not reported, since followers also read the
    record periodically.
    """
    written = records.update(
        FLEET_KEY, FleetRecord, FleetRecord(), change, compressed=True
    )
    if not isinstance(written, Failure):
        records.bump_head(fleet_revision=written.revision)
    return written


def _refusal(record, document, vm, failed) -> Failure | None:
    found = record.vms[vm]
    if found.state is not VmState.SERVING:
        return _busy(vm, found)
    return Availability(record, document, failed).refusal(vm)


def _busy(vm: str, found: VmRecord) -> Failure:
    by = f" by {found.operation_id}" if found.operation_id else ""
    return VM_BUSY.with_reason(f"{vm} is {found.state}{by}")


def _with_vm(record: FleetRecord, name: str, vm: VmRecord) -> FleetRecord:
    return attrs.evolve(record, vms={**record.vms, name: vm})


def _with_wave(
    record: FleetRecord, name: str, wave: WaveRecord
) -> FleetRecord:
    return attrs.evolve(record, waves={**record.waves, name: wave})
