"""HTTP client with keep-alive connections for the platform's services."""

from collections.abc import Callable
import contextlib
import http.client
import select
import socket
import struct
import threading
from urllib.parse import quote
from urllib.parse import urlencode

import attrs

from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.utils.addresses import split_address
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["CallFailed", "ConnectionCheck", "Exchange", "HttpClient", "Reply"]

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
MAX_IDLE_CONNECTIONS = 16
# A server may close an idle connection at any time. A call that must not be
# repeated reuses only a connection that was idle for so short a time that this
# is unlikely.
MAX_IDLE_S = 5.0
MAX_IDLE_UNREPEATABLE_S = 0.5
# Option of a socket that is closed with a reset: on, after 0 s.
NO_LINGER = struct.pack("ii", 1, 0)


@attrs.frozen
class Reply:
    """A complete HTTP response."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes


@attrs.frozen
class CallFailed:
    """A call that got no complete response.

    :ivar ran: NO if the request was not sent, otherwise UNKNOWN
    :ivar reason: human-readable description
    """

    ran: Ran
    reason: str


# Sends a request, given as method, segments of the path, body and headers, on
# a connection and returns the response.
Exchange = Callable[[str, tuple[str, ...], bytes, dict[str, str]], Reply]
# Returns why a connection must not be used, empty if it may be.
ConnectionCheck = Callable[[Exchange], str]


class HttpClient:
    """Client of one server, safe to use from several threads.

    :param address: host and port of the server; ValueError is raised if it is
        not valid
    :param clock: measures the idle time of connections
    :param timeout_s: longest wait for the next part of a response, or a
        function that returns it for each call
    :param max_idle: most idle connections that are kept for reuse
    :param max_idle_unrepeatable_s: longest idle time of a connection that is
        reused for a call that must not be repeated
    :param check: examines each new connection before it is used
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        timeout_s: float | Callable[[], float] = CALL_TIMEOUT_S,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        max_idle_unrepeatable_s: float = MAX_IDLE_UNREPEATABLE_S,
        check: ConnectionCheck | None = None,
    ) -> None:
        self._host, self._port = split_address(address)
        self._clock = clock
        self._timeout = timeout_s if callable(timeout_s) else lambda: timeout_s
        self._max_idle = max_idle
        self._max_idle_unrepeatable_s = max_idle_unrepeatable_s
        self._check = check
        self._lock = threading.Lock()
        self._idle: list[tuple[http.client.HTTPConnection, float]] = []
        self._active: set[http.client.HTTPConnection] = set()

    def call(
        self,
        method: str,
        segments: tuple[str, ...],
        query: dict[str, object] | None = None,
        body: bytes | None = None,
        repeatable: bool = False,
        wait_s: float = 0.0,
        headers: dict[str, str] | None = None,
        may_send: Callable[[], bool] | None = None,
        timeout_s: float | None = None,
        needs_open: bool = False,
    ) -> Reply | CallFailed:
        """Send a request and return the response.

        :param segments: parts of the path, which may contain slashes
        :param repeatable: whether the request may be sent a second time if
            there is no response
        :param wait_s: time that the server deliberately waits before it
            responds; extends the time-out
        :param may_send: checked again after the connection has been made,
            because connecting may take longer than the permission to send
            lasts
        :param timeout_s: time-out of this call, if it is not the usual one
        :param needs_open: whether the request may only be sent on a connection
            that is open already, which leads to the process that answered
            before; it is not sent a second time
        :returns: the response, or a failure without a complete response
        """
        path = _path(segments)
        if query:
            path += "?" + urlencode(query)
        if timeout_s is None:
            timeout_s = self._timeout()
        timeout_s += wait_s
        message = (method, path, body, headers or {})
        result = self._once(
            message, timeout_s, repeatable, may_send, needs_open
        )
        if not isinstance(result, CallFailed):
            return result
        # If one connection no longer responds, the others may not either.
        self.close()
        if not repeatable or needs_open:
            return result
        second = self._once(message, timeout_s, repeatable, may_send)
        if isinstance(second, CallFailed) and result.ran is Ran.UNKNOWN:
            return attrs.evolve(second, ran=Ran.UNKNOWN)
        return second

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection, _ in idle:
            connection.close()

    def abort(self) -> None:
        """End the calls that wait for a response, and close all connections.

        The calls fail as if the server had closed their connections.
        """
        with self._lock:
            active = list(self._active)
        for connection in active:
            with contextlib.suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)
        self.close()

    def _once(
        self,
        message: tuple,
        timeout_s: float,
        repeatable: bool,
        may_send: Callable[[], bool] | None,
        needs_open: bool = False,
    ) -> Reply | CallFailed:
        connection = self._take_idle(repeatable)
        if connection is None:
            if needs_open:
                return CallFailed(Ran.NO, "no connection is open")
            try:
                connection = self._connect()
            except (OSError, http.client.HTTPException, ValueError) as error:
                return CallFailed(Ran.NO, self._reason(message, error))
        if may_send is not None and not may_send():
            self._return_idle(connection)
            return CallFailed(Ran.NO, "request is no longer permitted")
        with self._lock:
            self._active.add(connection)
        try:
            connection.sock.settimeout(timeout_s)
            reply = _exchange(connection, message)
        except (OSError, http.client.HTTPException, ValueError) as error:
            _reset(connection)
            return CallFailed(Ran.UNKNOWN, self._reason(message, error))
        finally:
            with self._lock:
                self._active.discard(connection)
        self._return_idle(connection)
        return reply

    def _take_idle(
        self, repeatable: bool
    ) -> http.client.HTTPConnection | None:
        """Remove and return an idle connection, None if there is none."""
        max_idle_s = (
            MAX_IDLE_S if repeatable else self._max_idle_unrepeatable_s
        )
        oldest_s = self._clock.monotonic_s() - max_idle_s
        while True:
            with self._lock:
                if not self._idle or self._idle[-1][1] < oldest_s:
                    return None
                connection, _ = self._idle.pop()
            if _is_reusable(connection.sock):
                return connection
            connection.close()

    def _connect(self) -> http.client.HTTPConnection:
        """Return a new connection that has passed the check.

        :raises OSError: if no connection can be made, or the check fails
        :raises ValueError: if the host is not a valid name
        """
        connection = http.client.HTTPConnection(
            self._host,
            self._port,
            timeout=min(CONNECT_TIMEOUT_S, self._timeout()),
        )
        connection.connect()
        if self._check is None:
            return connection
        why = "check of the connection failed"
        try:
            why = self._check(
                lambda method, segments, body, headers: _exchange(
                    connection, (method, _path(segments), body, headers)
                )
            )
        finally:
            if why:
                connection.close()
        if why:
            raise ConnectionError(why)
        return connection

    def _return_idle(self, connection: http.client.HTTPConnection) -> None:
        """Keep a connection for reuse, and close connections idle too long."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if connection.sock is not None:
                self._idle.append((connection, now_s))
            first = max(0, len(self._idle) - self._max_idle)
            oldest_s = now_s - MAX_IDLE_S
            while first < len(self._idle) and self._idle[first][1] < oldest_s:
                first += 1
            closing, self._idle = self._idle[:first], self._idle[first:]
        for expired, _ in closing:
            expired.close()

    def _reason(self, message: tuple, error: Exception) -> str:
        path = message[1].partition("?")[0]
        where = f"{message[0]} {self._host}:{self._port}{path}"
        return f"{where}: {str(error) or type(error).__name__}"


def _path(segments: tuple[str, ...]) -> str:
    return "/" + "/".join(quote(part) for part in segments)


def _exchange(connection: http.client.HTTPConnection, message: tuple) -> Reply:
    connection.request(*message)
    response = connection.getresponse()
    return Reply(response.status, response.headers, response.read())


def _reset(connection: http.client.HTTPConnection) -> None:
    """Close a connection and drop what the network still holds back.

    After an ordinary close, the system goes on to send a request that a cut
    has held up. It would arrive after its caller has given it up.
    """
    if connection.sock is not None:
        # The socket may have failed already.
        with contextlib.suppress(OSError):
            connection.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
    connection.close()


def _is_reusable(sock: socket.socket) -> bool:
    """Return whether the connection is open and has no unread data."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return not poll.poll(0)
