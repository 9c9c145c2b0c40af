"""HTTP connection to a target with a deadline for the whole exchange."""

import http.client
import io
import socket
import struct
import time

__all__ = ["AnswerReader", "TargetConnection", "TargetResponse"]

TIMEVAL = struct.Struct("@ll")
# A request up to this size fits into the kernel's send buffer and is sent by
# one write. For a larger one, the deadline has to cover many writes.
SMALL_REQUEST_BYTES = 16 * 1024


class DeadlineSocketIO(socket.SocketIO):
    """Reads from a socket until a deadline.

    A time-out for each read alone would let a target that sends one byte at
    a time occupy the caller without a limit.
    """

    def __init__(self, sock: "TargetSocket") -> None:
        super().__init__(sock, "rb")
        self._socket = sock
        self._first = True
        self.finished = False

    def readinto(self, buffer):
        """Read the bytes that have arrived, or wait for some.

        :raises TimeoutError: if the deadline of the exchange has passed
        """
        if self.finished:
            return 0
        if not self._first:
            self._socket.apply_deadline(socket.SO_RCVTIMEO)
        self._first = False
        try:
            count = self._socket.recv_into(buffer)
        except BlockingIOError:
            raise TimeoutError("timed out") from None
        self._socket.awaits_answer = False
        return count


class AnswerReader(io.BufferedReader):
    """Buffers an answer and detects bytes received after its end.

    :ivar surplus: whether such bytes were received, set by :meth:`close`
    """

    surplus = False

    def close(self):
        """Close, and record whether bytes after the answer were received."""
        if not self.closed:
            self.raw.finished = True
            self.surplus = bool(self.peek(1))
        super().close()


class TargetSocket(socket.socket):
    """A blocking socket with a deadline for the current exchange.

    The kernel enforces the deadline. With the time-outs of Python, each read
    and write would take two system calls, each of which releases the
    interpreter lock.

    :ivar deadline_s: end of the exchange, by the monotonic clock
    :ivar awaits_answer: a whole request was sent, and no byte of the answer
        has been received
    """

    deadline_s = 0.0
    awaits_answer = False

    def apply_deadline(self, option: int) -> None:
        """Set SO_RCVTIMEO or SO_SNDTIMEO to the time until the deadline.

        :raises TimeoutError: if the deadline has passed
        """
        remaining_us = int((self.deadline_s - time.monotonic()) * 1_000_000)
        if remaining_us <= 0:
            raise TimeoutError("timed out")
        value = TIMEVAL.pack(*divmod(remaining_us, 1_000_000))
        self.setsockopt(socket.SOL_SOCKET, option, value)

    def makefile(self, mode="rb"):
        """Return a reader of one answer."""
        return AnswerReader(DeadlineSocketIO(self))


class TargetResponse(http.client.HTTPResponse):
    """An answer that keeps a reference to its reader after its end."""

    def __init__(self, sock, *args, **kwargs) -> None:
        super().__init__(sock, *args, **kwargs)
        self.reader = self.fp


class TargetConnection(http.client.HTTPConnection):
    """A connection that carries one request at a time.

    :ivar idle_since_s: time at which its last answer was complete
    """

    response_class = TargetResponse
    auto_open = 0
    idle_since_s = 0.0

    def connect(self):
        """Connect within the time-out.

        :raises OSError: the target cannot be reached; nothing was sent
        """
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        sock = TargetSocket(family, socket.SOCK_STREAM)
        try:
            sock.settimeout(self.timeout)
            sock.connect((self.host, self.port))
            # If nothing listens on the port, the kernel may choose the same
            # port for this end; the socket is then connected to itself.
            if sock.getsockname() == sock.getpeername():
                raise ConnectionRefusedError("connected to itself")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(None)
        except BaseException:
            sock.close()
            raise
        self.sock = sock

    def begin_exchange(self, timeout_s: float) -> None:
        """Set the deadline of the exchange that starts now."""
        self.sock.deadline_s = time.monotonic() + timeout_s
        self.sock.apply_deadline(socket.SO_SNDTIMEO)
        self.sock.apply_deadline(socket.SO_RCVTIMEO)

    def send(self, data):
        """Send a part of a request.

        :raises TimeoutError: if the deadline of the exchange has passed
        """
        if len(data) > SMALL_REQUEST_BYTES:
            self.sock.settimeout(self.sock.deadline_s - time.monotonic())
            self.sock.sendall(data)
            self.sock.settimeout(None)
            return
        try:
            self.sock.sendall(data)
        except BlockingIOError:
            raise TimeoutError("timed out") from None

    def is_stale(self) -> bool:
        """Tell whether the connection was closed or has unrequested bytes."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True
