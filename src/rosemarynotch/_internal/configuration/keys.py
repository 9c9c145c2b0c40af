"""Creation and verification of team keys.

The text of a key is ``<team>.<key id>.<secret>``. The document contains only
a salted SHA-256 digest of the secret. Secrets are long random strings, so a
slow password hash would not improve security, but would make each request
more expensive.
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
    """Create a key with a random secret.

    :returns: the text of the key, and its specification for the document
    """
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    spec = KeySpec(key_id=key_id, salt=salt, digest=_digest(salt, secret))
    return f"{team}.{key_id}.{secret}", spec


def check_key(document: Document, authorization: str) -> KeyHolder | Failure:
    """Verify the key in an ``Authorization`` header.

    :returns: the holder of the key, KEY_MISSING, KEY_INVALID, KEY_WITHDRAWN
        if the team has no key with that id, or TEAM_UNKNOWN
    """
    scheme, _, text = (authorization or "").strip().partition(" ")
    if not text or scheme.lower() != SCHEME:
        return KEY_MISSING.with_reason("a bearer key is required")
    # Key ids and secrets contain no dots. Splitting from the right does not
    # rely on the rule that team names contain none either.
    parts = text.strip().rsplit(".", 2)
    if len(parts) != 3 or not all(parts):
        return KEY_INVALID.with_reason("the key is malformed")
    team_name, key_id, secret = parts
    team = document.team(team_name)
    if team is None:
        return TEAM_UNKNOWN.with_reason("the team of the key is unknown")
    spec = next((key for key in team.keys if key.key_id == key_id), None)
    if spec is None:
        return KEY_WITHDRAWN.with_reason("the team has no key with this id")
    if not hmac.compare_digest(
        _digest(spec.salt, secret).encode(), spec.digest.encode()
    ):
        return KEY_INVALID.with_reason("the secret of the key is wrong")
    return KeyHolder(team=team.name, key_id=key_id)


def _digest(salt: str, secret: str) -> str:
    text = f"{salt}:{secret}".encode("utf-8", "surrogateescape")
    return hashlib.sha256(text).hexdigest()
