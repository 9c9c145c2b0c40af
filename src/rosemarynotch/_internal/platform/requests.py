"""The interface for callers: HTTP requests to calls of the job desk."""

from http import HTTPStatus
import json
import re

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import JOB_UNKNOWN
from rosemarynotch._internal.exceptions import REQUEST_MALFORMED
from rosemarynotch._internal.platform.calls import resource_fields
from rosemarynotch._internal.scheduling.desk import CallerRequest
from rosemarynotch._internal.scheduling.desk import JobDesk
from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import StepSpec

__all__ = ["CallerInterface"]

JOB_ID = re.compile(r"[0-9a-f]{16}")
KEY_SCHEME = "Token "
DEADLINE_VARIABLE = "HTTP_ROSEMARYNOTCH_DEADLINE_MS"
MAX_PAYLOAD_BYTES = 4000
# A node without contact to the store may have it again after this time, and
# other nodes may have it now.
RETRY_AFTER_S = 1
# A larger job could not be followed within the memory of a node.
MAX_TASKS = 5000


class CallerInterface:
    """WSGI application for callers.

    :param desk: what the calls mean
    """

    def __init__(self, desk: JobDesk) -> None:
        self._desk = desk

    def announce_leaving(self) -> None:
        """Tell the desk that the node is leaving."""
        self._desk.announce_leaving()

    def __call__(self, environ, start_response):
        """Answer one request."""
        result = self._answer(environ)
        status, body, headers = 200, {}, []
        if isinstance(result, Failure):
            # To callers, a job that does not exist is gone.
            status = 410 if result.is_a(JOB_UNKNOWN) else result.status
            body = {"error": result.code, "reason": result.reason}
            if status in (429, 503):
                retry_s = result.retry_after_s or RETRY_AFTER_S
                headers.append(("Retry-After", str(retry_s)))
        else:
            body = result
        data = json.dumps(body).encode()
        headers += [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        phrase = HTTPStatus(status).phrase
        start_response(f"{status} {phrase}", headers)
        return [data]

    def _answer(self, environ) -> dict | Failure:
        method = environ["REQUEST_METHOD"]
        path = environ.get("PATH_INFO", "")
        request = self._desk.open_request(
            host=environ.get("HTTP_HOST", "").partition(":")[0],
            path=path,
            key=_key(environ),
            wait_ms=_deadline_ms(environ),
        )
        if isinstance(request, Failure):
            return request
        job_id = path[len(request.queue.prefix) :]
        if method == "GET" and not job_id:
            count = self._desk.waiting_count(request)
            return count if isinstance(count, Failure) else {"pending": count}
        if not JOB_ID.fullmatch(job_id):
            return REQUEST_MALFORMED.because("no job id in the path")
        if method == "GET":
            phase = self._desk.phase(request, job_id)
            if isinstance(phase, Failure):
                return phase
            return {"state": phase.value}
        if method == "DELETE":
            return self._desk.cancel(request, job_id) or {}
        if method == "POST":
            return self._submit(request, job_id, environ)
        return REQUEST_MALFORMED.because(f"method {method}")

    def _submit(
        self, request: CallerRequest, job_id: str, environ
    ) -> dict | Failure:
        try:
            spec = _decode_job(json.load(environ["wsgi.input"]))
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            return REQUEST_MALFORMED.because(str(error) or repr(error))
        return self._desk.submit(request, job_id, spec) or {}


def _key(environ) -> str:
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header.startswith(KEY_SCHEME):
        return ""
    return header.removeprefix(KEY_SCHEME).strip()


def _deadline_ms(environ) -> int:
    """Return how long the caller waits for the answer, 0 if unsaid."""
    text = environ.get(DEADLINE_VARIABLE, "")
    return int(text) if text.isdecimal() else 0


def _decode_job(fields: dict) -> JobSpec:
    """Decode a submission.

    :raises ValueError: naming what is wrong with it
    """
    payload = str(fields.get("spec", ""))
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"spec is over {MAX_PAYLOAD_BYTES} bytes")
    steps = tuple(
        _decode_step(number, row) for number, row in enumerate(fields["steps"])
    )
    repeat_count = max(0, int(fields.get("repeat-count", 0)))
    tasks = sum(step.task_count for step in steps) * max(1, repeat_count)
    if not 0 < tasks <= MAX_TASKS:
        raise ValueError(f"{tasks} tasks; 1 to {MAX_TASKS} are accepted")
    return JobSpec(
        payload=payload,
        steps=steps,
        repeat_count=repeat_count,
        first_run_unix_ms=int(fields.get("first-run-ms", 0)),
        interval_ms=int(fields.get("interval-ms", 0)),
    )


def _decode_step(number: int, row: dict) -> StepSpec:
    after = tuple(int(each) for each in row.get("after", ()))
    if any(not 0 <= each < number for each in after):
        raise ValueError(f"step {number} comes after a step that is not")
    count = int(row["count"])
    if count < 1:
        raise ValueError(f"step {number} has {count} tasks")
    return StepSpec(
        task_count=count,
        size=resource_fields(row),
        estimated_ms=int(row.get("estimated-ms", 0)),
        after=after,
        checkpointing=bool(row.get("checkpointing")),
        is_gang=bool(row.get("gang")),
        same_rack=bool(row.get("same-rack")),
        required_label=str(row.get("required-label", "")),
        data_rack=str(row.get("affinity", "")),
        max_per_worker=int(row.get("max-per-server", 0)),
        speculative=bool(row.get("speculative")),
        long_running=bool(row.get("long-running")),
        image=str(row.get("image", "")),
        # Bound of the latency tail of the task's own users.
        latency_target_ms=int(row.get("target-ms", 0)),
        # Runs on what the other tasks leave of the processors.
        uses_idle_cpu=bool(row.get("fills")),
        max_unavailable=int(row.get("max-unavailable", 0)),
    )
