"""Exit statuses and errors of commands."""

import enum

from rosemarynotch._internal.exceptions import RosemarynotchError

__all__ = ["CommandError", "Exit"]


class Exit(enum.IntEnum):
    """Exit statuses, explained in docs/OPERATIONS.md."""

    DONE = 0
    REFUSED = 1
    BAD_USAGE = 2
    NOT_YET_EVERYWHERE = 3
    UNKNOWN = 4
    CONFIRMATION_NEEDED = 5
    NO_ANSWER = 6


class CommandError(RosemarynotchError):
    """Ends a command with an exit status and a message.

    :ivar exit: exit status
    :ivar text: message for the operator
    :ivar code: code of the failure that an entry returned, may be empty
    """

    def __init__(self, exit_status: Exit, text: str, code: str = "") -> None:
        super().__init__(text)
        self.exit = exit_status
        self.text = text
        self.code = code
