"""Keys of teams.

A key has the text ``<team>.<key id>.<secret>``. The document holds only a
salted SHA-256 digest of the secret. Secrets are random and long, so a slow
password hash would add cost to each request and no protection.
"""

import hashlib
import hmac
import secrets

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import KEY_INVALID
from rosemarynotch._internal.exceptions import KEY_MISSING
from rosemarynotch._internal.exceptions import KEY_WITHDRAWN
from rosemarynotch._internal.exceptions import TEAM_UNKNOWN
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import KeySpec

__all__ = ["check_key", "KeyHolder", "make_key"]

SCHEME = "bearer"
SECRET_BYTES = 32
SALT_BYTES = 16


@attrs.frozen(kw_only=True)
class KeyHolder:
    """The team that a key belongs to."""

    team: str
    key_id: str


def make_key(team: str, key_id: str) -> tuple[str, KeySpec]:
    """Create a key.

    :returns: the text for the team, and what the document keeps of it
    """
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    spec = KeySpec(key_id=key_id, salt=salt, digest=_digest(salt, secret))
    return f"{team}.{key_id}.{secret}", spec


def check_key(document: Document, authorization: str) -> KeyHolder | Failure:
    """Find the team that an ``Authorization`` header stands for.

    :returns: the holder, KEY_MISSING, KEY_INVALID, KEY_WITHDRAWN when the
        team has no key of that id, or TEAM_UNKNOWN
    """
    scheme, _, text = (authorization or "").strip().partition(" ")
    if not text or scheme.lower() != SCHEME:
        return KEY_MISSING.with_reason("a bearer key is required")
    # Team names may contain dots; key ids and secrets do not.
    parts = text.strip().rsplit(".", 2)
    if len(parts) != 3 or not all(parts):
        return KEY_INVALID.with_reason("the key is malformed")
    team_name, key_id, secret = parts
    team = document.team(team_name)
    if team is None:
        return TEAM_UNKNOWN.with_reason("the key names no known team")
    spec = next((key for key in team.keys if key.key_id == key_id), None)
    if spec is None:
        return KEY_WITHDRAWN.with_reason("the key is not in force")
    if not hmac.compare_digest(
        _digest(spec.salt, secret).encode(), spec.digest.encode()
    ):
        return KEY_INVALID.with_reason("the key is wrong")
    return KeyHolder(team=team.name, key_id=key_id)


def _digest(salt: str, secret: str) -> str:
    text = f"{salt}:{secret}".encode("utf-8", "surrogateescape")
    return hashlib.sha256(text).hexdigest()
