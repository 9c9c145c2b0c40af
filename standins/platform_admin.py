"""Admin calls of the platform stand-in; no fault affects them."""

import msgspec

from standins.vms import Unknown
from standins.vms import Vm

__all__ = ["AdminCalls"]

VM_CALLS = ("fail", "leaving", "remove", "replace")


class AdminCalls:
    """Handles fault injection, statistics and changes of the fleet.

    * ``POST /faults?port=``: fields of :class:`standins.faults.Settings`,
      and ``list_lag_ms``, ``reboot_ms``, ``usage_lag_ms``;
    * ``GET /faults?port=``, ``GET /stats``, ``GET /ledger?kind=``,
      ``POST /ledger/clear``;
    * ``GET /vms``: the current VMs; ``POST /vms``: a list of VMs to add;
      ``POST /vms/<vm>/fail|leaving|remove|replace``;
    * ``POST /workers/<vm>/failing?reason=``: all tasks on the worker fail;
      without a reason, they no longer do.
    """

    def __init__(self, platform) -> None:
        self._platform = platform

    def run(self, method, path, query, body):
        """Run one call and return the value to answer with."""
        if path[0] == "faults":
            return self._faults(method, query, body)
        if path[0] == "ledger":
            return self._ledger(method, query)
        if path[0] == "stats":
            return self._stats()
        if path[0] == "vms":
            return self._vms(method, path[1:], body)
        if path[0] == "workers":
            reason = query.get("reason", "")
            self._platform.tasks.set_failing(path[1], reason)
            return {}
        raise Unknown("/".join(path))

    def _faults(self, method, query, body):
        port = int(query.get("port", 0))
        faults = self._platform.faults
        if method == "GET":
            return faults.settings(port)
        changes = msgspec.json.decode(body, type=dict)
        for owner, names in (
            (self._platform.vms, ("list_lag_ms", "reboot_ms")),
            (self._platform.tasks, ("usage_lag_ms",)),
        ):
            for name in names:
                if name in changes:
                    setattr(owner, name, int(changes.pop(name)))
        if changes.get("vm_list") == "stale":
            self._platform.vms.freeze()
        self._platform.ledger.record("faults", changes=changes, port=port)
        return faults.change(changes, port)

    def _ledger(self, method, query):
        ledger = self._platform.ledger
        if method == "POST":
            ledger.clear()
            return {}
        self._platform.vms.update()
        self._platform.tasks.update()
        return ledger.events(query.get("kind", ""))

    def _stats(self):
        platform = self._platform
        return {
            "calls": {str(k): n for k, n in platform.store.calls.items()},
            "waiting_watches": platform.store.waiting_watches,
            "value_bytes_read": platform.store.bytes_read,
            "vm_calls": platform.vms.calls,
            "task_calls": platform.tasks.calls,
            "bytes_in": platform.bytes_in,
            "bytes_out": platform.bytes_out,
        }

    def _vms(self, method, path, body):
        vms = self._platform.vms
        if method == "GET":
            return vms.update()
        if not path:
            return [
                vms.add(vm) for vm in msgspec.json.decode(body, type=list[Vm])
            ]
        name, call = path
        if call not in VM_CALLS:
            raise Unknown(call)
        getattr(vms, call)(name)
        return {}
