"""Pure functions that advance maintenance waves on the fleet record."""

import attrs

from rosemarynotch._internal.control.availability import Availability
from rosemarynotch._internal.control.availability import is_planned_outage
from rosemarynotch._internal.control.fleet import begin_drain
from rosemarynotch._internal.control.fleet import return_to_service
from rosemarynotch._internal.control.fleet import with_vms
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import WaveSpec
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.models.records import WaveRecord
from rosemarynotch._internal.models.records import WaveState
from rosemarynotch._internal.policy.waves import WaveCandidate
from rosemarynotch._internal.policy.waves import WavePolicy
from rosemarynotch._internal.policy.waves import WavePool

__all__ = ["WaveInputs", "advance_drained", "advance_waves"]

NAMES_IN_REASON = 3


@attrs.frozen(kw_only=True)
class WaveInputs:
    """Observations of the controller besides the fleet record.

    :ivar token: makes the operation ids of new drains unique
    :ivar drained: (VM, operation id) pairs without work in flight
    :ivar waiting: reasons why draining VMs are not drained yet, by VM
    :ivar ejected: VMs that most entries have ejected
    :ivar lasting_failures: failed VMs that no longer pause a wave
    :ivar demand_slots: queued and running requests, by pool
    """

    token: str
    drained: frozenset[tuple[str, str]] = frozenset()
    waiting: dict[str, str] = attrs.field(factory=dict)
    ejected: frozenset[str] = frozenset()
    lasting_failures: frozenset[str] = frozenset()
    demand_slots: dict[str, float] = attrs.field(factory=dict)


def advance_drained(record: FleetRecord, inputs: WaveInputs) -> FleetRecord:
    """Mark draining VMs without work as drained, in a wave or not."""
    vms = dict(record.vms)
    for name, operation_id in inputs.drained:
        vm = vms.get(name)
        if (
            vm is not None
            and vm.state is VmState.DRAINING
            and vm.operation_id == operation_id
        ):
            vms[name] = attrs.evolve(vm, state=VmState.DRAINED)
    return with_vms(record, vms)


def advance_waves(
    record: FleetRecord,
    document: Document,
    policy: WavePolicy,
    inputs: WaveInputs,
) -> FleetRecord:
    """Advance every wave by one step.

    Drained VMs are marked for reboot before :func:`advance_drained` marks
    further VMs as drained, so that every state of a VM is recorded.
    """
    for name in sorted(record.waves):
        if record.waves[name].state is WaveState.DONE:
            continue
        step = WaveStep(name, record, document, policy, inputs)
        record = step.run()
    return record


