"""Handlers for reads and changes of the configuration."""

from typing import Any
from typing import Callable

import attrs

from rosemarynotch._internal.configuration import document_digest
from rosemarynotch._internal.exceptions import CONFIRMATION_NEEDED
from rosemarynotch._internal.exceptions import DOCUMENT_MALFORMED
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import REQUEST_MALFORMED
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.records import ConfigVersion
from rosemarynotch._internal.models.validation import parse_document
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.operators.changes import find_version
from rosemarynotch._internal.operators.differences import consequences
from rosemarynotch._internal.operators.differences import differences
from rosemarynotch._internal.operators.differences import revived_keys
from rosemarynotch._internal.operators.http import Request
from rosemarynotch._internal.operators.http import Route
from rosemarynotch._internal.operators.observer import Observer
from rosemarynotch._internal.operators import requests

__all__ = ["ConfigCalls"]

EMPTY_DOCUMENT = Document(pools=(), teams=(), queues=())


class ConfigCalls:
    """Shows and changes the configuration.

    :param is_trial: whether documents may be tried in this environment
    """

    def __init__(
        self, changes: ConfigChanges, observer: Observer, is_trial: bool
    ) -> None:
        self._changes = changes
        self._observer = observer
        self._is_trial = is_trial
        self.routes = (
            Route("GET", "/v1/config", self.show),
            Route("GET", "/v1/config/history", self.history),
            Route("GET", "/v1/config/changes/<id>", self.show_change),
            Route("GET", "/v1/config/tried/<digest>", self.show_trial),
            Route("POST", "/v1/config/diff", self.diff),
            Route("POST", "/v1/config/try", self.try_document),
            Route("POST", "/v1/config/promote", self.promote),
            Route("POST", "/v1/config/rollback", self.rollback),
        )

    def show(self, request: Request) -> Any:
        """Return the newest version with its document."""
        current = self.current()
        if isinstance(current, Failure):
            return current
        version, document = current
        if version is None:
            return {"version": 0, "document": None}
        return {**self.accepted(version), "document": document}

    def history(self, request: Request) -> Any:
        """Return the newest versions, newest first."""
        pointer = self._changes.pointer()
        if isinstance(pointer, Failure):
            return pointer
        versions = (pointer.current, *pointer.history) if pointer else ()
        return {"versions": versions}

    def show_change(self, request: Request, change_id: str) -> Any:
        """Return an accepted change and how many members have it in force."""
        version = self._changes.find_change(change_id)
        if isinstance(version, Failure):
            return version
        if version is None:
            return STORE_KEY_MISSING.with_reason(
                f"no recent version was made by change {change_id}"
            )
        return self.accepted(version)

    def show_trial(self, request: Request, digest: str) -> Any:
        """Return the recorded trial of a digest."""
        return self._changes.trials.find(digest)

    def diff(self, request: Request) -> Any:
        """Compare a document with the newest version."""
        body = request.decode(requests.DiffRequest)
        if isinstance(body, Failure):
            return body
        document = _parse(body.document)
        current = self.current()
        for failure in (document, current):
            if isinstance(failure, Failure):
                return failure
        version, old = current
        usage = self._observer.usage()
        return {
            "version": version.version if version else 0,
            "digest": document_digest(codec.encode(document)),
            "differences": differences(old, document),
            "consequences": consequences(old, document, usage),
        }

    def try_document(self, request: Request) -> Any:
        """Put a document in force in a trial environment."""
        if not self._is_trial:
            return REQUEST_MALFORMED.with_reason(
                "documents can be tried only in a trial environment"
            )

        def run(document, body, change):
            return self._changes.try_document(document, change)

        return self._change_document(request, run)

    def promote(self, request: Request) -> Any:
        """Put a document in force that was tried and approved."""

        def run(document, body, change):
            return self._changes.promote(
                document, body.digest, change, body.trial
            )

        return self._change_document(request, run)

    def rollback(self, request: Request) -> Any:
        """Put the document of an earlier version in force again."""
        body = requests.decode_change(request, requests.Rollback)
        if isinstance(body, Failure):
            return body
        pointer = self._changes.pointer()
        if isinstance(pointer, Failure):
            return pointer
        earlier = find_version(pointer, body.to_version)
        if isinstance(earlier, Failure):
            return earlier
        document = self._changes.document(earlier.digest)
        if isinstance(document, Failure):
            return document
        return self._run_if_confirmed(
            document,
            body,
            lambda change: self._changes.rollback(body.to_version, change),
            revived_keys,
        )

    def _change_document(self, request: Request, run: Callable) -> Any:
        body = requests.decode_change(request, requests.DocumentChange)
        if isinstance(body, Failure):
            return body
        document = _parse(body.document)
        if isinstance(document, Failure):
            return document
        return self._run_if_confirmed(
            document, body, lambda change: run(document, body, change)
        )

    def _run_if_confirmed(
        self, document: Document, body, run, find_more=lambda old, new: []
    ) -> Any:
        """Run a change unless it has consequences that are not confirmed.

        :param find_more: returns further consequences of the change
        """
        current = self.current()
        if isinstance(current, Failure):
            return current
        version, old = current
        change = requests.to_change(body, body.expected_version)
        number = version.version if version else 0
        if number == body.expected_version and not body.confirmed:
            found = consequences(old, document, self._observer.usage())
            found += find_more(old, document)
            if found:
                return CONFIRMATION_NEEDED.with_reason("\n".join(found))
        # The change itself detects a repeat or an outdated expected version.
        return self.accepted(run(change))

    def current(self) -> tuple[ConfigVersion | None, Document] | Failure:
        """Return the newest version and its document from the store."""
        pointer = self._changes.pointer()
        if isinstance(pointer, Failure):
            return pointer
        if pointer is None:
            return None, EMPTY_DOCUMENT
        document = self._changes.document(pointer.current.digest)
        if isinstance(document, Failure):
            return document
        return pointer.current, document

    def accepted(self, version: ConfigVersion | Failure) -> Any:
        """Return the response for an accepted version; pass on a failure."""
        if isinstance(version, Failure):
            return version
        snapshot = self._observer.snapshot()
        count, total = snapshot.in_force(version.version)
        return {
            "state": "accepted",
            **attrs.asdict(version),
            "in_force": count,
            "members": total,
        }


def _parse(text: str) -> Document | Failure:
    document = parse_document(text)
    if isinstance(document, Document):
        return document
    return DOCUMENT_MALFORMED.with_reason("\n".join(map(str, document)))
