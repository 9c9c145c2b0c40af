"""Cordons the VMs of waves, and gives back those that cannot be emptied."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.scheduling.emptying import Alternatives
from rosemarynotch._internal.scheduling.emptying import Emptying
from rosemarynotch._internal.scheduling.emptying import judge_emptying
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.wave_records import RunningWave
from rosemarynotch._internal.scheduling.workers import Worker

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["Cordons"]

# A VM that was given back is cordoned again after this time, and after twice
# as long each further time.
RETRY_S = 5.0
MAX_RETRY_S = 60.0
# Interval at which cordoned VMs that are not empty are logged.
REPORT_INTERVAL_S = 5.0


@attrs.define
class _Cordon:
    """A VM that has to become empty.

    :ivar run_count: runs that it had when it was looked at last
    :ivar since_s: since when it has as many
    :ivar reported_at_s: when it was last logged
    """

    run_count: int = -1
    since_s: float = 0.0
    reported_at_s: float = 0.0


@attrs.define
class _Retry:
    """When a VM that was given back may be cordoned again."""

    at_s: float
    pause_s: float


class Cordons:
    """Keeps new runs away from VMs until they are empty.

    A cordon that cannot lead to a maintenance ends: a VM whose serving tasks
    fit nowhere else, and may not be stopped, serves on.
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._cordons: dict[str, _Cordon] = {}
        self._retries: dict[str, _Retry] = {}
        self._blocked: set[str] = set()

    def add(self, state: RunningWave, vm: FleetVm) -> None:
        """Keep new runs away from a VM until it is maintained."""
        with self._controller.lock:
            worker = self._controller.scheduler.workers.get(vm.worker_id)
            if worker is not None:
                worker.is_cordoned = True
            if vm.name not in state.cordoned:
                self._controller.log(
                    "vm cordoned",
                    wave=state.wave.number,
                    vm=vm.name,
                    worker=vm.worker_id,
                    runs=len(worker.runs) if worker else 0,
                )
            state.cordoned[vm.name] = vm.worker_id

    def end(self, worker_id: str) -> None:
        """Let a worker have new runs again."""
        with self._controller.lock:
            self._cordons.pop(worker_id, None)
            worker = self._controller.scheduler.workers.get(worker_id)
            if worker is not None:
                worker.is_cordoned = False

    def may_add(
        self,
        state: RunningWave,
        vm: FleetVm,
        alternatives: Alternatives,
        now_s: float,
    ) -> bool:
        """Return whether a VM may be cordoned. The caller holds the lock.

        One that could not be emptied is left in service.
        """
        retry = self._retries.get(vm.name)
        if retry is not None and now_s < retry.at_s:
            return False
        worker = self._controller.scheduler.workers.get(vm.worker_id)
        if worker is None:
            return True
        verdict = self._judge(worker, alternatives, 0.0, now_s)
        is_blocked = verdict is Emptying.GIVE_BACK
        if is_blocked != (vm.name in self._blocked):
            self._blocked ^= {vm.name}
            event = (
                "vm cannot be emptied" if is_blocked else "vm can be emptied"
            )
            self._log(state, event, vm.name, worker)
            self._controller.metrics.set_gauge(
                "wave_vms_blocked", len(self._blocked)
            )
        return not is_blocked

    def review(
        self,
        state: RunningWave,
        vms: Mapping[str, FleetVm],
        may_go_down: bool,
        now_s: float,
    ) -> None:
        """Empty the VMs whose tasks cannot move, or give them back.

        :param may_go_down: whether the maintenance of another VM may be
            ordered now
        """
        if not state.cordoned:
            return
        controller = self._controller
        with controller.lock:
            alternatives = Alternatives(controller.scheduler, vms.values())
            for name, worker_id in list(state.cordoned.items()):
                worker = controller.scheduler.workers.get(worker_id)
                if worker is None or not worker.runs:
                    self._cordons.pop(worker_id, None)
                    continue
                cordon = self._observe(worker, now_s)
                waited_s = now_s - cordon.since_s
                verdict = self._judge(worker, alternatives, waited_s, now_s)
                if verdict is Emptying.STOP and may_go_down:
                    controller.mover.stop_in_place(worker)
                elif (
                    verdict is Emptying.GIVE_BACK
                    and name not in state.record.ordered
                ):
                    self._give_back(state, name, worker, now_s)
                elif now_s - cordon.reported_at_s > REPORT_INTERVAL_S:
                    cordon.reported_at_s = now_s
                    self._log(state, "vm not empty", name, worker)

    def _judge(self, worker, alternatives, waited_s, now_s) -> Emptying:
        scheduler = self._controller.scheduler
        return judge_emptying(worker, scheduler, alternatives, waited_s, now_s)

    def _observe(self, worker: Worker, now_s: float) -> _Cordon:
        """Record how many runs a cordoned worker has, and since when."""
        cordon = self._cordons.setdefault(
            worker.worker_id, _Cordon(reported_at_s=now_s)
        )
        if cordon.run_count != len(worker.runs):
            cordon.run_count, cordon.since_s = len(worker.runs), now_s
        return cordon

    def _give_back(
        self, state: RunningWave, name: str, worker: Worker, now_s: float
    ) -> None:
        retry = self._retries.get(name)
        pause_s = RETRY_S
        if retry is not None:
            pause_s = min(MAX_RETRY_S, 2 * retry.pause_s)
        self._retries[name] = _Retry(now_s + pause_s, pause_s)
        del state.cordoned[name]
        self.end(worker.worker_id)
        self._controller.metrics.count("wave_vms_given_back")
        self._log(state, "vm given back", name, worker, retry_in_s=pause_s)

    def _log(
        self, state: RunningWave, event: str, name: str, worker, **fields
    ) -> None:
        runs = worker.runs.values()
        self._controller.log(
            event,
            wave=state.wave.number,
            vm=name,
            runs=len(runs),
            stopping=sum(run.phase is RunPhase.STOPPING for run in runs),
            lasting=sum(run.task.step.spec.long_running for run in runs),
            why=self._controller.mover.kept_why.get(worker.worker_id, ""),
            **fields,
        )
