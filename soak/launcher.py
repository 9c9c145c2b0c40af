"""Starts a node whose time of day can be stepped.

The offset in seconds is read from the file named by ``SOAK_CLOCK``. Only the
time of day is changed; steady clocks keep running.
"""

import os
from pathlib import Path
import runpy
import time

REFRESH_S = 0.2
NODE = Path(__file__).parents[1] / "deploy" / "node.py"


class SteppedClock:
    """The time of day with an offset from a file."""

    def __init__(self, path: Path, real_time) -> None:
        self._path = path
        self._real_time = real_time
        self._read_at_s = 0.0
        self._offset_s = 0.0

    def __call__(self) -> float:
        """Return the Unix time with the offset."""
        now_s = self._real_time()
        if now_s - self._read_at_s > REFRESH_S and self._path.exists():
            self._read_at_s = now_s
            text = self._path.read_text(encoding="utf-8")
            self._offset_s = float(text or 0)
        return now_s + self._offset_s


if __name__ == "__main__":
    time.time = SteppedClock(Path(os.environ["SOAK_CLOCK"]), time.time)
    runpy.run_path(str(NODE), run_name="__main__")
