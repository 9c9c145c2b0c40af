"""The program ``rosemarynotch``: commands for operators."""

import importlib
import sys

from rosemarynotch._internal.utils.settings import run_program

__all__ = ["COMMANDS", "main"]

PACKAGE = "rosemarynotch._internal.commands"
BAD_USAGE = 2

# Module and function by command. Only the module of the command that runs is
# imported.
COMMANDS = {
    "validate": ("documents", "validate"),
    "diff": ("documents", "diff"),
    "try": ("documents", "try_document"),
    "promote": ("documents", "promote"),
    "rollback": ("documents", "rollback"),
    "history": ("state", "history"),
    "change": ("state", "change"),
    "status": ("state", "status"),
    "report": ("state", "report"),
    "drain": ("fleet", "drain"),
    "undrain": ("fleet", "undrain"),
    "move": ("fleet", "move"),
    "wave start": ("fleet", "start_wave"),
    "wave pause": ("fleet", "pause_wave"),
    "wave resume": ("fleet", "resume_wave"),
    "wave abort": ("fleet", "abort_wave"),
    "key give": ("keys", "give_key"),
    "key withdraw": ("keys", "withdraw_key"),
    "job list": ("jobs", "list_jobs"),
    "job cancel": ("jobs", "cancel_job"),
    "explain": ("explain", "explain"),
    "operator-key": ("keys", "make_operator_key"),
}
USAGE = """usage: rosemarynotch COMMAND [OPTION ...]

commands:
  {commands}

rosemarynotch COMMAND --help shows the options of a command. Options can also
be set as environment variables, such as ROSEMARYNOTCH_ENTRY.

exit status: 0 done, 1 refused, 2 bad usage, 3 accepted but not yet in force
everywhere, 4 unknown (repeat with the change id), 5 needs --confirm,
6 no entry answers
"""


def main() -> None:
    """Run a command and exit with its status."""
    words = sys.argv[1:]
    for count in (2, 1):
        name = " ".join(words[:count])
        if len(words) >= count and name in COMMANDS:
            module, function = COMMANDS[name]
            sys.argv[:] = [f"rosemarynotch {name}", *words[count:]]
            package = importlib.import_module(f"{PACKAGE}.{module}")
            run_program(getattr(package, function))
    usage = USAGE.format(commands="\n  ".join(COMMANDS))
    if words[:1] in (["--help"], ["-h"]):
        print(usage)
        sys.exit(0)
    print(usage, file=sys.stderr)
    sys.exit(BAD_USAGE)


if __name__ == "__main__":
    main()
