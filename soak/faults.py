"""Faults of a soak: what is done to nodes, links, the store and workers."""

import abc
from collections.abc import Sequence
from pathlib import Path
import random
import signal
import subprocess
import threading

from soak.proxy import LinkFault
from soak.proxy import Proxy
from standins.fleet import Emulator
from standins.fleet.store import StoreFault
from standins.fleet.worker import WorkerFault
from tests.lib.nodes import configuration
from tests.lib.nodes import Nodes

__all__ = ["FAULTS", "Fault", "Target"]

# A process that is told to stop has the grace time of its settings, 6 s.
EXIT_S = 7.0
CLOCK_STEPS_S = (-2.0, 2.0)


class Target:
    """What faults act on.

    :param store_links: a proxy to the store for each node
    :param clocks: file with the offset of the time of day, by node
    """

    def __init__(
        self,
        emulator: Emulator,
        nodes: Nodes,
        store_links: dict[int, Proxy],
        clocks: dict[int, Path],
        rng: random.Random,
    ) -> None:
        self.emulator = emulator
        self.nodes = nodes
        self.store_links = store_links
        self.clocks = clocks
        self.random = rng
        self.config_changes: dict = {}
        self._version = 1
        self._waves = 0
        self._down: set[int] = set()
        self._lock = threading.Lock()

    def take_node(self) -> int | None:
        """Claim a node that is up, so that two faults do not restart it."""
        with self._lock:
            up = sorted(set(self.nodes.addresses) - self._down)
            if not up:
                return None
            number = self.random.choice(up)
            self._down.add(number)
            return number

    def return_node(self, number: int) -> None:
        """Start a node that was taken."""
        self.nodes.start(number)
        self.release_node(number)

    def release_node(self, number: int) -> None:
        """Give up the claim on a node."""
        with self._lock:
            self._down.discard(number)

    def next_version(self) -> dict:
        """Return the next configuration."""
        with self._lock:
            self._version += self.random.randint(1, 3)
            return configuration(self._version, **self.config_changes)

    def next_wave(self) -> int:
        """Return the number of the next wave."""
        with self._lock:
            self._waves += 1
            return self._waves


class Fault(abc.ABC):
    """Something that goes wrong for a while."""

    def __init__(self, target: Target) -> None:
        self.target = target

    @abc.abstractmethod
    def begin(self) -> str:
        """Begin; return what was done, for the log."""

    @abc.abstractmethod
    def end(self) -> None:
        """Undo what ``begin`` did."""


class NodeKilled(Fault):
    """A node is killed and started again."""

    def begin(self):
        """Kill a node."""
        self._number = self.target.take_node()
        if self._number is None:
            return "no node is up"
        self.target.nodes.signal(self._number, signal.SIGKILL)
        self.target.nodes.wait(self._number)
        return f"node {self._number} killed"

    def end(self):
        """Start it."""
        if self._number is not None:
            self.target.return_node(self._number)


class AllKilled(Fault):
    """All nodes that are up are killed at once."""

    def begin(self):
        """Kill them."""
        self._numbers = []
        while (number := self.target.take_node()) is not None:
            self._numbers.append(number)
            self.target.nodes.signal(number, signal.SIGKILL)
        for number in self._numbers:
            self.target.nodes.wait(number)
        return f"nodes {self._numbers} killed"

    def end(self):
        """Start them."""
        for number in self._numbers:
            self.target.return_node(number)


class NodeStopped(Fault):
    """A node is told to stop, and is started after its end."""

    def begin(self):
        """Send SIGTERM."""
        self._number = self.target.take_node()
        if self._number is None:
            return "no node is up"
        self.target.nodes.signal(self._number, signal.SIGTERM)
        return f"node {self._number} told to stop"

    def end(self):
        """Wait for its end and start it; kill it after the grace time."""
        if self._number is None:
            return
        try:
            self.target.nodes.wait(self._number, EXIT_S)
        except subprocess.TimeoutExpired:
            self.target.nodes.signal(self._number, signal.SIGKILL)
            self.target.nodes.wait(self._number)
        self.target.return_node(self._number)


class NodePaused(Fault):
    """A node stands still and goes on."""

    def begin(self):
        """Send SIGSTOP."""
        self._number = self.target.take_node()
        if self._number is None:
            return "no node is up"
        self.target.nodes.signal(self._number, signal.SIGSTOP)
        return f"node {self._number} paused"

    def end(self):
        """Send SIGCONT."""
        if self._number is not None:
            self.target.nodes.signal(self._number, signal.SIGCONT)
            self.target.release_node(self._number)


