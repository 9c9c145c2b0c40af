"""HTTP server for WSGI applications that stops gracefully."""

from collections.abc import Callable
import logging
import threading
import time

from waitress.task import ErrorTask
from waitress.task import WSGITask
from waitress import wasyncore

from rosemarynotch._internal.utils.bounded_channel import BoundedChannel
from rosemarynotch._internal.utils.bounded_channel import ServerLimits
from rosemarynotch._internal.utils.bounded_server import BoundedServer
from rosemarynotch._internal.utils.request_budget import RequestBudget

__all__ = ["default_connections", "GracefulServer", "ServerLimits"]

# At lower levels, waitress logs a line for each request that has to wait for a
# thread.
logging.getLogger("waitress.queue").setLevel(logging.ERROR)

MEGABYTE = 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = MEGABYTE
CLEANUP_INTERVAL_S = 1
# Allows for idle keep-alive connections of callers in addition to those whose
# requests are running.
CONNECTIONS_PER_THREAD = 4
# Idle time after which a connection is closed during a stop. A caller may have
# sent a request on a keep-alive connection before it could notice the stop.
IDLE_BEFORE_CLOSE_S = 1.0
POLL_INTERVAL_S = 0.02


def default_connections(threads: int) -> int:
    """Return how many connections a server with some threads may hold."""
    return threads * CONNECTIONS_PER_THREAD


class _AnswerTask(WSGITask):
    """Closes the connection after an answer while the server is stopping."""

    def build_response_header(self):
        if self.channel.server.is_stopping:
            self.set_close_on_finish()
        return super().build_response_header()

    def write(self, data):
        """Write the header and a complete body with one call.

        Separate writes would need two system calls and two packets.
        """
        is_full = self.complete and self.content_length == len(data)
        if self.wrote_header or not data or not is_full or not self.has_body:
            super().write(data)
            return
        head = self.build_response_header()
        self.wrote_header = True
        self.content_bytes_written = len(data)
        self.channel.write_soon(head + data)


class _AnswerChannel(BoundedChannel):
    task_class = _AnswerTask


class GracefulServer:
    """Serves a WSGI application and completes all requests before it stops.

    The server is based on waitress.

    :param app: WSGI application with a method ``mark_not_ready``
    :param threads: requests that can be queued or running in the application
        at a time; further requests wait inside the server, in no particular
        order
    :param error_task: answers requests that the server itself refuses
    :param connections: most open connections; above it, those that have
        waited for their clients for longest are closed
    :param limits: returns the current limits
    :param budget: bounds the memory of requests; servers of one process
        share it
    :param receive_buffer_bytes: most bytes that a connection receives ahead
        of being read; 0 leaves it to the kernel
    :ivar address: host and port on which the server listens
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
        budget: RequestBudget | None = None,
        receive_buffer_bytes: int = 0,
    ) -> None:
        self._app = app
        self._server = BoundedServer(
            app,
            connections or default_connections(threads),
            budget or RequestBudget(),
            type(
                "_Channel", (_AnswerChannel,), {"error_task_class": error_task}
            ),
            limits,
            receive_buffer_bytes,
            host=host,
            port=port,
            threads=threads,
            cleanup_interval=CLEANUP_INTERVAL_S,
            # Waitress refuses a body whose size equals this limit.
            max_request_body_size=max_body_bytes + 1,
            max_request_header_size=MAX_HEADER_BYTES,
            # Bodies are smaller than these sizes, so no temporary files are
            # used.
            inbuf_overflow=MEGABYTE,
            outbuf_overflow=4 * MEGABYTE,
            # select() does not support descriptors of 1024 and above.
            asyncore_use_poll=True,
            # Connections are read while their requests run, which detects
            # callers that disconnect.
            channel_request_lookahead=1,
            log_socket_errors=False,
            ident=None,
        )
        self._server.is_stopping = False
        host, port = self._server.effective_host, self._server.effective_port
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(
            target=self._server.run, name="caller-server", daemon=True
        )

    def start(self) -> None:
        """Start a thread that serves requests."""
        self._thread.start()

    def stop(self, notice_s: float) -> None:
        """Complete all requests, then close the server.

        This has no time-out, because a planned stop interrupts no request.

        :param notice_s: time during which the health probe fails while
            connections are still accepted, so that the load balancer stops
            sending requests first
        """
        self._app.mark_not_ready()
        self._server.is_stopping = True
        time.sleep(notice_s)
        self._run_on_server_thread(self._stop_listening)
        while not self._run_on_server_thread(self._close_idle):
            time.sleep(POLL_INTERVAL_S)
        # The time-out of 5 s of this call has no effect: no request is left.
        self._server.task_dispatcher.shutdown()
        self._run_on_server_thread(self._server.trigger.close)
        self._thread.join()

    def _run_on_server_thread(self, function):
        """Run a function in the thread that handles the connections."""
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
        # Accept the connections that are already in the listen queue, so that
        # their requests are served.
        self._server.socket.setblocking(False)
        before = -1
        while len(self._server.active_channels) != before:
            before = len(self._server.active_channels)
            self._server.handle_accept()
        wasyncore.dispatcher.close(self._server)

    def _close_idle(self):
        """Close idle connections.

        :returns: whether no connection was left
        """
        before_s = time.time() - IDLE_BEFORE_CLOSE_S
        channels = list(self._server.active_channels.values())
        for channel in channels:
            busy = channel.requests or channel.total_outbufs_len
            if not busy and channel.last_activity < before_s:
                channel.handle_close()
        return not channels
