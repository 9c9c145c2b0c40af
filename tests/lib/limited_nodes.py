"""Processes on small machines, for tests with crowds of clients."""

from collections.abc import Callable
import http.client
import time

import testtools

from rosemarynotch._internal.utils.request_budget import DEFAULT_MEMORY_MB
from standins.fleet import Emulator
from tests.lib.client_crowd import Crowd
from tests.lib.client_crowd import Sender
from tests.lib.cluster import Cluster
from tests.lib.nodes import configuration
from tests.lib.nodes import HOST
from tests.lib.nodes import Nodes
from tests.lib.nodes import wait_until
from tests.lib.process_memory import MemorySampler

__all__ = [
    "ANSWER_S",
    "CALLERS",
    "CROWD_S",
    "ENTRY_CALLERS",
    "ENTRY_OPERATORS",
    "ENTRY_PEERS",
    "EntryCase",
    "get_status",
    "LimitedNodeCase",
    "METRICS",
    "PROBE",
    "wait_while",
]

START_S = 15.0
# Time for which a crowd acts before the ordinary request is sent.
CROWD_S = 6.0
ANSWER_S = 20.0
CALL_TIMEOUT_S = 3.0
CHECK_INTERVAL_S = 0.1
# Ports of a node by their position in its settings.
CALLERS, PROBE, METRICS = range(3)
# Ports of an entry.
ENTRY_CALLERS, ENTRY_OPERATORS, ENTRY_PEERS = range(3)


class LimitedNodes(Nodes):
    """Nodes with the limits of a small machine in their settings."""

    def __init__(self, emulator, count, limits):
        self._limits = limits
        super().__init__(emulator, count)

    def write_settings(self, name, settings):
        """Add the limits to the settings."""
        limits = self._limits
        return super().write_settings(name, {**settings, "limits": limits})

    def pid(self, number):
        """Return the process id of a node."""
        return self._processes[number].pid

    def is_alive(self, number):
        """Return whether the process of a node runs."""
        return self._processes[number].poll() is None


def wait_while(is_wanted: Callable[[], bool], time_s: float) -> bool:
    """Wait for a time.

    :returns: False if the condition ended before
    """
    end_s = time.monotonic() + time_s
    while time.monotonic() < end_s:
        if not is_wanted():
            return False
        time.sleep(CHECK_INTERVAL_S)
    return True


def get_status(address, path):
    """Return the status of a GET request, 0 without an answer."""
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


class LimitedNodeCase(testtools.TestCase):
    """Starts a node that allows incomplete requests for a minute.

    :cvar memory_mb: memory of the machine of the node
    :cvar max_fds: its descriptors
    """

    memory_mb = 100
    max_fds = 2000

    def setUp(self):
        """Start the emulator and a node."""
        super().setUp()
        self.emulator = Emulator(
            {"one": 2, "two": 1, "spare": 1}, standby="spare"
        )
        self.addCleanup(self.emulator.close)
        limits = {"header-timeout-ms": 30_000, "idle-timeout-ms": 60_000}
        self.emulator.put_configuration(configuration(limits=limits))
        self.nodes = LimitedNodes(
            self.emulator,
            1,
            {"memory-mb": self.memory_mb, "max-fds": self.max_fds},
        )
        self.addCleanup(self.nodes.close)
        wait_until(lambda: self.nodes.is_ready(0), START_S, "it is ready")
        self.memory = MemorySampler(
            self.nodes.pid(0), list(self.nodes.ports(0))
        )
        self.addCleanup(self.memory.stop)

    def open_crowd(self, senders: list[Sender], port: int = CALLERS) -> None:
        """Open a connection for each sender."""
        crowd = Crowd((HOST, self.nodes.ports(0)[port]), senders)
        self.addCleanup(crowd.close)

    def get(self, port: int, path: str) -> int:
        """Return the status of a GET request, 0 without an answer."""
        return get_status(f"{HOST}:{self.nodes.ports(0)[port]}", path)

    def assert_node_serves(self) -> None:
        """Check memory and descriptors, and send an ordinary request.

        Memory is that of the process and of what its sockets have received
        and it has not read.
        """
        is_alive = wait_while(lambda: self.nodes.is_alive(0), CROWD_S)
        self.assertTrue(is_alive, "the process has ended")
        problems = []
        try:
            wait_until(lambda: self.nodes.is_ready(0), ANSWER_S, "an answer")
        except AssertionError as error:
            problems.append(str(error))
        self.assertTrue(self.nodes.is_alive(0), "the process has ended")
        peak = self.memory.stop()
        # Shown by pytest for a test that fails.
        print(peak, problems)
        if peak.total_mb >= self.memory_mb:
            problems.append(f"peak memory is {peak.total_mb:.0f} MB")
        if peak.descriptors >= self.max_fds:
            problems.append(f"{peak.descriptors} descriptors were open")
        self.assertEqual([], problems)


class EntryCase(testtools.TestCase):
    """Starts an entry, which has the default memory limit."""

    def assert_entry_serves(self, crowds: dict[int, list[Sender]]) -> None:
        """Check memory beside crowds, and send ordinary requests.

        :param crowds: the senders of each port
        """
        with Cluster({"bank": 5}, entries=1) as cluster:
            name = cluster.names[0]
            process = cluster.process(name)
            addresses = [
                cluster.caller_address(name),
                cluster.operator_address(name),
                cluster.peer_address(name),
            ]
            ports = [int(each.rpartition(":")[2]) for each in addresses]
            memory = MemorySampler(process.pid, ports)
            self.addCleanup(memory.stop)
            for number, senders in crowds.items():
                crowd = Crowd((HOST, ports[number]), senders)
                self.addCleanup(crowd.close)
            is_alive = wait_while(lambda: process.poll() is None, CROWD_S)
            self.assertTrue(is_alive, "the process has ended")
            for number, path, status in (
                (ENTRY_CALLERS, "/healthz", 200),
                (ENTRY_OPERATORS, "/", 401),
            ):
                address = addresses[number]
                wait_until(
                    lambda: get_status(address, path) == status,
                    ANSWER_S,
                    f"an answer to {path}",
                )
            self.assertIsNone(process.poll())
            peak = memory.stop()
            # Shown by pytest for a test that fails.
            print(peak)
            self.assertLess(peak.total_mb, DEFAULT_MEMORY_MB)
