"""HTTP client with kept connections, for the platform's services."""

from collections.abc import Callable
import http.client
import select
import socket
import threading
from urllib.parse import quote
from urllib.parse import urlencode

import attrs

from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["CallFailed", "HttpClient", "Reply"]

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
MAX_IDLE_CONNECTIONS = 16
# A server may close an idle connection at any time. A call that must not be
# repeated uses one only while that is unlikely.
MAX_IDLE_S = 5.0
MAX_IDLE_ONCE_S = 0.5


@attrs.frozen
class Reply:
    """A whole answer."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes


@attrs.frozen
class CallFailed:
    """A call without a whole answer.

    :ivar ran: NO when nothing was sent, otherwise UNKNOWN
    """

    ran: Ran
    reason: str


class HttpClient:
    """Calls one server; any number of threads may call at the same time.

    :param address: host and port
    :param clock: measures how long connections are idle
    :param timeout_s: longest wait for the next part of an answer
    :param max_idle: connections that are kept for later calls
    :param max_idle_unrepeatable_s: how long a connection may have been idle
        for a call that is not sent again
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        timeout_s: float = CALL_TIMEOUT_S,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        max_idle_unrepeatable_s: float = MAX_IDLE_ONCE_S,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._clock = clock
        self._timeout_s = timeout_s
        self._max_idle = max_idle
        self._max_idle_once_s = max_idle_unrepeatable_s
        self._lock = threading.Lock()
        self._idle: list[tuple[http.client.HTTPConnection, float]] = []

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
    ) -> Reply | CallFailed:
        """Make a call.

        :param segments: parts of the path; each may contain slashes
        :param repeatable: the call is sent again, on a new connection, if
            there is no answer
        :param wait_s: what the server waits on purpose, added to the time
            that its answer may take
        :param may_send: asked once more when there is a connection, which
            may have taken longer than a permission lasts
        """
        path = "/" + "/".join(quote(part) for part in segments)
        if query:
            path += "?" + urlencode(query)
        timeout_s = self._timeout_s + wait_s
        message = (method, path, body, headers or {})
        result = self._once(message, timeout_s, repeatable, may_send)
        if not isinstance(result, CallFailed):
            return result
        # When one connection has stopped to respond, others may have too.
        self.close()
        if not repeatable:
            return result
        second = self._once(message, timeout_s, repeatable, may_send)
        if isinstance(second, CallFailed) and result.ran is Ran.UNKNOWN:
            return attrs.evolve(second, ran=Ran.UNKNOWN)
        return second

    def close(self) -> None:
        """Close the connections that are idle."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection, _ in idle:
            connection.close()

    def _once(
        self,
        message: tuple,
        timeout_s: float,
        repeatable: bool,
        may_send: Callable[[], bool] | None,
    ) -> Reply | CallFailed:
        try:
            connection = self._take(repeatable)
        except OSError as error:
            return CallFailed(Ran.NO, self._reason(message, error))
        if may_send is not None and not may_send():
            self._keep(connection)
            return CallFailed(Ran.NO, "no longer permitted")
        try:
            connection.sock.settimeout(timeout_s)
            connection.request(*message)
            response = connection.getresponse()
            reply = Reply(response.status, response.headers, response.read())
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return CallFailed(Ran.UNKNOWN, self._reason(message, error))
        self._keep(connection)
        return reply

    def _take(self, repeatable: bool) -> http.client.HTTPConnection:
        """Return a kept connection or a new one.

        :raises OSError: without a connection
        """
        longest_s = MAX_IDLE_S if repeatable else self._max_idle_once_s
        oldest_s = self._clock.monotonic_s() - longest_s
        while True:
            with self._lock:
                if not self._idle or self._idle[-1][1] < oldest_s:
                    break
                connection, _ = self._idle.pop()
            if _is_quiet(connection.sock):
                return connection
            connection.close()
        connection = http.client.HTTPConnection(
            self._host,
            self._port,
            timeout=min(CONNECT_TIMEOUT_S, self._timeout_s),
        )
        connection.connect()
        return connection

    def _keep(self, connection: http.client.HTTPConnection) -> None:
        """Keep a connection for the next call, and close idle ones."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if connection.sock is not None:
                self._idle.append((connection, now_s))
            first = max(0, len(self._idle) - self._max_idle)
            oldest_s = now_s - MAX_IDLE_S
            while first < len(self._idle) and self._idle[first][1] < oldest_s:
                first += 1
            closing, self._idle = self._idle[:first], self._idle[first:]
        for each, _ in closing:
            each.close()

    def _reason(self, message: tuple, error: Exception) -> str:
        path = message[1].partition("?")[0]
        where = f"{message[0]} {self._host}:{self._port}{path}"
        return f"{where}: {str(error) or type(error).__name__}"


def _is_quiet(sock: socket.socket) -> bool:
    """Tell whether the peer has neither closed nor sent anything."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return not poll.poll(0)
