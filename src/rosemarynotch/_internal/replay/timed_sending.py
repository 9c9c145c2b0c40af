"""Sends requests at their times."""

from concurrent.futures import ThreadPoolExecutor
from typing import Iterable

import attrs

from rosemarynotch._internal.replay.sending import Result
from rosemarynotch._internal.replay.sending import Sender
from rosemarynotch._internal.replay.trace import TraceRow
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["LATE_MS", "play"]

# A request sent later than this says more about the load generator than
# about what it measures.
LATE_MS = 50.0


def play(
    rows: Iterable[TraceRow], sender: Sender, clock: Clock, workers: int
) -> list[Result]:
    """Send each request at its time, whatever became of earlier ones.

    :param rows: in order of time
    :param workers: requests that wait for an answer at the same time
    """
    start_s = clock.monotonic_s()

    def send(row: TraceRow) -> Result:
        sent_ms = (clock.monotonic_s() - start_s) * 1000
        result = sender.send(row)
        return attrs.evolve(result, late_ms=sent_ms - row.offset_ms)

    with ThreadPoolExecutor(max_workers=workers) as pool:
        waiting = []
        for row in rows:
            left_s = start_s + row.offset_ms / 1000 - clock.monotonic_s()
            if left_s > 0:
                clock.sleep(left_s)
            waiting.append(pool.submit(send, row))
        return [each.result() for each in waiting]
