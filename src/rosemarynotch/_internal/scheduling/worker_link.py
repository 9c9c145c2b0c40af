"""The conversation with one worker: leases, reports, acknowledgements."""

import threading
from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import RUN_FENCED
from rosemarynotch._internal.exceptions import WORKER_REPLACED
from rosemarynotch._internal.scheduling.ports import WorkerChannel
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.workers import Worker
from rosemarynotch._internal.scheduling.workers import WorkerClock

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["WorkerLink"]

# A report is awaited so long while nothing ends; it also extends the lease.
BUSY_WAIT_MS = 1000
IDLE_WAIT_MS = 2000
# While answers are being lost: a lost report hides the ends of its worker for
# as long as it was awaited.
LOSSY_WAIT_MS = 250
# Ends that are not yet safe in the store would be answered at once again.
SETTLE_WAIT_S = 0.15
# A report that the leader has not applied yet is not asked for again before.
# A leader that takes over applies none while it reads the jobs, and the lease
# of the worker has to be extended all the same.
APPLY_WAIT_S = 1.0
RETRY_S = 0.25
# After the first call without an answer: the answer may just be lost.
FIRST_RETRY_S = 0.02


class WorkerLink:
    """Asks one worker for reports as long as it is known."""

    def __init__(
        self, controller: "Controller", worker: Worker, channel: WorkerChannel
    ) -> None:
        self.channel = channel
        self._controller = controller
        self._worker = worker
        self._applied = threading.Event()
        self._settled = threading.Event()
        self._closed = False
        self._is_reachable = True
        # Known before the first report is applied, so that a leader that
        # still reads the jobs extends the leases that it has inherited.
        self._clock: WorkerClock | None = None

    def close(self) -> None:
        """End the conversation."""
        self._closed = True
        self._applied.set()
        self._settled.set()

    def notify(self) -> None:
        """Wake the link after ends were written."""
        self._settled.set()

    def run(self) -> None:
        """Ask for reports until the worker or the term is gone."""
        while self._controller.is_running and not self._closed:
            self._ask()
        self.channel.close()

    def _ask(self) -> None:
        controller, worker = self._controller, self._worker
        asked_at_s = controller.clock.monotonic_s()
        # A call that may never arrive must not keep the runs of a lost worker
        # from being counted as lapsed, so it extends no lease.
        lease_ms = wait_ms = 0
        if self._clock is not None and self._is_reachable:
            lease_ms = controller.extend_lease(worker, self._clock)
            if worker.acked_sequence == worker.seen_sequence:
                wait_ms = self._wait_ms(asked_at_s)
        report = self.channel.report(
            controller.grant.fence, worker.acked_sequence, lease_ms, wait_ms
        )
        received_at_s = controller.clock.monotonic_s()
        controller.answer_losses.note(
            worker.worker_id, not isinstance(report, Failure), received_at_s
        )
        if isinstance(report, Failure):
            self._note_failure(report)
            return
        self._clock = WorkerClock(report.clock_ms, asked_at_s)
        if not self._is_reachable:
            self._is_reachable = True
            controller.log("worker regained", worker=worker.worker_id)
        self._applied.clear()
        self._settled.clear()
        controller.post(
            lambda now_s: self._apply(report, asked_at_s, received_at_s)
        )
        self._applied.wait(APPLY_WAIT_S)
        for _ in range(2):
            if worker.acked_sequence != worker.seen_sequence:
                self._settled.wait(SETTLE_WAIT_S)
                self._settled.clear()

    def _wait_ms(self, now_s: float) -> int:
        """Return how long a report is awaited while nothing ends."""
        if not self._worker.runs:
            return IDLE_WAIT_MS
        if self._controller.answer_losses.are_frequent(now_s):
            return LOSSY_WAIT_MS
        return BUSY_WAIT_MS

    def _apply(
        self, report: WorkerReport, asked_at_s: float, received_at_s: float
    ) -> None:
        self._controller.scheduler.on_report(
            self._worker, report, asked_at_s, received_at_s
        )
        self._applied.set()

    def _note_failure(self, failure: Failure) -> None:
        controller, worker = self._controller, self._worker
        controller.check_fence(failure)
        if failure.is_a(WORKER_REPLACED):
            controller.post(lambda now_s: self._replace())
            self.close()
            return
        was_reachable, self._is_reachable = self._is_reachable, False
        if was_reachable and not failure.is_a(RUN_FENCED):
            controller.log(
                "worker lost", worker=worker.worker_id, why=failure.reason
            )
        controller.stop.wait(FIRST_RETRY_S if was_reachable else RETRY_S)

    def _replace(self) -> None:
        self._worker.is_replaced = True
