"""One HTTP connection to a target, with a bound on the whole exchange."""

import http.client
import io
import socket
import struct
import time

__all__ = ["AnswerReader", "TargetConnection", "TargetResponse"]

TIMEVAL = struct.Struct("@ll")
# What fits into the kernel's buffer is sent at once. For more than this,
# the bound has to cover the sum of many writes.
SMALL_REQUEST_BYTES = 16 * 1024


class DeadlineSocketIO(socket.SocketIO):
    """Reads from a socket until a point in time.

    A bound on each read alone would let a target that sends one byte at a
    time keep the caller for ever.
    """

    def __init__(self, sock: "TargetSocket") -> None:
        super().__init__(sock, "rb")
        self._socket = sock
        self._first = True
        self.finished = False

    def readinto(self, buffer):
        """Read what has arrived.

        :raises TimeoutError: when the end of the exchange has passed
        """
        if self.finished:
            return 0
        if not self._first:
            self._socket.bound(socket.SO_RCVTIMEO)
        self._first = False
        try:
            count = self._socket.recv_into(buffer)
        except BlockingIOError:
            raise TimeoutError("timed out") from None
        self._socket.awaits_answer = False
        return count


class AnswerReader(io.BufferedReader):
    """Buffers an answer and keeps track of bytes after its end."""

    surplus = False

    def close(self):
        """Close, and note whether bytes after the answer were received."""
        if not self.closed:
            self.raw.finished = True
            self.surplus = bool(self.peek(1))
        super().close()


class TargetSocket(socket.socket):
    """A blocking socket whose exchange has to end at a point in time.

    :ivar awaits_answer: a whole request was sent, and no byte has come back

    Its bounds are kept by the kernel. With the time-outs of Python each
    read and write would be two system calls, and the interpreter lock is
    given up for each.
    """

    end_s = 0.0
    awaits_answer = False

    def bound(self, option: int) -> None:
        """Set SO_RCVTIMEO or SO_SNDTIMEO to the time that is left.

        :raises TimeoutError: when no time is left
        """
        left_us = int((self.end_s - time.monotonic()) * 1_000_000)
        if left_us <= 0:
            raise TimeoutError("timed out")
        value = TIMEVAL.pack(*divmod(left_us, 1_000_000))
        self.setsockopt(socket.SOL_SOCKET, option, value)

    def makefile(self, mode="rb"):
        """Return a reader of one answer."""
        return AnswerReader(DeadlineSocketIO(self))


class TargetResponse(http.client.HTTPResponse):
    """An answer whose reader stays known after its end."""

    def __init__(self, sock, *args, **kwargs) -> None:
        super().__init__(sock, *args, **kwargs)
        self.reader = self.fp


class TargetConnection(http.client.HTTPConnection):
    """A connection that serves one request at a time.

    :ivar idle_since_s: when its last answer was complete
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
            # Without a listener, the kernel may give the socket the port
            # that it connects to, and it is then connected to itself.
            if sock.getsockname() == sock.getpeername():
                raise ConnectionRefusedError("connected to itself")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(None)
        except BaseException:
            sock.close()
            raise
        self.sock = sock

    def begin_exchange(self, timeout_s: float) -> None:
        """Bound the exchange that starts now."""
        self.sock.end_s = time.monotonic() + timeout_s
        self.sock.bound(socket.SO_SNDTIMEO)
        self.sock.bound(socket.SO_RCVTIMEO)

    def send(self, data):
        """Send a part of a request.

        :raises TimeoutError: when the end of the exchange has passed
        """
        if len(data) > SMALL_REQUEST_BYTES:
            self.sock.settimeout(self.sock.end_s - time.monotonic())
            self.sock.sendall(data)
            self.sock.settimeout(None)
            return
        try:
            self.sock.sendall(data)
        except BlockingIOError:
            raise TimeoutError("timed out") from None

    def is_stale(self) -> bool:
        """Tell whether the target closed it or sent bytes unasked."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True
