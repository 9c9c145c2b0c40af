"""Clients that open many connections and never complete their requests."""

import selectors
import socket
import threading

import attrs

__all__ = ["chunked", "Crowd", "HEAD", "Sender", "sized"]

DRIP_INTERVAL_S = 0.02
# Sent on each connection in turn, so that all requests grow together.
PART_BYTES = 65536
CLOSE_TIMEOUT_S = 10.0
# Without an API key, which the clients of a crowd do not have.
HEAD = b"POST /one/0123456789abcdef HTTP/1.1\r\nHost: queues.example\r\n"


def chunked(size: int, chunk: int, extension: bytes = b"") -> bytes:
    """Return a request whose chunked body lacks its last chunk."""
    part = b"%x%b\r\n" % (chunk, extension) + b"x" * chunk + b"\r\n"
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + part * (size // chunk)


def sized(size: int, sent: int, head: bytes = HEAD) -> bytes:
    """Return a request with a length and the first bytes of its body."""
    return head + b"Content-Length: %d\r\n\r\n" % size + b"x" * sent


@attrs.frozen
class Sender:
    """What one connection sends.

    :ivar data: sent as fast as the server reads it
    :ivar drip: sent afterwards, a byte at a time and again and again
    :ivar opening: sent before the data
    :ivar answer_bytes: length of the answer to the opening, which is awaited
    """

    data: bytes = b""
    drip: bytes = b""
    opening: bytes = b""
    answer_bytes: int = 0


class _Connection:
    def __init__(self, address: tuple[str, int], sender: Sender) -> None:
        self.sender = sender
        self.opening = memoryview(sender.opening)
        self.awaited_bytes = sender.answer_bytes
        self.rest = memoryview(sender.data)
        self.drips = 0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self) -> bool:
        """Send a part of the data; return whether all have been sent.

        :raises BlockingIOError: if the server has to act first
        """
        if self.opening:
            sent = self.socket.send(self.opening)
            self.opening = self.opening[sent:]
            return False
        if self.awaited_bytes:
            answer = self.socket.recv(self.awaited_bytes, socket.MSG_PEEK)
            if not answer:
                raise ConnectionResetError
            if len(answer) < self.awaited_bytes:
                raise BlockingIOError
            self.awaited_bytes = 0
        if self.rest:
            sent = self.socket.send(self.rest[:PART_BYTES])
            self.rest = self.rest[sent:]
        return not self.rest

    def send_drip(self) -> None:
        position = self.drips % len(self.sender.drip)
        self.socket.send(self.sender.drip[position : position + 1])
        self.drips += 1


class Crowd:
    """Sends on many connections from one thread and reads no answer.

    Connections that the server closes are not opened again.

    :param senders: one for each connection
    """

    def __init__(
        self, address: tuple[str, int], senders: list[Sender]
    ) -> None:
        self._address = address
        self._senders = senders
        self._connections: list[_Connection] = []
        self._selector = selectors.DefaultSelector()
        self._dripping: list[_Connection] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close all connections."""
        self._stop.set()
        self._thread.join(CLOSE_TIMEOUT_S)
        for connection in self._connections:
            connection.socket.close()
        self._selector.close()

    def _run(self) -> None:
        for sender in self._senders:
            connection = _Connection(self._address, sender)
            self._connections.append(connection)
            self._selector.register(
                connection.socket, selectors.EVENT_WRITE, connection
            )
        while not self._stop.wait(DRIP_INTERVAL_S):
            for key, _ in self._selector.select(0):
                self._advance(key.data)
            for connection in list(self._dripping):
                try:
                    connection.send_drip()
                except BlockingIOError:
                    continue
                except OSError:
                    self._dripping.remove(connection)

    def _advance(self, connection: _Connection) -> None:
        try:
            is_sent = connection.send()
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(connection.socket)
            return
        if not is_sent:
            return
        self._selector.unregister(connection.socket)
        if connection.sender.drip:
            self._dripping.append(connection)
