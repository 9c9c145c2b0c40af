"""Pure functions that reconcile the fleet record."""

import attrs

from rosemarynotch._internal.control.availability import Availability
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.reference.interface import PlatformVm
from rosemarynotch._internal.reference.interface import PlatformVmState

__all__ = [
    "sync_declared",
    "begin_drain",
    "drain_undeclared",
    "apply_vm_list",
    "is_list_plausible",
    "is_operator_drain",
    "return_to_service",
    "with_vms",
]

REMOVE_PREFIX = "remove/"

# States without work on the VM, in which an undeclared VM can be dropped.
IDLE_STATES = frozenset((VmState.DRAINED, VmState.FAILED, VmState.JOINING))
# States in which the platform's list must include the VM.
LISTED_STATES = frozenset(
    (VmState.SERVING, VmState.DRAINING, VmState.DRAINED, VmState.LEAVING)
)


def with_vms(record: FleetRecord, vms: dict[str, VmRecord]) -> FleetRecord:
    """Return the record with these VMs, the same object if unchanged."""
    if vms.keys() == record.vms.keys() and all(
        vm is record.vms[name] for name, vm in vms.items()
    ):
        return record
    return attrs.evolve(record, vms=vms)


def begin_drain(
    vm: VmRecord, operation_id: str, wave: str = "", destination: str = ""
) -> VmRecord:
    """Return the VM in state DRAINING, under the given operation."""
    return attrs.evolve(
        vm,
        state=VmState.DRAINING,
        operation_id=operation_id,
        wave=wave,
        destination=destination,
    )


def return_to_service(vm: VmRecord, operation_id: str = "") -> VmRecord:
    """Return the VM in state SERVING, without wave or destination.

    :param operation_id: the operation that led to this, kept so that a
        repeat of it is recognised
    """
    return attrs.evolve(
        vm,
        state=VmState.SERVING,
        operation_id=operation_id,
        wave="",
        destination="",
    )


def is_operator_drain(vm: VmRecord) -> bool:
    """Return whether an operator drained this VM."""
    return (
        vm.state in (VmState.DRAINING, VmState.DRAINED)
        and not vm.wave
        and not vm.destination
        and not vm.operation_id.startswith(REMOVE_PREFIX)
    )


def _declared_vms(document: Document) -> dict[str, tuple[str, VmSpec]]:
    return {
        spec.name: (pool.name, spec)
        for pool in document.pools
        for spec in pool.vms
    }


def sync_declared(record: FleetRecord, document: Document) -> FleetRecord:
    """Add declared VMs and drop idle ones that are no longer declared.

    A VM keeps the pool in the record, since moves change it; the declared
    pool applies when the VM is new or its pool was removed.
    """
    declared = _declared_vms(document)
    pools = {pool.name for pool in document.pools}
    vms = {}
    for name, vm in record.vms.items():
        if name in declared:
            vms[name] = _apply_spec(vm, *declared[name], pools)
        elif vm.state not in IDLE_STATES:
            vms[name] = vm
    for name, (pool, spec) in declared.items():
        if name not in vms:
            vms[name] = _new_vm(pool, spec)
    return with_vms(record, vms)


def _new_vm(pool: str, spec: VmSpec) -> VmRecord:
    return VmRecord(
        pool=pool,
        state=VmState.JOINING,
        instance="",
        address="",
        data_centre=spec.data_centre,
        rack=spec.rack,
        slots=spec.slots,
        connections=spec.connections,
    )


def _apply_spec(
    vm: VmRecord, pool: str, spec: VmSpec, pools: set[str]
) -> VmRecord:
    declared = (spec.data_centre, spec.rack, spec.slots, spec.connections)
    if declared != (vm.data_centre, vm.rack, vm.slots, vm.connections):
        vm = attrs.evolve(
            vm,
            data_centre=spec.data_centre,
            rack=spec.rack,
            slots=spec.slots,
            connections=spec.connections,
        )
    if vm.destination and vm.destination not in pools:
        return return_to_service(vm)
    if vm.pool not in pools and vm.state in IDLE_STATES:
        return vm if vm.destination else attrs.evolve(vm, pool=pool)
    return vm


