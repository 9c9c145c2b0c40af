"""The HTTP server of the operators' API."""

import threading

from waitress import wasyncore

from rosemarynotch._internal.operators.app import OperatorApp
from rosemarynotch._internal.operators.http import MAX_BODY_BYTES
from rosemarynotch._internal.utils.bounded_channel import ServerLimits
from rosemarynotch._internal.utils.bounded_server import BoundedServer
from rosemarynotch._internal.utils.request_budget import RequestBudget

__all__ = ["CONNECTION_LIMIT", "OperatorServer"]

THREADS = 4
CONNECTION_LIMIT = 64
CLEANUP_INTERVAL_S = 1
# Operators may send documents over slow links.
TIMEOUTS = ServerLimits(idle_timeout_s=60, request_timeout_s=60)
MAX_HEADER_BYTES = 32 * 1024
# waitress buffers larger responses in a file, and the VMs have no disks. The
# largest response is the status of the fleet.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class OperatorServer:
    """Serves the operators' API with waitress.

    :param budget: bounds the memory of requests; servers of one process
        share it
    :param receive_buffer_bytes: most bytes that a connection receives ahead
        of being read; 0 leaves it to the kernel
    :ivar address: host and port of the listening socket
    """

    def __init__(
        self,
        app: OperatorApp,
        host: str,
        port: int,
        budget: RequestBudget | None = None,
        receive_buffer_bytes: int = 0,
    ) -> None:
        self._server = BoundedServer(
            app,
            CONNECTION_LIMIT,
            budget or RequestBudget(),
            limits=lambda: TIMEOUTS,
            receive_buffer_bytes=receive_buffer_bytes,
            host=host,
            port=port,
            threads=THREADS,
            cleanup_interval=CLEANUP_INTERVAL_S,
            # waitress also refuses a body of exactly this size.
            max_request_body_size=MAX_BODY_BYTES + 1,
            max_request_header_size=MAX_HEADER_BYTES,
            inbuf_overflow=2 * MAX_BODY_BYTES,
            outbuf_overflow=MAX_ANSWER_BYTES,
            # select() fails for descriptors from 1024 on. The connections of
            # callers in the same process can use up the lower ones.
            asyncore_use_poll=True,
            ident=None,
        )
        host, port = self._server.effective_host, self._server.effective_port
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(
            target=self._server.run, name="operator-server", daemon=True
        )

    def start(self) -> None:
        """Start serving in a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close the port and all connections.

        The server thread leaves its loop before the sockets are closed:
        closing them during its poll() fails with a bad descriptor.
        """
        sockets: dict = {}
        socket_map = self._server._map

        def leave_loop():
            sockets.update(socket_map)
            socket_map.clear()

        self._server.trigger.pull_trigger(leave_loop)
        self._thread.join()
        self._server.task_dispatcher.shutdown()
        wasyncore.close_all(sockets)
