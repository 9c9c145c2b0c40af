"""Hints between nodes: which keys of the intake are new.

A hint tells the leader of a job or a cancellation that its watch may show
late or not at all, as while the store drops its history. It carries only
keys; the leader reads the store. Hints are datagrams: they may be lost, and
there is no connection that could go silent.
"""

from collections.abc import Callable
from collections.abc import Iterable
import re
import socket

import attrs

from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.records import CANCELLATIONS_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX

__all__ = ["Hint", "HintReceiver", "HintSender"]

# A hint names at most the keys of one transaction; a datagram of this size
# passes every link in one piece.
MAX_KEYS = 16
MAX_BYTES = 1400
RETRY_S = 1.0
KEY = re.compile(
    f"({re.escape(JOBS_PREFIX)}|{re.escape(CANCELLATIONS_PREFIX)})"
    "[0-9a-f]{16}"
)


@attrs.frozen
class Hint:
    """Keys that were written."""

    keys: tuple[str, ...]


class HintSender:
    """Tells the leader what was written.

    :param leader: returns host and port of the leader, None if it is unknown
    :param deliver: takes the keys when this node leads
    """

    def __init__(
        self,
        leader: Callable[[], tuple[str, int] | None],
        deliver: Callable[[Iterable[str]], None],
        log: Callable[..., None],
    ) -> None:
        self._leader = leader
        self._deliver = deliver
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._is_failing = False

    def send(self, keys: list[str]) -> None:
        """Send a hint; never waits, and a lost one does no harm."""
        self._deliver(keys)
        address = self._leader()
        if address is None:
            return
        try:
            self._socket.sendto(encode(Hint(tuple(keys))), address)
            self._is_failing = False
        except OSError as error:
            if not self._is_failing:
                self._is_failing = True
                self._log("hints fail", why=str(error))


class HintReceiver:
    """Receives hints on the node's internal port.

    :param take: takes the keys
    """

    def __init__(
        self,
        host: str,
        port: int,
        take: Callable[[Iterable[str]], None],
        log: Callable[..., None],
    ) -> None:
        self._take = take
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))

    @property
    def port(self) -> int:
        """Return the port."""
        return self._socket.getsockname()[1]

    def run(self, stop) -> None:
        """Receive until the process stops."""
        while not stop.is_set():
            try:
                data, _ = self._socket.recvfrom(MAX_BYTES)
            except OSError as error:
                self._log("hint not received", why=str(error))
                stop.wait(RETRY_S)
                continue
            hint = decode(data, Hint)
            if isinstance(hint, Hint):
                keys = hint.keys[:MAX_KEYS]
                self._take([key for key in keys if KEY.fullmatch(key)])
            else:
                self._log("hint refused", why=hint.reason)
