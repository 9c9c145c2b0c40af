"""Requests and answers of the operators' port."""

import re
from typing import Any
from typing import Callable
from typing import TypeVar
import urllib.parse

import attrs
import msgspec

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure

__all__ = ["Page", "Request", "Route", "answer", "find_route"]

MAX_BODY_BYTES = 1024 * 1024
RAN_HEADER = "Rosemarynotch-Ran"

T = TypeVar("T")


@attrs.frozen
class Page:
    """An answer that is not JSON."""

    content_type: str
    body: bytes


@attrs.frozen
class Request:
    """A request whose operator key is valid.

    :ivar operator: whom the key belongs to
    """

    environ: dict[str, Any]
    operator: str

    def query(self, name: str) -> str:
        """Return a query parameter, empty when it is missing."""
        query = urllib.parse.parse_qs(self.environ.get("QUERY_STRING", ""))
        return query.get(name, [""])[0]

    def decode(self, kind: type[T]) -> T | Failure:
        """Decode the body.

        :returns: the value, BODY_TOO_LARGE, BODY_TRUNCATED or
            REQUEST_MALFORMED
        """
        length = self.environ.get("CONTENT_LENGTH") or "0"
        if not length.isdecimal():
            return failures.REQUEST_MALFORMED.with_reason("bad Content-Length")
        if int(length) > MAX_BODY_BYTES:
            return failures.BODY_TOO_LARGE.with_reason(
                f"over {MAX_BODY_BYTES} B"
            )
        body = self.environ["wsgi.input"].read(int(length))
        if len(body) != int(length):
            return failures.BODY_TRUNCATED
        try:
            return msgspec.json.decode(body, type=kind)
        except (msgspec.DecodeError, ValueError) as error:
            return failures.REQUEST_MALFORMED.with_reason(str(error))


@attrs.frozen
class Route:
    """A call.

    :ivar path: with ``<name>`` for a part that is passed to the handler
    :ivar handler: gets the request and the parts of the path
    """

    method: str
    path: str
    handler: Callable[..., Any]

    def match(self, path: str) -> tuple[str, ...] | None:
        """Return the variable parts of a path, None if it does not match."""
        pattern = re.sub(r"<\w+>", "([^/]+)", self.path)
        found = re.fullmatch(pattern, path)
        return found.groups() if found else None


def find_route(
    routes: tuple[Route, ...], method: str, path: str
) -> Callable[[Request], Any] | Failure:
    """Return a function that handles a request, or REQUEST_MALFORMED."""
    for route in routes:
        parts = route.match(path)
        if parts is not None and route.method == method:
            return lambda request: route.handler(request, *parts)
    return failures.REQUEST_MALFORMED.with_reason(
        f"no such call: {method} {path}"
    )


def answer(result: Any, start_response) -> list[bytes]:
    """Send a result, a page or a failure."""
    headers = [("Cache-Control", "no-store")]
    status = 200
    if isinstance(result, Failure):
        status = result.status
        headers.append((RAN_HEADER, str(result.ran)))
        result = {
            "code": result.code,
            "ran": str(result.ran),
            "reason": result.reason,
        }
    if not isinstance(result, Page):
        body = msgspec.json.format(msgspec.json.encode(result), indent=1)
        result = Page("application/json", body + b"\n")
    headers.append(("Content-Type", result.content_type))
    headers.append(("Content-Length", str(len(result.body))))
    start_response(f"{status} {_phrase(status)}", headers)
    return [result.body]


def _phrase(status: int) -> str:
    return "OK" if status == 200 else "Refused"
