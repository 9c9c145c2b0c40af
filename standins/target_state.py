"""State of the target stand-ins: slots, faults and request ledger."""

from collections import Counter
import enum
import threading
import time
from typing import Any

import msgspec

__all__ = ["Fault", "FaultKind", "Request", "RequestLedger", "Slots"]


class FaultKind(enum.StrEnum):
    """Fault of the requests to a target.

    * ``SILENT``: on connections that are open when the fault is set,
      requests neither run nor get an answer; new connections work;
    * ``FAIL``: requests get status 500 at once and do not run;
    * ``LATE``: the answer is delayed after the work;
    * ``TRUNCATE``: the connection closes in the middle of the answer;
    * ``CLOSE``: the connection closes after the work, before the first
      byte of the answer.
    """

    NONE = "none"
    SILENT = "silent"
    FAIL = "fail"
    LATE = "late"
    TRUNCATE = "truncate"
    CLOSE = "close"


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault with the number of requests that it affects.

    :ivar late_ms: delay of the answer for ``LATE``
    :ivar remaining: requests still to be affected, -1 for all
    """

    kind: FaultKind = FaultKind.NONE
    late_ms: float = 0.0
    remaining: int = -1


class Request(msgspec.Struct, forbid_unknown_fields=True):
    """A request that ran, as the ledger lists it.

    Times are CLOCK_MONOTONIC and comparable between processes of one host.

    :ivar end_s: end of the work, 0 while it runs
    :ivar answered: whether the whole answer was written to the socket
    :ivar interrupted: whether the target went down while the request ran
    """

    request_id: str
    team: str
    idempotency_key: str
    method: str
    path: str
    address: str
    start_s: float
    end_s: float = 0.0
    status: int = 0
    answered: bool = False
    interrupted: bool = False


class RequestLedger:
    """Requests that ran on the targets of one process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: list[Request] = []
        self._running: Counter[str] = Counter()
        self._max_running: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()

    def start(self, request: Request) -> Request:
        """Record the start of the work."""
        with self._lock:
            request.start_s = time.monotonic()
            self._requests.append(request)
            team = request.team
            self._running[team] += 1
            running = self._running[team]
            self._max_running[team] = max(self._max_running[team], running)
            return request

    def end(self, request: Request, interrupted: bool) -> None:
        """Record the end of the work."""
        with self._lock:
            request.end_s = time.monotonic()
            request.interrupted = interrupted
            self._running[request.team] -= 1

    def refuse(self, reason: str) -> None:
        """Count a request that was refused without running."""
        with self._lock:
            self._refused[reason] += 1

    def clear(self) -> None:
        """Discard requests and refusals, and reset the maxima."""
        with self._lock:
            self._requests.clear()
            self._refused.clear()
            self._max_running = Counter(self._running)

    def show(self, address: str = "") -> dict[str, Any]:
        """Return the requests of a target and the counters of the process.

        :param address: address of the target, all by default
        """
        with self._lock:
            rows = [
                request
                for request in self._requests
                if not address or request.address == address
            ]
            runs = Counter(request.request_id for request in self._requests)
            return {
                "requests": rows,
                "running_by_team": dict(self._running),
                "max_running_by_team": dict(self._max_running),
                "refused": dict(self._refused),
                "runs_by_id": dict(runs),
                "repeated_ids": sorted(i for i, n in runs.items() if n > 1),
            }


class Slots:
    """A counting semaphore that grants slots in order of arrival."""

    def __init__(self, count: int) -> None:
        self._lock = threading.Lock()
        self._free = count
        self._waiting: list[threading.Event] = []

    def acquire(self) -> None:
        """Wait for a slot and take it."""
        with self._lock:
            if self._free > 0:
                self._free -= 1
                return
            granted = threading.Event()
            self._waiting.append(granted)
        granted.wait()

    def release(self) -> None:
        """Pass the slot to the longest waiter, or free it."""
        with self._lock:
            if self._waiting:
                self._waiting.pop(0).set()
            else:
                self._free += 1
