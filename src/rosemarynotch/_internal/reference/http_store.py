"""HTTP client of the platform's store."""

import msgspec

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.reference.interface import KeyRevision
from rosemarynotch._internal.reference.interface import Store
from rosemarynotch._internal.reference.interface import Versioned
from rosemarynotch._internal.utils.clock import Clock
from rosemarynotch._internal.utils.http import CALL_TIMEOUT_S
from rosemarynotch._internal.utils.http import CallFailed
from rosemarynotch._internal.utils.http import HttpClient
from rosemarynotch._internal.utils.http import Reply

__all__ = ["HttpStore"]

# Failures by status. With a 503, the store states that it did nothing.
_REFUSALS = {
    404: failures.STORE_KEY_MISSING,
    409: failures.STORE_CONFLICT,
    410: failures.LEASE_LOST,
    503: failures.STORE_UNAVAILABLE,
}


class _Lease(msgspec.Struct):
    lease: str


class HttpStore(Store):
    """Client of the platform's store.

    :param address: host and port
    :param clock: measures how long connections are idle
    :param timeout_s: time-out of each read from the connection
    """

    def __init__(
        self, address: str, clock: Clock, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._client = HttpClient(address, clock, timeout_s)

    def get(self, key):
        """Read a value."""
        reply = self._read(("v1", "kv", key))
        if isinstance(reply, Failure):
            return reply
        return _versioned(reply)

    def put(self, key, value, expected, lease=""):
        """Write a value if the key has the expected revision."""
        query = {"expected": expected}
        if lease:
            query["lease"] = lease
        reply = self._write("PUT", ("v1", "kv", key), query, value)
        if isinstance(reply, Failure):
            return reply
        revision = _revision(reply)
        return revision or _unavailable(
            Ran.UNKNOWN, "answer to a write has no valid Revision header"
        )

    def delete(self, key, expected):
        """Delete a key if it has the expected revision."""
        query = {"expected": expected}
        reply = self._write("DELETE", ("v1", "kv", key), query)
        return reply if isinstance(reply, Failure) else None

    def keys(self, prefix):
        """List keys by prefix."""
        reply = self._read(("v1", "kv"), {"prefix": prefix})
        if isinstance(reply, Failure):
            return reply
        try:
            return msgspec.json.decode(reply.body, type=list[KeyRevision])
        except msgspec.DecodeError as error:
            return _unavailable(Ran.NO, str(error))

    def watch(self, key, after, wait_ms):
        """Wait until a key has a revision above ``after``."""
        reply = self._read(
            ("v1", "watch", key),
            {"after": after, "wait_ms": wait_ms},
            wait_ms / 1000,
        )
        if isinstance(reply, Failure):
            return reply
        if reply.status == 304:
            return failures.STORE_UNCHANGED
        return _versioned(reply)

    def grant_lease(self, ttl_ms):
        """Return the identifier of a new lease."""
        query = {"ttl_ms": ttl_ms}
        reply = self._write("POST", ("v1", "leases"), query)
        if isinstance(reply, Failure):
            return reply
        try:
            return msgspec.json.decode(reply.body, type=_Lease).lease
        except msgspec.DecodeError as error:
            return _unavailable(Ran.UNKNOWN, str(error))

    def renew_lease(self, lease):
        """Extend a lease by its time to live; sent again if unanswered."""
        reply = self._client.call(
            "PUT", ("v1", "leases", lease), body=b"", repeatable=True
        )
        result = _check(reply, Ran.UNKNOWN)
        return result if isinstance(result, Failure) else None

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _read(self, segments, query=None, wait_s=0.0):
        reply = self._client.call(
            "GET", segments, query, repeatable=True, wait_s=wait_s
        )
        return _check(reply, Ran.NO)

    def _write(self, method, segments, query, body=b""):
        return _check(
            self._client.call(method, segments, query, body), Ran.UNKNOWN
        )


def _check(reply: Reply | CallFailed, default_ran: Ran) -> Reply | Failure:
    """Convert an error status or a failed call into a failure.

    :param default_ran: value of ``ran`` when the answer does not tell it
    """
    if isinstance(reply, CallFailed):
        ran = default_ran if reply.ran is Ran.UNKNOWN else reply.ran
        return _unavailable(ran, reply.reason)
    if reply.status in (200, 304):
        return reply
    reason = f"status {reply.status}: {reply.body[:200].decode('latin-1')}"
    if reply.status in _REFUSALS:
        return _REFUSALS[reply.status].with_reason(reason)
    return _unavailable(default_ran, reason)


def _unavailable(ran: Ran, reason: str) -> Failure:
    failure = failures.STORE_UNAVAILABLE
    if ran is Ran.UNKNOWN:
        failure = failure.with_ran_unknown()
    return failure.with_reason(reason)


def _versioned(reply: Reply) -> Versioned | Failure:
    revision = _revision(reply)
    if not revision:
        return _unavailable(
            Ran.NO, "answer to a read has no valid Revision header"
        )
    return Versioned(value=reply.body, revision=revision)


def _revision(reply: Reply) -> int:
    """Return the revision in an answer, 0 if there is none."""
    value = reply.headers.get("Revision", "")
    return int(value) if value.isdigit() else 0
