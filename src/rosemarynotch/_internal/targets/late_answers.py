"""Watching of connections whose answer did not arrive in time."""

import heapq
import itertools
import selectors
import socket
import threading
from typing import Callable

import attrs

from rosemarynotch._internal.targets.connection import TargetConnection
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["LateAnswerWatcher", "LateAnswerCallbacks"]

# Greatest delay between the end of the waiting time and the close of a
# connection without an answer.
POLL_S = 0.5


@attrs.frozen
class LateAnswerCallbacks:
    """Callbacks for a request whose answer did not arrive in time.

    :ivar wait_s: time after the time-out for which the request may still run
    :ivar on_answer: called when the target begins to answer in this time
    :ivar on_no_answer: called when it does not
    """

    wait_s: float
    on_answer: Callable[[], None]
    on_no_answer: Callable[[], None]


@attrs.define(eq=False)
class _PendingAnswer:
    """A connection that is watched for a late answer."""

    connection: TargetConnection
    callbacks: LateAnswerCallbacks
    is_done: bool = False


class LateAnswerWatcher:
    """Watches connections for answers that callers no longer wait for.

    The first byte of an answer proves that the target has ended the request,
    so its slot and permit can be released. The answer is discarded and the
    connection closed. A connection that the target closes without sending a
    byte proves nothing.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        self._by_end: list[tuple[float, int, _PendingAnswer]] = []
        self._numbers = itertools.count()
        self._thread: threading.Thread | None = None

    def watch(
        self, connection: TargetConnection, callbacks: LateAnswerCallbacks
    ) -> None:
        """Take over a connection whose answer is outstanding."""
        end_s = self._clock.monotonic_s() + callbacks.wait_s
        pending = _PendingAnswer(connection, callbacks)
        connection.sock.setblocking(False)
        with self._lock:
            self._selector.register(
                connection.sock, selectors.EVENT_READ, pending
            )
            heapq.heappush(self._by_end, (end_s, next(self._numbers), pending))
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="late-answers", daemon=True
                )
                self._thread.start()

    def _run(self) -> None:
        while True:
            for key, _ in self._selector.select(POLL_S):
                self._close(key.data)
            for pending in self._take_expired():
                self._close(pending)

    def _close(self, pending: _PendingAnswer) -> None:
        """Close a connection and call the callback for its result."""
        with self._lock:
            if pending.is_done:
                return
            pending.is_done = True
            self._selector.unregister(pending.connection.sock)
        has_answer = _has_answer(pending.connection.sock)
        pending.connection.close()
        if has_answer:
            pending.callbacks.on_answer()
        else:
            pending.callbacks.on_no_answer()

    def _take_expired(self) -> list[_PendingAnswer]:
        now_s = self._clock.monotonic_s()
        expired = []
        with self._lock:
            while self._by_end and self._by_end[0][0] <= now_s:
                expired.append(heapq.heappop(self._by_end)[2])
        return expired


def _has_answer(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
