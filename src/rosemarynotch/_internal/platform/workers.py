"""Client of a worker."""

from collections.abc import Callable
import threading

import msgspec

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.platform.calls import call_json
from rosemarynotch._internal.platform.calls import PATH_ROOT
from rosemarynotch._internal.platform.decoding import decode_body
from rosemarynotch._internal.platform.decoding import decode_rows
from rosemarynotch._internal.platform.schema import BornAnswer
from rosemarynotch._internal.platform.schema import ClockAnswer
from rosemarynotch._internal.platform.schema import EndRow
from rosemarynotch._internal.platform.schema import RefusalAnswer
from rosemarynotch._internal.platform.schema import ReportAnswer
from rosemarynotch._internal.platform.schema import RunNameRow
from rosemarynotch._internal.platform.schema import RunRow
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import WorkerChannel
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.utils.http import ConnectionCheck
from rosemarynotch._internal.utils.http import Exchange
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["HttpWorkerChannel"]

INSTANCE_HEADER = "Rosemarynotch-Expected-Instance"
REPORT_TIMEOUT_S = 0.5
# A report lists at most this many ends, those with the lowest numbers.
MAX_LISTED_ENDS = 500
FAILURES_BY_REASON = {
    "fence": failures.RUN_FENCED,
    "old": failures.RUN_SUPERSEDED,
    "late": failures.RUN_LATE,
    "room": failures.RUN_NO_ROOM,
    "ticket": failures.RUN_NO_TICKET,
}