def drain_undeclared(
    record: FleetRecord,
    document: Document,
    token: str,
    failed: frozenset[str] = frozenset(),
) -> FleetRecord:
    """Drain VMs whose declaration or pool was removed, as budgets allow.

    A VM that is still declared moves to its declared pool.

    :param token: makes the operation ids of new drains unique
    """
    declared = _declared_vms(document)
    pools = {pool.name for pool in document.pools}
    to_drain = [
        name
        for name, vm in record.vms.items()
        if vm.state is VmState.SERVING
        and (name not in declared or vm.pool not in pools)
    ]
    if not to_drain:
        return record
    availability = Availability(record, document, failed)
    vms = dict(record.vms)
    for name in to_drain:
        if availability.refusal(name) is not None:
            continue
        availability.mark_planned_outage(name)
        destination = declared[name][0] if name in declared else ""
        operation_id = f"{REMOVE_PREFIX}{name}/{token}"
        vms[name] = begin_drain(
            vms[name], operation_id, destination=destination
        )
    return with_vms(record, vms)


def is_list_plausible(record: FleetRecord, listed: list[PlatformVm]) -> bool:
    """Return whether the platform's list may be applied to the record.

    A list that is empty, or lacks over half of the VMs that it should
    include, more likely means a fault of the list than of the fleet.
    """
    names = {row.name for row in listed}
    known = [
        name
        for name, vm in record.vms.items()
        if vm.instance and vm.state in LISTED_STATES
    ]
    missing = sum(name not in names for name in known)
    return bool(names) and 2 * missing <= len(known)


def apply_vm_list(
    record: FleetRecord, listed: list[PlatformVm]
) -> FleetRecord:
    """Apply addresses, instances and states of the platform's VM list.

    The list must be plausible. Listed VMs that are not in the record are
    ignored.
    """
    rows = {row.name: row for row in listed}
    vms = {}
    done: dict[str, list[str]] = {}
    for name, vm in record.vms.items():
        row = rows.get(name)
        vms[name] = _apply_missing(vm) if row is None else _apply_row(vm, row)
        if vm.wave and vms[name].state is VmState.SERVING:
            done.setdefault(vm.wave, []).append(name)
    waves = dict(record.waves)
    for wave, names in done.items():
        if wave in waves:
            done_vms = (*waves[wave].done_vms, *names)
            waves[wave] = attrs.evolve(waves[wave], done_vms=done_vms)
    record = with_vms(record, vms)
    return attrs.evolve(record, waves=waves) if done else record


def _apply_missing(vm: VmRecord) -> VmRecord:
    if not vm.instance or vm.state in (VmState.REBOOTING, VmState.FAILED):
        return vm
    if is_operator_drain(vm):
        # The operator may be repairing it; it stays out of service until it
        # is undrained.
        return _evolve(vm, state=VmState.DRAINED)
    state = VmState.FAILED
    if vm.state is VmState.LEAVING:
        # It left as announced; its successor joins like a new VM.
        state = VmState.JOINING
    return _evolve(
        vm, state=state, instance="", operation_id="", wave="", destination=""
    )


def _apply_row(vm: VmRecord, row: PlatformVm) -> VmRecord:
    if row.state is not PlatformVmState.LIVE:
        return _apply_not_live(vm, row)
    if vm.state is VmState.REBOOTING:
        if row.instance == vm.instance:
            return vm
        return _begin_joining(vm, row)
    if vm.state is VmState.JOINING:
        return _apply_to_joining(vm, row)
    if is_operator_drain(vm):
        return _evolve(vm, instance=row.instance, address=row.address)
    if vm.state in (VmState.FAILED, VmState.LEAVING):
        return _begin_joining(vm, row)
    if row.instance != vm.instance:
        # Restarted or replaced between two lists; operations on the old
        # instance no longer apply.
        return _begin_joining(_without_operation(vm), row)
    return _evolve(vm, address=row.address)


def _apply_not_live(vm: VmRecord, row: PlatformVm) -> VmRecord:
    if vm.state is VmState.REBOOTING or is_operator_drain(vm):
        return vm
    if vm.state in (VmState.FAILED, VmState.JOINING):
        return vm
    return _evolve(
        _without_operation(vm), state=VmState.LEAVING, instance=row.instance
    )


def _begin_joining(vm: VmRecord, row: PlatformVm) -> VmRecord:
    return _evolve(
        vm,
        state=VmState.JOINING,
        instance=row.instance,
        address=row.address,
    )


def _apply_to_joining(vm: VmRecord, row: PlatformVm) -> VmRecord:
    if row.instance != vm.instance or row.address != vm.address:
        return _begin_joining(vm, row)
    if not row.address:
        return vm
    return return_to_service(vm)


def _without_operation(vm: VmRecord) -> VmRecord:
    return _evolve(vm, operation_id="", wave="", destination="")


def _evolve(vm: VmRecord, **fields) -> VmRecord:
    """Return the VM with changed fields, the same object if all are equal."""
    if all(getattr(vm, name) == value for name, value in fields.items()):
        return vm
    return attrs.evolve(vm, **fields)
