"""Connections of the server socket and the bytes that they hold."""

import collections
import errno
import os
import socket
import struct
import time

import zmq
from zmq.utils.monitor import recv_monitor_message

from rosemarynotch._internal.utils.limit_events import LimitEvents
from rosemarynotch._internal.utils.request_budget import RequestBudget
from rosemarynotch._internal.utils.request_budget import RequestHolder

__all__ = ["CONNECTIONS_LIMIT", "PeerConnection", "PeerConnections"]

# Each member has one connection to each entry, and for a moment a second one
# when it is replaced.
CONNECTIONS_LIMIT = 256
# A member probes a new connection at once and again at least every few
# seconds.
FIRST_MESSAGE_TIMEOUT_S = 10.0
# Connections whose messages could be read are not counted below this size, so
# that heartbeats on their way are not evicted for complete requests.
MIN_HELD_BYTES = 16 * 1024
# libzmq keeps 64 bytes for each part of a message, and an empty part has two
# on the wire. Members send messages of one part, so the weight applies to
# connections without a readable message alone.
UNKNOWN_WEIGHT = 32
# Times between measurements while some connection is new, unknown or holds
# much, and otherwise.
ALERT_INTERVAL_S = 0.01
CALM_INTERVAL_S = 0.1
NEW_CONNECTION_S = 10.0
# ``tcpi_bytes_acked`` and ``tcpi_bytes_received`` in ``struct tcp_info`` of
# Linux.
BYTES_FORMAT = "=QQ"
BYTES_OFFSET = 120
TCP_INFO_BYTES = BYTES_OFFSET + struct.calcsize(BYTES_FORMAT)
# Framing of a ZeroMQ message (rfc.zeromq.org/spec/23).
SHORT_MESSAGE_BYTES = 255
SHORT_FRAMING_BYTES = 2
LONG_FRAMING_BYTES = 9
DISCARD_BYTES = 64 * 1024
DISCARD = socket.MSG_DONTWAIT | socket.MSG_TRUNC
# ``struct linger``: a close discards what was not sent.
RESET = struct.pack("ii", 1, 0)
EVENTS = zmq.Event.ACCEPTED | zmq.Event.DISCONNECTED


class PeerConnection(RequestHolder):
    """An accepted connection.

    :param descriptor: descriptor of the connection, which libzmq owns
    :param port: local port of the connection
    :param events: records its eviction
    :ivar identity: routing id of the connection, empty before a message
    :ivar is_known: whether a message of it could be read
    :ivar is_closing: whether this program has closed it
    :ivar since_s: time since which it may hold its present bytes
    """

    def __init__(
        self, descriptor: int, port: int, events: LimitEvents
    ) -> None:
        self.accepted_at_s = time.monotonic()
        self.identity = b""
        self.is_known = False
        self.is_closing = False
        self.since_s = time.time()
        self._descriptor = descriptor
        self._port = port
        self._events = events
        self._delivered_bytes = 0
        self._sent_bytes = 0

    def record_message(self, size: int) -> None:
        """Record that the server has taken a message out of the socket."""
        self._delivered_bytes += _framed_bytes(size)
        self.since_s = time.time()

    def record_answer(self, size: int) -> None:
        """Record that the server has put a message into the socket."""
        self._sent_bytes += _framed_bytes(size)

    def measure(self) -> int:
        """Return the bytes to count for messages in both directions.

        They are in the buffers of the kernel or of libzmq: received and not
        taken by the server, or sent and not acknowledged by the client.
        """
        acknowledged_bytes, received_bytes = self._transferred_bytes()
        held_bytes = received_bytes - self._delivered_bytes
        if not self.is_known:
            held_bytes *= UNKNOWN_WEIGHT
        held_bytes += max(0, self._sent_bytes - acknowledged_bytes)
        if held_bytes >= MIN_HELD_BYTES:
            return held_bytes
        self.since_s = time.time()
        return 0

    def evict_request(self) -> None:
        """Close the connection; libzmq then frees what it holds."""
        self._events.record("peer-memory")
        self.close()

    def close(self) -> None:
        """Shut the connection down; libzmq closes its descriptor then."""
        self.is_closing = True
        try:
            with self._duplicate() as sock:
                # A client that waits to send more learns of the end by a
                # reset when libzmq closes the connection.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)
                # libzmq would read what has arrived before the end.
                while sock.recv(DISCARD_BYTES, DISCARD):
                    pass
        except OSError:
            # libzmq has closed it meanwhile, or nothing is left.
            pass

    def _transferred_bytes(self) -> tuple[int, int]:
        """Return the bytes that the client acknowledged, and its own."""
        try:
            with self._duplicate() as sock:
                info = sock.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
                )
        except OSError:
            info = b""
        if len(info) < TCP_INFO_BYTES:
            return self._sent_bytes, self._delivered_bytes
        return struct.unpack_from(BYTES_FORMAT, info, BYTES_OFFSET)

    def _duplicate(self) -> socket.socket:
        """Return a socket that another thread cannot close meanwhile.

        :raises OSError: if the descriptor is closed or used for another file
        """
        sock = socket.socket(fileno=os.dup(self._descriptor))
        try:
            sock.getpeername()
            if sock.getsockname()[1] != self._port:
                raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        except OSError:
            sock.close()
            raise
        return sock


def _framed_bytes(size: int) -> int:
    """Return the bytes that a message of a size has on the wire."""
    is_short = size <= SHORT_MESSAGE_BYTES
    return size + (SHORT_FRAMING_BYTES if is_short else LONG_FRAMING_BYTES)


