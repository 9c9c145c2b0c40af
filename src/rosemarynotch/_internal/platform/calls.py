"""JSON calls over HTTP, shared by the clients of the platform."""

from collections.abc import Callable
from collections.abc import Mapping

import msgspec

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.platform.decoding import decode_body
from rosemarynotch._internal.utils.http import CallFailed
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["PATH_ROOT", "call_json"]

PATH_ROOT = "rosemarynotch"


def call_json(
    http: HttpClient,
    method: str,
    path: tuple[str, ...],
    unavailable: Failure,
    *,
    answers: Mapping[int, type] | None = None,
    query: dict[str, object] | None = None,
    body: dict | None = None,
    repeatable: bool = True,
    wait_ms: int = 0,
    headers: dict[str, str] | None = None,
    may_send: Callable[[], bool] | None = None,
    timeout_s: float | None = None,
    needs_open: bool = False,
) -> tuple[int, object] | Failure:
    """Make a call and decode its answer.

    :param unavailable: failure that is returned, with ``ran`` set, if there
        is no complete and valid answer
    :param answers: types of the bodies by status; the bodies of other
        statuses are not decoded
    :param repeatable: whether the call may be sent a second time
    :param wait_ms: time for which the server delays its answer on purpose
    :param may_send: called right before sending; the call is not sent if it
        returns False
    :param timeout_s: time-out of this call, if it is not the usual one
    :param needs_open: whether the call may only be sent on a connection that
        is open already
    :returns: status and decoded body, or None for a body that is not decoded
    """
    data = None if body is None else msgspec.json.encode(body)
    sent = dict(headers or {})
    if data is not None:
        sent["Content-Type"] = "application/json"
    reply = http.call(
        method,
        (PATH_ROOT, *path),
        query,
        data,
        repeatable,
        wait_ms / 1000,
        sent,
        may_send,
        timeout_s,
        needs_open,
    )
    if isinstance(reply, CallFailed):
        failure = unavailable.with_reason(reply.reason)
        return failure if reply.ran is Ran.NO else failure.with_ran_unknown()
    kind = (answers or {}).get(reply.status)
    if kind is None:
        return reply.status, None
    try:
        return reply.status, decode_body(reply.body, kind)
    except ValueError as error:
        return unavailable.with_reason(
            f"malformed answer: {error}"
        ).with_ran_unknown()
