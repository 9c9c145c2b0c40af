"""Tests of the limits of the port for peers."""

import fcntl
import os
import socket
import struct
import termios
import threading
from unittest import mock

import testtools

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models import messages
from rosemarynotch._internal.peers import connections
from rosemarynotch._internal.peers.connections import CONNECTIONS_LIMIT
from rosemarynotch._internal.peers.connections import MIN_HELD_BYTES
from rosemarynotch._internal.peers.connections import PeerConnection
from rosemarynotch._internal.peers.wire import encode_message
from rosemarynotch._internal.peers.wire import Kind
from rosemarynotch._internal.peers.wire import Message
from rosemarynotch._internal.peers.wire import REQUEST_LIMIT_BYTES
from rosemarynotch._internal.utils.limit_events import LimitEvents
from rosemarynotch._internal.utils.request_budget import RequestBudget
from tests.lib.exchanges import ExchangePairCase
from tests.lib.exchanges import forward
from tests.lib.exchanges import TIMEOUT_S
from tests.lib.exchanges import wait_for
from tests.lib import peer_messages
from tests.lib.peer_messages import frame_message

MEMORY_MB = 4
PROBE = frame_message(encode_message(Message(Kind.PROBE)))
GARBAGE = frame_message(b"x")


def unacknowledged_bytes(client: socket.socket) -> int:
    """Return how many bytes the kernel of the receiver has not taken."""
    size = fcntl.ioctl(client, termios.TIOCOUTQ, bytes(4))
    return struct.unpack("i", size)[0]


