"""Hints from nodes to the leader about new keys of the intake.

A hint names jobs and cancellations that the leader's watch may report late or
not at all, for example while the store drops its history. It carries only
keys; the leader reads the values from the store. Hints are sent as datagrams,
which may be lost, but have no connection that could go silent.
"""

from collections.abc import Callable
from collections.abc import Iterable
import re
import socket
import time

import attrs

from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.leader_query import CompletedJob
from rosemarynotch._internal.scheduling.leader_query import JobQuery
from rosemarynotch._internal.scheduling.records import CANCELLATIONS_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX

__all__ = ["Hint", "HintReceiver", "HintSender"]

# A hint has at most the keys of one transaction. A datagram of this size is
# not fragmented on any link.
MAX_KEYS = 16
MAX_BYTES = 1400
RETRY_S = 1.0
# More datagrams than this wait in the buffer of the socket, and are dropped by
# the kernel when that is full. All nodes of the largest fleet send fewer.
MAX_DATAGRAMS_PER_WINDOW = 200
WINDOW_S = 0.1
REFUSAL_LOG_INTERVAL_S = 1.0
KEY_PATTERN = re.compile(
    f"({re.escape(JOBS_PREFIX)}|{re.escape(CANCELLATIONS_PREFIX)})"
    "[0-9a-f]{16}"
)


@attrs.frozen
class Hint:
    """The content of a datagram.

    :ivar keys: keys that the sender has written to the store
    """

    keys: tuple[str, ...]


class HintSender:
    """Sends hints to the leader about keys that this node has written.

    :param leader: returns host and port of the leader, None if it is unknown
    :param deliver_locally: called with the keys, for the case that this node
        leads
    """

    def __init__(
        self,
        leader: Callable[[], tuple[str, int] | None],
        deliver_locally: Callable[[Iterable[str]], None],
        log: Callable[..., None],
    ) -> None:
        self._leader = leader
        self._deliver_locally = deliver_locally
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._is_failing = False

    def send(self, keys: list[str]) -> None:
        """Send a hint without blocking; a lost hint does no harm."""
        self._deliver_locally(keys)
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
    """Receives hints on a UDP port.

    It also answers queries of other nodes about jobs.

    :param on_keys: called with the valid keys of each hint
    :param find_completed: returns a job if this node knows that it is
        recorded as completed
    :param on_limit: called with the name of a limit that senders reach
    """

    def __init__(
        self,
        host: str,
        port: int,
        on_keys: Callable[[Iterable[str]], None],
        log: Callable[..., None],
        find_completed: Callable[[str], CompletedJob | None] = (
            lambda job_id: None
        ),
        on_limit: Callable[[str], None] = lambda limit: None,
    ) -> None:
        self._on_keys = on_keys
        self._find_completed = find_completed
        self._log = log
        self._on_limit = on_limit
        self._next_refusal_log_s = 0.0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))

    @property
    def port(self) -> int:
        """Return the port on which hints are received."""
        return self._socket.getsockname()[1]

    def run(self, stop) -> None:
        """Receive hints until the process stops.

        The rate is limited, so that a flood of datagrams does not take the
        processor time of the node; hints may be lost.
        """
        window_ends_s = 0.0
        left = 0
        while not stop.is_set():
            try:
                data, sender = self._socket.recvfrom(MAX_BYTES)
            except OSError as error:
                self._log("hint not received", why=str(error))
                stop.wait(RETRY_S)
                continue
            self._handle(data, sender)
            now_s = time.monotonic()
            if now_s >= window_ends_s:
                window_ends_s = now_s + WINDOW_S
                left = MAX_DATAGRAMS_PER_WINDOW
            left -= 1
            if not left:
                self._on_limit("hints")
                stop.wait(window_ends_s - now_s)

    def _handle(self, data: bytes, sender: tuple[str, int]) -> None:
        hint = decode(data, Hint)
        if isinstance(hint, Hint):
            keys = hint.keys[:MAX_KEYS]
            self._on_keys([key for key in keys if KEY_PATTERN.fullmatch(key)])
            return
        query = decode(data, JobQuery)
        if isinstance(query, JobQuery):
            self._answer(query.asked_job, sender)
        else:
            self._report_refusal(hint.reason)

    def _report_refusal(self, reason: str) -> None:
        now_s = time.monotonic()
        if now_s >= self._next_refusal_log_s:
            self._next_refusal_log_s = now_s + REFUSAL_LOG_INTERVAL_S
            self._log("hint refused", why=reason)

    def _answer(self, job_id: str, sender: tuple[str, int]) -> None:
        found = self._find_completed(job_id)
        if found is None:
            return
        try:
            self._socket.sendto(encode(found), sender)
        except OSError as error:
            self._log("query not answered", why=str(error))
