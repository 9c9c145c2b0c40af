"""Main function of the program ``rosemarynotch-node``."""

import signal
import sys

from rosemarynotch._internal.exceptions import SettingsError

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run a node and return its exit status.

    Invalid settings give one line on the standard error and status 2.
    """
    # Until the node handles it, SIGHUP would end the process. The settings are
    # read later, and again at intervals.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from rosemarynotch._internal.wiring.node import run_node

    try:
        return run_node()
    except SettingsError as error:
        print(f"rosemarynotch-node: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
