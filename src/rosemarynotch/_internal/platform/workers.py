"""Client of one worker."""

from collections.abc import Callable

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.platform.calls import call_json
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import WorkerChannel
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["HttpWorkerChannel"]

INSTANCE_HEADER = "Rosemarynotch-Expected-Instance"
REASONS = {
    "fence": failures.RUN_FENCED,
    "old": failures.RUN_SUPERSEDED,
    "late": failures.RUN_LATE,
    "room": failures.RUN_NO_ROOM,
    "ticket": failures.RUN_NO_TICKET,
}


class HttpWorkerChannel(WorkerChannel):
    """Calls to a worker over HTTP.

    :param connect: opens connections with a timeout in seconds
    :param worker_id: the life of the worker that the calls are meant for
    """

    def __init__(
        self, connect: Callable[[], HttpClient], worker_id: str
    ) -> None:
        self._reports = connect()
        self._orders = connect()
        self._headers = {INSTANCE_HEADER: worker_id}

    def report(self, fence, acked_sequence, lease_ms, wait_ms):
        """Hold the lease and look at the runs."""
        body = {"fencing-token": fence, "last-seen": acked_sequence}
        if lease_ms:
            # A time on the worker's clock, not a duration.
            body["deadline-ms"] = lease_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        answer = self._call(self._reports, "hold", body, wait_ms)
        if isinstance(answer, Failure):
            return answer
        try:
            return _decode_report(answer)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            return failures.WORKER_BUSY.because(f"malformed report: {error}")

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
        answer = self._call(self._orders, "run-start", body)
        if isinstance(answer, Failure):
            return answer
        return int(answer.get("clock-ms", 0))

    def stop(self, fence, task, run):
        """Stop a run."""
        body = {"task": str(task), "run": run, "fencing-token": fence}
        answer = self._call(self._orders, "run-stop", body)
        return answer if isinstance(answer, Failure) else None

    def pace(self, fence, pacing):
        """Change the speed of a run."""
        body = {
            "task": str(pacing.task),
            "run": pacing.run,
            "percent": pacing.percent,
            "fencing-token": fence,
        }
        answer = self._call(self._orders, "pace", body)
        return answer if isinstance(answer, Failure) else None

    def close(self):
        """Close idle connections."""
        self._reports.close()
        self._orders.close()

    def _call(
        self, http: HttpClient, name: str, body: dict, wait_ms: int = 0
    ) -> dict | Failure:
        answer = call_json(
            http,
            "POST",
            (name,),
            failures.WORKER_UNREACHABLE,
            body=body,
            wait_ms=wait_ms,
            headers=self._headers,
        )
        if isinstance(answer, Failure):
            return answer
        status, fields = answer
        if status == 200:
            return fields
        if status == 421:
            return failures.WORKER_REPLACED.because(name)
        if status == 409:
            reason = str(fields.get("reason", ""))
            failure = REASONS.get(reason, failures.RUN_SUPERSEDED)
            return failure.because(f"{name}: {reason}")
        # 400, 429 and 503: the worker has done nothing.
        return failures.WORKER_BUSY.because(f"{name}: status {status}")


def _decode_report(fields: dict) -> WorkerReport:
    return WorkerReport(
        clock_ms=int(fields["clock-ms"]),
        # The Unix millisecond at which this life of the worker began.
        started_unix_ms=int(fields.get("born", 0)),
        running=tuple(
            status
            for row in fields.get("running", [])
            if (status := _decode_status(row))
        ),
        ends=tuple(
            end for row in fields.get("finished", []) if (end := _end(row))
        ),
    )


def _decode_status(row: list) -> RunStatus | None:
    task = TaskId.parse(row[0])
    if task is None:
        return None
    return RunStatus(
        task=task,
        run=int(row[1]),
        checkpoint=row[2] or "",
        percent=int(row[3]),
        load=float(row[4]) if len(row) > 4 else 0.0,
    )


def _end(row: list) -> RunEnd | None:
    task = TaskId.parse(row[1])
    if task is None:
        return None
    return RunEnd(
        sequence=int(row[0]),
        task=task,
        run=int(row[2]),
        kind=EndKind(row[3]),
        checkpoint=row[4] or "",
    )
