"""Runs a node whose wall clock can be stepped.

The offset in seconds is read from the file named by the environment variable
``SOAK_CLOCK``. Monotonic clocks are not affected.
"""

import os
from pathlib import Path
import runpy
import time

REFRESH_INTERVAL_S = 0.2
NODE_SCRIPT = Path(__file__).parents[1] / "deploy" / "node.py"


class SteppedClock:
    """Replacement for ``time.time`` with an offset read from a file."""

    def __init__(self, path: Path, wall_clock) -> None:
        self._path = path
        self._wall_clock = wall_clock
        self._read_at_s = 0.0
        self._offset_s = 0.0

    def __call__(self) -> float:
        """Return the Unix time plus the offset."""
        now_s = self._wall_clock()
        if (
            now_s - self._read_at_s > REFRESH_INTERVAL_S
            and self._path.exists()
        ):
            self._read_at_s = now_s
            text = self._path.read_text(encoding="utf-8")
            self._offset_s = float(text or 0)
        return now_s + self._offset_s


if __name__ == "__main__":
    time.time = SteppedClock(Path(os.environ["SOAK_CLOCK"]), time.time)
    runpy.run_path(str(NODE_SCRIPT), run_name="__main__")
