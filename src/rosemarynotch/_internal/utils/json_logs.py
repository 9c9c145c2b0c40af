"""JSON log lines on standard output, written without blocking callers."""

import json
import queue
import sys
import threading
import time
import traceback
from typing import TextIO

from rosemarynotch._internal.utils.logs import MAX_VALUE_LENGTH
from rosemarynotch._internal.utils.logs import REMOVED
from rosemarynotch._internal.utils.logs import SECRET_FIELDS

__all__ = ["JsonLog", "describe_error", "parse_line"]

# Most lines that are queued for a slow reader; further lines are dropped and
# counted.
MAX_QUEUED_LINES = 4000
# Most lines of one event per second; further ones are counted in one line.
MAX_LINES_PER_S = 200


class JsonLog:
    """Writes one line for each event from a background thread.

    :param fixed: fields that are part of every line, such as the node
    :ivar dropped: number of lines lost because the queue was full or the
        output failed
    """

    def __init__(self, fixed: dict[str, str], stream: TextIO | None = None):
        self._fixed = fixed
        self._stream = stream or sys.stdout
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._lock = threading.Lock()
        self._second = 0
        self._counts: dict[str, int] = {}
        self.dropped = 0
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    def __call__(self, event: str, **fields: object) -> None:
        """Queue a line without blocking."""
        now_s = time.time()
        if not self._admit(event, int(now_s)):
            return
        self._put(event, now_s, fields)

    def close(self, timeout_s: float = 1.0) -> None:
        """Write the queued lines, unless the reader takes too long."""
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _admit(self, event: str, second: int) -> bool:
        with self._lock:
            ended, counts = self._second, self._counts
            if second != ended:
                self._second, self._counts = second, {}
            count = self._counts[event] = self._counts.get(event, 0) + 1
        if second != ended:
            for name, total in counts.items():
                if total > MAX_LINES_PER_S:
                    excess = total - MAX_LINES_PER_S
                    self._put(
                        "lines left out",
                        float(second),
                        {"of_event": name, "count": excess},
                    )
        return count <= MAX_LINES_PER_S

    def _put(self, event: str, now_s: float, fields: dict) -> None:
        line = {"time_s": round(now_s, 3), "event": event, **self._fixed}
        for name, value in fields.items():
            line[name] = (
                REMOVED if name in SECRET_FIELDS else _json_value(value)
            )
        try:
            self._lines.put_nowait(json.dumps(line))
        except queue.Full:
            self.dropped += 1

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                self._stream.write(line + "\n")
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The output is closed, so the error cannot be reported.
                self.dropped += 1


def _json_value(value: object) -> object:
    if value is None or isinstance(value, (bool, int, float)):
        return value
    return str(value)[:MAX_VALUE_LENGTH]


def describe_error(error: Exception) -> dict[str, str]:
    """Return the fields that describe an unexpected error in a log line."""
    where = traceback.extract_tb(error.__traceback__)[-1]
    return {
        "error": repr(error),
        "where": f"{where.filename}:{where.lineno}",
    }


def parse_line(line: str) -> dict | None:
    """Return the fields of a log line; text before the object is ignored.

    :returns: None if the line has no JSON object with an event
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    return record if isinstance(record, dict) and "event" in record else None
