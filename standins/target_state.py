"""State of target stand-ins: slots, faults and the ledger of requests."""

from collections import Counter
import enum
import threading
import time
from typing import Any

import msgspec

__all__ = ["Fault", "FaultKind", "Request", "RequestLedger", "Slots"]


class FaultKind(enum.StrEnum):
    """What goes wrong with the requests of a target.

    * ``SILENT``: connections that are open when the fault is set never
      answer, and do not run what they get; new ones work;
    * ``FAIL``: every request gets a 500 at once;
    * ``LATE``: answers are held back after the work;
    * ``TRUNCATE``: the connection closes in the middle of the answer;
    * ``CLOSE``: the connection closes after the work, before the answer's
      first byte.
    """

    NONE = "none"
    SILENT = "silent"
    FAIL = "fail"
    LATE = "late"
    TRUNCATE = "truncate"
    CLOSE = "close"


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault and how many requests it hits, -1 for all."""

    kind: FaultKind = FaultKind.NONE
    late_ms: float = 0.0
    remaining: int = -1


class Request(msgspec.Struct, forbid_unknown_fields=True):
    """A request that ran, as the ledger shows it.

    Times are CLOCK_MONOTONIC and comparable between processes of one host.

    :ivar end_s: end of the work, 0 while it runs
    :ivar answered: the whole answer was handed to the socket
    :ivar interrupted: the target went down while it ran
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
    """The requests that ran on the targets of one process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: list[Request] = []
        self._running: Counter[str] = Counter()
        self._max_running: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()

    def start(self, request: Request) -> Request:
        """Note the start of the work."""
        with self._lock:
            request.start_s = time.monotonic()
            self._requests.append(request)
            team = request.team
            self._running[team] += 1
            now = self._running[team]
            self._max_running[team] = max(self._max_running[team], now)
            return request

    def end(self, request: Request, interrupted: bool) -> None:
        """Note the end of the work."""
        with self._lock:
            request.end_s = time.monotonic()
            request.interrupted = interrupted
            self._running[request.team] -= 1

    def refuse(self, reason: str) -> None:
        """Count a request that did not run."""
        with self._lock:
            self._refused[reason] += 1

    def clear(self) -> None:
        """Forget the requests and start the maxima again."""
        with self._lock:
            self._requests.clear()
            self._refused.clear()
            self._max_running = Counter(self._running)

    def show(self, address: str = "") -> dict[str, Any]:
        """Return requests and counts; the counts cover the process."""
        with self._lock:
            rows = [
                each
                for each in self._requests
                if not address or each.address == address
            ]
            runs = Counter(each.request_id for each in self._requests)
            return {
                "requests": rows,
                "running_by_team": dict(self._running),
                "max_running_by_team": dict(self._max_running),
                "refused": dict(self._refused),
                "runs_by_id": dict(runs),
                "repeated_ids": sorted(i for i, n in runs.items() if n > 1),
            }


class Slots:
    """A counting semaphore that hands slots out in order of arrival."""

    def __init__(self, count: int) -> None:
        self._lock = threading.Lock()
        self._free = count
        self._waiting: list[threading.Event] = []

    def acquire(self) -> None:
        """Wait for a slot."""
        with self._lock:
            if self._free > 0:
                self._free -= 1
                return
            turn = threading.Event()
            self._waiting.append(turn)
        turn.wait()

    def release(self) -> None:
        """Hand the slot to the one that waits longest."""
        with self._lock:
            if self._waiting:
                self._waiting.pop(0).set()
            else:
                self._free += 1
