"""Tests of a node beside clients that stay outside the limits.

They check only that the process lives, that its peak memory and its open
descriptors stay within the limits of its settings, and that an ordinary
request is answered afterwards. They run one at a time (``make test``).
"""

import http.client
import os
from pathlib import Path
import socket
import threading
import time

import testtools

from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.hints import Hint
from standins.fleet import Emulator
from tests.lib.client_crowd import chunked
from tests.lib.client_crowd import Crowd
from tests.lib.client_crowd import HEAD
from tests.lib.client_crowd import Sender
from tests.lib.cluster import Cluster
from tests.lib.nodes import configuration
from tests.lib.nodes import Nodes
from tests.lib.nodes import wait_until

START_S = 15.0
# Time for which a crowd acts before the ordinary request is sent.
CROWD_S = 6.0
ANSWER_S = 20.0
# A machine smaller than the smallest of the customers, so that a small crowd
# shows the fault.
MEMORY_MB = 120
MAX_FDS = 400
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = 65536
CALL_TIMEOUT_S = 3.0
DEFAULT_MEMORY_MB = 160
# Ports of a node by their position in its settings.
CALLERS, PROBE, METRICS = range(3)
SMALL_CROWD = 80


class LimitedNodes(Nodes):
    """Nodes with the limits of a small machine in their settings."""

    def __init__(self, emulator, count, max_fds):
        self._limits = {"memory-mb": MEMORY_MB, "max-fds": max_fds}
        super().__init__(emulator, count)

    def write_settings(self, name, settings):
        limits = self._limits
        return super().write_settings(name, {**settings, "limits": limits})

    def pid(self, number):
        return self._processes[number].pid

    def port(self, number, index):
        return self._ports[number][index]

    def is_alive(self, number):
        return self._processes[number].poll() is None


