"""Sends requests and classifies their outcomes."""

import abc

import attrs
import msgspec

from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.replay.trace import ENDED_PREFIX
from rosemarynotch._internal.replay.trace import Expected
from rosemarynotch._internal.replay.trace import TraceRow
from rosemarynotch._internal.utils.clock import Clock
from rosemarynotch._internal.utils.http import CallFailed
from rosemarynotch._internal.utils.http import HttpClient
from rosemarynotch._internal.utils.http import Reply

__all__ = [
    "DirectSender",
    "EntrySender",
    "Result",
    "Sender",
    "classify_failure",
]

ANSWERED = "answered"
DONE = ENDED_PREFIX + "done"
WRONG_ANSWER = "wrong-answer"
NOT_SENT = "not-sent"
CONNECTION_BROKEN = "connection-broken"
ERROR_STATUS = 400
IDLE_CONNECTIONS = 512
# Entries forward the remaining time in whole milliseconds, so a deadline may
# pass slightly early.
ROUNDING_MS = 5.0


@attrs.frozen(kw_only=True)
class Result:
    """The outcome of a request.

    :ivar code: ``answered``, ``wrong-answer``, the code of a refusal,
        ``ended:<state>`` for a job, or the reason for a missing answer
    :ivar late_ms: delay of the sending after the time of the row
    :ivar job_id: of an accepted job
    :ivar accepted_ms: time from sending a job to its acceptance
    """

    row: TraceRow
    code: str
    ran: Ran
    latency_ms: float
    late_ms: float = 0.0
    job_id: str = ""
    accepted_ms: float = 0.0

    @property
    def is_answered(self) -> bool:
        """Tell whether the complete answer to this request arrived.

        The answer to a job is its result.
        """
        return self.code in (ANSWERED, DONE)

    @property
    def is_refused(self) -> bool:
        """Tell whether the request was refused and reported as not run."""
        return not self.is_answered and self.ran is Ran.NO

    def holds(self) -> bool:
        """Tell whether the outcome is one that the row permits."""
        expected = Expected.parse(self.row.outcome)
        if expected.state or self.code.startswith(ENDED_PREFIX):
            return self.code == self.row.outcome
        if self.is_answered:
            return expected.answer
        if self.ran is Ran.UNKNOWN:
            return expected.late and self._is_late()
        if not self.is_refused or not expected.refusal:
            return False
        return expected.code in ("", self.code)

    def _is_late(self) -> bool:
        """Tell whether the outcome arrived after the deadline."""
        return self.latency_ms >= self.row.deadline_ms - ROUNDING_MS


class Sender(abc.ABC):
    """Sends requests of traces or of generated load."""

    def __init__(self, addresses: list[str], clock: Clock, timeout_s: float):
        self._clock = clock
        self._clients = [
            HttpClient(address, clock, timeout_s, IDLE_CONNECTIONS)
            for address in addresses
        ]

    def send(self, row: TraceRow) -> Result:
        """Send a request once and wait for its outcome."""
        client = self._client(row)
        start_s = self._clock.monotonic_s()
        reply = client.call(
            row.method,
            self._segments(row),
            body=None if row.method == "GET" else row.request_id.encode(),
            headers=self._headers(row),
        )
        code, ran = _classify(row, reply)
        return Result(
            row=row,
            code=code,
            ran=ran,
            latency_ms=(self._clock.monotonic_s() - start_s) * 1000,
        )

    def _client(self, row: TraceRow) -> HttpClient:
        """Return the client for the address that a request is sent to."""
        return self._clients[row.entry % len(self._clients)]

    @abc.abstractmethod
    def _segments(self, row: TraceRow) -> tuple[str, ...]:
        """Return the segments of the request path."""

    def _headers(self, row: TraceRow) -> dict[str, str]:
        """Return headers that control the behaviour of target stand-ins."""
        return {
            "X-Request-Id": row.request_id,
            "X-Work-Ms": str(row.work_ms),
            "X-Answer-Bytes": str(row.answer_bytes),
            "X-Team": row.team,
        }


class DirectSender(Sender):
    """Sends directly to targets (baseline); ``entry`` indexes the targets."""

    def _segments(self, row):
        return ("work",)


class EntrySender(Sender):
    """Sends to entries.

    :param keys: keys by name
    """

    def __init__(self, addresses, clock, timeout_s, keys: dict[str, str]):
        super().__init__(addresses, clock, timeout_s)
        self._keys = keys

    def _segments(self, row):
        return ("s", row.service, "work")

    def _caller_headers(self, row: TraceRow) -> dict[str, str]:
        """Return the headers that requests and jobs have in common."""
        headers = {"Rosemarynotch-Queue": row.queue}
        if row.key:
            key = self._keys.get(row.key, row.key)
            headers["Authorization"] = f"Bearer {key}"
        if row.idempotency_key:
            headers["Idempotency-Key"] = row.idempotency_key
        return headers

    def _headers(self, row):
        headers = super()._headers(row) | self._caller_headers(row)
        headers["Rosemarynotch-Worth"] = str(row.worth)
        headers["Rosemarynotch-Idempotent"] = str(int(row.idempotent))
        if row.retry:
            headers["Rosemarynotch-Retry"] = "1"
        if row.deadline_ms:
            headers["Rosemarynotch-Deadline-Ms"] = str(row.deadline_ms)
        return headers


class _Refusal(msgspec.Struct):
    code: str


def _classify(row: TraceRow, reply: Reply | CallFailed) -> tuple[str, Ran]:
    failed = classify_failure(reply)
    if failed is not None:
        return failed
    return (ANSWERED if _is_own_answer(row, reply) else WRONG_ANSWER), Ran.YES


def classify_failure(reply: Reply | CallFailed) -> tuple[str, Ran] | None:
    """Return the code of a refusal or failure and whether the request ran.

    :returns: code and whether the request ran; None for an answer
    """
    if isinstance(reply, CallFailed):
        return (
            NOT_SENT if reply.ran is Ran.NO else CONNECTION_BROKEN
        ), reply.ran
    ran = reply.headers.get("Rosemarynotch-Ran")
    if ran is not None:
        return _refusal_code(reply), _parse_ran(ran)
    if reply.headers.get("Rosemarynotch-Not-Run") == "1":
        return "target-refused", Ran.NO
    if reply.status >= ERROR_STATUS:
        return f"status-{reply.status}", Ran.YES
    return None


def _is_own_answer(row: TraceRow, reply: Reply) -> bool:
    """Tell whether an answer is complete and belongs to the request."""
    start = row.request_id.encode() + b"\n"
    return (
        reply.headers.get("X-Request-Id") == row.request_id
        and reply.body.startswith(start)
        and len(reply.body) == max(row.answer_bytes, len(start))
    )


def _refusal_code(reply: Reply) -> str:
    try:
        return msgspec.json.decode(reply.body, type=_Refusal).code
    except msgspec.DecodeError:
        return f"status-{reply.status}"


def _parse_ran(text: str) -> Ran:
    """Parse the Rosemarynotch-Ran header.

    An unrecognised value means that it is unknown whether the request ran.
    """
    return Ran(text) if text in list(Ran) else Ran.UNKNOWN
