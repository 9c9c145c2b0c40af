"""WSGI responses for answers of targets and for failures."""

from http import HTTPStatus

import msgspec

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Answer

__all__ = ["RAN_HEADER", "failure_body", "respond", "respond_json"]

RAN_HEADER = "Rosemarynotch-Ran"
# Hop-by-hop headers, and headers that the server sets itself.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    )
)
STATUS_LINES = {s.value: f"{s.value} {s.phrase}" for s in HTTPStatus}


def respond(result: Answer | Failure, method: str, start_response) -> list:
    """Send an answer of a target, or a JSON body that describes a failure."""
    if isinstance(result, Failure):
        headers = [(RAN_HEADER, str(result.ran))]
        body = failure_body(result)
        return respond_json(result.status, body, start_response, headers)
    headers = [
        (name, " ".join(value.split("\r\n")))
        for name, value in result.headers
        if name.lower() not in HOP_BY_HOP
    ]
    length = str(len(result.body))
    if method == "HEAD":
        # The answer to HEAD has no body; the target's Content-Length is that
        # of the body a GET would return.
        length = _header(result, "content-length") or length
    headers.append(("Content-Length", length))
    start_response(_status_line(result.status), headers)
    return [result.body]


def respond_json(
    status: int, body: bytes, start_response, headers: list = ()
) -> list:
    """Send a response with a JSON body."""
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    start_response(_status_line(status), headers)
    return [body]


def failure_body(failure: Failure) -> bytes:
    """Return the JSON document that describes a failure."""
    return msgspec.json.encode(
        {
            "code": failure.code,
            "ran": str(failure.ran),
            "reason": failure.reason,
        }
    )


def _status_line(status):
    return STATUS_LINES.get(status) or f"{status} Status"


def _header(answer, name):
    values = (v for n, v in answer.headers if n.lower() == name)
    return next(values, "")
