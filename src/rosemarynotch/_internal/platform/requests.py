"""The interface for callers: HTTP requests to calls of the job API."""

from http import HTTPStatus
import json
import re

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import JOB_UNKNOWN
from rosemarynotch._internal.exceptions import REQUEST_MALFORMED
from rosemarynotch._internal.platform.schema import decode_body
from rosemarynotch._internal.platform.schema import JobBody
from rosemarynotch._internal.platform.schema import StepBody
from rosemarynotch._internal.scheduling.job_api import CallerRequest
from rosemarynotch._internal.scheduling.job_api import JobApi
from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import StepSpec

__all__ = ["CallerInterface"]

JOB_ID = re.compile(r"[0-9a-f]{16}")
KEY_SCHEME = "Token "
DEADLINE_HEADER = "Rosemarynotch-Deadline-Ms"
DEADLINE_VARIABLE = "HTTP_ROSEMARYNOTCH_DEADLINE_MS"
# At most nine digits, about eleven days, and a fraction.
DEADLINE = re.compile(r"([0-9]{1,9})(?:\.[0-9]{1,9})?")
# A node without contact to the store may have it again after this time, and
# other nodes may have it now.
RETRY_AFTER_S = 1


class CallerInterface:
    """WSGI application for callers.

    :param job_api: what the calls mean
    """

    def __init__(self, job_api: JobApi) -> None:
        self._job_api = job_api

    def mark_not_ready(self) -> None:
        """Tell the job API that the node is leaving."""
        self._job_api.mark_not_ready()

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
        wait_ms = _deadline_ms(environ)
        if isinstance(wait_ms, Failure):
            return wait_ms
        request = self._job_api.resolve_request(
            host=environ.get("HTTP_HOST", "").partition(":")[0],
            path=path,
            key=_key(environ),
            wait_ms=wait_ms,
        )
        if isinstance(request, Failure):
            return request
        job_id = path[len(request.queue.prefix) :]
        if method == "GET" and not job_id:
            count = self._job_api.waiting_count(request)
            return count if isinstance(count, Failure) else {"pending": count}
        if not JOB_ID.fullmatch(job_id):
            return REQUEST_MALFORMED.because("no job id in the path")
        if method == "GET":
            phase = self._job_api.phase(request, job_id)
            if isinstance(phase, Failure):
                return phase
            return {"state": phase.value}
        if method == "DELETE":
            return self._job_api.cancel(request, job_id) or {}
        if method == "POST":
            return self._submit(request, job_id, environ)
        return REQUEST_MALFORMED.because(f"method {method}")

    def _submit(
        self, request: CallerRequest, job_id: str, environ
    ) -> dict | Failure:
        try:
            body = decode_body(environ["wsgi.input"].read(), JobBody)
        except ValueError as error:
            return REQUEST_MALFORMED.because(str(error))
        return self._job_api.submit(request, job_id, _to_job(body)) or {}


def _key(environ) -> str:
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header.startswith(KEY_SCHEME):
        return ""
    return header.removeprefix(KEY_SCHEME).strip()


def _deadline_ms(environ) -> int | Failure:
    """Return how long the caller waits for the answer, 0 if unsaid."""
    text = environ.get(DEADLINE_VARIABLE, "").strip()
    if not text:
        return 0
    match = DEADLINE.fullmatch(text)
    if match is None:
        return REQUEST_MALFORMED.because(f"{DEADLINE_HEADER}: {text[:40]!r}")
    return int(match[1])


def _to_job(body: JobBody) -> JobSpec:
    return JobSpec(
        payload=body.spec,
        steps=tuple(map(_to_step, body.steps)),
        repeat_count=body.repeat_count,
        first_run_unix_ms=int(body.first_run_ms),
        interval_ms=int(body.interval_ms),
    )


def _to_step(body: StepBody) -> StepSpec:
    return StepSpec(
        task_count=body.count,
        size=body.resources(),
        estimated_ms=int(body.estimated_ms),
        after=tuple(body.after),
        checkpointing=bool(body.checkpointing),
        is_gang=bool(body.gang),
        same_rack=bool(body.same_rack),
        required_label=body.required_label,
        data_rack=body.affinity,
        max_per_worker=body.max_per_server,
        speculative=bool(body.speculative),
        long_running=bool(body.long_running),
        image=body.image,
        # Bound of the latency tail of the task's own users.
        latency_target_ms=int(body.target_ms),
        # Runs on what the other tasks leave of the processors.
        uses_idle_cpu=bool(body.fills),
        max_unavailable=body.max_unavailable,
    )
