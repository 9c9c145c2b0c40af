"""HTTP calls shared by the clients of the VM and task services."""

from typing import Any

import msgspec

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.utils.clock import Clock
from rosemarynotch._internal.utils.http import CALL_TIMEOUT_S
from rosemarynotch._internal.utils.http import CallFailed
from rosemarynotch._internal.utils.http import HttpClient
from rosemarynotch._internal.utils.http import Reply

__all__ = ["ServiceClient"]

_REFUSED_STATUS = (400, 404, 409, 413)


class ServiceClient:
    """Calls a platform service and converts errors into failures."""

    def __init__(
        self, address: str, clock: Clock, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._client = HttpClient(address, clock, timeout_s)

    def read(self, segments: tuple[str, ...], kind: Any) -> Any:
        """Read and decode JSON.

        :returns: a value of the given type, or PLATFORM_UNAVAILABLE
        """
        reply = self._client.call("GET", segments, repeatable=True)
        result = _check(reply, Ran.NO)
        if isinstance(result, Failure):
            return result
        try:
            return msgspec.json.decode(result.body, type=kind)
        except msgspec.DecodeError as error:
            return _unavailable(Ran.NO, str(error))

    def operate(
        self,
        method: str,
        segments: tuple[str, ...],
        query: dict[str, object],
        body: Any = None,
        repeatable: bool = False,
    ) -> None | Failure:
        """Request an operation, with a JSON body.

        :returns: None, PLATFORM_REFUSED, or PLATFORM_UNAVAILABLE with
            ``ran`` unknown when the operation may have taken effect
        """
        data = b"" if body is None else msgspec.json.encode(body)
        reply = self._client.call(method, segments, query, data, repeatable)
        result = _check(reply, Ran.UNKNOWN)
        return result if isinstance(result, Failure) else None

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


def _check(reply: Reply | CallFailed, default_ran: Ran) -> Reply | Failure:
    """Convert an error status or a failed call into a failure.

    :param default_ran: value of ``ran`` when the answer does not tell it
    """
    if isinstance(reply, CallFailed):
        ran = default_ran if reply.ran is Ran.UNKNOWN else reply.ran
        return _unavailable(ran, reply.reason)
    if reply.status == 200:
        return reply
    reason = f"status {reply.status}: {reply.body[:200].decode('latin-1')}"
    if reply.status in _REFUSED_STATUS:
        return failures.PLATFORM_REFUSED.with_reason(reason)
    # With a 503, the service states that it did nothing.
    return _unavailable(Ran.NO if reply.status == 503 else default_ran, reason)


def _unavailable(ran: Ran, reason: str) -> Failure:
    failure = failures.PLATFORM_UNAVAILABLE
    if ran is Ran.UNKNOWN:
        failure = failure.with_ran_unknown()
    return failure.with_reason(reason)
