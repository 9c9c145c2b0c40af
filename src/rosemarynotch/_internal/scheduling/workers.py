"""Workers as the leader sees them: room, runs, leases and health."""

from collections import deque

import attrs

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.ports import WorkerReport

__all__ = ["PendingAck", "Worker", "WorkerClock"]

# The platform allows the clock of a worker to be 2 % slow.
SLOW_CLOCK_FACTOR = 0.98
# Ends by the worker's fault within the window that keep new work away from
# it, and for how long. Two workers' worth of bad luck is told apart from a
# worker that fails everything by the share of its runs that fail.
FAULT_WINDOW_S = 6.0
MIN_FAULTS = 2
MAX_FAULT_SHARE = 0.34
QUARANTINE_S = 8.0
# A worker that has not reported for so long gets no new runs. It is asked
# for reports that take up to 1 s with runs on it, and up to 2 s without.
BUSY_SILENCE_S = 1.6
IDLE_SILENCE_S = 2.6
# A worker that is avoided for longer than a move takes is to be replaced.
MIN_OUT_S = 2.0


@attrs.frozen
class PendingAck:
    """An end that the worker repeats until it is acknowledged."""

    sequence: int
    job: Job
    change: int


@attrs.frozen
class WorkerClock:
    """A worker's own clock when a report was asked for."""

    clock_ms: int
    asked_at_s: float

    def lease_end_ms(self, now_s: float, lease_s: float) -> int:
        """Return a time on the worker's clock for a lease from now on."""
        since_ms = (now_s - self.asked_at_s) * 1000
        return round(self.clock_ms + since_ms + lease_s * 1000)


