"""Requests, routes and responses of the operators' API."""

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
    """A response body with its content type."""

    content_type: str
    body: bytes


@attrs.frozen
class Request:
    """An authenticated request.

    :ivar environ: the WSGI environment
    :ivar operator: name of the operator that the key belongs to
    """

    environ: dict[str, Any]
    operator: str

    def query(self, name: str) -> str:
        """Return a query parameter, or an empty string if it is missing."""
        query = urllib.parse.parse_qs(self.environ.get("QUERY_STRING", ""))
        return query.get(name, [""])[0]

    def decode(self, kind: type[T]) -> T | Failure:
        """Decode the JSON body.

        :returns: the value, BODY_TOO_LARGE, BODY_TRUNCATED or
            REQUEST_MALFORMED
        """
        length = self.environ.get("CONTENT_LENGTH") or "0"
        if not length.isdecimal():
            return failures.REQUEST_MALFORMED.with_reason(
                "Content-Length is not a number"
            )
        if int(length) > MAX_BODY_BYTES:
            return failures.BODY_TOO_LARGE.with_reason(
                f"body exceeds {MAX_BODY_BYTES} bytes"
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
    """A method and path with their handler.

    :ivar path: has ``<name>`` for each segment that is passed to the handler
    :ivar handler: called with the request and these segments
    """

    method: str
    path: str
    handler: Callable[..., Any]

    def match(self, path: str) -> tuple[str, ...] | None:
        """Return the variable segments of a path.

        :returns: the segments, or None if the path does not match
        """
        pattern = re.sub(r"<\w+>", "([^/]+)", self.path)
        found = re.fullmatch(pattern, path)
        return found.groups() if found else None


def find_route(
    routes: tuple[Route, ...], method: str, path: str
) -> Callable[[Request], Any] | Failure:
    """Return the handler for a method and path, or REQUEST_MALFORMED."""
    for route in routes:
        parts = route.match(path)
        if parts is not None and route.method == method:
            return lambda request: route.handler(request, *parts)
    return failures.REQUEST_MALFORMED.with_reason(f"no route: {method} {path}")


def answer(result: Any, start_response) -> list[bytes]:
    """Start the response for a result, page or failure; return the body."""
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
