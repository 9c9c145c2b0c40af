"""Sends requests at the times that their rows state."""

from concurrent.futures import ThreadPoolExecutor
from typing import Iterable

import attrs

from rosemarynotch._internal.replay.sending import Result
from rosemarynotch._internal.replay.sending import Sender
from rosemarynotch._internal.replay.trace import TraceRow
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["LATE_MS", "play"]

# A request that is sent later than this reflects a delay of the load
# generator rather than of the system under test.
LATE_MS = 50.0


def play(
    rows: Iterable[TraceRow], sender: Sender, clock: Clock, workers: int
) -> list[Result]:
    """Send each request at its time, regardless of earlier outcomes.

    :param rows: in order of sending
    :param workers: largest number of requests that wait for an answer at once
    """
    start_s = clock.monotonic_s()

    def send(row: TraceRow) -> Result:
        sent_ms = (clock.monotonic_s() - start_s) * 1000
        result = sender.send(row)
        return attrs.evolve(result, late_ms=sent_ms - row.offset_ms)

    with ThreadPoolExecutor(max_workers=workers) as pool:
        futures = []
        for row in rows:
            delay_s = start_s + row.offset_ms / 1000 - clock.monotonic_s()
            if delay_s > 0:
                clock.sleep(delay_s)
            futures.append(pool.submit(send, row))
        return [each.result() for each in futures]
