"""HTTP interface for callers; translates requests to job operations."""

from http import HTTPStatus
import json
import re

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import JOB_UNKNOWN
from rosemarynotch._internal.exceptions import REQUEST_MALFORMED
from rosemarynotch._internal.platform.decoding import decode_body
from rosemarynotch._internal.platform.schema import JobBody
from rosemarynotch._internal.platform.schema import StepBody
from rosemarynotch._internal.scheduling.job_api import CallerRequest
from rosemarynotch._internal.scheduling.job_api import JobApi
from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import StepSpec

__all__ = ["CallerInterface"]

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
AUTHORIZATION_SCHEME = "Token"
DEADLINE_HEADER = "Rosemarynotch-Deadline-Ms"
DEADLINE_VARIABLE = "HTTP_ROSEMARYNOTCH_DEADLINE_MS"
# Milliseconds: at most nine digits (about eleven days) and a fraction.
DEADLINE_PATTERN = re.compile(r"([0-9]{1,9})(?:\.[0-9]{1,9})?")
# Retry-After for failures that give no time. A node that has lost the store
# may reach it again by then, and other nodes may reach it already.
DEFAULT_RETRY_AFTER_S = 1


class CallerInterface:
    """WSGI application for callers.

    :param job_api: checks requests and carries out the operations on jobs
    """

    def __init__(self, job_api: JobApi) -> None:
        self._job_api = job_api

    def mark_not_ready(self) -> None:
        """Report the node as not ready from now on."""
        self._job_api.mark_not_ready()

    def __call__(self, environ, start_response):
        """Answer one request."""
        result = self._answer(environ)
        status, body, headers = 200, {}, []
        if isinstance(result, Failure):
            # Callers get 410 Gone for a job that does not exist.
            status = 410 if result.is_a(JOB_UNKNOWN) else result.status
            body = {"error": result.code, "reason": result.reason}
            if status in (429, 503):
                retry_s = result.retry_after_s or DEFAULT_RETRY_AFTER_S
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
            key=_api_key(environ),
            wait_ms=wait_ms,
        )
        if isinstance(request, Failure):
            return request
        job_id = path[len(request.queue.prefix) :]
        if method == "GET" and not job_id:
            count = self._job_api.waiting_count(request)
            return count if isinstance(count, Failure) else {"pending": count}
        if not JOB_ID_PATTERN.fullmatch(job_id):
            return REQUEST_MALFORMED.with_reason(
                "path does not end with a job id of 16 hexadecimal digits"
            )
        if method == "GET":
            phase = self._job_api.phase(request, job_id)
            if isinstance(phase, Failure):
                return phase
            return {"state": phase.value}
        if method == "DELETE":
            return self._job_api.cancel(request, job_id) or {}
        if method == "POST":
            return self._submit(request, job_id, environ)
        return REQUEST_MALFORMED.with_reason(
            f"method {method} is not supported"
        )

    def _submit(
        self, request: CallerRequest, job_id: str, environ
    ) -> dict | Failure:
        try:
            body = decode_body(environ["wsgi.input"].read(), JobBody)
        except ValueError as error:
            return REQUEST_MALFORMED.with_reason(str(error))
        return self._job_api.submit(request, job_id, _to_job(body)) or {}


def _api_key(environ) -> str | None:
    """Return the key of a call.

    :returns: None for a call without credentials, empty if they are no key
    """
    header = environ.get("HTTP_AUTHORIZATION", "").strip()
    if not header:
        return None
    scheme, _, key = header.partition(" ")
    return key.strip() if scheme == AUTHORIZATION_SCHEME else ""


def _deadline_ms(environ) -> int | Failure:
    """Return how long the caller waits, 0 if the header is missing."""
    text = environ.get(DEADLINE_VARIABLE, "").strip()
    if not text:
        return 0
    match = DEADLINE_PATTERN.fullmatch(text)
    if match is None:
        return REQUEST_MALFORMED.with_reason(
            f"{DEADLINE_HEADER}: {text[:40]!r} is not a valid time in ms"
        )
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
        # Bound for the tail latency of the requests that the task serves.
        latency_target_ms=int(body.target_ms),
        # Runs on processor time that other tasks leave idle.
        uses_idle_cpu=bool(body.fills),
        max_unavailable=body.max_unavailable,
    )
