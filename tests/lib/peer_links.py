"""Connections between members that a test can cut in each direction."""

import contextlib
import io
import socket
import threading

__all__ = ["PeerLinks"]

HOST = "127.0.0.1"
MEMBERS_PATH = "/v1/kv/members"
PART_BYTES = 65_536


class PeerLinks:
    """Passes bytes between members, and drops them where a test says so.

    Each member finds a port of this process where another one listens,
    because its copy of the members record is rewritten on the way. The
    addresses have the same length, so the rewritten record is valid.

    :param app: the platform
    :param names: members by their port of the platform
    :param addresses: peer addresses by member
    """

    def __init__(
        self, app, names: dict[int, str], addresses: dict[str, str]
    ) -> None:
        self._app = app
        self._names = names
        self._cut: set[tuple[str, str]] = set()
        self._listeners: list[socket.socket] = []
        self._seen: dict[str, list[tuple[bytes, bytes]]] = {}
        for name in addresses:
            self._seen[name] = [
                (address.encode(), self._listen(name, peer, address))
                for peer, address in addresses.items()
                if peer != name
            ]

    def __call__(self, environ, start_response):
        """Answer a call to the platform."""
        if environ["PATH_INFO"] != MEMBERS_PATH:
            return self._app(environ, start_response)
        seen = self._seen[self._names[int(environ["SERVER_PORT"])]]
        body = environ["wsgi.input"].read()
        for real, own in seen:
            body = body.replace(own, real)
        environ["wsgi.input"] = io.BytesIO(body)
        (answer,) = self._app(environ, start_response)
        for real, own in seen:
            answer = answer.replace(real, own)
        return [answer]

    def cut(self, senders, receivers) -> None:
        """Drop from now on what some members send to others."""
        self._cut |= {(a, b) for a in senders for b in receivers}

    def heal(self) -> None:
        """Pass everything on again, through new connections."""
        self._cut = set()

    def close(self) -> None:
        """Stop listening."""
        for listener in self._listeners:
            # Ends a thread that waits in ``accept``.
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def _listen(self, name: str, peer: str, address: str) -> bytes:
        listener = socket.create_server((HOST, 0))
        self._listeners.append(listener)
        self._start(self._accept, listener, name, peer, address)
        own = f"{HOST}:{listener.getsockname()[1]}"
        assert len(own) == len(address)
        return own.encode()

    def _accept(self, listener, name, peer, address) -> None:
        host, port = address.split(":")
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                continue
            self._start(self._pass_on, near, far, (name, peer))
            self._start(self._pass_on, far, near, (peer, name))

    def _pass_on(self, source, sink, direction) -> None:
        """Pass bytes on until one side closes.

        A connection that has lost bytes is closed with the first bytes
        after the cut.
        """
        has_lost = False
        with contextlib.suppress(OSError):
            while data := source.recv(PART_BYTES):
                if direction in self._cut:
                    has_lost = True
                elif has_lost:
                    break
                else:
                    sink.sendall(data)
        for each in (source, sink):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    @staticmethod
    def _start(function, *arguments) -> None:
        threading.Thread(target=function, args=arguments, daemon=True).start()
