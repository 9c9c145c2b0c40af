"""Polls one worker for reports, extends its leases and acknowledges ends."""

import threading
from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import RUN_FENCED
from rosemarynotch._internal.exceptions import WORKER_REPLACED
from rosemarynotch._internal.scheduling.ports import WorkerChannel
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.workers import Worker
from rosemarynotch._internal.scheduling.workers import WorkerClock
from rosemarynotch._internal.utils.json_logs import describe_error

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["WorkerLink"]

# Long-poll times of a report while no run ends, with and without runs on the
# worker. Each report also extends the lease.
BUSY_WAIT_MS = 1000
IDLE_WAIT_MS = 2000
# Long-poll time while answers are often lost: a lost report hides the ends on
# its worker for the whole time of the call.
LOSSY_WAIT_MS = 250
# Wait for run ends to be written to the store before the next request. Until
# its ends are acknowledged, a worker answers each request at once.
PERSIST_WAIT_S = 0.15
# Longest wait for a report to be applied before the next one is requested. A
# new leader applies no reports while it reads the jobs, but still has to
# extend the worker's lease.
APPLY_WAIT_S = 1.0
RETRY_S = 0.25
# Pause of a worker after a report that could not be applied. It outlasts the
# time until the next report.
FAILED_PAUSE_S = 3.0
# Pause after the first failed call, since only its answer may have been lost.
FIRST_RETRY_S = 0.02


class WorkerLink:
    """Requests reports from one worker and passes them to the scheduler.

    :ivar address: where the worker is called
    """

    def __init__(
        self, controller: "Controller", worker: Worker, channel: WorkerChannel
    ) -> None:
        self.channel = channel
        self.address = worker.entry.address
        self._controller = controller
        self._worker = worker
        self._applied = threading.Event()
        self._ends_persisted = threading.Event()
        self._closed = False
        self._discarded = False
        self._is_reachable = True
        # Set before the first report is applied, so that a new leader extends
        # inherited leases while it still reads the jobs.
        self._clock: WorkerClock | None = None
        # Incarnation in which the worker's run ends are numbered now.
        self._applied_unix_ms = 0
        self._listed_unix_ms = 0

    @property
    def is_current(self) -> bool:
        """Return whether the link leads to the worker's present address.

        Answers of another worker at a former address say nothing about it.
        """
        return (
            not self._discarded and self.address == self._worker.entry.address
        )

    def close(self) -> None:
        """Stop requesting reports."""
        self._closed = True
        self._applied.set()
        self._ends_persisted.set()

    def discard(self) -> None:
        """Stop requesting reports and ignore those that are not applied."""
        self._discarded = True
        self.close()
        self.channel.abort_report()

    def follow_restart(self, started_unix_ms: int) -> None:
        """Request a report at once, as the worker is listed as restarted.

        A call to the earlier incarnation may wait until its time-out.

        :param started_unix_ms: listed start time
        """
        if started_unix_ms != self._listed_unix_ms:
            self._listed_unix_ms = started_unix_ms
            self.channel.abort_report()

    def notify(self) -> None:
        """Wake the link after ends have been written to the store."""
        self._ends_persisted.set()

    def run(self) -> None:
        """Request reports until the link is closed or the term ends.

        An error on the link concerns this worker only, since the next leader
        would meet the same error.
        """
        controller = self._controller
        while controller.may_start and not self._closed:
            try:
                self._request_report()
            except Exception as error:
                controller.log(
                    "worker link failed",
                    worker=self._worker.worker_id,
                    **describe_error(error),
                )
                self._is_reachable = False
                controller.stop.wait(RETRY_S)
        self.channel.close()

    def _request_report(self) -> None:
        controller, worker = self._controller, self._worker
        requested_at_s = controller.clock.monotonic_s()
        # Calls to an unreachable worker do not extend the lease: they may
        # never arrive, and would delay the time from which the runs of a lost
        # worker count as lapsed.
        lease_ms = wait_ms = 0
        acked_sequence = self._acked_sequence()
        if self._clock is not None and self._is_reachable:
            lease_ms = controller.extend_lease(worker, self._clock)
            if worker.acked_sequence == worker.seen_sequence:
                wait_ms = self._wait_ms(requested_at_s)
        report = self.channel.report(
            controller.grant.fence, acked_sequence, lease_ms, wait_ms
        )
        received_at_s = controller.clock.monotonic_s()
        controller.answer_losses.note(
            worker.worker_id, not isinstance(report, Failure), received_at_s
        )
        if isinstance(report, Failure):
            self._handle_failure(report)
            return
        self._clock = WorkerClock(
            report.clock_ms,
            received_at_s,
            report.started_unix_ms or worker.started_unix_ms,
        )
        if not self._is_reachable:
            self._is_reachable = True
            controller.log("worker regained", worker=worker.worker_id)
        self._applied.clear()
        self._ends_persisted.clear()
        is_first = not worker.clock_received_at_s or (
            self._clock.started_unix_ms != worker.started_unix_ms
        )
        # A worker that has restarted has forgotten the fence of a later
        # leader, which may know of ends that are no longer listed.
        if controller.is_running or not is_first:
            controller.post(
                lambda now_s: self._apply(
                    report, requested_at_s, received_at_s
                )
            )
        self._applied.wait(APPLY_WAIT_S)
        # Rows that cannot be read are not acknowledged, so the worker may
        # answer at once, too.
        for _ in range(2):
            if report.refused or worker.acked_sequence != worker.seen_sequence:
                self._ends_persisted.wait(PERSIST_WAIT_S)
                self._ends_persisted.clear()

    def _acked_sequence(self) -> int:
        """Return up to which end the worker may forget its run ends.

        This is 0 while the last report, from a later incarnation, has not been
        applied: the numbers that are known belong to an earlier one.
        """
        clock = self._clock
        if clock is None or clock.started_unix_ms != self._applied_unix_ms:
            return 0
        return self._worker.acked_sequence

    def _wait_ms(self, now_s: float) -> int:
        """Return the long-poll time of the next report."""
        if not self._worker.runs:
            return IDLE_WAIT_MS
        if self._controller.answer_losses.are_frequent(now_s):
            return LOSSY_WAIT_MS
        return BUSY_WAIT_MS

    def _apply(
        self, report: WorkerReport, requested_at_s: float, received_at_s: float
    ) -> None:
        if self._discarded:
            return
        try:
            self._controller.scheduler.on_report(
                self._worker, report, requested_at_s, received_at_s
            )
            self._applied_unix_ms = self._worker.started_unix_ms
            if self._worker.may_hold_lease and not self._worker.is_enrolled:
                self._controller.writer.request_roster_write()
        except Exception:
            # The ends of new runs could not be applied either.
            self._worker.pause_until(received_at_s + FAILED_PAUSE_S)
            raise
        finally:
            self._applied.set()

    def _handle_failure(self, failure: Failure) -> None:
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
        if self.is_current:
            self._worker.mark_replaced(
                "another worker answered a report request"
            )
