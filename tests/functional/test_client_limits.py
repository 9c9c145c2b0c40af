"""Tests of a node beside clients that stay outside the limits.

They check only that the process lives, that its peak memory, with what its
sockets have received and it has not read, and its open descriptors stay within
the limits of its settings, and that an ordinary request is answered
afterwards. They run one at a time (``make test``).
"""

import socket
import threading
import time

from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.hints import Hint
from tests.lib.client_crowd import chunked
from tests.lib.client_crowd import HEAD
from tests.lib.client_crowd import Sender
from tests.lib.limited_nodes import ANSWER_S
from tests.lib.limited_nodes import CROWD_S
from tests.lib.limited_nodes import ENTRY_CALLERS
from tests.lib.limited_nodes import ENTRY_OPERATORS
from tests.lib.limited_nodes import EntryCase
from tests.lib.limited_nodes import LimitedNodeCase
from tests.lib.limited_nodes import METRICS
from tests.lib.limited_nodes import PROBE
from tests.lib.nodes import wait_until

# A machine smaller than the smallest of the customers, so that a small crowd
# shows the fault.
MEMORY_MB = 120
MAX_FDS = 400
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = 65536
SMALL_CROWD = 80


class ClientLimitsCase(LimitedNodeCase):
    """Starts a node on a machine with few descriptors."""

    memory_mb = MEMORY_MB
    max_fds = MAX_FDS


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
        address = ("127.0.0.1", self.nodes.ports(0)[METRICS])
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


class EntryTest(EntryCase):
    """Guards against the same on the ports of the first interface."""

    def test_ports_of_callers_and_operators(self):
        """Guards against an entry that a crowd brings down."""
        self.assert_entry_serves(
            {
                port: [Sender(chunked(size, LARGE_CHUNK)), Sender(HEAD)]
                * (count // 2)
                for port, size, count in (
                    (ENTRY_CALLERS, 500_000, 240),
                    (ENTRY_OPERATORS, 1_000_000, 120),
                )
            }
        )
