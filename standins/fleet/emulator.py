"""A whole platform: store, VMs with their workers, and the VM service."""

import json
import random
import threading
import time

import attrs

from standins.fleet.http import Answer
from standins.fleet.http import Call
from standins.fleet.http import JsonServer
from standins.fleet.ledger import Ledger
from standins.fleet.store import EmulatedStore
from standins.fleet.worker import EmulatedWorker

__all__ = ["Emulator", "EmulatedVm"]

HEARTBEAT_S = 0.5
CAPACITY = {"cpu": 8000, "mem-mb": 16384, "gpu": 0}


@attrs.define
class EmulatedVm:
    """A VM; the worker is None while it is off or away."""

    name: str
    pool: str
    rack: str
    worker: EmulatedWorker | None = None
    state: str = "up"
    is_draining: bool = False
    waves: set[int] = attrs.field(factory=set)


class Emulator:
    """Runs everything that a node talks to.

    :param pools: number of VMs by pool
    :param standby: the pool whose VMs are off
    :param away_s: time that a move or a maintenance takes
    """

    def __init__(
        self,
        pools: dict[str, int],
        standby: str = "",
        away_s: float = 0.5,
        seed: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self.ledger = Ledger()
        self.store = EmulatedStore(seed)
        self.vms: dict[str, EmulatedVm] = {}
        self.orders: list[tuple[str, str, str, int]] = []
        self._standby = standby
        self._away_s = away_s
        self._lock = threading.RLock()
        self._is_closed = False
        self._numbers = iter(range(1, 1_000_000))
        for pool, count in pools.items():
            for _ in range(count):
                self.add_vm(pool)
        self.store_server = JsonServer(self.store.respond)
        self.cloud_server = JsonServer(self._respond)
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def add_vm(self, pool: str) -> EmulatedVm:
        """Add a VM to a pool."""
        number = next(self._numbers)
        vm = EmulatedVm(f"vm-{number}", pool, f"rack-{number % 3}")
        self.vms[vm.name] = vm
        self._revive(vm)
        return vm

    def workers(self) -> list[EmulatedWorker]:
        """Return the workers that live."""
        with self._lock:
            return [vm.worker for vm in self.vms.values() if vm.worker]

    def put_configuration(self, document: dict) -> None:
        """Write a configuration as the operator does."""
        self.store.put("op/config", json.dumps(document).encode())

    def put_wave(self, number: int, vms: list[str], cap: int) -> None:
        """Ask for the maintenance of VMs."""
        fields = {
            "wave": number,
            "machines": vms,
            "duration-s": 20,
            "cap": cap,
        }
        self.store.put(f"op/wave/{number}", json.dumps(fields).encode())

    def crash(self, vm: EmulatedVm, down_s: float) -> None:
        """Kill a VM's worker; another one lives there after a while."""
        with self._lock:
            worker, vm.worker, vm.state = vm.worker, None, "down"
        if worker is not None:
            worker.kill()
        threading.Timer(down_s, self._revive, [vm]).start()

    def close(self) -> None:
        """Stop everything."""
        self._is_closed = True
        for worker in self.workers():
            worker.kill()
        self.store_server.close()
        self.cloud_server.close()

    def _revive(self, vm: EmulatedVm) -> None:
        if self._is_closed:
            return
        with self._lock:
            vm.state, vm.is_draining = "up", False
            if vm.pool != self._standby:
                vm.worker = EmulatedWorker(
                    f"i-{next(self._numbers)}", self.ledger, self.random
                )
        self._register(vm)

    def _register(self, vm: EmulatedVm) -> None:
        worker = vm.worker
        if worker is None or not worker.is_alive:
            return
        entry = {
            "backend": vm.pool,
            "address": worker.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if vm.is_draining else "ready",
            "cold-remaining-ms": 0,
            "capacity": CAPACITY,
            "labels": ["a", vm.rack],
            "born": worker.born_unix_ms,
        }
        self.store.put(
            f"servers/{worker.worker_id}", json.dumps(entry).encode()
        )

    def _heartbeat(self) -> None:
        while not self._is_closed:
            with self._lock:
                vms = list(self.vms.values())
            alive = {vm.worker.worker_id for vm in vms if vm.worker}
            for vm in vms:
                self._register(vm)
            for key in self.store.keys("servers/"):
                if key.removeprefix("servers/") not in alive:
                    self.store.delete(key)
            time.sleep(HEARTBEAT_S)

    # The VM service.

    def _respond(self, call: Call) -> Answer:
        if call.path == "machines":
            with self._lock:
                rows = [self._row(vm) for vm in self.vms.values()]
            return Answer(200, {"machines": rows, "next-token": None})
        vm = self.vms.get(call.body.get("machine", ""))
        if vm is None:
            return Answer(400)
        holder = call.headers["Rosemarynotch-Lease-Holder"]
        fence = int(call.headers["Rosemarynotch-Fencing-Token"])
        self.orders.append((vm.name, call.path, holder, fence))
        with self._lock:
            if call.path == "machine-move":
                return self._move(vm, call.body["pool"])
            return self._maintain(vm, call.body["wave"])

    def _row(self, vm: EmulatedVm) -> dict:
        return {
            "machine": vm.name,
            "pool": vm.pool,
            "state": vm.state,
            "zone": "zone-1",
            "labels": ["a", vm.rack],
            "capacity": CAPACITY,
            "id": vm.worker.worker_id if vm.worker else None,
        }

    def _move(self, vm: EmulatedVm, pool: str) -> Answer:
        if vm.state != "up":
            return Answer(409, {"reason": "busy"})
        if vm.pool != pool:
            vm.pool = pool
            self._send_away(vm, "moving")
        return Answer(200)

    def _maintain(self, vm: EmulatedVm, wave: int) -> Answer:
        if wave in vm.waves:
            return Answer(200)
        if vm.state != "up":
            return Answer(409, {"reason": "busy"})
        vm.waves.add(wave)
        self._send_away(vm, "upkeep")
        return Answer(200)

    def _send_away(self, vm: EmulatedVm, state: str) -> None:
        worker, vm.worker, vm.state = vm.worker, None, state
        if worker is not None:
            worker.kill()
            self.store.delete(f"servers/{worker.worker_id}")
        threading.Timer(self._away_s, self._revive, [vm]).start()
