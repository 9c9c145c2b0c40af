"""One HTTP connection to a target, with a bound on the whole exchange."""

import http.client
import io
import select
import socket
import time

__all__ = ["AnswerReader", "TargetConnection", "TargetResponse"]


class DeadlineSocketIO(socket.SocketIO):
    """Reads from a socket until a point in time.

    A socket time-out alone bounds each read, and a target that sends one
    byte at a time could keep the caller for ever.
    """

    def __init__(self, sock: socket.socket, end_s: float) -> None:
        super().__init__(sock, "rb")
        self._socket = sock
        self._end_s = end_s
        self.finished = False

    def readinto(self, buffer):
        """Read what has arrived.

        :raises TimeoutError: when the end of the exchange has passed
        """
        if self.finished:
            return 0
        left_s = self._end_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        self._socket.settimeout(left_s)
        return super().readinto(buffer)


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
    """A socket that knows when its current exchange has to end."""

    end_s = 0.0

    def makefile(self, mode="rb"):
        """Return a reader of one answer."""
        return AnswerReader(DeadlineSocketIO(self, self.end_s))


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
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException:
            sock.close()
            raise
        self.sock = sock

    def begin_exchange(self, timeout_s: float) -> None:
        """Bound the exchange that starts now."""
        self.sock.end_s = time.monotonic() + timeout_s
        self.sock.settimeout(timeout_s)

    def is_stale(self) -> bool:
        """Tell whether the target closed it or sent bytes unasked."""
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        return bool(poller.poll(0))
