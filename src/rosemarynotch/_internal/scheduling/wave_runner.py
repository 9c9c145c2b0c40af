"""Execution of maintenance waves."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PLATFORM_REFUSED
from rosemarynotch._internal.scheduling.cordons import Cordons
from rosemarynotch._internal.scheduling.emptying import Alternatives
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase
from rosemarynotch._internal.scheduling.maintenance import SpreadOverPools
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.maintenance import WaveVm
from rosemarynotch._internal.scheduling.pool_totals import count_pools
from rosemarynotch._internal.scheduling.vm_tracker import VmTracker
from rosemarynotch._internal.scheduling.wave_records import RunningWave
from rosemarynotch._internal.scheduling.wave_records import WaveStore

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["WaveRunner"]

LIST_INTERVAL_S = 1.0
# Added to the time that the VM service declares for a maintenance.
MAINTENANCE_MARGIN_S = 0.5
# The VM list may show a VM unchanged for this time after an order.
LIST_LAG_S = 0.7


class WaveRunner:
    """Empties and maintains the VMs of the operator's waves.

    Each order is recorded in the store before it is given, so that a later
    leader counts the VM as down.

    :param order: gives an order for each VM of a list; returns the answers
    :param mark_worker_replaced: records that an order for its VM has
        replaced a worker
    :param maintenance_s: time that the maintenance of a VM takes
    """

    def __init__(
        self,
        controller: "Controller",
        order: Callable[..., list[None | Failure]],
        mark_worker_replaced: Callable[[str], None],
        maintenance_s: float,
    ) -> None:
        self._controller = controller
        self._order = order
        self._mark_worker_replaced = mark_worker_replaced
        self._maintenance_s = maintenance_s + MAINTENANCE_MARGIN_S
        self._policy = SpreadOverPools()
        self._store = WaveStore(controller)
        self._tracker = VmTracker(controller, self._maintenance_s + LIST_LAG_S)
        self._waves: dict[int, RunningWave] = {}
        self._listed_at_s = -1e9
        self._cordons = Cordons(controller)

    def pending_vms(self) -> set[str]:
        """Return VMs that are being emptied or maintained for a wave."""
        pending: set[str] = set()
        for state in self._waves.values():
            if not state.is_completed:
                pending |= set(state.cordoned)
                pending |= set(state.record.ordered) - set(state.record.back)
        return pending

    def step(
        self,
        vms: dict[str, FleetVm],
        is_list_complete: bool,
        moving: set[str],
        now_s: float,
    ) -> None:
        """Look for new waves and advance those that are not completed.

        The status of a completed wave is written until the store has it.

        :param vms: the listed VMs by name
        :param is_list_complete: whether the list has all VMs
        :param moving: names of VMs with a pending move
        """
        if now_s - self._listed_at_s > LIST_INTERVAL_S:
            self._list(now_s)
        self._tracker.observe(vms, is_list_complete, now_s)
        for state in self._waves.values():
            if not state.is_completed:
                self._advance(state, vms, moving, now_s)
            elif not state.is_written:
                self._store.write(state)

    def _list(self, now_s: float) -> None:
        ports = self._controller.ports
        listing = ports.store.list_prefix(ports.waves_prefix)
        if isinstance(listing, Failure):
            return
        self._listed_at_s = now_s
        for item in listing.items:
            wave = ports.decode_wave(item)
            if isinstance(wave, Failure):
                self._controller.log("wave refused", why=wave.reason)
            elif wave.number not in self._waves:
                self._add(wave, now_s)

    def _add(self, wave: Wave, now_s: float) -> None:
        known = self._store.read(wave)
        if known is None:
            return
        record, revision = known
        wall_ms = self._controller.clock.wall_s() * 1000
        if not record.seen_unix_ms:
            record = attrs.evolve(record, seen_unix_ms=round(wall_ms))
        seen_at_s = now_s - record.age_s(wall_ms)
        self._waves[wave.number] = RunningWave(
            wave,
            seen_at_s,
            record,
            begun_at_s=dict.fromkeys(record.begun, now_s),
            revision=revision,
        )
        self._controller.log(
            "wave seen",
            wave=wave.number,
            vms=len(wave.vms),
            max_down=wave.max_down,
            ordered=len(record.ordered),
        )

    def _advance(
        self, state: RunningWave, vms, moving: set[str], now_s: float
    ) -> None:
        self._record_begun(state, vms, now_s)
        self._record_maintained(state, vms, now_s)
        self._retry_unanswered(state, vms)
        may_go_down = self._down_count(state, vms) < state.wave.max_down
        self._cordons.review(state, vms, may_go_down, now_s)
        self._maintain_empty(state, vms, now_s)
        self._cordon_next(state, vms, moving, now_s)
        remaining = [
            name
            for name in state.wave.vms
            if name not in state.record.back
            and not self._tracker.is_gone(name, now_s)
        ]
        if not remaining:
            state.is_completed = True
            self._store.write(state)
            self._controller.log("wave completed", wave=state.wave.number)
        elif not state.is_status_written or not state.is_written:
            state.is_status_written = self._store.write(state)

    def _record_begun(self, state: RunningWave, vms, now_s: float) -> None:
        """Record what the list of VMs tells of ordered VMs.

        A VM that is shown in maintenance needs no second order, also if the
        first one had no answer. This does not hold for a VM of two waves.
        """
        waves = [each.wave for each in self._waves.values()]
        for name, worker_id in state.record.ordered.items():
            vm = vms.get(name)
            if vm is None or name in state.record.back:
                continue
            if (
                name not in state.begun_at_s
                and vm.phase is VmPhase.MAINTENANCE
                and sum(name in wave.vms for wave in waves) == 1
            ):
                state.mark_begun(name, now_s)
            if name not in state.begun_at_s or not worker_id:
                continue
            # A confirmed order does not show that the worker has ended: it is
            # also confirmed if the VM was maintained before.
            if vm.phase is not VmPhase.UP or vm.worker_id != worker_id:
                self._mark_worker_replaced(worker_id)

    def _record_maintained(
        self, state: RunningWave, vms, now_s: float
    ) -> None:
        """Add VMs that are maintained, or have left, to the record."""
        back = set(state.record.back)
        for name, worker_id in state.record.ordered.items():
            vm = vms.get(name)
            if name in back:
                continue
            if vm is None:
                is_over = self._tracker.is_gone(name, now_s)
            else:
                is_over = self._is_maintained(state, vm, worker_id, now_s)
            if is_over:
                back.add(name)
                self._controller.log(
                    "vm maintained", wave=state.wave.number, vm=name
                )
                if vm is not None:
                    self._cordons.end(vm.worker_id)
        if len(back) != len(state.record.back):
            state.record = attrs.evolve(state.record, back=tuple(sorted(back)))
            state.is_written = False

    def _is_maintained(
        self, state: RunningWave, vm: FleetVm, worker_id: str, now_s: float
    ) -> bool:
        """Return whether the maintenance of a VM is over.

        :param worker_id: worker that ran on the VM when it was ordered
        """
        begun_at_s = state.begun_at_s.get(vm.name)
        if begun_at_s is None or vm.phase is not VmPhase.UP:
            return False
        since_s = now_s - begun_at_s
        if not vm.worker_id:
            # A VM that is switched off has no worker. Its maintenance takes a
            # known time.
            return since_s > self._maintenance_s
        if vm.worker_id != worker_id:
            return since_s > LIST_LAG_S
        # It was maintained before the order, which ended nothing. Otherwise
        # the list would show the maintenance by now.
        return since_s > self._maintenance_s + LIST_LAG_S

    def _retry_unanswered(self, state: RunningWave, vms) -> None:
        """Cordon VMs whose order had no answer, to repeat it when empty."""
        for name in state.record.ordered:
            vm = vms.get(name)
            if vm is None or name in state.begun_at_s:
                continue
            if name in state.record.back or name in state.cordoned:
                continue
            if vm.phase is VmPhase.UP:
                self._cordons.add(state, vm)

    def _maintain_empty(self, state: RunningWave, vms, now_s) -> None:
        """Order the maintenance of cordoned VMs that have no runs left."""
        controller = self._controller
        empty = []
        for name, worker_id in list(state.cordoned.items()):
            vm = vms.get(name)
            if vm is None or vm.worker_id != worker_id:
                del state.cordoned[name]
                if name not in state.record.ordered:
                    self._cordons.end(worker_id)
                continue
            with controller.lock:
                worker = controller.scheduler.workers.get(worker_id)
                is_empty = (
                    worker.is_empty
                    if worker
                    else self._tracker.is_without_worker(vm, now_s)
                )
            if is_empty:
                empty.append(vm)
        ordered_before = set(state.record.ordered)
        chosen = self._record_orders(
            state, empty, self._down_count(state, vms)
        )
        for vm in chosen:
            del state.cordoned[vm.name]
        # The calls are concurrent, since pools wait for VMs meanwhile.
        answers = self._order("maintain", chosen, state.wave.number)
        # Records and calls take time, so the step began long before.
        answered_s = controller.clock.monotonic_s()
        for vm, answer in zip(chosen, answers):
            is_first = vm.name not in ordered_before
            self._record_answer(state, vm, answer, is_first, answered_s)

    @staticmethod
    def _down_count(state: RunningWave, vms: dict[str, FleetVm]) -> int:
        """Return the number of VMs that are down or may go down.

        It includes VMs whose order had no answer and may take effect late,
        and VMs that only the list shows in maintenance, as the record of an
        earlier leader may be unreadable.
        """
        down = set(state.record.ordered) - set(state.record.back)
        down.update(
            name
            for name in state.wave.vms
            if name in vms and vms[name].phase is VmPhase.MAINTENANCE
        )
        return len(down)

    def _record_orders(
        self, state: RunningWave, vms: list[FleetVm], down_count: int
    ) -> list[FleetVm]:
        """Record VMs as ordered, as far as the wave's limit allows.

        :param down_count: number of VMs that are down or may go down
        :returns: the VMs that are recorded and may be ordered now
        """
        previous = state.record
        repeated = [vm for vm in vms if vm.name in previous.ordered]
        new = [vm for vm in vms if vm.name not in previous.ordered]
        new = new[: max(0, state.wave.max_down - down_count)]
        if not new:
            return repeated
        added = {vm.name: vm.worker_id for vm in new}
        state.record = attrs.evolve(previous, ordered=previous.ordered | added)
        if self._store.write(state):
            return repeated + new
        # If the failed write is applied after all, the next write removes the
        # new VMs.
        state.record = previous
        return repeated

    def _record_answer(
        self,
        state: RunningWave,
        vm: FleetVm,
        answer: None | Failure,
        is_first: bool,
        now_s: float,
    ) -> None:
        """Apply the answer to an order.

        A refusal shows that this order was not carried out. An earlier one
        without an answer may have been, so the VM still counts as down.

        :param is_first: whether no earlier order for the VM is recorded
        """
        if answer is None:
            state.mark_begun(vm.name, now_s)
        elif is_first and answer.is_a(PLATFORM_REFUSED):
            ordered = dict(state.record.ordered)
            del ordered[vm.name]
            state.record = attrs.evolve(state.record, ordered=ordered)
            state.is_written = False
            self._cordons.end(vm.worker_id)

    def _cordon_next(
        self, state: RunningWave, vms, moving: set[str], now_s: float
    ) -> None:
        """Cordon the VMs that the policy chooses next."""
        down_count = self._down_count(state, vms)
        limit = state.wave.max_down - down_count - len(state.cordoned)
        if limit <= 0:
            return
        controller = self._controller
        with controller.lock:
            candidates = self._candidates(state, vms, moving, now_s)
            elapsed = (now_s - state.seen_at_s) / max(state.wave.duration_s, 1)
            chosen = self._policy.choose(candidates, limit, elapsed)
            for name in chosen:
                self._cordons.add(state, vms[name])

    def _candidates(
        self, state, vms, moving: set[str], now_s: float
    ) -> list[WaveVm]:
        """Return the VMs of a wave that may be cordoned now."""
        scheduler = self._controller.scheduler
        totals = count_pools(scheduler, vms.values())
        alternatives = Alternatives(scheduler, vms.values())
        candidates = []
        for name in state.wave.vms:
            vm = vms.get(name)
            if vm is None or vm.phase is not VmPhase.UP or name in moving:
                continue
            if name in state.record.ordered or name in state.cordoned:
                continue
            is_without_worker = self._tracker.is_without_worker(vm, now_s)
            if not vm.worker_id and not is_without_worker:
                continue
            if not self._cordons.may_add(state, vm, alternatives, now_s):
                continue
            worker = scheduler.workers.get(vm.worker_id)
            total = totals[vm.pool]
            candidates.append(
                WaveVm(
                    name=name,
                    pool=vm.pool,
                    pool_vms=total.vms,
                    pool_unavailable_vms=total.unavailable_vms,
                    pool_utilisation=total.utilisation,
                    run_count=len(worker.runs) if worker else 0,
                    is_free=is_without_worker
                    or vm.data_centre in scheduler.evacuated_at_s,
                )
            )
        return candidates
