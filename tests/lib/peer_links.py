"""Proxied connections between members that a test can cut by direction."""

import contextlib
import io
import socket
import threading

__all__ = ["PeerLinks"]

HOST = "127.0.0.1"
MEMBERS_PATH = "/v1/kv/members"
CHUNK_BYTES = 65_536


class PeerLinks:
    """Relays bytes between members, and drops them in directions that are cut.

    Each member connects to ports of this process instead of its peers,
    because the peer addresses in the members record are rewritten when it is
    read and written. The addresses have the same length, so the rewritten
    record is valid.

    :param app: WSGI application of the platform
    :param names: names of the members by the port at which they call the
        platform
    :param addresses: peer addresses by member
    """

    def __init__(
        self, app, names: dict[int, str], addresses: dict[str, str]
    ) -> None:
        self._app = app
        self._names = names
        self._cut: set[tuple[str, str]] = set()
        self._listeners: list[socket.socket] = []
        self._replaced: dict[str, list[tuple[bytes, bytes]]] = {}
        for name in addresses:
            self._replaced[name] = [
                (address.encode(), self._listen(name, peer, address))
                for peer, address in addresses.items()
                if peer != name
            ]

    def __call__(self, environ, start_response):
        """Answer a call to the platform, with peer addresses replaced."""
        if environ["PATH_INFO"] != MEMBERS_PATH:
            return self._app(environ, start_response)
        replaced = self._replaced[self._names[int(environ["SERVER_PORT"])]]
        body = environ["wsgi.input"].read()
        for real, proxied in replaced:
            body = body.replace(proxied, real)
        environ["wsgi.input"] = io.BytesIO(body)
        (answer,) = self._app(environ, start_response)
        for real, proxied in replaced:
            answer = answer.replace(real, proxied)
        return [answer]

    def cut(self, senders, receivers) -> None:
        """Drop all bytes that some members send to others from now on."""
        self._cut |= {(a, b) for a in senders for b in receivers}

    def heal(self) -> None:
        """Relay in all directions again, through new connections."""
        self._cut = set()

    def close(self) -> None:
        """Stop listening."""
        for listener in self._listeners:
            # Unblocks the thread that waits in ``accept``.
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def _listen(self, name: str, peer: str, address: str) -> bytes:
        listener = socket.create_server((HOST, 0))
        self._listeners.append(listener)
        self._start(self._accept, listener, name, peer, address)
        proxied = f"{HOST}:{listener.getsockname()[1]}"
        assert len(proxied) == len(address)
        return proxied.encode()

    def _accept(self, listener, name, peer, address) -> None:
        host, port = address.split(":")
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection((host, int(port)))
            except OSError:
                client.close()
                continue
            self._start(self._relay, client, server, (name, peer))
            self._start(self._relay, server, client, (peer, name))

    def _relay(self, source, sink, direction) -> None:
        """Relay bytes in one direction until one side closes.

        A connection that has dropped bytes is closed when it receives the
        first bytes after the cut has ended.
        """
        has_dropped = False
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if direction in self._cut:
                    has_dropped = True
                elif has_dropped:
                    break
                else:
                    sink.sendall(data)
        for each in (source, sink):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    @staticmethod
    def _start(function, *arguments) -> None:
        threading.Thread(target=function, args=arguments, daemon=True).start()
