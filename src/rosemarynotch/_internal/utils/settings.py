"""Settings of programs, from flags and environment variables."""

import contextlib
import inspect
import io
import os
import sys
from typing import Callable

import defopt

from rosemarynotch._internal.exceptions import SettingsError

__all__ = ["run_program"]

ENVIRONMENT_PREFIX = "ROSEMARYNOTCH_"
EXIT_BAD_SETTINGS = 2


def run_program(main: Callable[..., int | None]) -> None:
    """Parse the settings, run a program and exit with its status.

    Each keyword-only parameter of ``main`` can be set by a flag or by an
    environment variable; a flag has priority. An invalid setting ends the
    program with exit status 2 and an error message of one line.

    :param main: function whose parameters are the settings
    """
    try:
        argv = _environment_arguments(main) + sys.argv[1:]
        status = _parse(main, argv)()
    except SettingsError as error:
        print(f"{sys.argv[0]}: {error}", file=sys.stderr)
        status = EXIT_BAD_SETTINGS
    sys.exit(status or 0)


def _parse(main: Callable, argv: list[str]) -> Callable[[], int | None]:
    """Parse the arguments and bind them to the program.

    :raises SettingsError: with the error of the parser, without its usage
        text
    """
    messages = io.StringIO()
    try:
        with contextlib.redirect_stderr(messages):
            return defopt.bind(main, argv=argv)
    except SystemExit as error:
        if not error.code:
            raise
        lines = messages.getvalue().strip().splitlines()
        reason = lines[-1].partition("error: ")[2] or lines[-1]
        raise SettingsError(reason) from None


def _environment_arguments(main: Callable) -> list[str]:
    """Convert environment variables to flags."""
    arguments = []
    for name, parameter in inspect.signature(main).parameters.items():
        value = os.environ.get(ENVIRONMENT_PREFIX + name.upper())
        if value is None or parameter.kind is not parameter.KEYWORD_ONLY:
            continue
        arguments += _flag(name, value, parameter.annotation)
    return arguments


def _flag(name: str, value: str, annotation) -> list[str]:
    flag = name.replace("_", "-")
    if annotation is not bool:
        return [f"--{flag}={value}"]
    if value.lower() in ("1", "true", "yes"):
        return [f"--{flag}"]
    if value.lower() in ("0", "false", "no"):
        return [f"--no-{flag}"]
    raise SettingsError(
        f"{ENVIRONMENT_PREFIX}{name.upper()}: not a boolean; "
        "expected 1, true, yes, 0, false or no"
    )
