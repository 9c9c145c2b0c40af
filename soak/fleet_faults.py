"""Faults that change which pool or VM tasks are looked for in."""

import math

from soak.client_faults import ClientCrowd
from soak.faults import Fault
from soak.faults import FAULTS
from soak.queues import make_routes

__all__ = ["ALL_FAULTS", "DataCentreEvacuated", "QueueRouted", "VmRetired"]

# Range of the time that a retired worker serves on.
DRAIN_S = (1.0, 8.0)


class QueueRouted(Fault):
    """Routes the callers' queue to another pool and back."""

    def begin(self):
        """Write a configuration with the new route."""
        return (
            f"queue routed to pool two by configuration {self._route('two')}"
        )

    def end(self):
        """Write a configuration with the former route."""
        self._route("one")

    def _route(self, pool: str) -> int:
        return self.target.put_configuration(routes=make_routes(pool))


class VmRetired(Fault):
    """Retires a VM: its row is gone at once, and its worker drains."""

    def begin(self):
        """Drain a random worker; another VM takes the place of its VM."""
        emulator = self.target.emulator
        vms = [
            vm
            for vm in emulator.vms.values()
            if vm.worker and not vm.is_draining
        ]
        if not vms:
            return "no worker is running"
        vm = self.target.random.choice(vms)
        lasts_s = self.target.random.uniform(*DRAIN_S)
        emulator.drain(vm, lasts_s, keeps_row=False)
        emulator.add_vm(vm.pool)
        return f"{vm.name} retired, its worker exits in {lasts_s:.1f} s"

    def end(self):
        """Do nothing: the worker exits by itself."""


class DataCentreEvacuated(Fault):
    """Evacuates a data centre and returns it; both may be evacuated."""

    def begin(self):
        """Request the evacuation of a data centre that is in service."""
        emulator = self.target.emulator
        evacuated = {
            each.data_centre
            for each in emulator.evacuations
            if each.ended_at_s == math.inf
        }
        names = sorted(set(emulator.data_centres) - evacuated)
        self._name = self.target.random.choice(names) if names else ""
        if not names:
            return "all data centres are evacuated already"
        emulator.evacuate(self._name)
        return f"data centre {self._name} evacuated"

    def end(self):
        """Return the data centre to service."""
        if self._name:
            self.target.emulator.end_evacuation(self._name)


# Seeds of regressions choose from FAULTS, so that new faults do not change
# what these seeds play.
ALL_FAULTS: tuple[type[Fault], ...] = (
    *FAULTS,
    QueueRouted,
    VmRetired,
    DataCentreEvacuated,
    ClientCrowd,
)
