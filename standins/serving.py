"""WSGI server of the stand-ins, based on waitress."""

import threading

import waitress.channel
import waitress.server
import waitress.task
import waitress.wasyncore

from standins.faults import AnswerLost

__all__ = ["PlatformServer", "serve_in_thread"]

MAX_VALUE_BYTES = 1 << 20
SOCKET_BACKLOG = 256
SHUTDOWN_TIMEOUT_S = 0.5


class _Task(waitress.task.WSGITask):
    """Closes the connection without sending a byte on AnswerLost."""

    def execute(self):
        try:
            super().execute()
        except AnswerLost:
            self.close_on_finish = True
            self.wrote_header = True


class _Channel(waitress.channel.HTTPChannel):
    task_class = _Task


class PlatformServer:
    """Serves an application on several addresses until it is closed.

    :ivar ports: effective ports, in the order of the addresses
    """

    def __init__(self, app, listen: list[str], threads: int) -> None:
        self._map: dict = {}
        self._server = waitress.server.create_server(
            app,
            map=self._map,
            listen=" ".join(listen),
            threads=threads,
            backlog=SOCKET_BACKLOG,
            connection_limit=2000,
            channel_timeout=120,
            max_request_body_size=2 * MAX_VALUE_BYTES,
            inbuf_overflow=2 * MAX_VALUE_BYTES,
            outbuf_overflow=2 * MAX_VALUE_BYTES,
            asyncore_use_poll=True,
        )
        self._listeners = [
            each
            for each in self._map.values()
            if isinstance(each, waitress.server.BaseWSGIServer)
        ]
        for listener in self._listeners:
            listener.channel_class = _Channel
        self.ports = [each.effective_port for each in self._listeners]

    def run(self) -> None:
        """Serve until the server is closed or the process is interrupted."""
        self._server.run()

    def close(self) -> None:
        """Stop at once and close all connections."""
        trigger_pulled = threading.Event()

        def close_in_loop():
            # pull_trigger writes to the file descriptor of the trigger;
            # closing it before that would make the write fail.
            trigger_pulled.wait()
            waitress.wasyncore.close_all(self._map, ignore_all=True)

        self._listeners[0].trigger.pull_trigger(close_in_loop)
        trigger_pulled.set()
        self._listeners[0].task_dispatcher.shutdown(timeout=SHUTDOWN_TIMEOUT_S)


def serve_in_thread(server) -> threading.Thread:
    """Run a server in a daemon thread."""
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    return thread