class WaveStep:
    """Computes one step of a wave from one value of the fleet record."""

    def __init__(
        self,
        name: str,
        record: FleetRecord,
        document: Document,
        policy: WavePolicy,
        inputs: WaveInputs,
    ) -> None:
        self._name = name
        self._record = record
        self._wave: WaveRecord = record.waves[name]
        self._document = document
        self._policy = policy
        self._inputs = inputs
        self._vms = dict(record.vms)
        spec = document.wave(name)
        self._spec = spec or WaveSpec(name=name, pools=())

    def run(self) -> FleetRecord:
        """Return the record after the step."""
        pause = self._pause_reason()
        if self._wave.state is WaveState.RUNNING and not pause:
            held_by = self._advance()
        else:
            held_by = pause
            self._return_draining()
        self._finish_drained()
        return self._result(held_by)

    def _pause_reason(self) -> str:
        """Return why no VM may be drained, or an empty text.

        An operator has paused the wave, or VMs of its pools have failed.
        """
        if self._wave.state is WaveState.PAUSED:
            return f"paused by {self._wave.operator}"
        failed = sorted(
            name
            for name, vm in self._vms.items()
            if vm.pool in self._spec.pools
            and name not in self._inputs.lasting_failures
            and self._is_failed(name, vm)
        )
        return f"failed: {_abbreviate(failed)}" if failed else ""

    def _is_failed(self, name: str, vm: VmRecord) -> bool:
        if vm.state is VmState.FAILED:
            return True
        in_use = vm.state in (VmState.SERVING, VmState.DRAINING)
        return in_use and name in self._inputs.ejected

    def _return_draining(self) -> None:
        for name, vm in self._vms.items():
            if vm.wave == self._name and vm.state is VmState.DRAINING:
                self._vms[name] = return_to_service(vm)

    def _finish_drained(self) -> None:
        """Reboot drained VMs, or return them to service after an abort."""
        for name, vm in self._vms.items():
            if vm.wave != self._name or vm.state is not VmState.DRAINED:
                continue
            if self._wave.state is WaveState.ABORTED:
                self._vms[name] = return_to_service(vm)
            else:
                self._vms[name] = attrs.evolve(vm, state=VmState.REBOOTING)

    def _advance(self) -> str:
        """Drain the next VMs and return why the wave is held, if it is."""
        pools = self._pools()
        in_progress = sum(vm.wave == self._name for vm in self._vms.values())
        limit = self._spec.max_parallel_vms or len(self._vms)
        chosen = self._policy.choose(pools, limit - in_progress)
        refusal = self._begin_drains(chosen)
        if not chosen and not in_progress:
            return refusal or self._hold_reason(pools)
        return refusal or self._waiting_reason()

    def _begin_drains(self, chosen: list[str]) -> str:
        """Drain the chosen VMs as far as budgets allow; return a refusal."""
        availability = Availability(
            self._record, self._document, self._inputs.ejected
        )
        for name in chosen:
            failure = availability.refusal(name)
            if failure is not None:
                return failure.reason
            availability.mark_planned_outage(name)
            operation_id = f"{self._name}/{name}/{self._inputs.token}"
            self._vms[name] = begin_drain(
                self._vms[name], operation_id, wave=self._name
            )
        return ""

    def _waiting_reason(self) -> str:
        """Return why VMs that the wave drains are not drained yet."""
        reasons = {
            self._inputs.waiting[name]
            for name, vm in self._vms.items()
            if vm.wave == self._name and name in self._inputs.waiting
        }
        return _abbreviate(sorted(reasons))

    def _hold_reason(self, pools: list[WavePool]) -> str:
        """Return why the policy has chosen none of the unfinished VMs."""
        unfinished = self._unfinished_vms()
        if not unfinished:
            return ""
        with_candidates = [pool for pool in pools if pool.candidates]
        if not with_candidates:
            return f"not serving: {_abbreviate(unfinished)}"
        pool = with_candidates[0]
        if pool.spare_vms < 1:
            return f"budget of pool {pool.name}"
        if pool.out_vms:
            return f"VMs of pool {pool.name} are out of service"
        return f"load of pool {pool.name}"

    def _unfinished_vms(self) -> list[str]:
        done = set(self._wave.done_vms)
        return sorted(
            name
            for name, vm in self._vms.items()
            if vm.pool in self._spec.pools and name not in done
        )

    def _pools(self) -> list[WavePool]:
        availability = Availability(
            self._record, self._document, self._inputs.ejected
        )
        vms_by_pool: dict[str, list[str]] = {n: [] for n in self._spec.pools}
        for name, vm in self._vms.items():
            if vm.pool in vms_by_pool:
                vms_by_pool[vm.pool].append(name)
        done = set(self._wave.done_vms)
        return [
            self._pool(pool, names, done, availability)
            for pool, names in vms_by_pool.items()
        ]

    def _pool(self, pool, names, done, availability) -> WavePool:
        state = availability.pools.get(pool)
        serving = state.serving if state else set()
        candidates = tuple(
            WaveCandidate(
                vm=name,
                rack=(self._vms[name].data_centre, self._vms[name].rack),
                slots=self._vms[name].slots,
            )
            for name in sorted(serving)
            if name not in done
        )
        minimum = (state.min_available_vms if state else None) or 0
        return WavePool(
            name=pool,
            candidates=candidates,
            spare_vms=len(serving) - minimum,
            out_vms=sum(is_planned_outage(self._vms[name]) for name in names),
            out_racks=frozenset(state.planned_racks if state else ()),
            demand_slots=self._inputs.demand_slots.get(pool, 0.0),
            serving_slots=sum(self._vms[name].slots for name in serving),
        )

    def _result(self, held_by: str) -> FleetRecord:
        wave = self._wave
        if wave.state is WaveState.RUNNING and not self._unfinished_vms():
            wave = attrs.evolve(wave, state=WaveState.DONE, held_by="")
        elif wave.state is WaveState.ABORTED:
            wave = attrs.evolve(wave, held_by="") if wave.held_by else wave
        elif wave.held_by != held_by:
            wave = attrs.evolve(wave, held_by=held_by)
        record = with_vms(self._record, self._vms)
        if wave is self._wave:
            return record
        return attrs.evolve(record, waves={**record.waves, self._name: wave})


def _abbreviate(names: list[str]) -> str:
    shown = ", ".join(names[:NAMES_IN_REASON])
    more = len(names) - NAMES_IN_REASON
    return f"{shown} and {more} more" if more > 0 else shown
