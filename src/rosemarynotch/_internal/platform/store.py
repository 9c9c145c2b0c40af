"""Client of the platform's metadata store."""

import base64

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import LEASE_LOST
from rosemarynotch._internal.exceptions import STORE_HISTORY_LOST
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.platform.calls import call_json
from rosemarynotch._internal.platform.decoding import decode_rows
from rosemarynotch._internal.platform.schema import ConflictAnswer
from rosemarynotch._internal.platform.schema import ItemRow
from rosemarynotch._internal.platform.schema import LeaseAnswer
from rosemarynotch._internal.platform.schema import RangeAnswer
from rosemarynotch._internal.platform.schema import WatchAnswer
from rosemarynotch._internal.platform.schema import WriteAnswer
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["HttpCoordinationStore"]


class HttpCoordinationStore(CoordinationStore):
    """Calls the store over HTTP.

    :param http: connections to the store
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def get(self, key, allow_stale=False):
        """Read a key."""
        query = {"key": key}
        if allow_stale:
            query["serializable"] = 1
        answer = self._call(
            "GET", "kv-key", {200: ItemRow, 404: None}, query=query
        )
        if isinstance(answer, Failure):
            return answer
        status, row = answer
        if status == 404:
            return STORE_KEY_MISSING.with_reason(key)
        return _to_item(row)

    def list_prefix(self, prefix):
        """List all items, page by page."""
        items: list[Item] = []
        first_revision = 0
        for page in self.pages(prefix):
            if isinstance(page, Failure):
                return page
            # The pages are not a snapshot. The revision of the first one is
            # returned, so that a watch from it delivers all later changes.
            first_revision = first_revision or page.revision
            items += page.items
        return Listing(items=tuple(items), revision=first_revision)

    def pages(self, prefix):
        """List the items one page after the other."""
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            answer = self._call(
                "GET", "kv-range", {200: RangeAnswer}, query=query
            )
            if isinstance(answer, Failure):
                yield answer
                return
            _, page = answer
            items = tuple(map(_to_item, page.items))
            if page.has_more and not items:
                # What the listing lacks would count as deleted.
                yield STORE_UNAVAILABLE.with_reason(
                    f"{prefix}: a page without items is not the last one"
                )
                return
            yield Listing(items=items, revision=page.at)
            if not page.has_more:
                return
            after = items[-1].key

    def watch(self, prefix, after_revision, wait_ms):
        """Wait for changes below a prefix."""
        query = {
            "prefix": prefix,
            "after": after_revision,
            "wait-ms": wait_ms,
        }
        answer = self._call(
            "GET",
            "kv-watch",
            {200: WatchAnswer, 410: None},
            query=query,
            wait_ms=wait_ms,
        )
        if isinstance(answer, Failure):
            return answer
        status, page = answer
        if status == 410:
            return STORE_HISTORY_LOST.with_reason(prefix)
        events = tuple(_to_item(row) for row in page.events)
        return Listing(items=events, revision=page.at)

    def commit(self, conditions, writes, deletes=[]):
        """Send a transaction once; a retry is up to the caller."""
        body = {
            "expected": [
                {"key": each.key, "revision": each.revision}
                for each in conditions
            ],
            "puts": [_encode_write(write) for write in writes],
            "deletes": list(deletes),
        }
        answer = self._call(
            "POST",
            "kv-txn",
            {200: WriteAnswer, 404: None, 412: ConflictAnswer},
            body=body,
            repeatable=False,
        )
        if isinstance(answer, Failure):
            return answer
        status, result = answer
        if status == 412:
            # The row of a key that does not exist has no revision.
            rows = decode_rows(result.items, ItemRow, [])
            return CommitConflict(
                tuple(_to_item(row) for row in rows if row.revision)
            )
        return LEASE_LOST if status == 404 else result.revision

    def grant_lease(self, ttl_ms):
        """Create a lease."""
        answer = self._call(
            "POST", "kv-lease", {200: LeaseAnswer}, body={"ttl-ms": ttl_ms}
        )
        return answer if isinstance(answer, Failure) else answer[1].lease

    def renew_lease(self, lease_id):
        """Extend a lease by its time to live from the call's arrival."""
        answer = self._call(
            "POST", f"kv-keep/{lease_id}", {200: None, 404: None}
        )
        if isinstance(answer, Failure):
            return answer
        return LEASE_LOST if answer[0] == 404 else None

    def end_lease(self, lease_id):
        """End a lease."""
        answer = self._call(
            "DELETE", f"kv-lease-end/{lease_id}", {200: None, 404: None}
        )
        return answer if isinstance(answer, Failure) else None

    def _call(
        self,
        method: str,
        path: str,
        answers: dict[int, type | None],
        **options,
    ) -> tuple[int, object] | Failure:
        """Make a call.

        :param answers: types of the bodies by status, None for a body that
            is not decoded; any other status is a failure
        """
        answer = call_json(
            self._http,
            method,
            tuple(path.split("/")),
            STORE_UNAVAILABLE,
            answers=answers,
            **options,
        )
        if isinstance(answer, Failure):
            return answer
        status = answer[0]
        if status in answers:
            return answer
        # With 429 and 503, the store guarantees that nothing was done.
        failure = STORE_UNAVAILABLE.with_reason(
            f"{method} {path}: status {status}"
        )
        return failure if status in (429, 503) else failure.with_ran_unknown()


def _encode_write(write: Write) -> dict:
    fields = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode(),
    }
    if write.lease_id:
        fields["lease"] = write.lease_id
    return fields


def _to_item(row: ItemRow) -> Item:
    value = None if row.deleted else row.value
    return Item(key=row.key, revision=row.revision, value=value)