class HttpWorkerChannel(WorkerChannel):
    """Calls a worker over HTTP.

    A connection leads to one incarnation of the worker. What only holds for
    an incarnation is sent on a connection on which it has answered before.

    :param connect: returns a client with a time-out in seconds, or with a
        function that returns it for each call, and with a check of its
        connections, None for no check
    :param worker_id: identifier of the worker that is called; another worker
        at the same address refuses the calls
    :param order_timeout: returns how long an answer to an order is awaited,
        from the number of its earlier attempts
    """

    def __init__(
        self,
        connect: Callable[
            [float | Callable[[], float], ConnectionCheck | None], HttpClient
        ],
        worker_id: str,
        order_timeout: Callable[[int], float],
    ) -> None:
        self._connect = connect
        self._headers = {INSTANCE_HEADER: worker_id}
        self._order_timeout = order_timeout
        self._report_client = connect(REPORT_TIMEOUT_S, None)
        self._reported_unix_ms = 0
        self._lock = threading.Lock()
        self._order_client: HttpClient | None = None
        self._order_unix_ms = 0
        # Consecutive orders that were not sent, for want of a connection.
        self._unsent_count = 0

    def report(self, fence, acked_sequence, lease_ms, wait_ms):
        """Extend the lease and return the report of the worker."""
        body = {"fencing-token": fence, "last-seen": acked_sequence}
        if lease_ms:
            # A point in time on the worker's clock, not a duration.
            body["deadline-ms"] = lease_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        is_bound = bool(acked_sequence or lease_ms)
        answer = self._call(
            self._report_client,
            "hold",
            body,
            ReportAnswer,
            wait_ms=wait_ms,
            needs_open=is_bound,
        )
        if is_bound and _is_unsent(answer):
            body = {"fencing-token": fence, "last-seen": 0}
            answer = self._call(
                self._report_client, "hold", body, ReportAnswer
            )
        if isinstance(answer, Failure):
            return answer
        report = _to_report(answer)
        self._reported_unix_ms = report.started_unix_ms
        return report

    def abort_report(self):
        """End the call that waits for a report."""
        self._report_client.abort()

    def start(self, fence, order):
        """Start a run."""
        body = {
            "task": str(order.task),
            "run": order.run,
            "spec": order.payload,
            "deadline-ms": order.lease_until_worker_ms,
            "fencing-token": fence,
        }
        if order.checkpoint:
            body["saved"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        # Sent once: if the first attempt gets no answer, a refusal of the
        # second would not prove that the first is never carried out.
        answer = self._order(
            fence,
            "run-start",
            body,
            order.repeats,
            order.worker_started_unix_ms,
            kind=ClockAnswer,
            repeatable=False,
        )
        return answer if isinstance(answer, Failure) else int(answer.clock_ms)

    def stop(self, fence, task, run, repeats=0):
        """Stop a run."""
        body = {"task": str(task), "run": run, "fencing-token": fence}
        answer = self._order(fence, "run-stop", body, repeats)
        return answer if isinstance(answer, Failure) else None

    def pace(self, fence, pacing):
        """Change the speed of a run."""
        body = {
            "task": str(pacing.task),
            "run": pacing.run,
            "percent": pacing.percent,
            "fencing-token": fence,
        }
        answer = self._order(fence, "pace", body)
        return answer if isinstance(answer, Failure) else None

    def _order(
        self,
        fence: int,
        name: str,
        body: dict,
        repeats: int = 0,
        started_unix_ms: int | None = None,
        **options,
    ):
        """Send an order to an incarnation of the worker.

        :param repeats: number of earlier attempts
        :param started_unix_ms: the incarnation, that of the last report if it
            is not given
        """
        if started_unix_ms is None:
            started_unix_ms = self._reported_unix_ms
        answer = self._call(
            self._client_for(fence, started_unix_ms),
            name,
            body,
            timeout_s=self._order_timeout(repeats),
            **options,
        )
        is_unsent = _is_unsent(answer)
        self._unsent_count = self._unsent_count + 1 if is_unsent else 0
        return answer

    def close(self):
        """Close idle connections."""
        self._report_client.close()
        with self._lock:
            if self._order_client is not None:
                self._order_client.close()

    def _client_for(self, fence: int, started_unix_ms: int) -> HttpClient:
        """Return the client for orders to an incarnation of the worker."""
        with self._lock:
            known, known_unix_ms = self._order_client, self._order_unix_ms
            if known is not None and known_unix_ms == started_unix_ms:
                return known
            if known is not None:
                known.close()
            client = self._order_client = self._connect(
                lambda: self._order_timeout(self._unsent_count),
                lambda exchange: self._check(exchange, fence, started_unix_ms),
            )
            self._order_unix_ms = started_unix_ms
            return client

    def _check(
        self, exchange: Exchange, fence: int, started_unix_ms: int
    ) -> str:
        """Return why a connection does not lead to an incarnation."""
        reply = exchange(
            "POST",
            (PATH_ROOT, "hold"),
            msgspec.json.encode({"fencing-token": fence, "last-seen": 0}),
            self._headers | {"Content-Type": "application/json"},
        )
        if reply.status != 200:
            return f"hold: status {reply.status}"
        found_unix_ms = int(decode_body(reply.body, BornAnswer).born)
        if found_unix_ms != started_unix_ms:
            return f"worker restarted at {found_unix_ms}"
        return ""

    def _call(
        self,
        http: HttpClient,
        name: str,
        body: dict,
        kind: type | None = None,
        repeatable: bool = True,
        **options,
    ):
        """Make a call.

        :param kind: type of the answer, None if it is not decoded
        :param options: passed to :func:`call_json`
        :returns: the decoded answer, or a failure
        """
        answer = call_json(
            http,
            "POST",
            (name,),
            failures.WORKER_UNREACHABLE,
            answers={200: kind, 409: RefusalAnswer},
            body=body,
            repeatable=repeatable,
            headers=self._headers,
            **options,
        )
        if isinstance(answer, Failure):
            return answer
        status, result = answer
        if status == 200:
            return result
        if status == 421:
            return failures.WORKER_REPLACED.with_reason(name)
        if status == 409:
            failure = FAILURES_BY_REASON.get(
                result.reason, failures.RUN_SUPERSEDED
            )
            return failure.with_reason(f"{name}: {result.reason}")
        # 400, 429 and 503: the worker has done nothing.
        return failures.WORKER_BUSY.with_reason(f"{name}: status {status}")


def _is_unsent(answer) -> bool:
    """Tell whether a call was not sent, as no connection was open."""
    return (
        isinstance(answer, Failure)
        and answer.is_a(failures.WORKER_UNREACHABLE)
        and answer.ran is Ran.NO
    )


def _to_report(answer: ReportAnswer) -> WorkerReport:
    refused: list[str] = []
    rows = decode_rows(answer.running, RunRow, refused)
    running = [each for row in rows if (each := _to_status(row))]
    if refused:
        running += _runs_beside(running, answer)
    ends = [
        (row.sequence, _to_end(row))
        for row in decode_rows(answer.finished, EndRow, refused)
    ]
    return WorkerReport(
        clock_ms=int(answer.clock_ms),
        # Start of this worker instance, in Unix milliseconds.
        started_unix_ms=int(answer.born),
        running=tuple(running),
        ends=tuple(end for _, end in ends if end),
        unnamed_ends=tuple(number for number, end in ends if not end),
        refused=tuple(refused),
        is_cut=len(answer.finished) >= MAX_LISTED_ENDS,
    )


def _runs_beside(
    known: list[RunStatus], answer: ReportAnswer
) -> list[RunStatus]:
    """Return the runs of which a report only tells that they exist.

    The rest of their rows cannot be read. A leader that did not know them
    would start their tasks a second time.

    :param known: runs whose rows can be read
    """
    keys = {(status.task, status.run) for status in known}
    return [
        RunStatus(task=task, run=row.run)
        for row in decode_rows(answer.running, RunNameRow, [])
        if (task := TaskId.parse(row.task)) and (task, row.run) not in keys
    ]


def _to_status(row: RunRow) -> RunStatus | None:
    task = TaskId.parse(row.task)
    if task is None:
        return None
    return RunStatus(
        task=task,
        run=row.run,
        checkpoint=row.saved or "",
        percent=int(row.percent),
        load=row.load,
    )


def _to_end(row: EndRow) -> RunEnd | None:
    task = TaskId.parse(row.task)
    if task is None:
        return None
    return RunEnd(
        sequence=row.sequence,
        task=task,
        run=row.run,
        kind=EndKind(row.how),
        checkpoint=row.saved or "",
    )
