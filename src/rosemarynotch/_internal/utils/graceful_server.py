"""A graceful HTTP server for WSGI applications."""

from collections.abc import Callable
import logging
import threading
import time

import attrs
from waitress.channel import HTTPChannel
from waitress.server import create_server
from waitress.task import ErrorTask
from waitress.task import WSGITask
from waitress import wasyncore

__all__ = ["GracefulServer", "ServerLimits"]

# The server logs a line for each request that finds no free thread.
logging.getLogger("waitress.queue").setLevel(logging.ERROR)

MEGABYTE = 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = MEGABYTE
IDLE_TIMEOUT_S = 60.0
# The time within which a request has to arrive whole. A caller that stops in
# the middle of one would keep its connection from others.
REQUEST_TIMEOUT_S = 10.0
CLEANUP_INTERVAL_S = 1
# Connections beyond the threads are idle ones, kept by callers.
CONNECTIONS_PER_THREAD = 4
# A kept connection may carry a request that was sent before its caller
# could learn of the stop.
IDLE_BEFORE_CLOSE_S = 1.0
POLL_S = 0.02


@attrs.frozen(kw_only=True)
class ServerLimits:
    """Times after which connections are closed.

    :ivar idle_timeout_s: without a request
    :ivar request_timeout_s: between the first and the last byte of one
    """

    idle_timeout_s: float = IDLE_TIMEOUT_S
    request_timeout_s: float = REQUEST_TIMEOUT_S


class _AnswerTask(WSGITask):
    """Closes connections after their answer once the server is leaving."""

    def build_response_header(self):
        if self.channel.server.leaving:
            self.set_close_on_finish()
        return super().build_response_header()

    def write(self, data):
        """Write the head and a whole body at once.

        Apart, each would be a system call and a packet.
        """
        whole = self.complete and self.content_length == len(data)
        if self.wrote_header or not data or not whole or not self.has_body:
            super().write(data)
            return
        head = self.build_response_header()
        self.wrote_header = True
        self.content_bytes_written = len(data)
        self.channel.write_soon(head + data)


class _TimedChannel(HTTPChannel):
    """Notes when the request that is arriving has begun."""

    task_class = _AnswerTask
    request_began_s = 0.0

    def received(self, data):
        """Take bytes of a request."""
        if self.request is None:
            self.request_began_s = time.time()
        return super().received(data)

    def is_overdue(self, limits: ServerLimits, now_s: float) -> bool:
        """Tell whether the connection is to be closed."""
        if self.requests or self.total_outbufs_len:
            return False
        if self.request is not None:
            return now_s - self.request_began_s > limits.request_timeout_s
        return now_s - self.last_activity > limits.idle_timeout_s


class GracefulServer:
    """Serves an application with waitress and stops without cutting work.

    :param app: WSGI application with a method ``mark_not_ready``
    :param threads: requests that are queued or run at the same time; a
        request beyond them waits inside of the server, without order
    :param error_task: answers what the server itself refuses
    :param connections: open connections; more wait in the listen queue
    :param limits: returns the present limits
    :ivar address: host and port that it listens on
    """

    def __init__(
        self,
        app,
        host: str,
        port: int,
        threads: int,
        error_task: type[ErrorTask] = ErrorTask,
        max_body_bytes: int = MAX_BODY_BYTES,
        connections: int = 0,
        limits: Callable[[], ServerLimits] = ServerLimits,
    ) -> None:
        self._app = app
        self._server = create_server(
            app,
            host=host,
            port=port,
            threads=threads,
            connection_limit=connections or threads * CONNECTIONS_PER_THREAD,
            cleanup_interval=CLEANUP_INTERVAL_S,
            # The server refuses a body of exactly the limit.
            max_request_body_size=max_body_bytes + 1,
            max_request_header_size=MAX_HEADER_BYTES,
            # Bodies are below these sizes, so none spills to a file.
            inbuf_overflow=MEGABYTE,
            outbuf_overflow=4 * MEGABYTE,
            # select() cannot watch descriptors from 1024 on.
            asyncore_use_poll=True,
            # A connection is read while its request runs, which is how a
            # caller that hangs up is noticed.
            channel_request_lookahead=1,
            log_socket_errors=False,
            ident=None,
        )
        self._server.channel_class = type(
            "_Channel", (_TimedChannel,), {"error_task_class": error_task}
        )
        self._limits = limits
        self._server.maintenance = self._close_overdue
        self._server.leaving = False
        host, port = self._server.effective_host, self._server.effective_port
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(
            target=self._server.run, name="caller-server", daemon=True
        )

    def start(self) -> None:
        """Serve in a thread of its own."""
        self._thread.start()

    def stop(self, notice_s: float) -> None:
        """Finish all requests, then close.

        There is no bound on the time: a planned stop interrupts no request.

        :param notice_s: time during which the probe fails and connections
            are still accepted, so that the load balancer moves away first
        """
        self._app.mark_not_ready()
        self._server.leaving = True
        time.sleep(notice_s)
        self._call(self._stop_listening)
        while not self._call(self._close_idle):
            time.sleep(POLL_S)
        # Its time-out of 5 s does not matter: no request is left.
        self._server.task_dispatcher.shutdown()
        self._call(self._server.trigger.close)
        self._thread.join()

    def _close_overdue(self, now_s: float) -> None:
        """Close idle and stalled connections."""
        limits = self._limits()
        for channel in list(self._server.active_channels.values()):
            if channel.is_overdue(limits, now_s):
                channel.will_close = True

    def _call(self, function):
        """Run a function in the thread that owns the connections."""
        done = threading.Event()
        results = []

        def run():
            try:
                results.append(function())
            finally:
                done.set()

        self._server.trigger.pull_trigger(run)
        done.wait()
        return results[0]

    def _stop_listening(self):
        # Connections that the kernel has already accepted are served.
        self._server.socket.setblocking(False)
        before = -1
        while len(self._server.active_channels) != before:
            before = len(self._server.active_channels)
            self._server.handle_accept()
        wasyncore.dispatcher.close(self._server)

    def _close_idle(self):
        """Close idle connections; return whether none is left."""
        before_s = time.time() - IDLE_BEFORE_CLOSE_S
        channels = list(self._server.active_channels.values())
        for channel in channels:
            busy = channel.requests or channel.total_outbufs_len
            if not busy and channel.last_activity < before_s:
                channel.handle_close()
        return not channels
