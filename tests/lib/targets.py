"""Targets on plain sockets, which can violate the HTTP protocol."""

import socket
import threading

__all__ = ["answer_bytes", "ScriptedTarget", "unused_address"]


def answer_bytes(body=b"ok", status="200 OK", headers=b""):
    """Return an encoded HTTP answer."""
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + headers + b"\r\n" + body


def unused_address():
    """Return an address at which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class ScriptedTarget:
    """A target that reads requests and answers by a function.

    :param behave: called with the connection and each request; returns False
        to close the connection
    :ivar requests: requests received
    :ivar connections_count: number of accepted connections
    """

    def __init__(self, behave):
        self.behave = behave
        self.requests = []
        self.connections_count = 0
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening."""
        self._socket.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.connections_count += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            try:
                while True:
                    request = _read_request(connection)
                    if not request:
                        return
                    self.requests.append(request)
                    if self.behave(connection, request) is False:
                        return
            except OSError:
                return


def _read_request(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65536)
        if not received:
            return b""
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += connection.recv(65536)
    return head + b"\r\n\r\n" + body
