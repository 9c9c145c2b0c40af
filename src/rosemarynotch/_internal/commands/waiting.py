"""Waiting until a change is in force."""

import time
from typing import Any

from rosemarynotch._internal.commands.exits import CommandError
from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.commands.options import ChangeOptions
from rosemarynotch._internal.commands.options import Output
from rosemarynotch._internal.commands.session import Session

__all__ = ["follow", "follow_version"]

POLL_S = 0.2


def follow(
    session: Session,
    output: Output,
    options: ChangeOptions,
    answer: dict[str, Any],
    path: str,
    title: str,
    more: str = "",
) -> Exit:
    """Wait until an accepted change is in force everywhere and show it.

    :param path: call that tells on how many members it is in force
    :param more: further text
    """
    end_s = time.monotonic() + options.wait_s
    while not _is_everywhere(answer) and time.monotonic() < end_s:
        time.sleep(POLL_S)
        try:
            answer = {**answer, **session.get(path)}
        except CommandError:
            # The change is accepted; only the progress is not known.
            continue
    text = [
        f"accepted: {title}",
        f"change id {options.change_id}",
        f"in force on {answer['in_force']} of {answer['members']}",
    ]
    if more:
        text.append(more)
    output.show(answer, "\n".join(text))
    if _is_everywhere(answer):
        return Exit.DONE
    return Exit.NOT_YET_EVERYWHERE


def follow_version(
    session: Session,
    output: Output,
    options: ChangeOptions,
    answer: dict[str, Any],
    more: str,
) -> Exit:
    """Wait until a new version is in force everywhere and show it.

    :param more: further text
    """
    return follow(
        session,
        output,
        options,
        answer,
        f"/v1/config/changes/{options.change_id}",
        f"version {answer['version']}",
        more,
    )


def _is_everywhere(answer: dict[str, Any]) -> bool:
    return answer["members"] > 0 and answer["in_force"] >= answer["members"]
