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

__all__ = ["LateAnswers"]

# Bounds how late a connection is closed that never answers.
POLL_S = 0.5


@attrs.define(eq=False)
class _Late:
    """A connection that is still waited for."""

    connection: TargetConnection
    end_s: float
    on_answer: Callable[[], None]
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

    def watch(
        self,
        connection: TargetConnection,
        wait_s: float,
        on_answer: Callable[[], None],
    ) -> None:
        """Take over a connection that waits for its answer.

        :param wait_s: longest time for which the request may still run
        :param on_answer: called when the answer begins
        """
        end_s = self._clock.monotonic_s() + wait_s
        late = _Late(connection, end_s, on_answer)
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
                if self._close(key.data):
                    key.data.on_answer()
            for late in self._take_ended():
                self._close(late)

    def _close(self, late: _Late) -> bool:
        """Close a connection; tell whether an answer has begun."""
        with self._lock:
            if late.is_done:
                return False
            late.is_done = True
            self._selector.unregister(late.connection.sock)
        began = _has_answer(late.connection.sock)
        late.connection.close()
        return began

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
