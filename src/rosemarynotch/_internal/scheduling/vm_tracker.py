"""Tells from successive lists of VMs which have left or have no worker."""

from typing import TYPE_CHECKING

from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.fleet_ports import VmPhase

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["VmTracker"]

# A VM has left if all lists lack it for this time. A single list, which is
# read page by page, may lack a VM that has not.
GONE_AFTER_S = 3.0


class VmTracker:
    """Follows the VMs over successive lists.

    :param start_s: time that a worker takes to start and to be listed
    """

    def __init__(self, controller: "Controller", start_s: float) -> None:
        self._controller = controller
        self._start_s = start_s
        # VMs that are up and for which no worker is named, and since when.
        self._no_worker_since_s: dict[str, float] = {}
        self._named_workers: set[str] = set()
        self._listed: set[str] = set()
        self._is_complete = False
        self._missing_since_s: dict[str, float] = {}

    def observe(
        self, vms: dict[str, FleetVm], is_complete: bool, now_s: float
    ) -> None:
        """Take note of a list of VMs.

        :param is_complete: whether every row could be read; a row that could
            not may be that of any VM
        """
        self._listed, self._is_complete = set(vms), is_complete
        self._missing_since_s = {
            name: since_s
            for name, since_s in self._missing_since_s.items()
            if is_complete and name not in vms
        }
        self._named_workers = {vm.worker_id for vm in vms.values()}
        self._no_worker_since_s = {
            name: self._no_worker_since_s.get(name, now_s)
            for name, vm in vms.items()
            if vm.phase is VmPhase.UP and not vm.worker_id
        }

    def is_gone(self, name: str, now_s: float) -> bool:
        """Return whether a VM has left the fleet."""
        if name in self._listed or not self._is_complete:
            return False
        since_s = now_s - self._missing_since_s.setdefault(name, now_s)
        return since_s > GONE_AFTER_S

    def is_without_worker(self, vm: FleetVm, now_s: float) -> bool:
        """Return whether a VM has no worker for certain.

        VMs of a standby pool are switched off. In other pools, a VM for which
        no worker is named may have one. It has none if none is named for the
        time that a worker takes to start, and no worker of its pool that is
        named for no VM may have runs. The caller must hold the controller's
        lock.
        """
        scheduler = self._controller.scheduler
        policy = scheduler.configuration.pools.get(vm.pool)
        if vm.worker_id:
            return False
        if policy is not None and policy.is_standby:
            return True
        since_s = now_s - self._no_worker_since_s.get(vm.name, now_s)
        return since_s > self._start_s and all(
            worker.is_empty
            for worker in scheduler.workers.values()
            if worker.entry.pool == vm.pool
            and worker.worker_id not in self._named_workers
        )
