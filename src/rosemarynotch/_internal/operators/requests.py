"""Request bodies of the operators' API."""

import re

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import OPERATOR_KEY_INVALID
from rosemarynotch._internal.exceptions import REQUEST_MALFORMED
from rosemarynotch._internal.models.document import KeySpec
from rosemarynotch._internal.operators.changes import Change
from rosemarynotch._internal.operators.http import Request
from rosemarynotch._internal.operators.trials import Trial

__all__ = [
    "decode_change",
    "DiffRequest",
    "DocumentChange",
    "FleetChange",
    "JobCancel",
    "KeyGive",
    "KeyWithdraw",
    "MoveChange",
    "Rollback",
    "to_change",
]

CHANGE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")
MAX_REASON_LENGTH = 200


@attrs.frozen(kw_only=True)
class FleetChange:
    """The fields that all changes have: id, operator and reason."""

    change_id: str
    operator: str
    reason: str


@attrs.frozen(kw_only=True)
class MoveChange(FleetChange):
    """A move of a VM to another pool."""

    pool: str


@attrs.frozen(kw_only=True)
class JobCancel(FleetChange):
    """A cancellation of a team's job."""

    team: str


@attrs.frozen(kw_only=True)
class KeyGive(FleetChange):
    """A new key of a team, without its secret."""

    team: str
    key: KeySpec


@attrs.frozen(kw_only=True)
class KeyWithdraw(FleetChange):
    """A withdrawal of a team's key."""

    team: str
    key_id: str


@attrs.frozen(kw_only=True)
class Rollback(FleetChange):
    """A rollback to the document of an earlier version."""

    expected_version: int
    to_version: int
    confirmed: bool = False


@attrs.frozen(kw_only=True)
class DocumentChange(FleetChange):
    """A document to try or promote.

    :ivar document: the document as TOML
    :ivar digest: the approved digest, for a promotion
    :ivar trial: the trial, if it took place in another environment
    """

    expected_version: int
    document: str
    confirmed: bool = False
    digest: str = ""
    trial: Trial | None = None


@attrs.frozen(kw_only=True)
class DiffRequest:
    """A document to compare with the newest version."""

    document: str


def decode_change(request: Request, kind: type):
    """Decode a change and check its operator.

    :returns: the body, REQUEST_MALFORMED, BODY_TOO_LARGE, BODY_TRUNCATED, or
        OPERATOR_KEY_INVALID if the key belongs to another operator
    """
    body = request.decode(kind)
    if isinstance(body, Failure):
        return body
    if not CHANGE_ID.fullmatch(body.change_id):
        return REQUEST_MALFORMED.with_reason(
            "change_id must have 1 to 64 letters, digits, hyphens or"
            " underscores and start with a letter or digit"
        )
    reason = body.reason.strip()
    if not reason or len(reason) > MAX_REASON_LENGTH:
        return REQUEST_MALFORMED.with_reason(
            f"reason must have 1 to {MAX_REASON_LENGTH} characters"
        )
    if body.operator != request.operator:
        return OPERATOR_KEY_INVALID.with_reason(
            f"key belongs to {request.operator}, not to {body.operator}"
        )
    return body


def to_change(body, expected_version: int) -> Change:
    """Build a change of the configuration from a request body."""
    return Change(
        change_id=body.change_id,
        operator=body.operator,
        reason=body.reason.strip(),
        expected_version=expected_version,
    )
