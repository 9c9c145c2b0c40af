"""VM list and VM operations of the platform stand-in."""

import http.client
import threading
from urllib.parse import urlencode

import msgspec

from standins.faults import VmList
from standins.ledger import Ledger

__all__ = ["Refused", "Unknown", "Vm", "Vms"]

TARGET_TIMEOUT_S = 2.0


class Unknown(Exception):
    """There is no VM, worker or task of that name."""


class Refused(Exception):
    """The platform does not do what it was asked."""


class Vm(msgspec.Struct, forbid_unknown_fields=True):
    """A VM; one with cores is a worker and has no target.

    :ivar admin_address: takes admin calls for the target, also while it is
        down; by default the target itself does
    """

    name: str
    instance: str = ""
    state: str = "live"
    address: str = ""
    data_centre: str = ""
    rack: str = ""
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    admin_address: str = ""

    def row(self) -> dict[str, str]:
        """Return what the VM list shows."""
        return {
            "name": self.name,
            "instance": self.instance,
            "state": self.state,
            "address": self.address,
            "data_centre": self.data_centre,
            "rack": self.rack,
        }


class Vms:
    """The VMs of one environment.

    :param ledger: gets each operation
    :param list_lag_ms: age of the list that callers see
    :param reboot_ms: time that a reboot takes
    :param tell_target: called with address and path; posts to a target
    """

    def __init__(
        self, ledger: Ledger, list_lag_ms=0, reboot_ms=200, tell_target=None
    ) -> None:
        self.list_lag_ms = list_lag_ms
        self.reboot_ms = reboot_ms
        self._ledger = ledger
        self._tell_target = tell_target or post_to_target
        self._lock = threading.RLock()
        self._vms: dict[str, Vm] = {}
        self._instances = 0
        self._operations: set[tuple[str, str, str]] = set()
        self._reboots: dict[str, float] = {}
        self._history: list[tuple[float, list[dict]]] = [(0.0, [])]
        self._frozen: list[dict] = []
        self._lost_listeners = []
        self.calls = 0

    def add_lost_listener(self, callback) -> None:
        """Call back with (vm, at_s) when the tasks on a VM are lost."""
        self._lost_listeners.append(callback)

    def listed(self, what: VmList = VmList.LIVE) -> list[dict]:
        """Return the list as callers see it."""
        with self._lock:
            self.calls += 1
            self._settle()
            if what is VmList.EMPTY:
                return []
            if what is VmList.STALE:
                return self._frozen
            self._forget()
            return self._history[0][1]

    def settle(self) -> list[Vm]:
        """End the reboots whose time is over; return the VMs."""
        with self._lock:
            self._settle()
            return list(self._vms.values())

    def vm(self, name: str) -> Vm:
        """Return a VM as it is now."""
        with self._lock:
            self._settle()
            if name not in self._vms:
                raise Unknown(f"no VM {name}")
            return self._vms[name]

    def freeze(self) -> None:
        """Make the list of this moment the one that a stale list shows."""
        with self._lock:
            self._frozen = self.listed()

    def show_now(self) -> None:
        """Let callers see the VMs of this moment without a lag."""
        with self._lock:
            self._history = self._history[-1:]

    def add(self, vm: Vm) -> Vm:
        """Add a VM, or put another one in its place."""
        with self._lock:
            vm.instance = vm.instance or self._new_instance(vm.name)
            self._vms[vm.name] = vm
            self._changed("vm-added", vm)
            return vm

    def remove(self, name: str) -> None:
        """Remove a VM; its target stops at once."""
        with self._lock:
            vm = self.vm(name)
            del self._vms[name]
            self._reboots.pop(name, None)
            self._changed("vm-removed", vm)
        self._take_down(vm, "down")

    def leaving(self, name: str) -> None:
        """Announce that a VM will be removed."""
        with self._lock:
            vm = self.vm(name)
            vm.state = "leaving"
            self._changed("vm-leaving", vm)

    def fail(self, name: str) -> None:
        """Stop a VM's target at once; the list does not show it."""
        vm = self.vm(name)
        self._ledger.note("vm-failed", vm=name, instance=vm.instance)
        self._take_down(vm, "down")

    def replace(self, name: str) -> None:
        """Put a new instance in the place of a VM, at the same address."""
        with self._lock:
            vm = self.vm(name)
            vm.instance = self._new_instance(name)
            vm.state = "live"
            self._changed("vm-replaced", vm)
        self._take_down(vm, "reboot")

    def drain(self, name: str, operation: str) -> None:
        """Tell the target on a VM to refuse new work."""
        self._operate("drain", name, operation)

    def undrain(self, name: str, operation: str) -> None:
        """Tell the target on a VM to take work again."""
        self._operate("undrain", name, operation)

    def reboot(self, name: str, operation: str) -> None:
        """Reboot a VM, once per operation."""
        with self._lock:
            self.calls += 1
            vm = self.vm(name)
            if not self._first("reboot", name, operation):
                return
            vm.state = "rebooting"
            self._reboots[name] = self._ledger.now_s() + self.reboot_ms / 1000
            self._changed("reboot-start", vm, operation=operation)
        self._take_down(vm, "reboot", down_ms=self.reboot_ms)

    def _operate(self, kind: str, name: str, operation: str) -> None:
        with self._lock:
            self.calls += 1
            vm = self.vm(name)
            first = self._first(kind, name, operation)
            if first:
                self._ledger.note(
                    kind, vm=name, instance=vm.instance, operation=operation
                )
        if first:
            self._tell(vm, kind)

    def _first(self, kind: str, name: str, operation: str) -> bool:
        done = (kind, name, operation)
        if done in self._operations:
            return False
        self._operations.add(done)
        return True

    def _take_down(self, vm: Vm, call: str, **query: int) -> None:
        at_s = self._ledger.now_s()
        for callback in self._lost_listeners:
            callback(vm.name, at_s)
        self._tell(vm, call, **query)

    def _tell(self, vm: Vm, call: str, **query: int) -> None:
        if not vm.address or vm.cores:
            return
        options = urlencode({"address": vm.address, **query})
        address = vm.admin_address or vm.address
        self._tell_target(address, f"/admin/{call}?{options}")

    def _settle(self) -> None:
        """End the reboots whose time is over."""
        now_s = self._ledger.now_s()
        for name, end_s in list(self._reboots.items()):
            if end_s <= now_s:
                del self._reboots[name]
                vm = self._vms[name]
                vm.instance = self._new_instance(name)
                if vm.state == "rebooting":
                    vm.state = "live"
                self._changed("reboot-end", vm, at_s=end_s)

    def _new_instance(self, name: str) -> str:
        self._instances += 1
        return f"{name}#{self._instances}"

    def _changed(self, kind: str, vm: Vm, at_s=None, **fields) -> None:
        at_s = self._ledger.now_s() if at_s is None else at_s
        self._ledger.note(
            kind, at_s, vm=vm.name, instance=vm.instance, **fields
        )
        rows = [vm.row() for vm in self._vms.values()]
        self._history.append((at_s, rows))

    def _forget(self) -> None:
        """Drop lists that are older than the one that callers see."""
        seen_s = self._ledger.now_s() - self.list_lag_ms / 1000
        while len(self._history) > 1 and self._history[1][0] <= seen_s:
            del self._history[0]


def post_to_target(address: str, path: str) -> None:
    """Post an admin call to a target; a target that is gone is ignored."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=TARGET_TIMEOUT_S
    )
    try:
        connection.request("POST", path)
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
