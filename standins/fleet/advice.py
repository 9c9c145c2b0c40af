"""Emulated advice service, and the check of its tickets at workers."""

from collections.abc import Callable
import threading
import time

import attrs

from standins.fleet.http import Answer
from standins.fleet.http import Call
from standins.fleet.http import JsonServer

__all__ = ["AdviceTimes", "EmulatedAdvisor"]

MAX_WORKERS = 100
MAX_WAITING_CALLS = 32


@attrs.frozen(kw_only=True)
class AdviceTimes:
    """Times of the service, as in the configuration of a queue."""

    decision_ms: int = 20
    period_ms: int = 2
    validity_ms: int = 1000

    def row(self) -> dict:
        """Return the field of a queue that uses the service."""
        return {
            "decision-ms": self.decision_ms,
            "period-ms": self.period_ms,
            "validity-ms": self.validity_ms,
        }


@attrs.frozen
class _Issued:
    step: str
    worker_id: str
    started_unix_ms: int
    until_s: float


class EmulatedAdvisor:
    """Decides which workers may run a step, and issues tickets.

    All calls are taken to come from one machine, so they are handled one after
    the other.

    :param allows: tells whether any step may run on a worker
    :ivar calls: workers of each call so far
    :ivar find_start: returns the start time of the worker with an identifier,
        None if there is none
    :ivar needs_ticket: whether a task may only start with a ticket
    """

    def __init__(
        self,
        allows: Callable[[str], bool],
        times: AdviceTimes = AdviceTimes(),
    ) -> None:
        self.times = times
        self.calls: list[list[str]] = []
        self.find_start: Callable[[str], int | None] = lambda worker_id: None
        self.needs_ticket: Callable[[str], bool] = lambda task: True
        self._allows = allows
        self._lock = threading.Lock()
        self._turn = threading.Lock()
        self._waiting = 0
        self._issued: dict[str, _Issued] = {}
        self.server = JsonServer(self._respond)

    @property
    def address(self) -> str:
        """Return HOST:PORT of the service."""
        return self.server.address

    def _respond(self, call: Call) -> Answer:
        workers = call.body.get("workers", [])
        if call.path != "advise" or len(workers) > MAX_WORKERS:
            return Answer(400)
        with self._lock:
            if self._waiting >= MAX_WAITING_CALLS:
                return Answer(429)
            self._waiting += 1
        with self._turn:
            times = self.times
            took_ms = times.decision_ms + times.period_ms * len(workers)
            time.sleep(took_ms / 1000)
            with self._lock:
                self._waiting -= 1
                self.calls.append(workers)
                rows = [
                    [name, ticket]
                    for name in workers
                    if (ticket := self._issue(call.body["step"], name))
                ]
        return Answer(200, {"allowed": rows, "validity-ms": times.validity_ms})

    def _issue(self, step: str, worker_id: str) -> str:
        started_unix_ms = self.find_start(worker_id)
        if started_unix_ms is None or not self._allows(worker_id):
            return ""
        ticket = f"ticket-{len(self._issued)}"
        until_s = time.monotonic() + self.times.validity_ms / 1000
        self._issued[ticket] = _Issued(
            step, worker_id, started_unix_ms, until_s
        )
        return ticket

    def accepts(
        self, ticket: str, task: str, worker_id: str, started_unix_ms: int
    ) -> bool:
        """Return whether a task may start on a worker with a ticket."""
        if not self.needs_ticket(task):
            return True
        step = task.rpartition(".")[0]
        with self._lock:
            known = self._issued.get(ticket)
        return (
            known is not None
            and known.step == step
            and known.worker_id == worker_id
            and known.started_unix_ms == started_unix_ms
            and time.monotonic() < known.until_s
        )
