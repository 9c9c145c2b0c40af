"""HTTP server of the emulator, with JSON bodies."""

from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
import json
import threading
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import attrs

__all__ = ["Answer", "Call", "JsonServer", "LostAnswer"]


class LostAnswer(Exception):
    """Raised by a handler to close the connection without an answer."""


@attrs.frozen(kw_only=True)
class Call:
    """A request.

    :ivar path: path without the prefix of the protocol
    """

    method: str
    path: str
    query: dict[str, str]
    body: dict
    headers: dict[str, str]


@attrs.frozen
class Answer:
    """An answer: the status and a JSON object as body."""

    status: int
    body: dict = attrs.field(factory=dict)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.server.connections.add(self.connection)

    def finish(self):
        self.server.connections.discard(self.connection)
        super().finish()

    def _serve(self):
        parts = urlsplit(self.path)
        length = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(length)
        call = Call(
            method=self.command,
            path=parts.path.removeprefix("/rosemarynotch/"),
            query={k: v[0] for k, v in parse_qs(parts.query).items()},
            body=json.loads(data) if data else {},
            headers=dict(self.headers.items()),
        )
        try:
            answer = self.server.respond(call)
        except LostAnswer:
            self.close_connection = True
            return
        body = json.dumps(answer.body).encode()
        self.send_response(answer.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_DELETE = _serve

    def log_message(self, format, *args):
        """Suppress the access log."""


class JsonServer(ThreadingHTTPServer):
    """Serves HTTP on a loopback port.

    :param respond: function that takes a :class:`Call` and returns an
        :class:`Answer`
    :param port: port to listen on, 0 for any
    """

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, respond, port: int = 0) -> None:
        super().__init__(("127.0.0.1", port), _Handler)
        self.respond = respond
        self.connections: set = set()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore errors, such as connections closed by the peer."""

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.close()
            except OSError:
                continue
