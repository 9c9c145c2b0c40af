"""Tests of the memory of a machine beside clients that send large bodies.

What the sockets of a node have received and it has not read counts as memory
of its machine, as does that of the node itself. The tests check that the sum
stays below the memory of the settings, and what ``LimitedNodeCase`` checks of
each node. They run one at a time (``make test``).
"""

import json
import socket

from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.messages import MetricsRequest
from rosemarynotch._internal.peers.wire import encode_message
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import MESSAGE_LIMIT_BYTES
from tests.lib.client_crowd import chunked
from tests.lib.client_crowd import HEAD
from tests.lib.client_crowd import Sender
from tests.lib.client_crowd import sized
from tests.lib.limited_nodes import ANSWER_S
from tests.lib.limited_nodes import CALLERS
from tests.lib.limited_nodes import CROWD_S
from tests.lib.limited_nodes import ENTRY_CALLERS
from tests.lib.limited_nodes import ENTRY_OPERATORS
from tests.lib.limited_nodes import ENTRY_PEERS
from tests.lib.limited_nodes import EntryCase
from tests.lib.limited_nodes import LimitedNodeCase
from tests.lib.limited_nodes import METRICS
from tests.lib.limited_nodes import PROBE
from tests.lib.limited_nodes import wait_while
from tests.lib.nodes import HOST
from tests.lib.nodes import KEYS
from tests.lib.nodes import wait_until
from tests.lib import peer_messages
from tests.lib.peer_messages import frame_message

# Ends a test that hangs; no check depends on elapsed time.
HANG_S = 60.0
# Connections of a crowd. A node with the limits of these tests may hold 900.
CROWD = 800
LARGEST_BODY = 1024 * 1024
LARGE_BODY = 900_000
HUGE_BODY = 9_000_000
EACH_KIND = (
    Sender(sized(HUGE_BODY, HUGE_BODY)),
    Sender(sized(LARGEST_BODY, LARGEST_BODY)),
    Sender(sized(LARGE_BODY + 1, LARGE_BODY)),
    Sender(sized(LARGE_BODY, 700_000), b"x"),
    Sender(chunked(HUGE_BODY, 65536)),
    Sender(chunked(LARGE_BODY, 65536)),
    Sender(chunked(LARGE_BODY, 4096)),
    Sender(chunked(150_000, 1)),
)
LAST_CHUNK = b"0\r\n\r\n"
# Decoded, these take several times the memory of their bodies.
JOB_WITH_MANY_STEPS = {"spec": "", "steps": [{"count": 1, "cpu": 5}] * 40_000}
JOB_WITH_MANY_NUMBERS = {
    "spec": "",
    "steps": [{"count": 1, "cpu": 5, "after": [1] * 340_000}],
}
JOB = {
    "spec": "work=0.1",
    "steps": [{"count": 1, "cpu": 500, "estimated-ms": 100}],
}


def job_head(number: int) -> bytes:
    """Return the first lines of a call that submits a job."""
    return (
        b"POST /one/%016x HTTP/1.1\r\nHost: queues.example\r\n"
        b"Authorization: Token %b\r\n" % (number, KEYS["team-a"].encode())
    )


def job_call(number: int, job: dict = JOB) -> bytes:
    """Return a complete call that submits a job, with the largest body."""
    body = json.dumps(job).encode().ljust(LARGEST_BODY)
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return job_head(number) + length + body


def peer_sender(data: bytes) -> Sender:
    """Return a client that sends data once ZeroMQ has accepted it."""
    return Sender(
        data,
        opening=peer_messages.HELLO,
        answer_bytes=peer_messages.ANSWER_BYTES,
    )


