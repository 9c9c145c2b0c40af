"""Carries out maintenance waves."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PLATFORM_REFUSED
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.maintenance import SpreadOverPools
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.maintenance import WaveRecord
from rosemarynotch._internal.scheduling.maintenance import WaveVm
from rosemarynotch._internal.scheduling.ports import Condition
from rosemarynotch._internal.scheduling.ports import FleetVm
from rosemarynotch._internal.scheduling.ports import VmPhase
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.records import LEADER_KEY

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["WaveRunner"]

WAVES_PREFIX = "waves/"
LIST_INTERVAL_S = 1.0
# Added to the declared time of a maintenance.
MAINTENANCE_MARGIN_S = 0.5
# A VM that was just ordered may still be listed as it was before.
LIST_LAG_S = 0.7


@attrs.define
class _RunningWave:
    """A wave that this leader follows.

    :ivar cordoned: VMs that are being emptied, with their workers
    :ivar begun_at_s: when the VM service confirmed a VM's maintenance
    """

    wave: Wave
    seen_at_s: float
    record: WaveRecord
    cordoned: dict[str, str] = attrs.field(factory=dict)
    begun_at_s: dict[str, float] = attrs.field(factory=dict)
    is_announced: bool = False
    is_completed: bool = False
    is_written: bool = True

    @property
    def down_count(self) -> int:
        """VMs that are down, or may become so through a late order."""
        return len(self.record.ordered) - len(self.record.back)


class WaveRunner:
    """Follows the operator's waves and maintains their VMs.

    An order is recorded in the store before it is given, so that a later
    leader counts the VM as down.

    :param order: gives orders for VMs; returns an answer for each
    :param end_worker: takes note that a worker has ended
    :param maintenance_s: time that the maintenance of a VM takes
    """

    def __init__(
        self,
        controller: "Controller",
        order: Callable[..., list[None | Failure]],
        end_worker: Callable[[str], None],
        maintenance_s: float,
    ) -> None:
        self._controller = controller
        self._order = order
        self._end_worker = end_worker
        self._maintenance_s = maintenance_s + MAINTENANCE_MARGIN_S
        self._policy = SpreadOverPools()
        self._waves: dict[int, _RunningWave] = {}
        self._listed_at_s = -1e9

    def pending_vms(self) -> set[str]:
        """Return VMs that are being emptied or maintained for a wave."""
        pending: set[str] = set()
        for each in self._waves.values():
            if not each.is_completed:
                pending |= set(each.cordoned)
                pending |= set(each.record.ordered) - set(each.record.back)
        return pending

    def step(
        self, vms: dict[str, FleetVm], moving: set[str], now_s: float
    ) -> None:
        """Advance all waves."""
        if now_s - self._listed_at_s > LIST_INTERVAL_S:
            self._list(now_s)
        for each in self._waves.values():
            if not each.is_completed:
                self._advance(each, vms, moving, now_s)

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
        item = self._controller.ports.store.get(self._key(wave))
        record = WaveRecord()
        if not isinstance(item, Failure):
            known = decode(item.value, WaveRecord)
            record = record if isinstance(known, Failure) else known
        elif not item.is_a(STORE_KEY_MISSING):
            return
        wall_ms = self._controller.clock.wall_s() * 1000
        if not record.seen_unix_ms:
            record = attrs.evolve(record, seen_unix_ms=round(wall_ms))
        seen_at_s = now_s - record.age_s(wall_ms)
        self._waves[wave.number] = _RunningWave(wave, seen_at_s, record)
        self._controller.log(
            "wave seen",
            wave=wave.number,
            vms=len(wave.vms),
            max_down=wave.max_down,
            ordered=len(record.ordered),
        )

    @staticmethod
    def _key(wave: Wave) -> str:
        return f"{WAVES_PREFIX}{wave.number}"

    def _advance(
        self, each: _RunningWave, vms, moving: set[str], now_s: float
    ) -> None:
        self._note_back(each, vms, now_s)
        self._repeat_unanswered(each, vms)
        self._maintain_empty(each, vms, now_s)
        self._choose(each, vms, moving, now_s)
        left = [
            name
            for name in each.wave.vms
            if name in vms and name not in each.record.back
        ]
        if not left:
            each.is_completed = True
            self._write(each)
            self._controller.log("wave completed", wave=each.wave.number)
        elif not each.is_announced or not each.is_written:
            each.is_announced = self._write(each)

    def _note_back(self, each: _RunningWave, vms, now_s: float) -> None:
        back = set(each.record.back)
        for name, worker_id in each.record.ordered.items():
            vm = vms.get(name)
            if name in back:
                continue
            if vm is None or self._is_back(each, vm, worker_id, now_s):
                back.add(name)
                self._controller.log(
                    "vm maintained", wave=each.wave.number, vm=name
                )
                if vm is not None:
                    self._uncordon(vm.worker_id)
        if len(back) != len(each.record.back):
            each.record = attrs.evolve(each.record, back=tuple(sorted(back)))
            each.is_written = False

    def _is_back(
        self, each: _RunningWave, vm: FleetVm, worker_id: str, now_s: float
    ) -> bool:
        begun_at_s = each.begun_at_s.get(vm.name)
        if begun_at_s is None or vm.phase is not VmPhase.UP:
            return False
        since_s = now_s - begun_at_s
        if vm.worker_id:
            # An order that was done before answers alike and ends nothing.
            return vm.worker_id != worker_id and since_s > LIST_LAG_S
        # A VM that is off has no worker; its maintenance takes a known time.
        return since_s > self._maintenance_s

    def _repeat_unanswered(self, each: _RunningWave, vms) -> None:
        """Empty VMs again whose order had no answer, to repeat it."""
        for name in each.record.ordered:
            vm = vms.get(name)
            if vm is None or name in each.begun_at_s:
                continue
            if name in each.record.back or name in each.cordoned:
                continue
            if vm.phase is VmPhase.UP:
                self._cordon(each, vm)

    def _cordon(self, each: _RunningWave, vm: FleetVm) -> None:
        """Keep new runs from a VM."""
        with self._controller.lock:
            worker = self._controller.scheduler.workers.get(vm.worker_id)
            if worker is not None:
                worker.is_cordoned = True
            each.cordoned[vm.name] = vm.worker_id

    def _maintain_empty(self, each: _RunningWave, vms, now_s) -> None:
        controller = self._controller
        empty = []
        for name, worker_id in list(each.cordoned.items()):
            vm = vms.get(name)
            if vm is None or vm.worker_id != worker_id:
                del each.cordoned[name]
                continue
            with controller.lock:
                worker = controller.scheduler.workers.get(worker_id)
                is_empty = worker.is_empty if worker else not worker_id
            if is_empty:
                empty.append(vm)
        chosen = self._record_orders(each, empty)
        for vm in chosen:
            del each.cordoned[vm.name]
        # All at once: pools wait for VMs meanwhile.
        answers = self._order("maintain", chosen, each.wave.number)
        for vm, answer in zip(chosen, answers):
            self._note_answer(each, vm, answer, now_s)

    def _record_orders(
        self, each: _RunningWave, vms: list[FleetVm]
    ) -> list[FleetVm]:
        """Write which VMs are about to be maintained.

        :returns: those of them that may be, and are recorded
        """
        before = each.record
        again = [vm for vm in vms if vm.name in before.ordered]
        fresh = [vm for vm in vms if vm.name not in before.ordered]
        fresh = fresh[: max(0, each.wave.max_down - each.down_count)]
        if not fresh:
            return again
        added = {vm.name: vm.worker_id for vm in fresh}
        each.record = attrs.evolve(before, ordered=before.ordered | added)
        if self._write(each):
            return again + fresh
        # If it was written all the same, the next write removes them.
        each.record = before
        return again

    def _note_answer(
        self,
        each: _RunningWave,
        vm: FleetVm,
        answer: None | Failure,
        now_s: float,
    ) -> None:
        if answer is None:
            each.begun_at_s[vm.name] = now_s
            if vm.worker_id == each.record.ordered[vm.name]:
                self._end_worker(vm.worker_id)
        elif answer.is_a(PLATFORM_REFUSED):
            ordered = dict(each.record.ordered)
            del ordered[vm.name]
            each.record = attrs.evolve(each.record, ordered=ordered)
            each.is_written = False
            self._uncordon(vm.worker_id)

    def _uncordon(self, worker_id: str) -> None:
        with self._controller.lock:
            worker = self._controller.scheduler.workers.get(worker_id)
            if worker is not None:
                worker.is_cordoned = False

    def _choose(
        self, each: _RunningWave, vms, moving: set[str], now_s: float
    ) -> None:
        limit = each.wave.max_down - each.down_count - len(each.cordoned)
        if limit <= 0:
            return
        controller = self._controller
        with controller.lock:
            candidates = self._candidates(each, vms, moving)
            elapsed = (now_s - each.seen_at_s) / max(each.wave.duration_s, 1)
            chosen = self._policy.choose(candidates, limit, elapsed)
            for name in chosen:
                self._cordon(each, vms[name])

    def _candidates(self, each, vms, moving: set[str]) -> list[WaveVm]:
        scheduler = self._controller.scheduler
        pools = scheduler.configuration.pools
        totals: dict[str, list[float]] = {}
        for vm in vms.values():
            worker = scheduler.workers.get(vm.worker_id)
            total = totals.setdefault(vm.pool, [0, 0, 0.0, 0.0])
            total[0] += 1
            is_in = worker is not None and not worker.is_cordoned
            if not is_in or vm.phase is not VmPhase.UP:
                total[1] += 1
                continue
            total[2] += worker.reserved.cpu_millicores
            total[3] += worker.entry.capacity.cpu_millicores
        candidates = []
        for name in each.wave.vms:
            vm = vms.get(name)
            if vm is None or vm.phase is not VmPhase.UP or name in moving:
                continue
            if name in each.record.ordered or name in each.cordoned:
                continue
            worker = scheduler.workers.get(vm.worker_id)
            total = totals[vm.pool]
            policy = pools.get(vm.pool)
            candidates.append(
                WaveVm(
                    name=name,
                    pool=vm.pool,
                    pool_vms=int(total[0]),
                    pool_unavailable_vms=int(total[1]),
                    pool_utilisation=total[2] / total[3] if total[3] else 1.0,
                    run_count=len(worker.runs) if worker else 0,
                    is_free=policy is not None and policy.is_standby,
                )
            )
        return candidates

    def _write(self, each: _RunningWave) -> bool:
        """Write the record and the status that the operator reads."""
        controller = self._controller
        ports = controller.ports
        answer = ports.store.commit(
            [Condition(LEADER_KEY, controller.grant.fence)],
            [
                Write(self._key(each.wave), encode(each.record)),
                Write(
                    f"{ports.wave_status_prefix}{each.wave.number}",
                    ports.encode_wave_status(each.is_completed),
                ),
            ],
        )
        each.is_written = isinstance(answer, int)
        if not each.is_written:
            controller.log("wave not written", wave=each.wave.number)
        return each.is_written
