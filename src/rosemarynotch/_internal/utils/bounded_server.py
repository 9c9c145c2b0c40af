"""Server of waitress that bounds connections and the work of each turn."""

from collections.abc import Callable
from collections import deque
import errno
import heapq
import socket
import threading
import time

from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer
from waitress.task import ThreadedTaskDispatcher
from waitress import wasyncore

from rosemarynotch._internal.utils.bounded_channel import BoundedChannel
from rosemarynotch._internal.utils.bounded_channel import ServerLimits
from rosemarynotch._internal.utils.request_budget import RequestBudget

__all__ = [
    "applied_buffer_bytes",
    "BoundedServer",
    "connections_of_sockets",
    "count_sockets",
]

# Time for input that begins requests, and for the rest of requests that were
# not read at once, in each turn of the server's thread.
BEGIN_S = 0.01
REST_S = 0.005
# Pause while there is such a rest. Without it, the server's thread would use
# all processor time of a small machine; ordinary input ends the pause.
REST_PAUSE_S = 0.002
ACCEPTS_PER_TURN = 32
# Connections above the limit that exist until others have been closed.
EXTRA_CONNECTIONS = 64
# Share of the connections that is closed at once, because a choice compares
# all connections.
EVICTED_SHARE = 1 / 32
EVICTION_INTERVAL_S = 0.05
# Connections that wait to be accepted, at most as many as may be open.
MAX_BACKLOG = 256
# Linux doubles the size of a buffer to allow for its own data (socket(7)), of
# which packets that are full need next to nothing.
KERNEL_BUFFER_FACTOR = 2
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


def _backlog(connections: int) -> int:
    return min(MAX_BACKLOG, connections)


def count_sockets(connections: int) -> int:
    """Return how many connections may hold received bytes at a time.

    :param connections: most open connections of the server
    """
    return connections + EXTRA_CONNECTIONS + _backlog(connections)