class PeerConnectionsTest(ExchangePairCase):
    """Guards against clients of the port that harm its members.

    The member b has little memory.
    """

    def setUp(self):
        self.budget = RequestBudget(MEMORY_MB)
        super().setUp()
        self.set_message_timeout(10 * TIMEOUT_S)
        self.link = self.exchanges["a"]
        self.answer = messages.ForwardAnswer(
            answer=messages.Answer(status=200, headers=(), body=b"")
        )
        self.exchanges["b"].set_forward_handler(lambda _: self.answer)

    def make_budget(self, name):
        return self.budget if name == "b" else None

    def set_message_timeout(self, timeout_s):
        """Set how long a connection may be open without a message."""
        patch = mock.patch.object(
            connections, "FIRST_MESSAGE_TIMEOUT_S", timeout_s
        )
        patch.start()
        self.addCleanup(patch.stop)

    def connect(self, data=b"", name="b"):
        """Connect to a member as a socket of ZeroMQ does and send data."""
        host, _, port = self.exchanges[name].bind().rpartition(":")
        client = socket.create_connection((host, int(port)), TIMEOUT_S)
        self.addCleanup(client.close)
        client.sendall(peer_messages.HELLO)
        self.receive(client, peer_messages.ANSWER_BYTES)
        client.sendall(data)
        return client

    def receive(self, client, size):
        """Receive at least this number of bytes."""
        received = 0
        while received < size:
            data = client.recv(4096)
            self.assertNotEqual(b"", data, "the connection is closed")
            received += len(data)

    def send(self, client, data):
        """Send data; return False if the server has closed."""
        try:
            client.sendall(data)
        except OSError:
            return False
        return True

    def assert_closed(self, client):
        """Wait until the server has closed a connection."""
        try:
            while client.recv(4096):
                pass
        except ConnectionResetError:
            pass

    def assert_member_is_served(self):
        """Check that the member is connected and may forward requests."""
        answer = self.link.forward("b", forward(), TIMEOUT_S)
        self.assertEqual(self.answer, answer)

    def test_connections_beyond_the_limit(self):
        """Guards against members that lose their place to other clients."""
        oldest = self.connect()
        for _ in range(CONNECTIONS_LIMIT):
            newest = self.connect()
        self.assert_closed(oldest)
        self.assert_member_is_served()
        newest.sendall(PROBE)
        self.receive(newest, len(PROBE))

    def test_connections_without_a_message(self):
        """Guards against connections that stay open without being used."""
        client = self.connect()
        self.set_message_timeout(0.0)
        self.assert_closed(client)
        self.set_message_timeout(TIMEOUT_S)
        self.assert_member_is_served()

    def test_messages_that_cannot_be_read(self):
        """Guards against strangers, and against a loss of later versions."""
        self.assert_closed(self.connect(GARBAGE))
        client = self.connect(PROBE + GARBAGE + PROBE)
        self.receive(client, 2 * len(PROBE))

    def test_messages_that_do_not_end(self):
        """Guards against messages that fill the memory without an end."""
        message = frame_message(bytes(REQUEST_LIMIT_BYTES - 64))[:-1]
        clients = [self.connect(PROBE) for _ in range(MEMORY_MB)]
        for client in clients:
            threading.Thread(
                target=self.send, args=[client, message], daemon=True
            ).start()
        self.assert_closed(clients[0])
        self.assert_member_is_served()
        for client in clients:
            client.close()
        wait_for(lambda: self.budget.held_bytes == 0)

    def test_connection_that_is_lost_within_a_message(self):
        """Guards against memory that stays counted for ever."""
        message = frame_message(bytes(MIN_HELD_BYTES + 64))[:-1]
        client = self.connect(PROBE)
        self.receive(client, len(PROBE))
        client.sendall(message)
        wait_for(lambda: self.budget.held_bytes)
        client.close()
        wait_for(lambda: self.budget.held_bytes == 0)

    def test_answers_that_are_not_read(self):
        """Guards against answers that wait for a client for ever.

        A client that reads them is not closed, however many there are.
        """
        answer = messages.MetricsAnswer(
            counters={}, histograms={"h": bytes(100_000)}
        )
        self.exchanges["b"].set_metrics_source(lambda: answer)
        body = codec.encode(messages.MetricsRequest())
        call = encode_message(Message(Kind.METRICS_REQUEST, 1, body))
        reader = self.connect()
        for _ in range(100):
            reader.sendall(frame_message(call))
            self.receive(reader, 100_000)
        silent = self.connect()
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        wait_for(lambda: not self.send(silent, frame_message(call)))
        reader.sendall(frame_message(call))
        self.receive(reader, 100_000)
        self.assert_member_is_served()

    def test_messages_that_were_read(self):
        """Guards against members that are closed for what was read."""
        client = self.connect(PROBE)
        self.receive(client, len(PROBE))
        for size, count in ((1, 20_000), (256, 4_000), (70_000, 100)):
            message = Message(Kind.LIMIT_CHANGED, 0, bytes(size))
            client.sendall(frame_message(encode_message(message)) * count)
        client.sendall(PROBE)
        self.receive(client, len(PROBE))
        wait_for(lambda: self.budget.held_bytes == 0)
        for _ in range(20):
            self.assert_member_is_served()
        wait_for(lambda: self.budget.held_bytes == 0)

    def test_messages_that_arrive_while_the_server_is_busy(self):
        """Guards against requests that are lost when a link is replaced.

        What has not arrived by then is lost. The member a has the default of
        the memory.
        """
        done, received = threading.Event(), []
        self.addCleanup(done.set)

        def wait(team):
            received.append(team)
            done.wait(TIMEOUT_S)

        self.exchanges["a"].add_limit_listener(wait)
        body = codec.encode(messages.LimitChanged(team="t" * 8_000))
        message = frame_message(
            encode_message(Message(Kind.LIMIT_CHANGED, 0, body))
        )
        count = 60
        client = self.connect(PROBE, "a")
        self.receive(client, len(PROBE))
        client.sendall(message)
        wait_for(lambda: received)
        client.sendall(message * (count - 1))
        wait_for(lambda: unacknowledged_bytes(client) == 0)
        self.assertEqual(1, len(received))
        client.close()
        done.set()
        wait_for(lambda: len(received) == count)

    def test_forwards_that_fill_the_memory(self):
        """Guards against requests that are kept beyond the memory."""
        done, entered = threading.Event(), threading.Semaphore(0)
        self.addCleanup(done.set)

        def wait(_):
            entered.release()
            done.wait(TIMEOUT_S)
            return self.answer

        def send():
            # Acknowledgements may be late on a busy machine.
            while self.link.forward("b", forward(), 3600) != self.answer:
                done.wait(0.1)

        self.exchanges["b"].set_forward_handler(wait)
        for _ in range(2):
            threading.Thread(target=send, daemon=True).start()
            self.assertTrue(entered.acquire(timeout=TIMEOUT_S))
        refused = self.link.forward("b", forward(), TIMEOUT_S)
        self.assertTrue(refused.is_a(failures.QUEUE_FULL))
        self.assertIs(Ran.NO, refused.ran)
        done.set()
        wait_for(lambda: self.budget.held_bytes == 0)
        self.assert_member_is_served()


class ReusedDescriptorTest(testtools.TestCase):
    """Guards against another socket that is closed for a connection."""

    def test_descriptor_of_another_socket(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            client = socket.create_connection(("127.0.0.1", port))
            self.addCleanup(client.close)
            accepted, _ = server.accept()
            self.addCleanup(accepted.close)
            for other in (client, server):
                descriptor = other.fileno()
                PeerConnection(descriptor, port, LimitEvents()).close()
            accepted.sendall(b"x")
            self.assertEqual(b"x", client.recv(1))
            PeerConnection(accepted.fileno(), port, LimitEvents()).close()
            self.assertEqual(b"", client.recv(1))

    def test_descriptor_that_is_closed(self):
        descriptor = os.dup(0)
        os.close(descriptor)
        PeerConnection(descriptor, 1, LimitEvents()).close()