class StoreLink(Fault):
    """The connections of one node to the store are disturbed."""

    def begin(self):
        """Choose a node and what happens to its connections."""
        links = self.target.store_links
        number = self.target.random.choice(sorted(links))
        self._link = links[number]
        how = self.target.random.choice(
            ("silence open", "reset open", *list(LinkFault)[1:])
        )
        if how == "silence open":
            self._link.silence_open()
        elif how == "reset open":
            self._link.reset_open()
        else:
            self._link.fault = how
        return f"link of node {number} to the store: {how}"

    def end(self):
        """Let bytes pass; connections that lost some are reset."""
        if self._link.fault is not LinkFault.NONE:
            self._link.fault = LinkFault.NONE
            self._link.reset_open()


class StoreTrouble(Fault):
    """The store is busy, silent, slow, loses answers or writes late."""

    def begin(self):
        """Choose what the store does."""
        store = self.target.emulator.store
        store.fault = self.target.random.choice(list(StoreFault)[1:])
        store.fault_share = self.target.random.choice((0.3, 1.0))
        return f"store {store.fault.value}, share {store.fault_share}"

    def end(self):
        """Let the store work."""
        self.target.emulator.store.fault = StoreFault.NONE


class StoreForgets(Fault):
    """The store forgets its history."""

    def begin(self):
        """Forget."""
        self.target.emulator.store.compact()
        return "history forgotten"

    def end(self):
        """Nothing lasts."""


class WorkerTrouble(Fault):
    """Some workers lose orders, are late, silent, fail or stand still."""

    def begin(self):
        """Choose workers and what they do."""
        workers: Sequence = self.target.emulator.workers()
        share = self.target.random.choice((0.2, 0.5))
        self._workers = [
            w for w in workers if self.target.random.random() < share
        ]
        fault = self.target.random.choice(list(WorkerFault)[1:])
        for worker in self._workers:
            worker.fault = fault
        return f"{len(self._workers)} workers {fault.value}"

    def end(self):
        """Let them work."""
        for worker in self._workers:
            worker.fault = WorkerFault.NONE


class WorkerCrash(Fault):
    """A worker dies; another one lives on its VM a little later."""

    def begin(self):
        """Crash a worker."""
        emulator = self.target.emulator
        living = [vm for vm in emulator.vms.values() if vm.worker]
        if not living:
            return "no worker lives"
        vm = self.target.random.choice(living)
        emulator.crash(vm, self.target.random.uniform(0.1, 3.0))
        return f"worker of {vm.name} crashed"

    def end(self):
        """The emulator revives the VM."""


class ConfigurationChange(Fault):
    """The operator writes a new version, and nodes get SIGHUP."""

    def begin(self):
        """Write it."""
        document = self.target.next_version()
        self.target.emulator.put_configuration(document)
        number = self.target.take_node()
        if number is not None:
            self.target.nodes.signal(number, signal.SIGHUP)
            self.target.release_node(number)
        return f"configuration {document['version']}"

    def end(self):
        """It stays."""


class MaintenanceWave(Fault):
    """Some VMs are due for maintenance."""

    def begin(self):
        """Ask for it."""
        vms = sorted(self.target.emulator.vms)
        chosen = self.target.random.sample(vms, len(vms) // 3)
        number = self.target.next_wave()
        self.target.emulator.put_wave(number, chosen, 2)
        return f"wave {number} over {len(chosen)} VMs"

    def end(self):
        """The nodes end it."""


class ClockStep(Fault):
    """The time of day of a node jumps and comes back."""

    def begin(self):
        """Step a clock."""
        number = self.target.random.choice(sorted(self.target.clocks))
        step_s = self.target.random.choice(CLOCK_STEPS_S)
        self._path = self.target.clocks[number]
        self._path.write_text(str(step_s), encoding="utf-8")
        return f"clock of node {number} steps by {step_s} s"

    def end(self):
        """Step it back."""
        self._path.write_text("0", encoding="utf-8")


FAULTS: tuple[type[Fault], ...] = (
    NodeKilled,
    AllKilled,
    NodeStopped,
    NodePaused,
    StoreLink,
    StoreTrouble,
    StoreForgets,
    WorkerTrouble,
    WorkerCrash,
    ConfigurationChange,
    MaintenanceWave,
    ClockStep,
)
