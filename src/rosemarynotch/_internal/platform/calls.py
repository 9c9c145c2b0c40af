"""One JSON call over HTTP, shared by the clients of the platform."""

import json

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.utils.http import CallFailed
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["ROOT", "call_json", "resource_fields"]

ROOT = "rosemarynotch"


def call_json(
    http: HttpClient,
    method: str,
    path: tuple[str, ...],
    unavailable: Failure,
    *,
    query: dict[str, object] | None = None,
    body: dict | None = None,
    repeatable: bool = True,
    wait_ms: int = 0,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict] | Failure:
    """Make a call and decode the object in its answer.

    :param unavailable: returned, with ``ran`` set, without a whole answer
    :param wait_ms: what the server waits on purpose
    :returns: status and body, an empty one if the answer has none
    """
    data = None if body is None else json.dumps(body).encode()
    sent = dict(headers or {})
    if data is not None:
        sent["Content-Type"] = "application/json"
    reply = http.call(
        method,
        (ROOT, *path),
        query,
        data,
        repeatable,
        wait_ms / 1000,
        sent,
    )
    if isinstance(reply, CallFailed):
        failure = unavailable.because(reply.reason)
        return failure if reply.ran is Ran.NO else failure.after_start()
    try:
        decoded = json.loads(reply.body) if reply.body else {}
    except ValueError as error:
        return unavailable.because(f"malformed answer: {error}").after_start()
    return reply.status, decoded if isinstance(decoded, dict) else {}


def resource_fields(fields: dict) -> Resources:
    """Decode a table of processors, memory and accelerators."""
    return Resources(
        cpu_millicores=int(fields.get("cpu", 0)),
        memory_mb=int(fields.get("mem-mb", 0)),
        gpu_count=int(fields.get("gpu", 0)),
    )
