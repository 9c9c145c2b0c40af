"""Client of the platform's metadata store."""

import base64

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import LEASE_LOST
from rosemarynotch._internal.exceptions import STORE_HISTORY_LOST
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.platform.calls import call_json
from rosemarynotch._internal.scheduling.ports import Change
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["HttpCoordinationStore"]


class HttpCoordinationStore(CoordinationStore):
    """The store over HTTP.

    :param http: connections to the store
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def get(self, key, may_be_old=False):
        """Read a key."""
        query = {"key": key}
        if may_be_old:
            query["serializable"] = 1
        answer = self._call("GET", ("kv-key",), query=query)
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == 404:
            return STORE_KEY_MISSING.because(key)
        return _decode_item(body)

    def list_prefix(self, prefix):
        """List all items, page by page."""
        items: list[Item] = []
        after = ""
        first_revision = 0
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            answer = self._call("GET", ("kv-range",), query=query)
            if isinstance(answer, Failure):
                return answer
            _, body = answer
            items += [_decode_item(item) for item in body["items"]]
            # Pages are not a snapshot: what changed after the first page is
            # repeated by a watch from its revision.
            first_revision = first_revision or body["at"]
            if not body.get("has-more") or not body["items"]:
                return Listing(items=tuple(items), revision=first_revision)
            after = items[-1].key

    def watch(self, prefix, after_revision, wait_ms):
        """Wait for changes."""
        query = {
            "prefix": prefix,
            "after": after_revision,
            "wait-ms": wait_ms,
        }
        answer = self._call("GET", ("kv-watch",), query=query, wait_ms=wait_ms)
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == 410:
            return STORE_HISTORY_LOST.because(prefix)
        events = tuple(_decode_item(event) for event in body["events"])
        return Listing(items=events, revision=body["at"])

    def commit(self, conditions, writes, deletes=[]):
        """Send a transaction once; repeating it is up to the caller."""
        body = {
            "expected": [
                {"key": each.key, "revision": each.revision}
                for each in conditions
            ],
            "puts": [_encode_write(write) for write in writes],
            "deletes": list(deletes),
        }
        answer = self._call("POST", ("kv-txn",), body=body, repeatable=False)
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == 412:
            items = [i for i in body.get("items", []) if i.get("revision")]
            return Change(tuple(_decode_item(item) for item in items))
        if status == 404:
            return LEASE_LOST
        return body["revision"]

    def grant_lease(self, ttl_ms):
        """Create a lease."""
        answer = self._call("POST", ("kv-lease",), body={"ttl-ms": ttl_ms})
        return answer if isinstance(answer, Failure) else answer[1]["lease"]

    def renew_lease(self, lease_id):
        """Extend a lease from the arrival of the call."""
        answer = self._call("POST", ("kv-keep", str(lease_id)))
        if isinstance(answer, Failure):
            return answer
        return LEASE_LOST if answer[0] == 404 else None

    def end_lease(self, lease_id):
        """End a lease."""
        answer = self._call("DELETE", ("kv-lease-end", str(lease_id)))
        return answer if isinstance(answer, Failure) else None

    def _call(
        self, method: str, path: tuple[str, ...], **options
    ) -> tuple[int, dict] | Failure:
        """Make a call; a status without meaning for it is a failure."""
        answer = call_json(
            self._http, method, path, STORE_UNAVAILABLE, **options
        )
        if isinstance(answer, Failure):
            return answer
        status = answer[0]
        if status in (200, 404, 410, 412):
            return answer
        reason = f"{method} {path[0]}: status {status}"
        # 429 and 503 promise that nothing was done.
        failure = STORE_UNAVAILABLE.because(reason)
        return failure if status in (429, 503) else failure.after_start()


def _encode_write(write: Write) -> dict:
    fields = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode(),
    }
    if write.lease_id:
        fields["lease"] = write.lease_id
    return fields


def _decode_item(fields: dict) -> Item:
    value = None
    if not fields.get("deleted"):
        value = base64.b64decode(fields.get("value", ""))
    return Item(key=fields["key"], revision=fields["revision"], value=value)