class PeerConnections:
    """Bounds the connections of a server socket and the bytes they hold.

    libzmq accepts any number of connections, receives messages of each of
    them before the application sees one, and keeps answers that a client does
    not read. It reports the descriptors of its connections, and the kernel how
    many bytes each has transferred, so what is held between the two is counted
    in the budget of the process. Above the budget connections are closed, as
    are those that send nothing a member would send. All methods belong to the
    thread of the server.

    :param server: the socket, before it is bound
    :param budget: counts the bytes that connections hold
    """

    def __init__(self, server: zmq.Socket, budget: RequestBudget) -> None:
        self._server = server
        self._budget = budget
        self._port = 0
        self._by_descriptor: dict[int, PeerConnection] = {}
        self._by_identity: dict[bytes, PeerConnection] = {}
        # Ordered by acceptance, and by the last message.
        self._unknown: dict[PeerConnection, None] = {}
        self._known: collections.OrderedDict[PeerConnection, None] = (
            collections.OrderedDict()
        )
        self._holding: set[PeerConnection] = set()
        self._accepted_at_s = float("-inf")
        self._measured_at_s = float("-inf")
        address = f"inproc://peer-connections-{id(self)}"
        server.monitor(address, EVENTS)
        self.monitor = server.context.socket(zmq.PAIR)
        # A full queue would block the thread of libzmq.
        self.monitor.setsockopt(zmq.RCVHWM, 0)
        self.monitor.connect(address)

    def set_port(self, port: int) -> None:
        """Set the local port, once the socket is bound."""
        self._port = port

    def close(self) -> None:
        """Stop observing the socket."""
        self._server.disable_monitor()
        self.monitor.close(linger=0)

    def due_in_s(self) -> float:
        """Return the time after which to call :meth:`measure`, at least 0."""
        now_s = time.monotonic()
        is_new = now_s - self._accepted_at_s < NEW_CONNECTION_S
        is_alert = self._unknown or self._holding or is_new
        interval_s = ALERT_INTERVAL_S if is_alert else CALM_INTERVAL_S
        return max(0.0, self._measured_at_s + interval_s - now_s)

    def follow(self) -> None:
        """Read which connections were accepted and closed."""
        while self.monitor.poll(0):
            event = recv_monitor_message(self.monitor)
            descriptor = int(event["value"])
            self._remove(descriptor)
            if event["event"] == zmq.Event.ACCEPTED:
                self._add(descriptor)

    def measure(self) -> None:
        """Count what connections hold, and close those without a message.

        The server should have taken out of the socket what has arrived.
        """
        now_s = time.monotonic()
        self._measured_at_s = now_s
        for connection in list(self._unknown):
            if now_s - connection.accepted_at_s < FIRST_MESSAGE_TIMEOUT_S:
                break
            self._close(connection, "peer-time-out")
        for connection in list(self._by_descriptor.values()):
            self._measure(connection)

    def record_message(
        self, identity: bytes, descriptor: int, size: int
    ) -> PeerConnection:
        """Record a message that the server has taken out of the socket.

        :param identity: routing id of its connection
        :param descriptor: descriptor of its connection
        :param size: size of the message in bytes
        :returns: the connection, which may be closed already
        """
        if descriptor not in self._by_descriptor:
            self.follow()
        connection = self._by_descriptor.get(descriptor)
        if connection is None:
            connection = self._make(descriptor)
            connection.is_closing = True
        connection.record_message(size)
        if not connection.is_closing:
            connection.identity = identity
            self._by_identity[identity] = connection
        return connection

    def record_answer(self, identity: bytes, size: int) -> None:
        """Record a message that the server has put into the socket.

        :param identity: routing id of the connection
        :param size: size of the message in bytes
        """
        connection = self._by_identity.get(identity)
        if connection is not None:
            connection.record_answer(size)

    def record_validity(
        self, connection: PeerConnection, is_valid: bool
    ) -> None:
        """Record whether a message could be read.

        A connection whose first message cannot be read is closed. Later ones
        may be of a later version of this program.
        """
        if connection.is_closing:
            return
        if is_valid:
            connection.is_known = True
            self._unknown.pop(connection, None)
            self._known[connection] = None
            self._known.move_to_end(connection)
        elif not connection.is_known:
            self._close(connection, "peer-message")

    def _add(self, descriptor: int) -> None:
        connection = self._make(descriptor)
        self._accepted_at_s = connection.accepted_at_s
        self._by_descriptor[descriptor] = connection
        self._unknown[connection] = None
        if len(self._unknown) + len(self._known) > CONNECTIONS_LIMIT:
            oldest = next(iter(self._unknown))
            if oldest is connection and self._known:
                oldest = next(iter(self._known))
            self._close(oldest, "peer-connections")

    def _make(self, descriptor: int) -> PeerConnection:
        return PeerConnection(descriptor, self._port, self._budget.events)

    def _remove(self, descriptor: int) -> None:
        connection = self._by_descriptor.pop(descriptor, None)
        if connection is not None:
            self._by_identity.pop(connection.identity, None)
            self._forget(connection)

    def _close(self, connection: PeerConnection, limit: str) -> None:
        self._budget.events.record(limit)
        self._forget(connection)
        connection.close()

    def _forget(self, connection: PeerConnection) -> None:
        self._unknown.pop(connection, None)
        self._known.pop(connection, None)
        if connection in self._holding:
            self._holding.remove(connection)
            self._budget.hold(connection, 0, connection.since_s)

    def _measure(self, connection: PeerConnection) -> None:
        if connection.is_closing:
            # Closed here, or by another server of the process.
            self._forget(connection)
            return
        held_bytes = connection.measure()
        if held_bytes:
            self._holding.add(connection)
        elif connection in self._holding:
            self._holding.remove(connection)
        else:
            return
        self._budget.hold(connection, held_bytes, connection.since_s)
