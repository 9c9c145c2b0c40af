"""Start-up code shared by the programs of entries and of control."""

import signal
import threading
from typing import TYPE_CHECKING

from rosemarynotch._internal.configuration import new_incarnation
from rosemarynotch._internal.exceptions import SettingsError
from rosemarynotch._internal.models.records import MemberKind
from rosemarynotch._internal.utils.addresses import parse_address
from rosemarynotch._internal.utils.heap import return_large_blocks
from rosemarynotch._internal.utils.logs import set_up_logs

if TYPE_CHECKING:
    from rosemarynotch._internal.wiring.process import MemberSettings

__all__ = [
    "check_choice",
    "set_up_member",
    "stop_event",
]

ADDRESS_SETTINGS = ("store", "vm_service", "task_service", "peer_listen")


def check_choice(setting: str, value: str, choices: dict) -> None:
    """Check a setting with a fixed set of values.

    :raises SettingsError: if the value is not among the choices
    """
    if value not in choices:
        known = ", ".join(sorted(choices))
        raise SettingsError(f"{setting}: {value!r} is not one of {known}")


def set_up_member(
    kind: MemberKind, log_level: str, **settings: str
) -> "MemberSettings":
    """Check the settings that all members have; set up logging and memory.

    Log lines go to standard error and contain the incarnation.

    :param settings: settings of ``MemberSettings``
    :raises SettingsError: if an address is not HOST:PORT or the level is
        unknown
    """
    # Imported here to keep --help and the report of bad settings fast.
    from rosemarynotch._internal.wiring.process import MemberSettings

    for name in ADDRESS_SETTINGS:
        parse_address(name.replace("_", "-"), settings[name])
    incarnation = new_incarnation()
    try:
        set_up_logs(kind, f"{settings['name']}.{incarnation}", log_level)
    except LookupError:
        raise SettingsError(
            f"log-level: {log_level!r} is not a log level"
        ) from None
    return_large_blocks()
    return MemberSettings(kind=kind, incarnation=incarnation, **settings)


def stop_event() -> threading.Event:
    """Return an event that is set on SIGTERM and SIGINT."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    return stopping
