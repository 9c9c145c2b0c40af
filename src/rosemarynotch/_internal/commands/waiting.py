"""Functions that wait until a change is in force and show the result."""

import time
from typing import Any

from rosemarynotch._internal.commands.exits import CommandError
from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.commands.options import ChangeOptions
from rosemarynotch._internal.commands.options import Output
from rosemarynotch._internal.commands.session import Session

__all__ = ["await_in_force", "await_version"]

POLL_INTERVAL_S = 0.2


def await_in_force(
    session: Session,
    output: Output,
    options: ChangeOptions,
    answer: dict[str, Any],
    path: str,
    title: str,
    more: str = "",
) -> Exit:
    """Wait until an accepted change is in force on all members and show it.

    :param answer: response to the change
    :param path: path that returns on how many members it is in force
    :param title: description of the result of the change
    :param more: further text to show
    """
    end_s = time.monotonic() + options.wait_s
    while not _is_in_force_everywhere(answer) and time.monotonic() < end_s:
        time.sleep(POLL_INTERVAL_S)
        try:
            answer = {**answer, **session.get(path)}
        except CommandError:
            # The change is accepted; only its progress is unknown.
            continue
    text = [
        f"accepted: {title}",
        f"change id {options.change_id}",
        f"in force on {answer['in_force']} of {answer['members']}",
    ]
    if more:
        text.append(more)
    output.show(answer, "\n".join(text))
    if _is_in_force_everywhere(answer):
        return Exit.DONE
    return Exit.NOT_YET_EVERYWHERE


def await_version(
    session: Session,
    output: Output,
    options: ChangeOptions,
    answer: dict[str, Any],
    more: str,
) -> Exit:
    """Wait until a new version is in force on all members and show it.

    :param answer: response to the change
    :param more: further text to show
    """
    return await_in_force(
        session,
        output,
        options,
        answer,
        f"/v1/config/changes/{options.change_id}",
        f"version {answer['version']}",
        more,
    )


def _is_in_force_everywhere(answer: dict[str, Any]) -> bool:
    return answer["members"] > 0 and answer["in_force"] >= answer["members"]
