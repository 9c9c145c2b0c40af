"""Parsing and authentication of HTTP requests of callers."""

import itertools
import math
import os
import re
from urllib.parse import urlsplit

import attrs

from rosemarynotch._internal.configuration import check_key
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.messages import CallerRequest

__all__ = [
    "authenticate",
    "MAX_BODY_BYTES",
    "parse_request",
    "ParsedRequest",
    "read_body",
    "SERVICE_PREFIX",
    "TEAM_HEADER",
]

MAX_BODY_BYTES = 512 * 1024
MAX_DEADLINE_MS = 600_000
MAX_WORTH = 1_000_000.0
MAX_IDEMPOTENCY_KEY_CHARS = 200
SERVICE_PREFIX = "/s/"
# Header that tells the target the team of a request. A value sent by the
# caller is dropped.
TEAM_HEADER = "Rosemarynotch-Team"
IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")
)
# Characters that may be sent in the request line to a target.
PATH_PATTERN = re.compile(r"[\x21-\x7e]+")
# Headers that are not passed to targets: hop-by-hop headers and those meant
# for this entry. A target could misuse the caller's key.
DROPPED_HEADERS = frozenset(
    (
        "HTTP_AUTHORIZATION",
        "HTTP_CONNECTION",
        "HTTP_EXPECT",
        "HTTP_HOST",
        "HTTP_KEEP_ALIVE",
        "HTTP_PROXY_AUTHORIZATION",
        "HTTP_PROXY_CONNECTION",
        "HTTP_ROSEMARYNOTCH_TEAM",
        "HTTP_TE",
        "HTTP_TRAILER",
        "HTTP_TRANSFER_ENCODING",
        "HTTP_UPGRADE",
    )
)
# Prefix of request ids, which makes them unique over all processes. Random
# ids would need a system call per request, which releases the interpreter
# lock.
PROCESS_ID = os.urandom(8).hex()
_numbers = itertools.count(1)


@attrs.define
class ParsedRequest:
    """A parsed request and its queue."""

    request: CallerRequest
    queue: QueueSpec


class _Malformed(Exception):
    """The path or a header of a request is invalid."""


def parse_request(environ, document, freshness) -> ParsedRequest | Failure:
    """Parse a request to a service and check its key.

    :param environ: WSGI environment
    :param document: the configuration in force
    :param freshness: tells whether the configuration is recent enough to
        check keys
    :returns: the request, or a failure with ``ran`` no
    """
    path = _raw_path(environ)
    service, slash, rest = path[len(SERVICE_PREFIX) :].partition("/")
    if not slash:
        service, mark, query = service.partition("?")
        rest = mark + query
    queue = document.queue(environ.get("HTTP_ROSEMARYNOTCH_QUEUE", service))
    if queue is None:
        return failures.QUEUE_UNKNOWN.with_reason("no such queue")
    if queue.pool != service:
        reason = f"queue {queue.name} does not serve {service[:80]}"
        return failures.QUEUE_UNKNOWN.with_reason(reason)
    caller = authenticate(environ, queue, document, freshness)
    if isinstance(caller, Failure):
        return caller
    body = read_body(environ)
    if isinstance(body, Failure):
        return body
    try:
        request = _request(environ, queue, caller, "/" + rest, body)
    except _Malformed as error:
        return failures.REQUEST_MALFORMED.with_reason(str(error))
    return ParsedRequest(request, queue)


def read_body(environ) -> bytes | Failure:
    """Read the whole body of a request.

    :returns: the body, BODY_TOO_LARGE, BODY_TRUNCATED, or REQUEST_MALFORMED
        if its length is invalid
    """
    text = environ.get("CONTENT_LENGTH") or "0"
    if not (text.isascii() and text.isdigit()):
        return failures.REQUEST_MALFORMED.with_reason("Content-Length")
    length = int(text)
    if length > MAX_BODY_BYTES:
        return failures.BODY_TOO_LARGE.with_reason(
            f"body over {MAX_BODY_BYTES} bytes"
        )
    if not length:
        return b""
    body = environ["wsgi.input"].read(length)
    if len(body) < length:
        return failures.BODY_TRUNCATED.with_reason(
            f"received {len(body)} of {length} bytes"
        )
    return body


def _raw_path(environ):
    """Return path and query as sent, with percent-encoding."""
    uri = environ["REQUEST_URI"]
    if uri.startswith("/"):
        return uri
    parts = urlsplit(uri)
    return parts.path + ("?" + parts.query if parts.query else "")


def authenticate(
    environ, queue: QueueSpec | None, document, freshness
) -> tuple[str, str] | Failure:
    """Check the key of a request, unless its queue is open to all.

    :param queue: the queue of the request; None for calls without a queue,
        which need a key
    :returns: the team that the request belongs to and the key id, which is
        empty if the queue is open to all; or why the key is refused
    """
    if queue is not None and queue.open_to_all:
        return queue.team, ""
    stale = freshness.check()
    if stale is not None:
        return stale
    caller = check_key(document, environ.get("HTTP_AUTHORIZATION", ""))
    if isinstance(caller, Failure):
        return caller
    return caller.team, caller.key_id


def _request(environ, queue, caller, path, body):
    if not PATH_PATTERN.fullmatch(path):
        raise _Malformed("path")
    method = environ["REQUEST_METHOD"]
    idempotent = method in IDEMPOTENT_METHODS
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise _Malformed("Idempotency-Key")
    return CallerRequest(
        request_id=f"{PROCESS_ID}-{next(_numbers):x}",
        team=caller[0],
        key_id=caller[1],
        queue=queue.name,
        method=method,
        path=path,
        headers=_target_headers(environ, caller[0]),
        body=body,
        worth=_worth(environ),
        remaining_ms=_deadline_ms(environ, queue.longest_run_ms),
        idempotent=_flag(environ, "IDEMPOTENT", idempotent),
        retry=_flag(environ, "RETRY", False),
        idempotency_key=key,
    )


def _target_headers(environ, team):
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_") and name not in DROPPED_HEADERS
    ]
    content_type = environ.get("CONTENT_TYPE")
    if content_type:
        headers.append(("Content-Type", content_type))
    headers.append((TEAM_HEADER, team))
    return tuple(headers)


def _worth(environ):
    text = environ.get("HTTP_ROSEMARYNOTCH_WORTH")
    if text is None:
        return 1.0
    try:
        worth = float(text)
    except ValueError:
        raise _Malformed("Rosemarynotch-Worth") from None
    if not math.isfinite(worth) or not 0 < worth <= MAX_WORTH:
        raise _Malformed("Rosemarynotch-Worth")
    return worth


def _deadline_ms(environ, default_ms):
    text = environ.get("HTTP_ROSEMARYNOTCH_DEADLINE_MS")
    if text is None:
        return default_ms
    if not (text.isascii() and text.isdigit()):
        raise _Malformed("Rosemarynotch-Deadline-Ms")
    deadline_ms = int(text[:10])
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise _Malformed("Rosemarynotch-Deadline-Ms")
    return deadline_ms


def _flag(environ, name, default):
    text = environ.get("HTTP_ROSEMARYNOTCH_" + name)
    if text is None:
        return default
    if text not in ("0", "1"):
        raise _Malformed("Rosemarynotch-" + name.title())
    return text == "1"