class SizedBodyTest(LimitedNodeCase):
    """Guards against memory taken by bodies with a length."""

    def test_announced_over_the_limit(self):
        """Guards against bodies that are received after their refusal."""
        self.open_crowd([Sender(sized(HUGE_BODY, HUGE_BODY))] * CROWD)
        self.assert_node_serves()

    def test_without_an_announced_length(self):
        """Guards against bodies of clients that announce no length."""
        self.open_crowd([Sender(HEAD + b"\r\n" + bytes(HUGE_BODY))] * CROWD)
        self.assert_node_serves()

    def test_whole(self):
        """Guards against complete bodies that wait to be read."""
        body = sized(LARGEST_BODY, LARGEST_BODY)
        self.open_crowd([Sender(body)] * CROWD)
        self.assert_node_serves()

    def test_stopping_short(self):
        """Guards against connections that stay open before the last byte."""
        self.open_crowd([Sender(sized(LARGE_BODY + 1, LARGE_BODY))] * CROWD)
        self.assert_node_serves()

    def test_piece_by_piece(self):
        """Guards against bodies that grow slowly after a fast start."""
        body = sized(LARGE_BODY, 700_000)
        self.open_crowd([Sender(body, b"x")] * CROWD)
        self.assert_node_serves()

    def test_single_bytes(self):
        """Guards against bodies that arrive in single bytes."""
        senders = [Sender(sized(LARGE_BODY, 0), b"x")]
        self.open_crowd(senders * CROWD)
        self.assert_node_serves()

    def test_jobs(self):
        """Guards against complete jobs of the largest size at once."""
        self.open_crowd([Sender(job_call(n)) for n in range(CROWD)])
        self.assert_node_serves()

    def test_jobs_in_a_row(self):
        """Guards against requests behind the running one of a connection."""
        calls = [job_call(number) for number in range(CROWD)]
        pairs = zip(calls[::2], calls[1::2], strict=True)
        self.open_crowd([Sender(b"".join(pair) * 2) for pair in pairs])
        self.assert_node_serves()

    def test_jobs_with_many_steps(self):
        """Guards against memory that a body takes when it is decoded."""
        call = job_call(0, JOB_WITH_MANY_STEPS)
        self.open_crowd([Sender(call * 4)] * (CROWD // 2))
        self.assert_node_serves()

    def test_jobs_with_many_numbers(self):
        """Guards against the same for a long list in a field."""
        self.open_crowd([Sender(job_call(0, JOB_WITH_MANY_NUMBERS))] * CROWD)
        self.assert_node_serves()


class ChunkedBodyTest(LimitedNodeCase):
    """Guards against memory taken by chunked bodies."""

    def test_over_the_limit(self):
        """Guards against bodies that are received after their refusal."""
        self.open_crowd([Sender(chunked(HUGE_BODY, 65536))] * CROWD)
        self.assert_node_serves()

    def test_whole(self):
        """Guards against complete bodies that wait to be read."""
        body = chunked(LARGE_BODY, 4096) + LAST_CHUNK
        self.open_crowd([Sender(body)] * CROWD)
        self.assert_node_serves()

    def test_large_chunks_without_an_end(self):
        """Guards against connections that stay open before the last chunk."""
        self.open_crowd([Sender(chunked(LARGE_BODY, 65536))] * CROWD)
        self.assert_node_serves()

    def test_one_chunk_without_an_end(self):
        """Guards against a chunk that stops just short of its end."""
        data = chunked(LARGE_BODY, LARGE_BODY)[:-3]
        self.open_crowd([Sender(data)] * CROWD)
        self.assert_node_serves()

    def test_chunks_without_an_end(self):
        """Guards against the same with chunks of a page."""
        self.open_crowd([Sender(chunked(LARGE_BODY, 4096))] * CROWD)
        self.assert_node_serves()

    def test_small_chunks_without_an_end(self):
        """Guards against bodies that are parsed more slowly than they come."""
        self.open_crowd([Sender(chunked(300_000, 7))] * CROWD)
        self.assert_node_serves()

    def test_smallest_chunks_without_an_end(self):
        """Guards against the same with the most framing."""
        self.open_crowd([Sender(chunked(150_000, 1))] * CROWD)
        self.assert_node_serves()

    def test_piece_by_piece(self):
        """Guards against bodies that grow by a chunk at a time."""
        sender = Sender(chunked(700_000, 4096), b"1\r\nx\r\n")
        self.open_crowd([sender] * CROWD)
        self.assert_node_serves()


class PortTest(LimitedNodeCase):
    """Guards against the same on the other ports and on all together."""

    def assert_port_serves(self, port, path):
        """Send a request to a port beside its crowd."""
        wait_while(lambda: self.nodes.is_alive(0), CROWD_S)
        wait_until(lambda: self.get(port, path) == 200, ANSWER_S, "an answer")
        self.assert_node_serves()

    def test_probes(self):
        """Guards against bodies that are sent to the port for probes."""
        self.open_crowd(EACH_KIND * (CROWD // len(EACH_KIND)), PROBE)
        self.assert_port_serves(PROBE, "/")

    def test_metrics(self):
        """Guards against bodies that are sent to the port for metrics."""
        self.open_crowd(EACH_KIND * (CROWD // len(EACH_KIND)), METRICS)
        self.assert_port_serves(METRICS, "/metrics")

    def test_all_ports(self):
        """Guards against a bound for each port whose sum is too high."""
        for port in (CALLERS, PROBE, METRICS):
            self.open_crowd(EACH_KIND * (CROWD // 2 // len(EACH_KIND)), port)
        self.assert_port_serves(METRICS, "/metrics")

    def test_answers_that_are_not_read(self):
        """Guards against memory taken by clients that read no answer."""
        metrics = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
        counts = b"GET /one/ HTTP/1.1\r\nHost: queues.example\r\n"
        counts += b"Authorization: Token %b\r\n\r\n"
        counts %= KEYS["team-a"].encode()
        self.open_crowd([Sender(metrics * 5_000)] * (CROWD // 2), METRICS)
        self.open_crowd([Sender(counts * 5_000)] * (CROWD // 2), CALLERS)
        self.assert_node_serves()


class EntryTest(EntryCase):
    """Guards against the same on the ports of the first interface."""

    def test_callers(self):
        """Guards against bodies that are sent to the port of callers."""
        senders = EACH_KIND * (CROWD // len(EACH_KIND))
        self.assert_entry_serves({ENTRY_CALLERS: senders})

    def test_operators(self):
        """Guards against bodies that are sent to the port of operators."""
        senders = EACH_KIND * (CROWD // len(EACH_KIND))
        self.assert_entry_serves({ENTRY_OPERATORS: senders})

    def test_incomplete_messages_to_peers(self):
        """Guards against messages that are announced and do not end."""
        message = frame_message(b"x" * MESSAGE_LIMIT_BYTES)[:-1]
        senders = [Sender(peer_messages.HELLO + message)] * 200
        self.assert_entry_serves({ENTRY_PEERS: senders})

    def test_messages_to_peers(self):
        """Guards against messages that arrive faster than they are read."""
        message = frame_message(b"x" * (MESSAGE_LIMIT_BYTES // 4))
        senders = [Sender(peer_messages.HELLO + message * 8)] * 200
        self.assert_entry_serves({ENTRY_PEERS: senders})

    def test_incomplete_messages_of_legal_size_to_peers(self):
        """Guards against the sum of messages that do not end."""
        message = frame_message(b"x" * (MESSAGE_LIMIT_BYTES // 4))[:-1]
        senders = [peer_sender(message)] * 200
        self.assert_entry_serves({ENTRY_PEERS: senders})

    def test_incomplete_messages_of_members_to_peers(self):
        """Guards against the same from clients that pass for members."""
        probe = frame_message(encode_message(Message(Kind.PROBE)))
        message = frame_message(b"x" * (MESSAGE_LIMIT_BYTES // 4))[:-1]
        senders = [peer_sender(probe + message)] * 200
        self.assert_entry_serves({ENTRY_PEERS: senders})

    def test_messages_of_members_to_peers(self):
        """Guards against messages that wait for the server to read them."""
        probe = frame_message(encode_message(Message(Kind.PROBE)))
        message = frame_message(b"x" * (MESSAGE_LIMIT_BYTES // 4))
        senders = [peer_sender(probe + message * 64)] * 200
        self.assert_entry_serves({ENTRY_PEERS: senders})

    def test_messages_without_a_last_part_to_peers(self):
        """Guards against parts that take more memory than they have bytes."""
        sender = peer_sender(peer_messages.EMPTY_PART * 1_000_000)
        self.assert_entry_serves({ENTRY_PEERS: [sender] * 200})

    def test_forwards_to_peers(self):
        """Guards against requests that arrive faster than answers go."""
        body = bytes(MESSAGE_LIMIT_BYTES // 8)
        message = encode_message(Message(Kind.FORWARD, 1, body))
        senders = [peer_sender(frame_message(message) * 20)] * 200
        self.assert_entry_serves({ENTRY_PEERS: senders})

    def test_answers_to_peers_that_are_not_read(self):
        """Guards against answers that wait for clients that read none."""
        body = codec.encode(MetricsRequest())
        message = encode_message(Message(Kind.METRICS_REQUEST, 1, body))
        senders = [peer_sender(frame_message(message) * 2_000)] * 200
        self.assert_entry_serves({ENTRY_PEERS: senders})

    def test_connections_to_peers(self):
        """Guards against connections that only stay open."""
        senders = [Sender(peer_messages.HELLO)] * CROWD
        self.assert_entry_serves({ENTRY_PEERS: senders})


class CalmTest(LimitedNodeCase):
    """Guards against limits that a single request in calm meets."""

    def test_largest_job(self):
        """Guards against the refusal of the largest body that is allowed."""
        self.assertEqual(200, self.call(job_call(1)))
        self.assert_node_serves()

    def test_largest_job_in_chunks(self):
        """Guards against the same for a body in chunks of any size."""
        body = json.dumps(JOB).encode().ljust(LARGEST_BODY)
        head = b"Transfer-Encoding: chunked\r\n\r\n"
        for number, size in enumerate((LARGEST_BODY, 65536, 4096, 7, 1)):
            parts = [
                b"%x\r\n%b\r\n" % (len(part), part)
                for part in (
                    body[start : start + size]
                    for start in range(0, LARGEST_BODY, size)
                )
            ]
            data = job_head(number) + head + b"".join(parts) + LAST_CHUNK
            self.assertEqual(200, self.call(data), f"chunks of {size} bytes")
        self.assert_node_serves()

    def call(self, data: bytes) -> int:
        """Send a request and return the status of the answer."""
        address = (HOST, self.nodes.ports(0)[CALLERS])
        with socket.create_connection(address, HANG_S) as sock:
            sock.sendall(data)
            with sock.makefile("rb") as answer:
                return int(answer.readline().split()[1])
