"""Connection of a waitress server whose requests are bounded."""

import socket
import time

import attrs
from waitress.channel import HTTPChannel
from waitress.utilities import Error

from rosemarynotch._internal.utils.bounded_parser import BoundedParser
from rosemarynotch._internal.utils.bounded_parser import Overloaded
from rosemarynotch._internal.utils.request_budget import RequestHolder

__all__ = ["BoundedChannel", "ServerLimits"]

IDLE_TIMEOUT_S = 60.0
# Time for which the rest of a request is awaited. A caller that stops in the
# middle of a request would otherwise occupy its connection indefinitely.
REQUEST_TIMEOUT_S = 10.0

# Time and bytes for which input is read and dropped after a refusal. Closing
# a connection with unread input resets it, and the client would lose the
# refusal.
LINGER_S = 2.0
MAX_DROPPED_BYTES = 16 * 1024 * 1024
DROP_BYTES = 64 * 1024
# Output from which the server's thread helps to send that of a running
# request; the thread of the request waits for it at 16 MB.
HELPED_OUTPUT_BYTES = 64 * 1024
# A client that has taken no part of its response for this long may be closed
# for another one.
STALLED_OUTPUT_S = 5.0


@attrs.frozen(kw_only=True)
class ServerLimits:
    """Time-outs after which connections are closed.

    :ivar idle_timeout_s: longest time without a request
    :ivar request_timeout_s: longest time in all for which input is awaited
        between the first and the last byte of a request; time in which
        received input waits for the server does not count
    """

    idle_timeout_s: float = IDLE_TIMEOUT_S
    request_timeout_s: float = REQUEST_TIMEOUT_S


