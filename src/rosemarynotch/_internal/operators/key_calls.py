"""Calls on keys, which change the document."""

from typing import Any
from typing import Callable

import attrs

from rosemarynotch._internal.exceptions import DOCUMENT_MALFORMED
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import IDEMPOTENCY_KEY_REUSED
from rosemarynotch._internal.exceptions import KEY_INVALID
from rosemarynotch._internal.exceptions import TEAM_UNKNOWN
from rosemarynotch._internal.exceptions import VERSION_CHANGED
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.records import ConfigVersion
from rosemarynotch._internal.models.validation import check_document
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.operators.config_calls import ConfigCalls
from rosemarynotch._internal.operators.http import Request
from rosemarynotch._internal.operators.http import Route
from rosemarynotch._internal.operators import requests

__all__ = ["KeyCalls"]

# A command on a key does not depend on the version, so it is repeated when
# another change comes between.
ATTEMPTS = 5


class KeyCalls:
    """Gives and withdraws keys."""

    def __init__(self, changes: ConfigChanges, config: ConfigCalls) -> None:
        self._changes = changes
        self._config = config
        self.routes = (
            Route("POST", "/v1/keys/give", self.give),
            Route("POST", "/v1/keys/withdraw", self.withdraw),
        )

    def give(self, request: Request) -> Any:
        """Add a key to a team."""
        body = requests.decode_change(request, requests.KeyGive)
        if isinstance(body, Failure):
            return body

        def change(team: TeamSpec) -> TeamSpec | Failure:
            if body.key in team.keys:
                return team
            return attrs.evolve(team, keys=(*team.keys, body.key))

        return self._change_team(body, change)

    def withdraw(self, request: Request) -> Any:
        """Take a key from a team."""
        body = requests.decode_change(request, requests.KeyWithdraw)
        if isinstance(body, Failure):
            return body

        def change(team: TeamSpec) -> TeamSpec | Failure:
            kept = tuple(k for k in team.keys if k.key_id != body.key_id)
            if kept == team.keys:
                return KEY_INVALID.with_reason(
                    f"team {team.name} has no key {body.key_id}"
                )
            return attrs.evolve(team, keys=kept)

        return self._change_team(body, change)

    def _change_team(self, body, change_team: Callable) -> Any:
        for _ in range(ATTEMPTS):
            current = self._config.current()
            known = self._changes.find_change(body.change_id)
            for failure in (current, known):
                if isinstance(failure, Failure):
                    return failure
            version, document = current
            changed = _with_team(document, body.team, change_team)
            if known is not None:
                return self._config.accepted(
                    _repeated(known, document, changed)
                )
            if isinstance(changed, Failure):
                return changed
            if changed == document:
                return self._config.accepted(version)
            change = requests.to_change(body, version.version)
            result = self._changes.apply(changed, change)
            if not _is_version_changed(result):
                break
        return self._config.accepted(result)


def _is_version_changed(result: ConfigVersion | Failure) -> bool:
    return isinstance(result, Failure) and result.is_a(VERSION_CHANGED)


def _repeated(
    known: ConfigVersion, document: Document, changed: Document | Failure
) -> ConfigVersion | Failure:
    """Judge a change of a key whose change id is known.

    It is a repeat only if its effect is there. Otherwise the operator would
    hold a key that is not the one in force.
    """
    is_withdrawn = isinstance(changed, Failure) and changed.is_a(KEY_INVALID)
    if is_withdrawn or changed == document:
        return known
    return IDEMPOTENCY_KEY_REUSED.with_reason(
        f"change {known.change_id} is version {known.version}"
    )


def _with_team(
    document: Document, name: str, change: Callable
) -> Document | Failure:
    """Return a document with one team changed."""
    team = document.team(name)
    if team is None:
        return TEAM_UNKNOWN.with_reason(name)
    changed = change(team)
    if isinstance(changed, Failure):
        return changed
    teams = tuple(changed if t.name == name else t for t in document.teams)
    document = attrs.evolve(document, teams=teams)
    problems = check_document(document)
    if problems:
        return DOCUMENT_MALFORMED.with_reason("\n".join(map(str, problems)))
    return document
