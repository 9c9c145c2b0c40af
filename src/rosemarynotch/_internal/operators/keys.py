"""Keys of operators, which are settings and not part of the document."""

import attrs

from rosemarynotch._internal.configuration import check_key
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import OPERATOR_KEY_INVALID
from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import KeySpec
from rosemarynotch._internal.models.document import TeamSpec

__all__ = ["format_setting", "OperatorKeys"]

SETTING_FORMAT = "operator:key-id:salt:digest"


def format_setting(operator: str, key: KeySpec) -> str:
    """Return the setting that gives an operator access with a key."""
    return f"{operator}:{key.key_id}:{key.salt}:{key.digest}"


class OperatorKeys:
    """Checks operator keys, which have the same form as keys of teams.

    :param setting: keys in the form of :func:`format_setting`, separated by
        commas
    :raises SettingsError: if the setting is malformed or empty
    """

    def __init__(self, setting: str) -> None:
        keys: dict[str, tuple[KeySpec, ...]] = {}
        for item in filter(None, setting.split(",")):
            parts = item.strip().split(":")
            if len(parts) != 4 or not all(parts):
                raise SettingsError(
                    f"operator keys: expected {SETTING_FORMAT}"
                )
            operator, key_id, salt, digest = parts
            key = KeySpec(key_id=key_id, salt=salt, digest=digest)
            keys[operator] = (*keys.get(operator, ()), key)
        if not keys:
            raise SettingsError("operator keys: at least one is required")
        operators = tuple(
            TeamSpec(name=name, share=1, limit_requests=0, keys=specs)
            for name, specs in keys.items()
        )
        self._operators = Document(pools=(), teams=operators, queues=())

    def check(self, authorization: str) -> str | Failure:
        """Return the operator that a key belongs to.

        :returns: the name, or OPERATOR_KEY_INVALID
        """
        holder = check_key(self._operators, authorization)
        if isinstance(holder, Failure):
            return attrs.evolve(OPERATOR_KEY_INVALID, reason=holder.reason)
        return holder.team