def connections_of_sockets(sockets: int) -> int:
    """Return the most open connections of a server, see count_sockets."""
    rest = sockets - EXTRA_CONNECTIONS
    return max(0, rest // 2, rest - MAX_BACKLOG)


def applied_buffer_bytes(size: int) -> int:
    """Return the receive buffer that the kernel sets where a size is wanted.

    :param size: most bytes that a connection should receive ahead of being
        read
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        _set_receive_buffer(sock, size)
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)


def _set_receive_buffer(sock: socket.socket, size: int) -> None:
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, size // KERNEL_BUFFER_FACTOR
    )


class BoundedServer(TcpWSGIServer):
    """Gives turns to its connections and evicts some at their limit.

    Requests that are complete with their first read are never delayed by more
    than one turn. Each turn spends a bounded time on all others.

    :param connections: most open connections
    :param channel_class: class of the connections
    :param limits: returns the current time-outs
    :param receive_buffer_bytes: most bytes that a connection receives ahead
        of being read; 0 leaves it to the kernel
    :param options: settings of waitress
    """

    def __init__(
        self,
        app,
        connections: int,
        budget: RequestBudget,
        channel_class: type[BoundedChannel] = BoundedChannel,
        limits: Callable[[], ServerLimits] = ServerLimits,
        receive_buffer_bytes: int = 0,
        **options,
    ) -> None:
        self.budget = budget
        self.channel_class = channel_class
        self._connections = connections
        self._limits = limits
        self._receive_buffer_bytes = receive_buffer_bytes
        self._thread_id = 0
        self._turn_ends_s = 0.0
        self._next_eviction_s = 0.0
        self._accepts_after_s = 0.0
        self._beginnings: deque[BoundedChannel] = deque()
        self._rests: deque[BoundedChannel] = deque()
        self._blocked: list[BoundedChannel] = []
        self._closing: list[BoundedChannel] = []
        self._calls: deque[Callable[[], None]] = deque()
        # The limit of waitress stops accepting without closing anything.
        adj = Adjustments(
            connection_limit=2**31, backlog=_backlog(connections), **options
        )
        dispatcher = ThreadedTaskDispatcher()
        dispatcher.set_thread_count(adj.threads)
        super().__init__(
            app,
            map={},
            dispatcher=dispatcher,
            adj=adj,
            sockinfo=adj.listen[0],
        )

    def bind_server_socket(self):
        """Bind the port.

        Connections inherit the receive buffer. It is set before they exist,
        because a window that was announced is not taken back, and those that
        wait to be accepted receive as well.
        """
        if self._receive_buffer_bytes:
            _set_receive_buffer(self.socket, self._receive_buffer_bytes)
        super().bind_server_socket()

    def run(self):
        """Serve until all sockets are closed."""
        self._thread_id = threading.get_ident()
        while self._map:
            has_rest = self._rests or self._beginnings
            timeout_s = self.adj.asyncore_loop_timeout
            wasyncore.poll2(REST_PAUSE_S if has_rest else timeout_s, self._map)
            self._finish_turn()

    def has_time(self) -> bool:
        """Return whether the beginning of a request can be read now."""
        if not self._turn_ends_s:
            self._turn_ends_s = time.perf_counter() + BEGIN_S
            return True
        return time.perf_counter() < self._turn_ends_s

    def defer(self, channel: BoundedChannel) -> None:
        """Give a connection a turn after those that wait already."""
        channel.is_deferred = True
        if not channel.is_costly:
            self._beginnings.append(channel)
        elif channel.can_advance:
            self._rests.append(channel)
        else:
            self._blocked.append(channel)

    def run_in_loop(self, function: Callable[[], None]) -> None:
        """Run a function in the server's thread, at once if this is it."""
        if threading.get_ident() == self._thread_id:
            function()
            return
        self._calls.append(function)
        self.pull_trigger()

    def readable(self):
        """Return whether connections are accepted."""
        limit = self._connections + EXTRA_CONNECTIONS
        return (
            super().readable()
            and len(self.active_channels) < limit
            and time.time() >= self._accepts_after_s
        )

    def handle_accept(self):
        """Accept connections; above the limit, choose others to close."""
        for _ in range(ACCEPTS_PER_TURN):
            before = len(self.active_channels)
            super().handle_accept()
            if len(self.active_channels) == before:
                break

    def accept(self):
        """Accept a connection; without descriptors, free some first."""
        try:
            return super().accept()
        except OSError as error:
            if error.errno in NO_DESCRIPTORS:
                self._evict_connections(1)
                self._accepts_after_s = time.time() + EVICTION_INTERVAL_S
            raise

    def maintenance(self, now):
        """Close connections that have exceeded a time-out."""
        limits = self._limits()
        for channel in list(self.active_channels.values()):
            if channel.is_overdue(limits, now):
                channel.will_close = True

    def _finish_turn(self) -> None:
        self._turn_ends_s = 0.0
        while self._calls:
            self._calls.popleft()()
        excess = len(self.active_channels) - self._connections
        if excess > 0:
            self._evict_connections(excess)
        # Closed only now: an event of this turn could otherwise reach a new
        # connection with the descriptor of a closed one.
        closing, self._closing = self._closing, []
        for channel in closing:
            channel.handle_close()
        blocked, self._blocked = self._blocked, []
        for channel in blocked:
            if channel.connected:
                self.defer(channel)
        self._give_turns(self._beginnings, BEGIN_S)
        self._give_turns(self._rests, REST_S)

    @staticmethod
    def _give_turns(channels: deque[BoundedChannel], time_s: float) -> None:
        if not channels:
            return
        end_s = time.perf_counter() + time_s
        while channels and time.perf_counter() < end_s:
            channel = channels.popleft()
            try:
                channel.advance()
            except Exception:
                # Logs the error and closes the connection, as waitress does
                # with errors in its own part of the iteration.
                channel.handle_error()

    def _evict_connections(self, count: int) -> None:
        """Choose the connections that have waited for longest."""
        now_s = time.time()
        if now_s < self._next_eviction_s:
            return
        waiting = []
        for channel in self.active_channels.values():
            since_s = channel.waiting_since_s(now_s)
            if since_s is not None:
                waiting.append((since_s, id(channel), channel))
        count = max(count, int(self._connections * EVICTED_SHARE))
        chosen = heapq.nsmallest(count, waiting)
        if not chosen:
            self._next_eviction_s = now_s + EVICTION_INTERVAL_S
        for _, _, channel in chosen:
            self._closing.append(channel)
            self.budget.events.record("connections")
