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
    """The named VM, worker, task or call does not exist."""


class Refused(Exception):
    """The platform refuses the operation."""


class Vm(msgspec.Struct, forbid_unknown_fields=True):
    """A VM; a VM with cores is a worker and has no target.

    :ivar instance: identifier of the instance, new after each reboot and
        replacement
    :ivar address: address of the target
    :ivar admin_address: address for admin calls that also answers while the
        target is down, by default the target's own address
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
        """Return the row of the VM list."""
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

    :param ledger: ledger in which operations and changes are recorded
    :param list_lag_ms: delay before changes show in the list
    :param reboot_ms: duration of a reboot
    :param post_admin_call: function that posts an admin call to a target,
        called with address and path
    """

    def __init__(
        self,
        ledger: Ledger,
        list_lag_ms=0,
        reboot_ms=200,
        post_admin_call=None,
    ) -> None:
        self.list_lag_ms = list_lag_ms
        self.reboot_ms = reboot_ms
        self._ledger = ledger
        self._post = post_admin_call or post_to_target
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
        """Add a callback for (vm, at_s) when the tasks on a VM are lost."""
        self._lost_listeners.append(callback)

    def listed(self, shown: VmList = VmList.LIVE) -> list[dict]:
        """Return the VM list, delayed by the lag or under a fault.

        :param shown: content of the list
        """
        with self._lock:
            self.calls += 1
            self._update()
            if shown is VmList.EMPTY:
                return []
            if shown is VmList.STALE:
                return self._frozen
            self._discard_old_lists()
            return self._history[0][1]

    def update(self) -> list[Vm]:
        """End the reboots that are due; return the VMs."""
        with self._lock:
            self._update()
            return list(self._vms.values())

    def vm(self, name: str) -> Vm:
        """Return a VM in its current state.

        :raises Unknown: if the VM does not exist
        """
        with self._lock:
            self._update()
            if name not in self._vms:
                raise Unknown(f"no VM {name}")
            return self._vms[name]

    def freeze(self) -> None:
        """Save the current list as the one that ``VmList.STALE`` shows."""
        with self._lock:
            self._frozen = self.listed()

    def show_now(self) -> None:
        """Show the current VMs in the list without the lag."""
        with self._lock:
            self._history = self._history[-1:]

    def add(self, vm: Vm) -> Vm:
        """Add a VM, or replace the VM of the same name."""
        with self._lock:
            vm.instance = vm.instance or self._new_instance(vm.name)
            self._vms[vm.name] = vm
            self._record_change("vm-added", vm)
            return vm

    def remove(self, name: str) -> None:
        """Remove a VM; its target stops at once."""
        with self._lock:
            vm = self.vm(name)
            del self._vms[name]
            self._reboots.pop(name, None)
            self._record_change("vm-removed", vm)
        self._take_down(vm, "down")

    def leaving(self, name: str) -> None:
        """Mark a VM as leaving, which announces its removal."""
        with self._lock:
            vm = self.vm(name)
            vm.state = "leaving"
            self._record_change("vm-leaving", vm)

    def fail(self, name: str) -> None:
        """Stop the target of a VM at once; the list does not change."""
        vm = self.vm(name)
        self._ledger.record("vm-failed", vm=name, instance=vm.instance)
        self._take_down(vm, "down")

    def replace(self, name: str) -> None:
        """Replace a VM by a new instance at the same address."""
        with self._lock:
            vm = self.vm(name)
            vm.instance = self._new_instance(name)
            vm.state = "live"
            self._record_change("vm-replaced", vm)
        self._take_down(vm, "reboot")

    def drain(self, name: str, operation: str) -> None:
        """Make the target on a VM refuse new work."""
        self._run_operation("drain", name, operation)

    def undrain(self, name: str, operation: str) -> None:
        """Make the target on a VM accept work again."""
        self._run_operation("undrain", name, operation)

    def reboot(self, name: str, operation: str) -> None:
        """Reboot a VM; a repeated operation identifier has no effect."""
        with self._lock:
            self.calls += 1
            vm = self.vm(name)
            if not self._register_operation("reboot", name, operation):
                return
            vm.state = "rebooting"
            self._reboots[name] = self._ledger.now_s() + self.reboot_ms / 1000
            self._record_change("reboot-start", vm, operation=operation)
        self._take_down(vm, "reboot", down_ms=self.reboot_ms)

    def _run_operation(self, kind: str, name: str, operation: str) -> None:
        with self._lock:
            self.calls += 1
            vm = self.vm(name)
            is_new = self._register_operation(kind, name, operation)
            if is_new:
                self._ledger.record(
                    kind, vm=name, instance=vm.instance, operation=operation
                )
        if is_new:
            self._post_admin_call(vm, kind)

    def _register_operation(
        self, kind: str, name: str, operation: str
    ) -> bool:
        done = (kind, name, operation)
        if done in self._operations:
            return False
        self._operations.add(done)
        return True

    def _take_down(self, vm: Vm, call: str, **query: int) -> None:
        at_s = self._ledger.now_s()
        for callback in self._lost_listeners:
            callback(vm.name, at_s)
        self._post_admin_call(vm, call, **query)

    def _post_admin_call(self, vm: Vm, call: str, **query: int) -> None:
        if not vm.address or vm.cores:
            return
        options = urlencode({"address": vm.address, **query})
        address = vm.admin_address or vm.address
        self._post(address, f"/admin/{call}?{options}")

    def _update(self) -> None:
        """End the reboots that are due."""
        now_s = self._ledger.now_s()
        for name, end_s in list(self._reboots.items()):
            if end_s <= now_s:
                del self._reboots[name]
                vm = self._vms[name]
                vm.instance = self._new_instance(name)
                if vm.state == "rebooting":
                    vm.state = "live"
                self._record_change("reboot-end", vm, at_s=end_s)

    def _new_instance(self, name: str) -> str:
        self._instances += 1
        return f"{name}#{self._instances}"

    def _record_change(self, kind: str, vm: Vm, at_s=None, **fields) -> None:
        at_s = self._ledger.now_s() if at_s is None else at_s
        self._ledger.record(
            kind, at_s, vm=vm.name, instance=vm.instance, **fields
        )
        rows = [vm.row() for vm in self._vms.values()]
        self._history.append((at_s, rows))

    def _discard_old_lists(self) -> None:
        """Discard lists that are older than the one that is shown."""
        shown_s = self._ledger.now_s() - self.list_lag_ms / 1000
        while len(self._history) > 1 and self._history[1][0] <= shown_s:
            del self._history[0]


def post_to_target(address: str, path: str) -> None:
    """Post an admin call to a target; ignore connection errors."""
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