def peak_mb(pid):
    """Return the peak memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    lines = status.splitlines()
    line = next(each for each in lines if each.startswith("VmHWM"))
    return int(line.split()[1]) // 1024


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


class ClientLimitsCase(testtools.TestCase):
    """Starts a node that allows incomplete requests for a minute."""

    max_fds = MAX_FDS

    def setUp(self):
        super().setUp()
        self.emulator = Emulator(
            {"one": 2, "two": 1, "spare": 1}, standby="spare"
        )
        self.addCleanup(self.emulator.close)
        limits = {"header-timeout-ms": 30_000, "idle-timeout-ms": 60_000}
        self.emulator.put_configuration(configuration(limits=limits))
        self.nodes = LimitedNodes(self.emulator, 1, self.max_fds)
        self.addCleanup(self.nodes.close)
        wait_until(lambda: self.nodes.is_ready(0), START_S, "it is ready")

    def open_crowd(self, senders, port=CALLERS):
        host = "127.0.0.1"
        address = (host, self.nodes.port(0, port))
        crowd = Crowd(address, senders)
        self.addCleanup(crowd.close)

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.nodes.pid(0)}/fd"))

    def assert_node_serves(self):
        """Check memory and descriptors, and send an ordinary request."""
        descriptors = 0
        end_s = time.monotonic() + CROWD_S
        while time.monotonic() < end_s:
            self.assertTrue(self.nodes.is_alive(0), "the process has ended")
            descriptors = max(descriptors, self.open_descriptors())
            time.sleep(0.1)
        peaks = [peak_mb(self.nodes.pid(0))]
        problems = []
        try:
            wait_until(lambda: self.nodes.is_ready(0), ANSWER_S, "an answer")
        except AssertionError as error:
            problems.append(str(error))
        self.assertTrue(self.nodes.is_alive(0), "the process has ended")
        peaks.append(peak_mb(self.nodes.pid(0)))
        descriptors = max(descriptors, self.open_descriptors())
        # Shown by pytest for a test that fails.
        print(f"peak {peaks} MB, {descriptors} descriptors, {problems}")
        if max(peaks) >= MEMORY_MB:
            problems.append(f"peak memory is {max(peaks)} MB")
        if descriptors >= self.max_fds:
            problems.append(f"{descriptors} descriptors were open")
        self.assertEqual([], problems)


class CrowdTest(ClientLimitsCase):
    """Guards against nodes that clients outside the limits bring down."""

    def test_large_chunks_without_an_end(self):
        """Guards against memory that grows with each incomplete body."""
        body = chunked(900_000, LARGE_CHUNK)
        self.open_crowd([Sender(body)] * 150)
        self.assert_node_serves()

    def test_bodies_over_the_limit(self):
        """Guards against memory that bodies take until they are refused."""
        announced = HEAD + b"Content-Length: 9000000\r\n\r\n"
        senders = [
            Sender(announced + bytes(9_000_000)),
            Sender(chunked(9_000_000, LARGE_CHUNK)),
            Sender(chunked(9_000_000, LARGE_CHUNK)),
        ]
        self.open_crowd(senders * 50)
        self.assert_node_serves()

    def test_headers_and_trailers_in_single_bytes(self):
        """Guards against a cost of each byte that grows with those before."""
        header = HEAD + b"X-Long: " + b"x" * 20_000
        trailer = CHUNKED_HEAD + b"0\r\nX-Long: " + b"x" * 900_000
        senders = [Sender(header, b"x"), Sender(trailer, b"x")]
        senders += [
            Sender(b"", HEAD),
            Sender(CHUNKED_HEAD + b"0\r\n", b"a: b"),
        ]
        self.open_crowd(senders * 100)
        self.assert_node_serves()

    def test_endless_extensions_and_trailers(self):
        """Guards against parts of a body that are kept without a bound."""
        fields = b"X-Field: 1\r\n" * 75_000
        senders = [
            Sender(CHUNKED_HEAD + b"1;a=" + b"b" * 900_000, b"b"),
            Sender(CHUNKED_HEAD + b"0\r\n" + fields, b"X-Field: 1\r\n"),
            Sender(chunked(150, 1, b";a=" + b"b" * 5_000), b"b"),
        ]
        self.open_crowd(senders * 100)
        self.assert_node_serves()

    def test_more_connections_than_descriptors(self):
        """Guards against connections that use up the descriptors."""
        senders = [Sender(), Sender(HEAD)]
        self.open_crowd(senders * MAX_FDS)
        self.assert_node_serves()

    def test_mix_beside_ordinary_callers(self):
        """Guards against jobs that are not accepted beside a crowd."""
        senders = [
            Sender(chunked(900_000, LARGE_CHUNK)),
            Sender(chunked(900_000, LARGE_CHUNK)),
            Sender(chunked(150_000, 1)),
            Sender(chunked(9_000_000, LARGE_CHUNK)),
            Sender(CHUNKED_HEAD + b"0\r\nX: " + b"x" * 900_000, b"x"),
            Sender(HEAD, b"X-Field: 1\r\n"),
            Sender(),
        ]
        self.open_crowd(senders * 60)
        for _ in range(20):
            self.nodes.submit(0)
        self.assert_node_serves()

        def is_accepted():
            return self.nodes.submit(0)[1] == 200

        wait_until(is_accepted, ANSWER_S, "a job is accepted")


class SmallChunksTest(ClientLimitsCase):
    """Guards against a server thread that only parses tiny chunks."""

    # Allows for more connections than the crowd has, so that their work is
    # bounded and not their number.
    max_fds = 2_000

    def test_small_chunks_without_an_end(self):
        """Guards against work that keeps ordinary requests from being read."""
        bodies = [chunked(150_000, chunk) for chunk in (1, 1, 1, 3, 16)]
        self.open_crowd([Sender(body) for body in bodies] * 80)
        self.assert_node_serves()


class OtherPortsTest(ClientLimitsCase):
    """Guards against the same on the ports beside that of the callers."""

    def get(self, port, path):
        """Return the status of a GET request, 0 without an answer."""
        return get_status(f"127.0.0.1:{self.nodes.port(0, port)}", path)

    def assert_port_serves(self, port, path):
        time.sleep(CROWD_S / 2)
        wait_until(lambda: self.get(port, path) == 200, ANSWER_S, "an answer")
        self.assert_node_serves()

    def test_probe_port(self):
        """Guards against a probe without an answer beside a crowd."""
        body = chunked(900_000, LARGE_CHUNK)
        self.open_crowd([Sender(body), Sender(HEAD)] * SMALL_CROWD, PROBE)
        self.assert_port_serves(PROBE, "/")

    def test_metrics_port(self):
        """Guards against metrics without an answer beside a crowd."""
        body = chunked(900_000, LARGE_CHUNK)
        self.open_crowd([Sender(body), Sender(HEAD)] * SMALL_CROWD, METRICS)
        self.assert_port_serves(METRICS, "/metrics")

    def test_hint_port(self):
        """Guards against a node that only reads datagrams."""
        address = ("127.0.0.1", self.nodes.port(0, METRICS))
        hint = encode(Hint(("intake/jobs/0123456789abcdef",) * 16))
        datagrams = [hint, b"x" * 1400, b"\x91" * 1400]
        stop = threading.Event()

        def flood():
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                while not stop.is_set():
                    for data in datagrams:
                        sock.sendto(data, address)

        thread = threading.Thread(target=flood, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(stop.set)
        self.assert_node_serves()


class EntryTest(testtools.TestCase):
    """Guards against the same on the ports of the first interface."""

    def test_ports_of_callers_and_operators(self):
        """Guards against an entry that a crowd brings down.

        The entry is given no memory limit, so the default holds.
        """
        with Cluster({"bank": 5}, entries=1) as cluster:
            name = cluster.names[0]
            process = cluster.process(name)
            for address, size, count in (
                (cluster.caller_address(name), 500_000, 240),
                (cluster.operator_address(name), 1_000_000, 120),
            ):
                host, port = address.split(":")
                senders = [Sender(chunked(size, LARGE_CHUNK)), Sender(HEAD)]
                crowd = Crowd((host, int(port)), senders * (count // 2))
                self.addCleanup(crowd.close)
            time.sleep(CROWD_S)
            for address, path, status in (
                (cluster.caller_address(name), "/healthz", 200),
                (cluster.operator_address(name), "/", 401),
            ):
                wait_until(
                    lambda: get_status(address, path) == status,
                    ANSWER_S,
                    f"an answer to {path}",
                )
            self.assertIsNone(process.poll())
            self.assertLess(peak_mb(process.pid), DEFAULT_MEMORY_MB)
