"""Emulated platform: store, VMs with their workers, and VM service."""

import json
import math
import random
import threading
import time

import attrs

from standins.fleet.advice import EmulatedAdvisor
from standins.fleet.http import Answer
from standins.fleet.http import Call
from standins.fleet.http import JsonServer
from standins.fleet.ledger import Ledger
from standins.fleet.store import EmulatedStore
from standins.fleet.worker import EmulatedWorker

__all__ = ["EmulatedEvacuation", "EmulatedVm", "Emulator"]

REGISTRATION_INTERVAL_S = 0.5
CAPACITY = {"cpu": 8000, "mem-mb": 16384, "gpu": 0}


@attrs.define
class EmulatedVm:
    """A VM of the emulator.

    :ivar worker: None while the VM is off or out of service
    :ivar state: "up", "moving", "upkeep" or "down", as in the protocol
    :ivar is_draining: whether it leaves; it starts no other worker
    :ivar is_listed: whether the VM service lists it
    :ivar leaves_at_s: when the worker of a draining VM exits
    :ivar unregistered_until_s: when the entry of its worker may be written
        again
    :ivar waves: numbers of the waves in which it was maintained
    """

    name: str
    pool: str
    rack: str
    data_centre: str
    worker: EmulatedWorker | None = None
    state: str = "up"
    is_draining: bool = False
    is_listed: bool = True
    leaves_at_s: float = 0.0
    unregistered_until_s: float = 0.0
    waves: set[int] = attrs.field(factory=set)


@attrs.define
class EmulatedEvacuation:
    """A request of the operator to evacuate a data centre.

    :ivar acknowledged_at_s: when the store had answered
    :ivar ended_at_s: when the key was about to be deleted
    """

    data_centre: str
    acknowledged_at_s: float
    ended_at_s: float = math.inf