class BoundedChannel(HTTPChannel, RequestHolder):
    """Connection that counts its requests and reads them in turns.

    The first part of a request is read at once. All further ones are read in
    the order in which the server gives turns to its connections.

    :ivar is_deferred: whether the connection waits for its turn
    """

    request_started_s = 0.0
    _awaited_s = 0.0
    _awaiting_since_s: float | None = None
    _is_refusing = False
    _is_counted = False
    _lingering_since_s = 0.0
    _dropped_bytes = 0

    def __init__(self, server, sock, addr, adj, map=None):
        self.parser_class = self._make_parser
        # Attributes of the instance are found faster than those of the class.
        # These are read for each connection in each iteration.
        self.is_deferred = False
        self._unparsed = b""
        self._awaits_refusal = False
        self.will_close = False
        self.close_when_flushed = False
        self.total_outbufs_len = 0
        super().__init__(server, sock, addr, adj, map)

    def _make_parser(self, adj) -> BoundedParser:
        is_blocked = (
            self._is_refusing
            or len(self.requests) > adj.channel_request_lookahead
        )
        return BoundedParser(adj, self, is_blocked)

    @property
    def is_costly(self) -> bool:
        """Return whether more than the start of a request is to be read."""
        return self.request is not None or bool(
            self._unparsed or self._lingering_since_s
        )

    @property
    def can_advance(self) -> bool:
        """Return whether kept bytes can be parsed."""
        return super().readable()

    def readable(self):
        """Return whether the server should wait for input.

        This is asked for each connection in each iteration, so it does not
        call the method of waitress.
        """
        return not (
            self.is_deferred
            or self._unparsed
            or self._awaits_refusal
            or self.total_outbufs_len
            or self.will_close
            or self.close_when_flushed
            or len(self.requests) > self.adj.channel_request_lookahead
        )

    def writable(self):
        """Return whether the server should wait until output can be sent.

        The thread of a request sends its output itself and wakes the server
        when it is done. Until then the server would poll without a pause,
        since it cannot get the lock of the output.
        """
        output_bytes = self.total_outbufs_len
        if output_bytes and (
            not self.requests or output_bytes >= HELPED_OUTPUT_BYTES
        ):
            return True
        return self.will_close or self.close_when_flushed

    def handle_read(self):
        """Read input now or when it is the connection's turn."""
        if self._awaiting_since_s is not None:
            self._awaited_s += time.time() - self._awaiting_since_s
            self._awaiting_since_s = None
        if not self.is_costly and self.server.has_time():
            super().handle_read()
        else:
            self.server.defer(self)

    def advance(self) -> None:
        """Use the connection's turn."""
        self.is_deferred = False
        if self._fileno is None:
            return
        if self._lingering_since_s:
            self._drop_input()
        elif self._unparsed:
            data, self._unparsed = self._unparsed, b""
            self.received(data)
        elif not self._is_refusing:
            super().handle_read()

    def received(self, data):
        """Parse input and count what remains incomplete."""
        if self._is_refusing:
            return False
        if self.request is None:
            self.request_started_s = time.time()
            self._awaited_s = 0.0
        result = super().received(data)
        request = self.request
        if request is not None:
            self._unparsed = request.take_kept()
            if request.is_blocked:
                self.request = None
                if self._is_refusing:
                    self._unparsed = b""
            if self._unparsed:
                self.server.defer(self)
            else:
                self._awaiting_since_s = time.time()
        if self.request is not None or self._unparsed or self._is_counted:
            self._count()
        return result

    def _count(self) -> None:
        size = len(self._unparsed)
        if self.request is not None:
            size += self.request.size_bytes()
        self._is_counted = bool(size)
        budget = self.server.budget
        budget.hold(self, size, self.request_started_s)
        if self._fileno is None:
            # The connection was closed while its input was parsed.
            budget.hold(self, 0, 0.0)

    def complete_request(self, request: BoundedParser) -> None:
        """Count a request before a thread can get it, or refuse it."""
        budget = self.server.budget
        self._is_counted = False
        size = request.running_bytes()
        if request.error is None and not budget.admit(self, size):
            request.refuse(Overloaded("no memory for the request"))
            budget.events.record("request-memory")
            self._is_refusing = self._awaits_refusal = True
        elif request.error is not None:
            budget.hold(self, 0, 0.0)
            if request.limit:
                budget.events.record(request.limit)
            self._is_refusing = self._awaits_refusal = True
        else:
            request.charge_bytes = size

    def release_request(self, request: BoundedParser) -> None:
        """Stop counting a complete request."""
        size, request.charge_bytes = request.charge_bytes, 0
        if size:
            self.server.budget.release(size)

    def evict_request(self) -> None:
        """Refuse the incomplete request in the server's thread."""
        self.server.run_in_loop(
            lambda: self.refuse(Overloaded("no memory for the request"))
        )

    def refuse(self, error: Error) -> None:
        """Answer the incomplete request with an error and drop its bytes."""
        with self.requests_lock:
            request = self.request
            is_ending = self.will_close or self.close_when_flushed
            if is_ending or self._is_refusing or self._fileno is None:
                return
            if request is None and not self._unparsed:
                return
            refusal = BoundedParser(self.adj, self, False)
            if request is not None:
                refusal.version = request.version
            refusal.refuse(error)
            self.request = None
            self._unparsed = b""
            self._is_refusing = self._awaits_refusal = True
            self.requests.append(refusal)
            if len(self.requests) == 1:
                self.server.add_task(self)
        self.server.budget.events.record("request-memory")

    def handle_write(self):
        """Send output; after a refusal, read on until the client ends."""
        lingers = self.close_when_flushed and self._is_refusing
        if not lingers or self.will_close:
            super().handle_write()
            return
        # The method of waitress would close the connection.
        self.close_when_flushed = False
        super().handle_write()
        if self._fileno is None:
            return
        if self.total_outbufs_len:
            self.close_when_flushed = True
            return
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()
            return
        self._lingering_since_s = time.time()
        self._awaits_refusal = False

    def _drop_input(self) -> None:
        try:
            data = self.recv(DROP_BYTES)
        except OSError:
            self.handle_close()
            return
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self.handle_close()

    def handle_expt(self):
        """Close a connection on which urgent data arrived.

        HTTP has no such data. It stays unread, so that polling would end at
        once as long as the connection is open.
        """
        self.will_close = True

    def handle_close(self):
        """Close the connection and stop counting its request."""
        super().handle_close()
        self._unparsed = b""
        self.server.budget.hold(self, 0, 0.0)

    def is_overdue(self, limits: ServerLimits, now_s: float) -> bool:
        """Return whether the connection has exceeded a time-out."""
        if self._lingering_since_s:
            return now_s - self._lingering_since_s > LINGER_S
        if self.requests:
            return False
        is_incomplete = self.request is not None or self._unparsed
        if is_incomplete and not self.total_outbufs_len:
            awaited_s = self._awaited_s
            if self._awaiting_since_s is not None:
                awaited_s += now_s - self._awaiting_since_s
            return awaited_s > limits.request_timeout_s
        return now_s - self.last_activity > limits.idle_timeout_s

    def waiting_since_s(self, now_s: float) -> float | None:
        """Return since when the connection waits for its client.

        :returns: None if it must not be closed for another connection
        """
        if self._lingering_since_s:
            return 0.0
        if self.requests:
            return None
        if self.total_outbufs_len:
            is_stalled = now_s - self.last_activity > STALLED_OUTPUT_S
            return self.last_activity if is_stalled else None
        if self.request is not None or self._unparsed:
            return self.request_started_s
        return self.last_activity
