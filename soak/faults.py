"""Faults that the soak injects into nodes, links, store and workers."""

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

# Above the grace time for a stop in the settings of the nodes, 6 s.
EXIT_TIMEOUT_S = 7.0
CLOCK_STEPS_S = (-2.0, 2.0)
# Share of the crashed workers that start again under their identifier.
KEPT_ID_SHARE = 0.5


class Target:
    """The system under test, as faults act on it.

    :param store_links: the proxy to the store of each node
    :param clocks: the file with the wall clock offset of each node
    :ivar config_changes: fields that every new configuration overrides
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
        self._claimed: set[int] = set()
        self._lock = threading.Lock()

    def claim_node(self) -> int | None:
        """Claim a random node, so that no two faults restart the same one.

        :returns: the number of the node, None if all nodes are claimed
        """
        with self._lock:
            unclaimed = sorted(set(self.nodes.addresses) - self._claimed)
            if not unclaimed:
                return None
            number = self.random.choice(unclaimed)
            self._claimed.add(number)
            return number

    def restart_node(self, number: int) -> None:
        """Start a claimed node and release it."""
        self.nodes.start(number)
        self.release_node(number)

    def release_node(self, number: int) -> None:
        """Release the claim on a node."""
        with self._lock:
            self._claimed.discard(number)

    def put_configuration(self, step: int = 1, **changes) -> int:
        """Write a configuration; return its version, higher than the last.

        :param step: difference to the last version
        :param changes: fields that this and all later versions override
        """
        with self._lock:
            self.config_changes |= changes
            self._version += step
            document = configuration(self._version, **self.config_changes)
            self.emulator.put_configuration(document)
            return self._version

    def next_wave(self) -> int:
        """Return the number of the next wave."""
        with self._lock:
            self._waves += 1
            return self._waves


class Fault(abc.ABC):
    """A fault with a limited duration."""

    def __init__(self, target: Target) -> None:
        self.target = target

    @abc.abstractmethod
    def begin(self) -> str:
        """Inject the fault; return a description for the timeline."""

    @abc.abstractmethod
    def end(self) -> None:
        """Remove the fault."""


class NodeKilled(Fault):
    """Kills a node and starts it again."""

    def begin(self):
        """Send SIGKILL to a node and wait for its exit."""
        self._number = self.target.claim_node()
        if self._number is None:
            return "no unclaimed node"
        self.target.nodes.signal(self._number, signal.SIGKILL)
        self.target.nodes.wait(self._number)
        return f"node {self._number} killed"

    def end(self):
        """Start the node."""
        if self._number is not None:
            self.target.restart_node(self._number)


class AllNodesKilled(Fault):
    """Kills all unclaimed nodes at once and starts them again."""

    def begin(self):
        """Send SIGKILL to the nodes and wait for their exits."""
        self._numbers = []
        while (number := self.target.claim_node()) is not None:
            self._numbers.append(number)
            self.target.nodes.signal(number, signal.SIGKILL)
        for number in self._numbers:
            self.target.nodes.wait(number)
        return f"nodes {self._numbers} killed"

    def end(self):
        """Start the nodes."""
        for number in self._numbers:
            self.target.restart_node(number)


class NodeTerminated(Fault):
    """Terminates a node gracefully and starts it again."""

    def begin(self):
        """Send SIGTERM to a node."""
        self._number = self.target.claim_node()
        if self._number is None:
            return "no unclaimed node"
        self.target.nodes.signal(self._number, signal.SIGTERM)
        return f"node {self._number} sent SIGTERM"

    def end(self):
        """Wait for the exit, kill the node on a time-out, and start it."""
        if self._number is None:
            return
        try:
            self.target.nodes.wait(self._number, EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.target.nodes.signal(self._number, signal.SIGKILL)
            self.target.nodes.wait(self._number)
        self.target.restart_node(self._number)


class NodePaused(Fault):
    """Suspends a node and resumes it."""

    def begin(self):
        """Send SIGSTOP to a node."""
        self._number = self.target.claim_node()
        if self._number is None:
            return "no unclaimed node"
        self.target.nodes.signal(self._number, signal.SIGSTOP)
        return f"node {self._number} paused"

    def end(self):
        """Send SIGCONT to the node."""
        if self._number is not None:
            self.target.nodes.signal(self._number, signal.SIGCONT)
            self.target.release_node(self._number)


class StoreLinkFault(Fault):
    """Disturbs the connections of one node to the store."""

    def begin(self):
        """Apply a random disturbance to the connections of a random node."""
        links = self.target.store_links
        number = self.target.random.choice(sorted(links))
        self._link = links[number]
        disturbance = self.target.random.choice(
            ("silence open", "reset open", *list(LinkFault)[1:])
        )
        if disturbance == "silence open":
            self._link.silence_connections()
        elif disturbance == "reset open":
            self._link.reset_connections()
        else:
            self._link.fault = disturbance
        return f"link of node {number} to the store: {disturbance}"

    def end(self):
        """Remove the fault; reset connections that may have lost bytes."""
        if self._link.fault is not LinkFault.NONE:
            self._link.fault = LinkFault.NONE
            self._link.reset_connections()


class StoreDegraded(Fault):
    """Makes the store busy, silent or slow, lose answers or write late."""

    def begin(self):
        """Set a random fault for a random share of the calls."""
        store = self.target.emulator.store
        store.fault = self.target.random.choice(list(StoreFault)[1:])
        store.fault_share = self.target.random.choice((0.3, 1.0))
        return f"store {store.fault.value}, share {store.fault_share}"

    def end(self):
        """Remove the fault of the store."""
        self.target.emulator.store.fault = StoreFault.NONE


class StoreCompacted(Fault):
    """Drops the event history of the store."""

    def begin(self):
        """Compact the store."""
        self.target.emulator.store.compact()
        return "store history compacted"

    def end(self):
        """Do nothing: a compaction has no duration."""


class WorkersDegraded(Fault):
    """Sets one fault on some workers.

    They lose answers to orders, execute orders late, stay silent, fail runs
    or never finish them.
    """

    def begin(self):
        """Set a random fault on a random share of the workers."""
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
        """Remove the fault of the workers."""
        for worker in self._workers:
            worker.fault = WorkerFault.NONE


class WorkerCrashed(Fault):
    """Kills a worker; its VM starts it or another one after a delay."""

    def begin(self):
        """Kill a random worker."""
        emulator = self.target.emulator
        running_vms = [vm for vm in emulator.vms.values() if vm.worker]
        if not running_vms:
            return "no worker is running"
        vm = self.target.random.choice(running_vms)
        down_s = self.target.random.uniform(0.1, 3.0)
        keeps_id = self.target.random.random() < KEPT_ID_SHARE
        emulator.crash(vm, down_s, keeps_id)
        kept = ", keeps its id" if keeps_id else ""
        return f"worker of {vm.name} crashed{kept}"

    def end(self):
        """Do nothing: the emulator starts the VM again."""


class ConfigurationChange(Fault):
    """Writes a new version of the configuration and sends SIGHUP to a node."""

    def begin(self):
        """Write a new version and send SIGHUP to a random node."""
        step = self.target.random.randint(1, 3)
        version = self.target.put_configuration(step)
        number = self.target.claim_node()
        if number is not None:
            self.target.nodes.signal(number, signal.SIGHUP)
            self.target.release_node(number)
        return f"configuration {version}"

    def end(self):
        """Do nothing: the new version stays in force."""


class MaintenanceWave(Fault):
    """Requests maintenance of a third of the VMs."""

    def begin(self):
        """Write a wave with random VMs."""
        vms = sorted(
            vm.name for vm in self.target.emulator.vms.values() if vm.is_listed
        )
        chosen = self.target.random.sample(vms, len(vms) // 3)
        number = self.target.next_wave()
        self.target.emulator.put_wave(number, chosen, 2)
        return f"wave {number} over {len(chosen)} VMs"

    def end(self):
        """Do nothing: the nodes complete the wave."""


class ClockStep(Fault):
    """Steps the wall clock of a node and steps it back."""

    def begin(self):
        """Set the offset of the clock of a random node."""
        number = self.target.random.choice(sorted(self.target.clocks))
        step_s = self.target.random.choice(CLOCK_STEPS_S)
        self._path = self.target.clocks[number]
        self._path.write_text(str(step_s), encoding="utf-8")
        return f"clock of node {number} steps by {step_s} s"

    def end(self):
        """Reset the offset to 0."""
        self._path.write_text("0", encoding="utf-8")


FAULTS: tuple[type[Fault], ...] = (
    NodeKilled,
    AllNodesKilled,
    NodeTerminated,
    NodePaused,
    StoreLinkFault,
    StoreDegraded,
    StoreCompacted,
    WorkersDegraded,
    WorkerCrashed,
    ConfigurationChange,
    MaintenanceWave,
    ClockStep,
)
