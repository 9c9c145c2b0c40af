"""The stand-in for the platform, served in the process of a test."""

import contextlib

from rosemarynotch._internal.utils.clock import SystemClock
from standins.platform import Platform
from standins.serving import PlatformServer
from standins.serving import serve_in_thread
from standins.vms import Vm

__all__ = ["ServedPlatform", "served_platform"]

THREADS = 8


class ServedPlatform:
    """A platform on a loopback port, which a test can restart."""

    def __init__(self, vms: list[Vm]) -> None:
        self.platform = Platform(vms)
        self._port = 0
        self.start()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"127.0.0.1:{self._port}"

    def start(self) -> None:
        """Start the server, on the same port as before if it had one."""
        self._server = PlatformServer(self.platform, [self.address], THREADS)
        self._port = self._server.ports[0]
        self._thread = serve_in_thread(self._server)

    def stop(self) -> None:
        """Close the port and all connections; no effect if already stopped."""
        if self._thread.is_alive():
            self._server.close()
            self._thread.join()

    def client(self, kind, **options):
        """Return a client of the given class."""
        return kind(self.address, SystemClock(), **options)


@contextlib.contextmanager
def served_platform(vms=()):
    """Serve a platform during a test."""
    served = ServedPlatform(list(vms))
    try:
        yield served
    finally:
        served.stop()
