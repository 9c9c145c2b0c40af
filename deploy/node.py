"""Start a node from a source checkout."""

import pathlib
import signal
import sys

# Before the imports below, which take a tenth of a second; see main().
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from rosemarynotch._internal.cli.node import main  # noqa: E402

sys.exit(main())
