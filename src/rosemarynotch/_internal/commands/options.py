"""Decorators that turn functions into commands with common options."""

import functools
import inspect
import json
import secrets
import sys
from typing import Any
from typing import Callable
from typing import Literal

import attrs

from rosemarynotch._internal.commands.exits import CommandError
from rosemarynotch._internal.commands.exits import Exit
from rosemarynotch._internal.commands.session import Session

__all__ = [
    "ChangeOptions",
    "change_command",
    "local_command",
    "Output",
    "read_command",
]

Format = Literal["text", "json"]
CHANGE_ID_BYTES = 6
DEFAULT_WAIT_S = 20.0

OUTPUT_OPTION = {
    "output": (Format, "text", "text, or the data of the entry as json"),
}
READ_OPTIONS = {
    "entry": (
        str,
        None,
        "HOST:PORT of operator ports, separated by commas, tried in turn",
    ),
    "operator_key": (
        str,
        None,
        "your key; preferably set as ROSEMARYNOTCH_OPERATOR_KEY",
    ),
    **OUTPUT_OPTION,
}
CHANGE_OPTIONS = {
    **READ_OPTIONS,
    "operator": (str, None, "your name, which the key has to belong to"),
    "reason": (str, None, "reason of the change, for the history"),
    "change_id": (str, "", "id of a change to repeat, a new id by default"),
    "wait_s": (
        float,
        DEFAULT_WAIT_S,
        "longest wait in seconds until the change is in force",
    ),
}


@attrs.frozen(kw_only=True)
class ChangeOptions:
    """The options that all changes have in common."""

    operator: str
    reason: str
    change_id: str
    wait_s: float

    def body(self, **fields: Any) -> dict[str, Any]:
        """Return the body of a request for a change."""
        body = attrs.asdict(self)
        del body["wait_s"]
        return {**body, **fields}


@attrs.frozen
class Output:
    """Prints results as text or JSON."""

    format: str

    def show(self, data: Any, text: str) -> None:
        """Print a result, either its data as JSON or its text."""
        if self.format == "json":
            print(json.dumps(data, indent=1))
        else:
            print(text.rstrip("\n"))

    def fail(self, error: CommandError) -> None:
        """Print the error that ended a command."""
        if self.format == "json":
            data = {
                "code": error.code,
                "exit": int(error.exit),
                "reason": error.text,
            }
            print(json.dumps(data, indent=1))
        else:
            print(error.text, file=sys.stderr)


def read_command(function: Callable) -> Callable:
    """Turn a function of (session, output, ...) into a reading command."""

    def run(*args, entry, operator_key, output, **kwargs):
        printer = Output(output)
        return _run_command(
            printer,
            lambda: function(
                Session(entry, operator_key), printer, *args, **kwargs
            ),
        )

    return _with_options(run, function, 2, READ_OPTIONS)


def local_command(function: Callable) -> Callable:
    """Turn a function of (output, ...) into a command without an entry."""

    def run(*args, output, **kwargs):
        printer = Output(output)
        return _run_command(
            printer, lambda: function(printer, *args, **kwargs)
        )

    return _with_options(run, function, 1, OUTPUT_OPTION)


def change_command(function: Callable) -> Callable:
    """Turn a function of (session, output, options, ...) into a command.

    The command makes a change. If the outcome is unknown, its message names
    the change id to repeat it with.
    """

    def run(
        *args,
        entry,
        operator_key,
        output,
        operator,
        reason,
        change_id,
        wait_s,
        **kwargs,
    ):
        printer = Output(output)
        options = ChangeOptions(
            operator=operator,
            reason=reason,
            change_id=change_id or f"c-{secrets.token_hex(CHANGE_ID_BYTES)}",
            wait_s=wait_s,
        )

        def call():
            session = Session(entry, operator_key)
            try:
                return function(session, printer, options, *args, **kwargs)
            except CommandError as error:
                if error.exit is not Exit.UNKNOWN:
                    raise
                raise CommandError(
                    Exit.UNKNOWN,
                    f"{error.text}\nUNKNOWN: repeat with --change-id"
                    f" {options.change_id}",
                    error.code,
                ) from error

        return _run_command(printer, call)

    return _with_options(run, function, 3, CHANGE_OPTIONS)


def _run_command(printer: Output, call: Callable[[], int | None]) -> int:
    """Run a command and return its exit status."""
    try:
        return int(call() or Exit.DONE)
    except CommandError as error:
        printer.fail(error)
        return int(error.exit)


def _with_options(
    run: Callable, function: Callable, skip: int, options: dict
) -> Callable:
    """Give a command the signature and doc comment that defopt reads.

    :param run: the command
    :param function: the function whose parameters the command has
    :param skip: number of its first parameters that are not options
    :param options: the options to add, with type, default and help
    """
    functools.update_wrapper(run, function)
    del run.__wrapped__
    own = list(inspect.signature(function).parameters.values())[skip:]
    added = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=inspect.Parameter.empty if default is None else default,
            annotation=kind,
        )
        for name, (kind, default, _) in options.items()
    ]
    run.__signature__ = inspect.Signature(own + added)
    run.__annotations__ = {
        parameter.name: parameter.annotation for parameter in own + added
    }
    lines = [
        f":param {name}: {text}" for name, (_, _, text) in options.items()
    ]
    run.__doc__ = inspect.getdoc(function) + "\n" + "\n".join(lines) + "\n"
    return run
