"""HTTP client for targets with pooled connections (rules R3 and R4)."""

import http.client
import math
import threading

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.messages import CallerRequest
from rosemarynotch._internal.targets.connection import TargetConnection
from rosemarynotch._internal.targets.late_answers import LateAnswerCallbacks
from rosemarynotch._internal.targets.late_answers import LateAnswerWatcher
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["LateAnswerCallbacks", "MAX_ANSWER_BYTES", "TargetClient"]

MAX_ANSWER_BYTES = 1024 * 1024
# Within one data centre a connection takes about 2 ms. Connecting to a VM
# that does not answer must leave time to try another one.
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 5.0
# A target may close an idle connection at any time. A request that must not
# run twice cannot be sent again if that happens while it is sent, so it
# uses only connections that were idle for a short time.
MAX_IDLE_NON_IDEMPOTENT_S = 0.5
FIRST_FINAL_STATUS = 200
ANSWER_TOO_LONG = f"answer over {MAX_ANSWER_BYTES} bytes"
REQUEST_HEADERS_SET_HERE = frozenset(
    ("host", "content-length", "connection", "transfer-encoding")
)


class TargetClient:
    """Pools connections to targets, each with one request at a time.

    :param clock: measures how long connections are idle
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._late_answers = LateAnswerWatcher(clock)
        self._lock = threading.Lock()
        self._idle: dict[str, list[TargetConnection]] = {}
        self._last_sweep_s = clock.monotonic_s()

    def send(
        self,
        address: str,
        request: CallerRequest,
        timeout_s: float,
        late: LateAnswerCallbacks | None = None,
        send_by_s: float = math.inf,
    ) -> Answer | Failure:
        """Send a request and read the whole answer.

        :param address: host and port of the target
        :param timeout_s: bound on the whole exchange
        :param late: callbacks for an answer that arrives after the time-out;
            None closes the connection at the time-out
        :param send_by_s: latest time of the first byte, by the clock
        :returns: the answer as the target sent it; TARGET_UNREACHABLE or
            GRANT_EXPIRED when nothing was sent; TARGET_TIMEOUT or
            ANSWER_TRUNCATED when the request may have run
        """
        connection = self._take_idle(address, request.idempotent)
        if connection is None:
            connection = self._open(address, timeout_s)
            if isinstance(connection, Failure):
                return connection
        try:
            connection.begin_exchange(timeout_s)
            result, reusable = self._exchange(connection, request, send_by_s)
        except TimeoutError:
            self._close_idle_to(address)
            self._abandon(connection, late)
            return failures.TARGET_TIMEOUT.with_reason(address)
        except (OSError, http.client.HTTPException) as error:
            reason = f"{address}: {type(error).__name__}"
            result = failures.ANSWER_TRUNCATED.with_reason(reason)
            reusable = False
        except BaseException:
            connection.close()
            raise
        if reusable:
            self._return_idle(address, connection)
        else:
            connection.close()
        return result

    def _abandon(self, connection, late):
        """Close a connection that timed out, or watch it for a late answer."""
        if late is None or not connection.sock.awaits_answer:
            connection.close()
            return
        self._late_answers.watch(connection, late)

    def close_idle(self, max_idle_s: float = MAX_IDLE_S) -> None:
        """Close connections that have been idle for at least this time."""
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

    def _take_idle(self, address, idempotent):
        max_age_s = MAX_IDLE_S if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        with self._lock:
            idle = self._idle.get(address)
            if not idle:
                return None
            # The connection returned last was idle for the shortest time.
            age_s = self._clock.monotonic_s() - idle[-1].idle_since_s
            if age_s > max_age_s:
                return None
            connection = idle.pop()
        if connection.is_stale():
            connection.close()
            return None
        return connection

    def _return_idle(self, address, connection):
        now_s = self._clock.monotonic_s()
        connection.idle_since_s = now_s
        with self._lock:
            self._idle.setdefault(address, []).append(connection)
            sweep = now_s - self._last_sweep_s > MAX_IDLE_S
            if sweep:
                self._last_sweep_s = now_s
        if sweep:
            self.close_idle()

    def _close_idle_to(self, address):
        """Close the idle connections to a target after a time-out.

        The cause, such as a broken network path, often affects all of them.
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

    def _exchange(self, connection, request, send_by_s):
        _put_head(connection, request)
        if self._clock.monotonic_s() > send_by_s:
            return failures.GRANT_EXPIRED, False
        connection.endheaders(request.body or None)
        connection.sock.awaits_answer = True
        response = connection.getresponse()
        error = _delimiter_error(response, request.method)
        if error:
            return failures.ANSWER_TRUNCATED.with_reason(error), False
        # ``read`` without an amount raises if the body is shorter than its
        # Content-Length; with an amount, it would return the partial body.
        body = response.read(
            MAX_ANSWER_BYTES + 1 if response.chunked else None
        )
        if len(body) > MAX_ANSWER_BYTES:
            return (
                failures.ANSWER_TRUNCATED.with_reason(ANSWER_TOO_LONG),
                False,
            )
        answer = Answer(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=body,
        )
        reusable = not response.will_close and not response.reader.surplus
        return answer, reusable


def _put_head(connection, request):
    """Prepare the head of a request, which is sent together with its body."""
    connection.putrequest(
        request.method, request.path, skip_accept_encoding=True
    )
    for name, value in request.headers:
        if name.lower() not in REQUEST_HEADERS_SET_HERE:
            connection.putheader(name, value)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        connection.putheader("Content-Length", str(len(request.body)))


def _delimiter_error(response, method):
    """Return why an answer is not delimited reliably, or an empty string."""
    if response.status < FIRST_FINAL_STATUS:
        return f"status {response.status} is not final"
    lengths = set(response.headers.get_all("Content-Length", ()))
    if len(lengths) > 1:
        return "conflicting Content-Length headers"
    if lengths and response.chunked:
        return "both Content-Length and chunked encoding"
    if response.length is None and not response.chunked:
        return "neither Content-Length nor chunked encoding"
    if (response.length or 0) > MAX_ANSWER_BYTES:
        return ANSWER_TOO_LONG
    return ""
