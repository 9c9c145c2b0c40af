"""Commands for keys. Secrets are never sent to an entry."""

import attrs

from rosemarynotch._internal.commands.exits import CommandError
from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.commands.options import change_command
from rosemarynotch._internal.commands.options import ChangeOptions
from rosemarynotch._internal.commands.options import local_command
from rosemarynotch._internal.commands.options import Output
from rosemarynotch._internal.commands.session import Session
from rosemarynotch._internal.commands.waiting import await_version
from rosemarynotch._internal.configuration import make_key
from rosemarynotch._internal.models.rules import NAME
from rosemarynotch._internal.models.rules import NAME_VALID
from rosemarynotch._internal.operators.keys import format_setting

__all__ = ["give_key", "make_operator_key", "withdraw_key"]


@change_command
def give_key(
    session: Session,
    output: Output,
    options: ChangeOptions,
    team: str,
    key_id: str,
):
    """Create a key for a team and show it once.

    :param team: name of the team
    :param key_id: identifier of the new key
    """
    text, spec = make_key(team, key_id)
    line = (
        f'{{ key_id = "{spec.key_id}", salt = "{spec.salt}",'
        f' digest = "{spec.digest}" }}'
    )
    body = options.body(team=team, key=attrs.asdict(spec))
    try:
        answer = session.post("/v1/keys/give", body)
    except CommandError as error:
        if error.exit is not Exit.UNKNOWN:
            raise
        # The key may be in force, so it is shown. Since a repeat would create
        # another key, the operator has to look up the change first.
        raise CommandError(
            Exit.UNKNOWN,
            f"key {text}\n{error.text}\nlook up: change {options.change_id}",
            error.code,
        ) from error
    answer = {**answer, "key": text, "line": line}
    return await_version(
        session,
        output,
        options,
        answer,
        f"key, shown only once:\n{text}\nfor the team's keys in your file:\n"
        f"{line}",
    )


@change_command
def withdraw_key(
    session: Session,
    output: Output,
    options: ChangeOptions,
    team: str,
    key_id: str,
):
    """Withdraw a key of a team.

    :param team: name of the team
    :param key_id: identifier of the key
    """
    body = options.body(team=team, key_id=key_id)
    answer = session.post("/v1/keys/withdraw", body)
    return await_version(
        session,
        output,
        options,
        answer,
        "remove the key from your file, too",
    )


@local_command
def make_operator_key(output: Output, operator: str, key_id: str = "k1"):
    """Create a key for an operator and the setting that gives it access.

    :param operator: name of the operator
    :param key_id: identifier of the key
    """
    for name in (operator, key_id):
        if not NAME.fullmatch(name):
            raise CommandError(
                Exit.BAD_USAGE, f"{name!r}: expected {NAME_VALID}"
            )
    text, spec = make_key(operator, key_id)
    setting = format_setting(operator, spec)
    output.show(
        {"key": text, "setting": setting},
        f"key, shown only once:\n{text}\nfor the entries' operator keys:\n"
        f"{setting}",
    )