class Emulator:
    """Runs all services that a node calls.

    :param pools: number of VMs by pool
    :param standby: the pool whose VMs are off
    :param outage_s: time for which a move or maintenance stops a VM
    :param data_centres: names among which the VMs of a pool alternate
    :param advisor: advice service whose tickets all starts need, None if they
        need none
    :ivar data_centre_by_worker: data centre of each worker so far
    :ivar evacuations: requests of the operator so far
    :ivar orders: orders for VMs: name, path, lease holder and fencing token
    """

    def __init__(
        self,
        pools: dict[str, int],
        standby: str = "",
        outage_s: float = 0.5,
        seed: int = 0,
        data_centres: tuple[str, ...] = ("zone-1",),
        advisor: EmulatedAdvisor | None = None,
    ) -> None:
        self.advisor = advisor
        if advisor is not None:
            advisor.find_start = self._find_start
        self.random = random.Random(seed)
        self.data_centre_by_worker: dict[str, str] = {}
        self.data_centres = data_centres
        self.evacuations: list[EmulatedEvacuation] = []
        self.ledger = Ledger()
        self.store = EmulatedStore(seed)
        self.vms: dict[str, EmulatedVm] = {}
        self.orders: list[tuple[str, str, str, int]] = []
        self._foreign_keys: set[str] = set()
        self._standby = standby
        self._outage_s = outage_s
        self._lock = threading.RLock()
        self._is_closed = False
        self._sequence = iter(range(1, 1_000_000))
        for pool, count in pools.items():
            for number in range(count):
                self.add_vm(pool, data_centres[number % len(data_centres)])
        self.store_server = JsonServer(self.store.respond)
        self.cloud_server = JsonServer(self._respond)
        threading.Thread(
            target=self._update_registrations, daemon=True
        ).start()

    def add_vm(self, pool: str, data_centre: str = "") -> EmulatedVm:
        """Add a VM; it gets a worker unless its pool is the standby pool.

        :param data_centre: by default the first one
        """
        number = next(self._sequence)
        vm = EmulatedVm(
            f"vm-{number}",
            pool,
            f"rack-{number % 3}",
            data_centre or self.data_centres[0],
        )
        # Replaced and never changed in place: other threads iterate over it.
        with self._lock:
            self.vms = self.vms | {vm.name: vm}
        self._start_vm(vm)
        return vm

    def workers(self) -> list[EmulatedWorker]:
        """Return the workers of all VMs that have one."""
        with self._lock:
            return [vm.worker for vm in self.vms.values() if vm.worker]

    def put_configuration(self, document: dict) -> None:
        """Write a configuration as the operator does."""
        self.store.put("op/config", json.dumps(document).encode())

    def put_wave(self, number: int, vms: list[str], cap: int) -> None:
        """Request maintenance of VMs, as the operator does."""
        fields = {
            "wave": number,
            "machines": vms,
            "duration-s": 20,
            "cap": cap,
        }
        self.store.put(f"op/wave/{number}", json.dumps(fields).encode())

    def evacuate(self, data_centre: str, value: bytes = b"{}") -> float:
        """Request an evacuation, as the operator does.

        :returns: the time of the acknowledgement, of the monotonic clock
        """
        self.store.put(f"op/evacuate/{data_centre}", value)
        evacuation = EmulatedEvacuation(data_centre, time.monotonic())
        self.evacuations.append(evacuation)
        return evacuation.acknowledged_at_s

    def end_evacuation(self, data_centre: str) -> None:
        """Return a data centre to service, as the operator does."""
        for evacuation in self.evacuations:
            if evacuation.data_centre == data_centre:
                evacuation.ended_at_s = min(
                    evacuation.ended_at_s, time.monotonic()
                )
        self.store.delete(f"op/evacuate/{data_centre}")

    def put_foreign_entry(self, name: str, value: bytes) -> None:
        """Write an entry among the workers, as another writer does."""
        key = f"servers/{name}"
        self._foreign_keys.add(key)
        self.store.put(key, value)

    def crash(
        self, vm: EmulatedVm, down_s: float, keeps_id: bool = False
    ) -> None:
        """Kill the worker of a VM; the VM starts another one later.

        :param down_s: time until the VM is up again
        :param keeps_id: whether the next worker has the same identifier and
            address
        """
        with self._lock:
            worker, vm.worker, vm.state = vm.worker, None, "down"
        former = None
        if worker is not None:
            worker.kill()
            former = worker if keeps_id else None
        threading.Timer(down_s, self._start_vm, [vm, former]).start()

    def drain(
        self, vm: EmulatedVm, lasts_s: float, keeps_row: bool = True
    ) -> None:
        """Shut down a VM for good, as planned; its worker drains before.

        :param lasts_s: time until the worker exits
        :param keeps_row: whether the VM is listed until then; no page of the
            platform says so
        """
        with self._lock:
            vm.is_draining, vm.is_listed = True, keeps_row
            vm.leaves_at_s = time.monotonic() + lasts_s
        self._register_worker(vm)
        threading.Timer(lasts_s, self._remove_vm, [vm]).start()

    def lapse_entry(self, vm: EmulatedVm, absent_s: float) -> None:
        """Remove the entry of a living worker for a time.

        Entries may lapse while the store is down, or after missed heartbeats.
        """
        with self._lock:
            vm.unregistered_until_s = time.monotonic() + absent_s
            if vm.worker is not None:
                self.store.delete(f"servers/{vm.worker.worker_id}")

    def close(self) -> None:
        """Kill the workers and stop the servers."""
        self._is_closed = True
        closing = [worker.kill for worker in self.workers()]
        closing += [self.store_server.close, self.cloud_server.close]
        if self.advisor is not None:
            closing.append(self.advisor.server.close)
        # Each of them takes up to half a second.
        threads = [threading.Thread(target=close) for close in closing]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _start_vm(
        self, vm: EmulatedVm, former: EmulatedWorker | None = None
    ) -> None:
        """Start a VM.

        :param former: worker whose identifier and address the worker gets
        """
        if self._is_closed or vm.is_draining:
            return
        with self._lock:
            vm.state = "up"
            if vm.pool != self._standby:
                worker_id, port = f"i-{next(self._sequence)}", 0
                if former is not None:
                    worker_id = former.worker_id
                    port = int(former.address.rpartition(":")[2])
                vm.worker = EmulatedWorker(
                    worker_id, self.ledger, self.random, port
                )
                if self.advisor is not None:
                    vm.worker.accepts_ticket = self._ticket_check(vm.worker)
                self.data_centre_by_worker[worker_id] = vm.data_centre
        self._register_worker(vm)

    def _find_start(self, worker_id: str) -> int | None:
        for worker in self.workers():
            if worker.worker_id == worker_id:
                return worker.started_unix_ms
        return None

    def _ticket_check(self, worker: EmulatedWorker):
        return lambda ticket, task: self.advisor.accepts(
            ticket, task, worker.worker_id, worker.started_unix_ms
        )

    def _remove_vm(self, vm: EmulatedVm) -> None:
        with self._lock:
            worker, vm.worker = vm.worker, None
            self.vms = {k: v for k, v in self.vms.items() if v is not vm}
            if worker is not None:
                self.store.delete(f"servers/{worker.worker_id}")
        if worker is not None:
            worker.kill()

    def _register_worker(self, vm: EmulatedVm) -> None:
        with self._lock:
            worker, now_s = vm.worker, time.monotonic()
            if worker is None or not worker.is_alive:
                return
            if now_s < vm.unregistered_until_s:
                return
            entry = {
                "backend": vm.pool,
                "address": worker.address,
                "zone": vm.data_centre,
                "version": "v1",
                "slots": 8,
                "state": "draining" if vm.is_draining else "ready",
                "cold-remaining-ms": 0,
                "capacity": CAPACITY,
                "labels": ["a", vm.rack],
                "born": worker.started_unix_ms,
            }
            if vm.is_draining:
                remaining_s = max(0.0, vm.leaves_at_s - now_s)
                entry["remaining-ms"] = round(remaining_s * 1000)
            self.store.put(
                f"servers/{worker.worker_id}", json.dumps(entry).encode()
            )

    def _update_registrations(self) -> None:
        while not self._is_closed:
            with self._lock:
                vms = list(self.vms.values())
            for vm in vms:
                self._register_worker(vm)
            # Listed before the workers, so that no new entry is deleted.
            keys = self.store.keys("servers/")
            alive = {worker.worker_id for worker in self.workers()}
            for key in keys:
                if key in self._foreign_keys:
                    continue
                if key.removeprefix("servers/") not in alive:
                    self.store.delete(key)
            time.sleep(REGISTRATION_INTERVAL_S)

    # VM service.

    def _respond(self, call: Call) -> Answer:
        if call.path == "machines":
            with self._lock:
                rows = [
                    self._row(vm) for vm in self.vms.values() if vm.is_listed
                ]
            return Answer(200, {"machines": rows, "next-token": None})
        vm = self.vms.get(call.body.get("machine", ""))
        if vm is None or not vm.is_listed:
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
            "zone": vm.data_centre,
            "labels": ["a", vm.rack],
            "capacity": CAPACITY,
            "id": vm.worker.worker_id if vm.worker else None,
        }

    def _move(self, vm: EmulatedVm, pool: str) -> Answer:
        if vm.state != "up" or vm.is_draining:
            return Answer(409, {"reason": "busy"})
        if vm.pool != pool:
            vm.pool = pool
            self._take_down(vm, "moving")
        return Answer(200)

    def _maintain(self, vm: EmulatedVm, wave: int) -> Answer:
        if wave in vm.waves:
            return Answer(200)
        if vm.state != "up" or vm.is_draining:
            return Answer(409, {"reason": "busy"})
        vm.waves.add(wave)
        self._take_down(vm, "upkeep")
        return Answer(200)

    def _take_down(self, vm: EmulatedVm, state: str) -> None:
        worker, vm.worker, vm.state = vm.worker, None, state
        if worker is not None:
            worker.kill()
            self.store.delete(f"servers/{worker.worker_id}")
        threading.Timer(self._outage_s, self._start_vm, [vm]).start()
