"""Client of a worker."""

from collections.abc import Callable

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.platform.calls import call_json
from rosemarynotch._internal.platform.schema import ClockAnswer
from rosemarynotch._internal.platform.schema import decode_rows
from rosemarynotch._internal.platform.schema import EndRow
from rosemarynotch._internal.platform.schema import RefusalAnswer
from rosemarynotch._internal.platform.schema import ReportAnswer
from rosemarynotch._internal.platform.schema import RunRow
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import WorkerChannel
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["HttpWorkerChannel"]

INSTANCE_HEADER = "Rosemarynotch-Expected-Instance"
REPORT_TIMEOUT_S = 0.5
FAILURES_BY_REASON = {
    "fence": failures.RUN_FENCED,
    "old": failures.RUN_SUPERSEDED,
    "late": failures.RUN_LATE,
    "room": failures.RUN_NO_ROOM,
    "ticket": failures.RUN_NO_TICKET,
}


class HttpWorkerChannel(WorkerChannel):
    """Calls a worker over HTTP.

    :param connect: returns a client with a time-out in seconds, or with a
        function that returns it for each call
    :param worker_id: identifier of the worker instance that is called; a
        later instance at the same address refuses the calls
    :param order_timeout: returns how long an answer to an order is awaited,
        from the number of its earlier attempts
    """

    def __init__(
        self,
        connect: Callable[[float | Callable[[], float]], HttpClient],
        worker_id: str,
        order_timeout: Callable[[int], float],
    ) -> None:
        self._report_client = connect(REPORT_TIMEOUT_S)
        self._order_client = connect(lambda: order_timeout(0))
        self._order_timeout = order_timeout
        self._headers = {INSTANCE_HEADER: worker_id}

    def report(self, fence, acked_sequence, lease_ms, wait_ms):
        """Extend the lease and return the report of the worker."""
        body = {"fencing-token": fence, "last-seen": acked_sequence}
        if lease_ms:
            # A point in time on the worker's clock, not a duration.
            body["deadline-ms"] = lease_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        answer = self._call(
            self._report_client, "hold", body, ReportAnswer, wait_ms
        )
        return answer if isinstance(answer, Failure) else _to_report(answer)

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
        answer = self._call(
            self._order_client,
            "run-start",
            body,
            ClockAnswer,
            repeatable=False,
            timeout_s=self._order_timeout(order.repeats),
        )
        return answer if isinstance(answer, Failure) else int(answer.clock_ms)

    def stop(self, fence, task, run, repeats=0):
        """Stop a run."""
        body = {"task": str(task), "run": run, "fencing-token": fence}
        answer = self._call(
            self._order_client,
            "run-stop",
            body,
            timeout_s=self._order_timeout(repeats),
        )
        return answer if isinstance(answer, Failure) else None

    def pace(self, fence, pacing):
        """Change the speed of a run."""
        body = {
            "task": str(pacing.task),
            "run": pacing.run,
            "percent": pacing.percent,
            "fencing-token": fence,
        }
        answer = self._call(self._order_client, "pace", body)
        return answer if isinstance(answer, Failure) else None

    def close(self):
        """Close idle connections."""
        self._report_client.close()
        self._order_client.close()

    def _call(
        self,
        http: HttpClient,
        name: str,
        body: dict,
        kind: type | None = None,
        wait_ms: int = 0,
        repeatable: bool = True,
        timeout_s: float | None = None,
    ):
        """Make a call.

        :param kind: type of the answer, None if it is not decoded
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
            wait_ms=wait_ms,
            headers=self._headers,
            timeout_s=timeout_s,
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


def _to_report(answer: ReportAnswer) -> WorkerReport:
    refused: list[str] = []
    running = decode_rows(answer.running, RunRow, refused)
    ends = decode_rows(answer.finished, EndRow, refused)
    return WorkerReport(
        clock_ms=int(answer.clock_ms),
        # Start of this worker instance, in Unix milliseconds.
        started_unix_ms=int(answer.born),
        running=tuple(each for row in running if (each := _to_status(row))),
        ends=tuple(each for row in ends if (each := _to_end(row))),
        refused=tuple(refused),
    )


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
