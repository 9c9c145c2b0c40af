"""What the long-running programs share."""

import signal
import threading

from rosemarynotch._internal.configuration import new_incarnation
from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.utils.addresses import parse_address
from rosemarynotch._internal.utils.logs import set_up_logs

__all__ = [
    "check_addresses",
    "check_choice",
    "set_up_program_logs",
    "stop_event",
]


def check_addresses(**settings: str) -> None:
    """Check settings that are addresses.

    :raises SettingsError: if one is not HOST:PORT
    """
    for name, value in settings.items():
        parse_address(name.replace("_", "-"), value)


def check_choice(setting: str, value: str, choices: dict) -> None:
    """Check a setting that has to be one of some names.

    :raises SettingsError: if it is not
    """
    if value not in choices:
        known = ", ".join(sorted(choices))
        raise SettingsError(f"{setting}: {value!r} is not one of {known}")


def set_up_program_logs(component: str, name: str, level: str) -> str:
    """Send log lines to standard error.

    :returns: the incarnation of this process, which each line carries
    :raises SettingsError: if the level is unknown
    """
    incarnation = new_incarnation()
    try:
        set_up_logs(component, f"{name}.{incarnation}", level)
    except LookupError:
        raise SettingsError(f"log-level: {level!r} is unknown") from None
    return incarnation


def stop_event() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    return stopping
