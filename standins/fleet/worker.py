"""Emulated worker, which runs tasks as timers."""

from collections.abc import Callable
import contextlib
import enum
import random
import threading
import time

import attrs

from standins.fleet.http import Answer
from standins.fleet.http import Call
from standins.fleet.http import JsonServer
from standins.fleet.http import LostAnswer
from standins.fleet.ledger import Ledger
from standins.fleet.ledger import RunEntry

__all__ = ["EmulatedWorker", "WorkerFault"]

MAX_LEASE_MS = 10_000
UPDATE_INTERVAL_S = 0.02
LATE_ORDER_DELAY_S = (0.3, 2.0)
# Connections of callers that wait for a silent worker are closed after this.
MAX_SILENT_WAIT_S = 1.5


class WorkerFault(enum.Enum):
    """Fault of a worker.

    LOST: calls take effect, but their answers are lost. LATE: calls take
    effect after a delay and without an answer. SILENT: calls get no answer,
    and those that arrive meanwhile have no effect. FAILING: new runs fail.
    STUCK: runs never finish.
    """

    NONE = "none"
    LOST = "lost"
    LATE = "late"
    SILENT = "silent"
    FAILING = "failing"
    STUCK = "stuck"


@attrs.define
class _Run:
    entry: RunEntry
    number: int
    work_s: float
    is_long_running: bool
    is_failing: bool
    started_at_s: float


