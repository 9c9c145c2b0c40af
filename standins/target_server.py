"""HTTP servers of the target stand-ins."""

from http.server import ThreadingHTTPServer
import socket
import threading
import time

from standins.target_handler import Handler
from standins.target_state import Fault
from standins.target_state import FaultKind
from standins.target_state import RequestLedger
from standins.target_state import Slots

__all__ = ["Target", "TargetProcess"]

REBIND_ATTEMPTS = 100
REBIND_DELAY_S = 0.05


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 256
    target: "Target"

    def process_request(self, request, client_address):
        self.target.add_connection(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.target.remove_connection(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore broken connections, which many tests cause on purpose."""


class TargetProcess:
    """The targets of one process, which share a ledger."""

    def __init__(self, slots: int = 8, connections: int = 64) -> None:
        self.ledger = RequestLedger()
        self.targets: dict[str, Target] = {}
        self._slots = slots
        self._connections = connections

    def add(self, address: str) -> "Target":
        """Start a target and return it; port 0 selects a free port."""
        target = Target(address, self, self._slots, self._connections)
        target.open()
        self.targets[target.address] = target
        return target

    def close(self) -> None:
        """Stop all targets."""
        for target in self.targets.values():
            target.take_down()


class Target:
    """A service that listens on one address.

    :ivar generation: number of times that the target went down; work of an
        earlier generation is interrupted
    :ivar fault: fault of the requests
    """

    def __init__(
        self,
        address: str,
        process: TargetProcess,
        slots: int,
        connections: int,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._listen = (host, int(port))
        self.address = address
        self.process = process
        self.connections = connections
        self.generation = 0
        self.is_up = False
        self.draining = False
        self.fault = Fault()
        self._slot_count = slots
        self.slots = Slots(slots)
        self._lock = threading.Lock()
        self._open: dict[int, tuple[socket.socket, int]] = {}
        self._connection_count = 0
        self._silent_below = 0

    def open(self) -> None:
        """Listen, and serve connections in a daemon thread."""
        server = _Server(self._listen, Handler, bind_and_activate=False)
        server.target = self
        server.allow_reuse_address = True
        server.server_bind()
        server.server_activate()
        self._listen = server.server_address
        self.address = f"{self._listen[0]}:{self._listen[1]}"
        self._server = server
        self.is_up = True
        threading.Thread(
            target=server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def take_down(self) -> None:
        """Stop listening, close all connections and interrupt all work."""
        with self._lock:
            if not self.is_up:
                return
            self.is_up = False
            self.generation += 1
            open_connections = list(self._open.values())
        self._server.socket.close()
        self._server.shutdown()
        for connection, _ in open_connections:
            _shut_down(connection)

    def reboot(self, down_ms: float) -> None:
        """Go down, and come back after ``down_ms`` without faults."""
        self.take_down()
        timer = threading.Timer(down_ms / 1000, self.bring_up)
        timer.daemon = True
        timer.start()

    def bring_up(self) -> None:
        """Listen again after :meth:`take_down`, without a fault."""
        with self._lock:
            if self.is_up:
                return
            self.draining = False
            self.fault = Fault()
            self.slots = Slots(self._slot_count)
        for _ in range(REBIND_ATTEMPTS):
            try:
                self.open()
                return
            except OSError:
                time.sleep(REBIND_DELAY_S)

    def set_fault(self, fault: Fault) -> None:
        """Set the fault of the requests from now on."""
        with self._lock:
            self.fault = fault
            silent = fault.kind is FaultKind.SILENT
            self._silent_below = self._connection_count if silent else 0

    def take_fault(self) -> Fault:
        """Return the fault of the next request and count it down."""
        with self._lock:
            fault = self.fault
            if fault.kind is FaultKind.SILENT or not fault.remaining:
                return Fault()
            if fault.remaining > 0:
                fault.remaining -= 1
            return fault

    def add_connection(self, connection: socket.socket) -> None:
        """Register an open connection."""
        with self._lock:
            number = self._connection_count
            self._connection_count += 1
            self._open[id(connection)] = (connection, number)

    def remove_connection(self, connection: socket.socket) -> None:
        """Remove a closed connection."""
        with self._lock:
            self._open.pop(id(connection), None)

    def is_silent(self, connection: socket.socket) -> bool:
        """Return whether requests on a connection get no answer."""
        with self._lock:
            entry = self._open.get(id(connection))
            return entry is not None and entry[1] < self._silent_below

    def is_over_limit(self, connection: socket.socket) -> bool:
        """Return whether a connection exceeds the number that is served.

        The connections that were opened first are served.
        """
        with self._lock:
            if len(self._open) <= self.connections:
                return False
            own_number = self._open.get(id(connection), (None, 0))[1]
            older = sum(
                number < own_number for _, number in self._open.values()
            )
            return older >= self.connections

    def show(self) -> dict:
        """Return the state, as ``GET /stats`` answers it."""
        with self._lock:
            return {
                "address": self.address,
                "is_up": self.is_up,
                "draining": self.draining,
                "open_connections": len(self._open),
                "accepted_connections": self._connection_count,
                "fault": self.fault,
            }


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
