"""Options that commands have in common."""

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

__all__ = ["ChangeOptions", "changes", "local", "Output", "reads"]

Format = Literal["text", "json"]
CHANGE_ID_BYTES = 6
WAIT_S = 20.0

OUTPUT_OPTION = {
    "output": (Format, "text", "text, or json as the entry sent it"),
}
READ_OPTIONS = {
    "entry": (str, None, "HOST:PORT of operator ports, tried in turn"),
    "operator_key": (str, None, "better set as ROSEMARYNOTCH_OPERATOR_KEY"),
    **OUTPUT_OPTION,
}
CHANGE_OPTIONS = {
    **READ_OPTIONS,
    "operator": (str, None, "your name; the key has to be yours"),
    "reason": (str, None, "why, for the history"),
    "change_id": (str, "", "repeat a change; a new id unless given"),
    "wait_s": (float, WAIT_S, "wait until the change is in force"),
}


@attrs.frozen(kw_only=True)
class ChangeOptions:
    """Who makes a change and why."""

    operator: str
    reason: str
    change_id: str
    wait_s: float

    def body(self, **fields: Any) -> dict[str, Any]:
        """Return the body of a call."""
        who = attrs.asdict(self)
        del who["wait_s"]
        return {**who, **fields}


@attrs.frozen
class Output:
    """Prints results as text or JSON."""

    format: str

    def show(self, data: Any, text: str) -> None:
        """Print a result: its data as JSON, or a text for a person."""
        if self.format == "json":
            print(json.dumps(data, indent=1))
        else:
            print(text.rstrip("\n"))

    def fail(self, error: CommandError) -> None:
        """Print why a command failed."""
        if self.format == "json":
            data = {
                "code": error.code,
                "exit": int(error.exit),
                "reason": error.text,
            }
            print(json.dumps(data, indent=1))
        else:
            print(error.text, file=sys.stderr)


def reads(function: Callable) -> Callable:
    """Make a command of a function of (session, output, ...)."""

    def run(*args, entry, operator_key, output, **kwargs):
        shown = Output(output)
        return _guard(
            shown,
            lambda: function(
                Session(entry, operator_key), shown, *args, **kwargs
            ),
        )

    return _with_options(run, function, 2, READ_OPTIONS)


def local(function: Callable) -> Callable:
    """Make a command of a function of (output, ...) that calls nobody."""

    def run(*args, output, **kwargs):
        shown = Output(output)
        return _guard(shown, lambda: function(shown, *args, **kwargs))

    return _with_options(run, function, 1, OUTPUT_OPTION)


def changes(function: Callable) -> Callable:
    """Make a command of a function of (session, output, options, ...)."""

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
        shown = Output(output)
        options = ChangeOptions(
            operator=operator,
            reason=reason,
            change_id=change_id or f"c-{secrets.token_hex(CHANGE_ID_BYTES)}",
            wait_s=wait_s,
        )

        def call():
            session = Session(entry, operator_key)
            try:
                return function(session, shown, options, *args, **kwargs)
            except CommandError as error:
                if error.exit is not Exit.UNKNOWN:
                    raise
                raise CommandError(
                    Exit.UNKNOWN,
                    f"{error.text}\nUNKNOWN: repeat with --change-id"
                    f" {options.change_id}",
                    error.code,
                ) from error

        return _guard(shown, call)

    return _with_options(run, function, 3, CHANGE_OPTIONS)


def _guard(shown: Output, call: Callable[[], int | None]) -> int:
    try:
        return int(call() or Exit.DONE)
    except CommandError as error:
        shown.fail(error)
        return int(error.exit)


def _with_options(
    run: Callable, function: Callable, skip: int, options: dict
) -> Callable:
    """Give a function the signature that the command line is read by."""
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