class EmulatedWorker:
    """A worker that runs tasks from its creation until it is killed.

    The payload of a task sets its behaviour by words separated by spaces:
    ``work=SECONDS`` is its duration, ``lasting`` makes it run until it is
    stopped, and ``failing`` makes it fail.

    :param port: port to listen on, 0 for any
    :ivar fault: fault applied to calls and runs at present
    :ivar fault_share: share of the calls to which the fault applies
    :ivar affects: whether the fault applies to a call
    :ivar accepts_ticket: whether a task may start with a ticket
    """

    def __init__(
        self,
        worker_id: str,
        ledger: Ledger,
        rng: random.Random,
        port: int = 0,
    ) -> None:
        self.worker_id = worker_id
        self.fault = WorkerFault.NONE
        self.fault_share = 1.0
        self.affects: Callable[[Call], bool] = lambda call: True
        self.accepts_ticket: Callable[[str, str], bool] = (
            lambda ticket, task: True
        )
        self.is_alive = True
        self._ledger = ledger
        self._random = rng
        self._changed = threading.Condition()
        self._started_at_s = time.monotonic()
        self.started_unix_ms = round(time.time() * 1000)
        self._fence = 0
        self._lease_until_ms = 0.0
        self._runs: dict[str, _Run] = {}
        self._last_ended_runs: dict[str, int] = {}
        self._ends: list[list] = []
        self._unacknowledged: dict[int, RunEntry] = {}
        self._sequence = 0
        self.server = JsonServer(self._respond, port)
        threading.Thread(target=self._update_periodically, daemon=True).start()

    @property
    def address(self) -> str:
        """Return HOST:PORT of the worker."""
        return self.server.address

    @property
    def running_count(self) -> int:
        """Return the number of active runs."""
        return len(self._runs)

    def kill(self) -> None:
        """Stop the worker and end all of its runs as killed."""
        with self._changed:
            self.is_alive = False
            for run in self._runs.values():
                self._ledger.end(run.entry, "killed")
            self._runs.clear()
            self._changed.notify_all()
        self.server.close()

    def finish_runs(self) -> None:
        """End all runs as done, however much work they have left."""
        with self._changed:
            for task in list(self._runs):
                self._end(task, "done")

    def _clock_ms(self) -> float:
        return (time.monotonic() - self._started_at_s) * 1000

    def _respond(self, call: Call) -> Answer:
        expected = call.headers.get("Rosemarynotch-Expected-Instance")
        if not self.is_alive:
            raise LostAnswer
        is_affected = self._random.random() <= self.fault_share
        is_affected &= self.affects(call)
        fault = self.fault if is_affected else WorkerFault.NONE
        if fault is WorkerFault.SILENT:
            self._await_end_of_silence()
            raise LostAnswer
        if expected not in (None, self.worker_id):
            return Answer(421)
        if fault is WorkerFault.LATE:
            delay_s = self._random.uniform(*LATE_ORDER_DELAY_S)
            threading.Timer(delay_s, self._apply_late, [call]).start()
            raise LostAnswer
        answer = self._apply(call)
        # A report that was waiting when the silence began is lost, too.
        is_silent = is_affected and self.fault is WorkerFault.SILENT
        if is_silent or fault is WorkerFault.LOST:
            raise LostAnswer
        return answer

    def _await_end_of_silence(self) -> None:
        """Wait while the worker is silent, for a limited time.

        A caller that waits for its answer would otherwise take the worker for
        silent after the end of the fault.
        """
        until_s = time.monotonic() + MAX_SILENT_WAIT_S
        while (
            self.fault is WorkerFault.SILENT
            and self.is_alive
            and time.monotonic() < until_s
        ):
            time.sleep(UPDATE_INTERVAL_S)

    def _apply(self, call: Call) -> Answer:
        body = call.body
        with self._changed:
            if not self.is_alive:
                raise LostAnswer
            self._update_runs()
            if body.get("fencing-token", 0) < self._fence:
                return self._refuse("fence")
            self._fence = body.get("fencing-token", 0)
            if call.path == "run-start":
                return self._start(body)
            if call.path == "run-stop":
                return self._stop(body)
            if call.path == "hold":
                return self._hold(body)
            if call.path == "pace":
                return self._ok()
        return Answer(400)

    def _apply_late(self, call: Call) -> None:
        if self.is_alive:
            with contextlib.suppress(LostAnswer):
                self._apply(call)

    def _ok(self, **fields) -> Answer:
        return Answer(
            200,
            {
                "clock-ms": round(self._clock_ms()),
                "born": self.started_unix_ms,
                **fields,
            },
        )

    def _refuse(self, reason: str) -> Answer:
        return Answer(
            409, {"clock-ms": round(self._clock_ms()), "reason": reason}
        )

    def _extend_lease(self, body: dict) -> None:
        requested_ms = body.get("deadline-ms", 0)
        latest_ms = self._clock_ms() + MAX_LEASE_MS
        self._lease_until_ms = max(
            self._lease_until_ms, min(requested_ms, latest_ms)
        )

    def _start(self, body: dict) -> Answer:
        task, number = body["task"], body["run"]
        known = self._runs.get(task)
        if known is not None and known.number == number:
            self._extend_lease(body)
            return self._ok()
        if known is not None or number <= self._last_ended_runs.get(task, 0):
            return self._refuse("old")
        if body["deadline-ms"] <= self._clock_ms():
            return self._refuse("late")
        if not self.accepts_ticket(body.get("ticket", ""), task):
            return self._refuse("ticket")
        self._extend_lease(body)
        words = body["spec"].split()
        work_s = next(
            (float(w[5:]) for w in words if w.startswith("work=")), 0.1
        )
        entry = self._ledger.start(task, number, self.worker_id, body["spec"])
        self._runs[task] = _Run(
            entry=entry,
            number=number,
            work_s=work_s,
            is_long_running="lasting" in words,
            is_failing="failing" in words or self.fault is WorkerFault.FAILING,
            started_at_s=time.monotonic(),
        )
        return self._ok()

    def _stop(self, body: dict) -> Answer:
        task, number = body["task"], body["run"]
        run = self._runs.get(task)
        self._last_ended_runs[task] = max(
            self._last_ended_runs.get(task, 0), number
        )
        if run is not None and run.number <= number:
            self._end(task, "stopped")
        return self._ok()

    def _hold(self, body: dict) -> Answer:
        if "deadline-ms" in body:
            self._extend_lease(body)
        acknowledged = body.get("last-seen", 0)
        self._ends = [end for end in self._ends if end[0] > acknowledged]
        for sequence in [n for n in self._unacknowledged if n <= acknowledged]:
            self._ledger.acknowledge(self._unacknowledged.pop(sequence))
        until_s = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self._ends and self.is_alive:
            remaining_s = until_s - time.monotonic()
            if remaining_s <= 0:
                break
            self._changed.wait(min(remaining_s, 0.1))
        if not self.is_alive:
            # A crashed worker says nothing, also to a call that waits.
            raise LostAnswer
        running = [
            [task, run.number, "", self._percent(run), 1.0]
            for task, run in self._runs.items()
        ]
        return self._ok(running=running, finished=self._ends[:500])

    def _percent(self, run: _Run) -> int:
        if run.is_long_running:
            return 100
        elapsed_s = time.monotonic() - run.started_at_s
        return min(99, int(100 * elapsed_s / max(run.work_s, 0.01)))

    def _update_periodically(self) -> None:
        while self.is_alive:
            with self._changed:
                self._update_runs()
            time.sleep(UPDATE_INTERVAL_S)

    def _update_runs(self) -> None:
        now_s = time.monotonic()
        has_lease_ended = self._clock_ms() >= self._lease_until_ms
        if has_lease_ended:
            lapsed_at_s = self._started_at_s + self._lease_until_ms / 1000
            for entry in self._unacknowledged.values():
                self._ledger.lapse(entry, lapsed_at_s)
        for task, run in list(self._runs.items()):
            if has_lease_ended:
                self._end(task, "lapsed")
            elif self.fault is WorkerFault.STUCK or run.is_long_running:
                continue
            elif now_s - run.started_at_s >= run.work_s:
                self._end(task, "failed" if run.is_failing else "done")

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        self._ledger.end(run.entry, how)
        self._last_ended_runs[task] = max(
            self._last_ended_runs.get(task, 0), run.number
        )
        self._sequence += 1
        self._unacknowledged[self._sequence] = run.entry
        self._ends.append([self._sequence, task, run.number, how, ""])
        self._changed.notify_all()
