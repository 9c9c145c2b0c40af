"""Connections whose answer did not come in time."""

import heapq
import itertools
import selectors
import socket
import threading
from typing import Callable

import attrs

from rosemarynotch._internal.targets.connection import TargetConnection
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["LateAnswers", "LateWatch"]

# Bounds how late a connection is closed that never answers.
POLL_S = 0.5


@attrs.frozen
class LateWatch:
    """What to do when the answer does not come in time.

    :ivar wait_s: time after the time-out for which the request may run
    :ivar on_answer: called when the target answers after all
    :ivar on_silence: called when it has not answered within the time
    """

    wait_s: float
    on_answer: Callable[[], None]
    on_silence: Callable[[], None]


@attrs.define(eq=False)
class _Late:
    """A connection that is still waited for."""

    connection: TargetConnection
    watch: LateWatch
    is_done: bool = False


class LateAnswers:
    """Waits for answers that no caller waits for any more.

    The first byte of an answer shows that the target has ended the request,
    so that its slot and permit are free. The answer itself is dropped with
    its connection. A connection that is closed without a byte shows nothing.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        self._by_end: list[tuple[float, int, _Late]] = []
        self._numbers = itertools.count()
        self._thread: threading.Thread | None = None

    def watch(self, connection: TargetConnection, watch: LateWatch) -> None:
        """Take over a connection that waits for its answer."""
        end_s = self._clock.monotonic_s() + watch.wait_s
        late = _Late(connection, watch)
        connection.sock.setblocking(False)
        with self._lock:
            self._selector.register(
                connection.sock, selectors.EVENT_READ, late
            )
            heapq.heappush(self._by_end, (end_s, next(self._numbers), late))
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="late-answers", daemon=True
                )
                self._thread.start()

    def _run(self) -> None:
        while True:
            for key, _ in self._selector.select(POLL_S):
                self._end(key.data)
            for late in self._take_ended():
                self._end(late)

    def _end(self, late: _Late) -> None:
        """Close a connection, and tell whether an answer has begun."""
        with self._lock:
            if late.is_done:
                return
            late.is_done = True
            self._selector.unregister(late.connection.sock)
        began = _has_answer(late.connection.sock)
        late.connection.close()
        if began:
            late.watch.on_answer()
        else:
            late.watch.on_silence()

    def _take_ended(self) -> list[_Late]:
        now_s = self._clock.monotonic_s()
        ended = []
        with self._lock:
            while self._by_end and self._by_end[0][0] <= now_s:
                ended.append(heapq.heappop(self._by_end)[2])
        return ended


def _has_answer(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