@attrs.define(kw_only=True, eq=False)
class Worker:
    """A life of a worker.

    :ivar is_listed: the platform lists it now
    :ivar is_learnt: it has reported under the fence of this leader
    :ivar is_enrolled: the roster in the store names it, so that a later
        leader asks it for runs
    :ivar is_inherited: an earlier leader may have started runs on it
    :ivar clock_ms: its clock in the newest report
    :ivar clock_asked_at_s: when that report was asked for
    :ivar clock_received_at_s: when that report came
    :ivar lease_until_ms: end of the longest lease on its clock
    :ivar seen_sequence: last end that was taken into account
    :ivar acked_sequence: last end that is safe in the store
    :ivar is_cordoned: it is to be emptied
    :ivar unanswered_orders: orders in a row that it left unanswered
    :ivar refused: what could not be read in its newest report
    """

    entry: WorkerEntry
    is_listed: bool = True
    is_learnt: bool = False
    is_enrolled: bool = False
    is_cordoned: bool = False
    is_replaced: bool = False
    is_inherited: bool = False
    started_unix_ms: int = 0
    clock_ms: int = 0
    clock_asked_at_s: float = 0.0
    clock_received_at_s: float = 0.0
    lease_until_ms: int = 0
    known_since_s: float = 0.0
    seen_sequence: int = 0
    acked_sequence: int = 0
    pending_acks: deque[PendingAck] = attrs.field(factory=deque)
    runs: dict[tuple[TaskId, int], Run] = attrs.field(factory=dict)
    reserved: Resources = Resources()
    unanswered_orders: int = 0
    refused: tuple[str, ...] = ()
    quarantined_until_s: float = 0.0
    outcomes: deque[tuple[float, bool]] = attrs.field(
        factory=lambda: deque(maxlen=64)
    )

    @property
    def worker_id(self) -> str:
        """Return the identifier of this life."""
        return self.entry.worker_id

    @property
    def free(self) -> Resources:
        """Return the room that is left."""
        return self.entry.capacity.minus(self.reserved)

    def accepts_work(self, now_s: float) -> bool:
        """Tell whether new runs may be placed here."""
        return (
            self.is_listed
            and self.is_learnt
            and self.is_enrolled
            and not self.is_replaced
            and not self.is_cordoned
            and not self.entry.is_draining
            and now_s - self.clock_received_at_s < self._silence_limit_s
            and now_s >= self.quarantined_until_s
        )

    def is_unavailable(self, now_s: float) -> bool:
        """Tell whether no run can be placed here for a while.

        Its pool needs another VM in its place. A pause after a refused start
        is short, and does not count.
        """
        is_silent = (
            self.clock_received_at_s > 0
            and now_s - self.clock_received_at_s > 2 * IDLE_SILENCE_S
        )
        return is_silent or self.quarantined_until_s - now_s > MIN_OUT_S

    @property
    def _silence_limit_s(self) -> float:
        return BUSY_SILENCE_S if self.runs else IDLE_SILENCE_S

    def record_order_outcome(self, is_unanswered: bool) -> None:
        """Count orders that were left unanswered."""
        self.unanswered_orders = (
            self.unanswered_orders + 1 if is_unanswered else 0
        )

    def pause_until(self, time_s: float) -> None:
        """Place nothing here before a time."""
        self.quarantined_until_s = max(self.quarantined_until_s, time_s)

    @property
    def is_empty(self) -> bool:
        """Tell whether it certainly has no runs."""
        return self.is_learnt and not self.runs

    def add_run(self, run: Run) -> None:
        """Count a run."""
        self.runs[run.key] = run
        self.reserved = self.reserved.plus(run.task.step.spec.reserved)
        run.task.runs.append(run)

    def drop_run(self, run: Run) -> None:
        """Count a run no longer."""
        if self.runs.pop(run.key, None) is not None:
            self.reserved = self.reserved.minus(run.task.step.spec.reserved)
            run.task.runs.remove(run)

    @property
    def clock(self) -> "WorkerClock":
        """Return its clock in the newest report that was applied."""
        return WorkerClock(self.clock_ms, self.clock_asked_at_s)

    def lease_bound_s(self, longest_lease_s: float) -> float:
        """Return when every run has lapsed if no order reaches the worker.

        :param longest_lease_s: assumed for a worker that never reported
        """
        if not self.clock_received_at_s:
            return self.known_since_s + longest_lease_s / SLOW_CLOCK_FACTOR
        left_s = max(0, self.lease_until_ms - self.clock_ms) / 1000
        return self.clock_received_at_s + left_s / SLOW_CLOCK_FACTOR

    def note_report(
        self, report: WorkerReport, asked_at_s: float, received_at_s: float
    ) -> None:
        """Take the clock of a report if it is newer than the last."""
        if asked_at_s >= self.clock_asked_at_s:
            self.clock_ms = report.clock_ms
            self.clock_asked_at_s = asked_at_s
            self.clock_received_at_s = received_at_s

    def record_run_outcome(self, now_s: float, is_fault: bool) -> bool:
        """Count an end; return whether the worker is now quarantined."""
        self.outcomes.append((now_s, is_fault))
        recent = [o for o in self.outcomes if o[0] > now_s - FAULT_WINDOW_S]
        faults = sum(fault for _, fault in recent)
        if faults < MIN_FAULTS or faults < MAX_FAULT_SHARE * len(recent):
            return False
        self.quarantined_until_s = now_s + QUARANTINE_S
        self.outcomes.clear()
        return True

    def advance_acks(self) -> None:
        """Acknowledge the ends that are safe in the store, in order."""
        pending = self.pending_acks
        while pending and pending[0].job.durable_change >= pending[0].change:
            self.acked_sequence = pending.popleft().sequence

    def restart(self, started_unix_ms: int) -> list[Run]:
        """Begin a new life under the same identifier; return lost runs."""
        lost = list(self.runs.values())
        for run in lost:
            self.drop_run(run)
        self.started_unix_ms = started_unix_ms
        self.seen_sequence = self.acked_sequence = 0
        self.pending_acks.clear()
        self.lease_until_ms = 0
        return lost
