"""Bodies of the operators' calls."""

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
    """Who changes something, and why."""

    change_id: str
    operator: str
    reason: str


@attrs.frozen(kw_only=True)
class MoveChange(FleetChange):
    """A move of a VM."""

    pool: str


@attrs.frozen(kw_only=True)
class JobCancel(FleetChange):
    """A cancellation of a team's job."""

    team: str


@attrs.frozen(kw_only=True)
class KeyGive(FleetChange):
    """A new key; its secret stays with the operator."""

    team: str
    key: KeySpec


@attrs.frozen(kw_only=True)
class KeyWithdraw(FleetChange):
    """A key that shall stop working."""

    team: str
    key_id: str


@attrs.frozen(kw_only=True)
class Rollback(FleetChange):
    """A return to an earlier document."""

    expected_version: int
    to_version: int
    confirmed: bool = False


@attrs.frozen(kw_only=True)
class DocumentChange(FleetChange):
    """A document to try or promote.

    :ivar document: TOML
    :ivar digest: the digest that was signed off, for a promotion
    :ivar trial: the trial, when it took place in another environment
    """

    expected_version: int
    document: str
    confirmed: bool = False
    digest: str = ""
    trial: Trial | None = None


@attrs.frozen(kw_only=True)
class DiffRequest:
    """A document to compare with the one in force."""

    document: str


def decode_change(request: Request, kind: type):
    """Decode a change and check who makes it.

    :returns: the body, REQUEST_MALFORMED, BODY_TOO_LARGE or
        OPERATOR_KEY_INVALID when the key belongs to somebody else
    """
    body = request.decode(kind)
    if isinstance(body, Failure):
        return body
    if not CHANGE_ID.fullmatch(body.change_id):
        return REQUEST_MALFORMED.with_reason("change_id is not an identifier")
    reason = body.reason.strip()
    if not reason or len(reason) > MAX_REASON_LENGTH:
        return REQUEST_MALFORMED.with_reason(
            f"a reason of 1 to {MAX_REASON_LENGTH} characters is required"
        )
    if body.operator != request.operator:
        return OPERATOR_KEY_INVALID.with_reason(
            f"the key belongs to {request.operator}, not {body.operator}"
        )
    return body


def to_change(body, expected_version: int) -> Change:
    """Return a change of the configuration."""
    return Change(
        change_id=body.change_id,
        operator=body.operator,
        reason=body.reason.strip(),
        expected_version=expected_version,
    )
