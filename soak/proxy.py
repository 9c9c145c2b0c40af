"""TCP proxy on the loopback address that injects faults."""

import contextlib
import enum
import select
import socket
import struct
import threading
import time

__all__ = ["LinkFault", "Proxy"]

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
# Interval at which a forwarding thread checks for a reset of its connection.
POLL_INTERVAL_MS = 200
# Value of SO_LINGER that makes close() send RST instead of FIN.
RESET_LINGER = struct.pack("ii", 1, 0)


class LinkFault(enum.Enum):
    """Fault of the connections through a proxy.

    DELAY: bytes arrive late. ANSWERS_LOST: bytes from the server are dropped.
    SILENT: bytes are dropped in both directions. Faults also apply to new
    connections.
    """

    NONE = "none"
    DELAY = "delay"
    ANSWERS_LOST = "answers lost"
    SILENT = "silent"


class _Link:
    """A connection from a client and its counterpart to the server."""

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.client = client
        self.server = server
        self.is_silenced = False
        self.is_closed = False

    def close(self, is_reset: bool = False) -> None:
        """Close both ends."""
        self.is_closed = True
        for sock in (self.client, self.server):
            with contextlib.suppress(OSError):
                if is_reset:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                    )
                sock.close()


class Proxy:
    """Forwards connections to one server.

    :param target: HOST:PORT of the server
    :ivar fault: fault applied to all connections at present
    :ivar delay_s: delay of each chunk under DELAY
    :ivar address: HOST:PORT on which the proxy listens
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._links: set[_Link] = set()
        self._lock = threading.Lock()
        self._is_closed = False
        self.fault = LinkFault.NONE
        self.delay_s = 0.1
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_connections(self) -> None:
        """Drop all further bytes of the open connections; new ones work."""
        with self._lock:
            for link in self._links:
                link.is_silenced = True

    def reset_connections(self) -> None:
        """Reset the open connections."""
        with self._lock:
            links, self._links = self._links, set()
        for link in links:
            link.close(is_reset=True)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._is_closed = True
        self._listener.close()
        self.reset_connections()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(client,), daemon=True
            ).start()

    def _connect(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(None)
        link = _Link(client, server)
        with self._lock:
            self._links.add(link)
        for source, sink in ((client, server), (server, client)):
            threading.Thread(
                target=self._forward, args=(link, source, sink), daemon=True
            ).start()

    def _forward(
        self, link: _Link, source: socket.socket, sink: socket.socket
    ) -> None:
        is_answer = source is link.server
        readable = select.poll()
        # A socket closed by another thread has no descriptor (ValueError).
        with contextlib.suppress(OSError, ValueError):
            readable.register(source, select.POLLIN)
            while not link.is_closed:
                # A blocking read would keep a closed connection open.
                if not readable.poll(POLL_INTERVAL_MS):
                    continue
                data = source.recv(CHUNK_BYTES)
                if not data:
                    break
                if self._apply_fault(link, is_answer):
                    sink.sendall(data)
        with self._lock:
            self._links.discard(link)
        if not link.is_closed:
            link.close()

    def _apply_fault(self, link: _Link, is_answer: bool) -> bool:
        """Apply the fault to a chunk; return whether to forward it.

        Once bytes have been dropped, later ones would be garbled, so the
        connection stays silent from then on.
        """
        fault = self.fault
        if fault is LinkFault.DELAY:
            time.sleep(self.delay_s)
        is_lost = fault is LinkFault.SILENT or (
            fault is LinkFault.ANSWERS_LOST and is_answer
        )
        link.is_silenced |= is_lost
        return not link.is_silenced
