"""Sends requests to targets (rules R3 and R4)."""

import http.client
import threading

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.messages import CallerRequest
from rosemarynotch._internal.targets.connection import TargetConnection
from rosemarynotch._internal.targets.late import LateAnswers
from rosemarynotch._internal.targets.late import LateWatch
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["LateWatch", "MAX_ANSWER_BYTES", "TargetClient"]

MAX_ANSWER_BYTES = 1024 * 1024
# Within one data centre a connection takes about 2 ms. A VM that does not
# answer at all must not use up the time for trying another one.
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 5.0
# A target may close an idle connection at any time; a request that must not
# run twice cannot be repeated when that happens while it is sent.
MAX_IDLE_NON_IDEMPOTENT_S = 0.5
FIRST_FINAL_STATUS = 200
TOO_LONG = f"answer over {MAX_ANSWER_BYTES} bytes"
REQUEST_HEADERS_SET_HERE = frozenset(
    ("host", "content-length", "connection", "transfer-encoding")
)


class TargetClient:
    """Keeps connections to targets, each with one request at a time.

    :param clock: measures how long connections are idle
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._late = LateAnswers(clock)
        self._lock = threading.Lock()
        self._idle: dict[str, list[TargetConnection]] = {}
        self._last_sweep_s = clock.monotonic_s()

    def send(
        self,
        address: str,
        request: CallerRequest,
        timeout_s: float,
        late: LateWatch | None = None,
    ) -> Answer | Failure:
        """Send a request and read the whole answer.

        :param address: host and port of the target
        :param timeout_s: bound on the whole exchange
        :param late: what to do about an answer that comes later
        :returns: the answer as the target sent it; TARGET_UNREACHABLE when
            nothing was sent; TARGET_TIMEOUT or ANSWER_TRUNCATED when the
            request may have run
        """
        connection = self._take(address, request.idempotent)
        if connection is None:
            connection = self._open(address, timeout_s)
            if isinstance(connection, Failure):
                return connection
        try:
            connection.begin_exchange(timeout_s)
            result, reusable = self._exchange(connection, request)
        except TimeoutError:
            self._forget(address)
            self._leave(connection, late)
            return failures.TARGET_TIMEOUT.with_reason(address)
        except (OSError, http.client.HTTPException) as error:
            reason = f"{address}: {type(error).__name__}"
            result = failures.ANSWER_TRUNCATED.with_reason(reason)
            reusable = False
        except BaseException:
            connection.close()
            raise
        if reusable:
            self._give_back(address, connection)
        else:
            connection.close()
        return result

    def _leave(self, connection, late):
        """Stop waiting for an answer, or let it be waited for."""
        if late is None or not connection.sock.awaits_answer:
            connection.close()
            return
        self._late.watch(connection, late)

    def close_idle(self, max_idle_s: float = MAX_IDLE_S) -> None:
        """Close connections that have been idle for too long."""
        before_s = self._clock.monotonic_s() - max_idle_s
        closing = []
        with self._lock:
            for address, idle in list(self._idle.items()):
                closing += [c for c in idle if c.idle_since_s <= before_s]
                idle[:] = [c for c in idle if c.idle_since_s > before_s]
                if not idle:
                    del self._idle[address]
        for connection in closing:
            connection.close()

    def _take(self, address, idempotent):
        bound_s = MAX_IDLE_S if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        with self._lock:
            idle = self._idle.get(address)
            if not idle:
                return None
            # The last one given back has been idle for the shortest time.
            age_s = self._clock.monotonic_s() - idle[-1].idle_since_s
            if age_s > bound_s:
                return None
            connection = idle.pop()
        if connection.is_stale():
            connection.close()
            return None
        return connection

    def _give_back(self, address, connection):
        now_s = self._clock.monotonic_s()
        connection.idle_since_s = now_s
        with self._lock:
            self._idle.setdefault(address, []).append(connection)
            sweep = now_s - self._last_sweep_s > MAX_IDLE_S
            if sweep:
                self._last_sweep_s = now_s
        if sweep:
            self.close_idle()

    def _forget(self, address):
        """Close idle connections of a target whose connection went silent.

        The cause, such as a lost path, often affects all of them.
        """
        with self._lock:
            idle = self._idle.pop(address, ())
        for connection in idle:
            connection.close()

    def _open(self, address, timeout_s):
        host, _, port = address.rpartition(":")
        connection = TargetConnection(
            host.strip("[]"),
            int(port),
            timeout=min(timeout_s, CONNECT_TIMEOUT_S),
        )
        try:
            connection.connect()
        except OSError as error:
            reason = f"{address}: {type(error).__name__}"
            return failures.TARGET_UNREACHABLE.with_reason(reason)
        return connection

    def _exchange(self, connection, request):
        _send(connection, request)
        connection.sock.awaits_answer = True
        response = connection.getresponse()
        problem = _delimiter_problem(response, request.method)
        if problem:
            return failures.ANSWER_TRUNCATED.with_reason(problem), False
        # Without an amount, a body shorter than its Content-Length raises;
        # with one, it would be returned as if it was complete.
        body = response.read(
            MAX_ANSWER_BYTES + 1 if response.chunked else None
        )
        if len(body) > MAX_ANSWER_BYTES:
            return failures.ANSWER_TRUNCATED.with_reason(TOO_LONG), False
        answer = Answer(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=body,
        )
        reusable = not response.will_close and not response.reader.surplus
        return answer, reusable


def _send(connection, request):
    connection.putrequest(
        request.method, request.path, skip_accept_encoding=True
    )
    for name, value in request.headers:
        if name.lower() not in REQUEST_HEADERS_SET_HERE:
            connection.putheader(name, value)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        connection.putheader("Content-Length", str(len(request.body)))
    connection.endheaders(request.body or None)


def _delimiter_problem(response, method):
    """Return why the end of an answer cannot be known, or an empty string."""
    if response.status < FIRST_FINAL_STATUS:
        return f"status {response.status} is not final"
    lengths = set(response.headers.get_all("Content-Length", ()))
    if len(lengths) > 1:
        return "contradicting Content-Length"
    if lengths and response.chunked:
        return "both Content-Length and chunked"
    if response.length is None and not response.chunked:
        return "neither Content-Length nor chunked"
    if (response.length or 0) > MAX_ANSWER_BYTES:
        return TOO_LONG
    return ""
