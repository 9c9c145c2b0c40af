"""The HTTP server for operators."""

import threading

from waitress.server import create_server
from waitress import wasyncore

from rosemarynotch._internal.operators.app import OperatorApp
from rosemarynotch._internal.operators.http import MAX_BODY_BYTES

__all__ = ["OperatorServer"]

THREADS = 4
CONNECTION_LIMIT = 64
MAX_HEADER_BYTES = 32 * 1024
CHANNEL_TIMEOUT_S = 60
# The largest answer is the status of the fleet. Beyond this size it would
# spill to a file, and the VMs have no disks.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class OperatorServer:
    """Serves operators with waitress.

    :ivar address: host and port that it listens on
    """

    def __init__(self, app: OperatorApp, host: str, port: int) -> None:
        self._server = create_server(
            app,
            host=host,
            port=port,
            threads=THREADS,
            connection_limit=CONNECTION_LIMIT,
            channel_timeout=CHANNEL_TIMEOUT_S,
            # The server refuses a body of exactly the limit.
            max_request_body_size=MAX_BODY_BYTES + 1,
            max_request_header_size=MAX_HEADER_BYTES,
            inbuf_overflow=2 * MAX_BODY_BYTES,
            outbuf_overflow=MAX_ANSWER_BYTES,
            # select() cannot watch descriptors from 1024 on, which the
            # callers' connections of the same process can use up.
            asyncore_use_poll=True,
            ident=None,
        )
        host, port = self._server.effective_host, self._server.effective_port
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(
            target=self._server.run, name="operator-server", daemon=True
        )

    def start(self) -> None:
        """Serve in a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """Close the port and all connections.

        The thread that owns the sockets leaves its loop before they are
        closed: closing them under its poll fails with a bad descriptor.
        """
        sockets: dict = {}
        owned = self._server._map

        def leave():
            sockets.update(owned)
            owned.clear()

        self._server.trigger.pull_trigger(leave)
        self._thread.join()
        self._server.task_dispatcher.shutdown()
        wasyncore.close_all(sockets)
