"""State of a worker in the leader: capacity, runs, lease and health."""

from collections import deque
import math

import attrs

from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.pending_acks import PendingAck
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.worker_faults import QUARANTINE_S
from rosemarynotch._internal.scheduling.worker_faults import WorkerFaults

__all__ = ["Worker", "WorkerClock"]

# The platform allows the clock of a worker to run up to 2 % slow.
SLOW_CLOCK_FACTOR = 0.98
# A worker that has not reported for this long gets no new runs. A report
# request takes up to 1 s on a worker with runs and up to 2 s on an idle one.
BUSY_SILENCE_S = 1.6
IDLE_SILENCE_S = 2.6
# A worker that gets no new runs for longer than a move takes counts as
# unavailable, so that its pool gets another VM.
MIN_UNAVAILABLE_S = 2.0
# A worker lists at most 500 ends. One with an end that is withheld gets no new
# runs from this number of ends and runs on, so that no end is left out.
MAX_WITHHELD_ENDS = 400


@attrs.frozen
class WorkerClock:
    """A reading of a worker's clock.

    It was read at some time from the request to the receipt of the report:
    the answer may have waited at the worker for a run to end, and the
    platform does not tell when the clock is read.

    :ivar clock_ms: the worker's clock in its report
    :ivar received_at_s: local time at which the report was received
    :ivar started_unix_ms: incarnation whose clock was read
    """

    clock_ms: int
    received_at_s: float
    started_unix_ms: int = 0

    def lease_end_ms(self, now_s: float, lease_s: float) -> int:
        """Return when a lease granted now ends, on the worker's clock.

        The lease is never longer than requested, as the next leader counts on
        its end: the worker's clock shows at least the result without
        ``lease_s``.
        """
        since_ms = (now_s - self.received_at_s) * 1000 * SLOW_CLOCK_FACTOR
        return math.floor(self.clock_ms + since_ms + lease_s * 1000)


@attrs.define(kw_only=True, eq=False)
class Worker:
    """State of a worker.

    A worker may restart under its identifier. Its new incarnation has none of
    the earlier runs and counts anew: its clock and the numbers of run ends.
    Only a report of the new incarnation shows which of the ordered runs it
    has, see :meth:`begin_incarnation`.

    :ivar is_listed: whether the platform currently lists it
    :ivar has_reported: whether it has sent a report that is not cut under the
        fence of this leader, since its leases last expired and in its present
        incarnation; all of its runs are known from then on
    :ivar is_report_cut: whether its newest report was cut
    :ivar is_enrolled: whether the roster in the store contains it with its
        present pool and address, so that a later leader requests its runs
    :ivar is_cordoned: whether it is being emptied and gets no new runs
    :ivar is_evacuated: whether its data centre is being evacuated, so that it
        gets no new runs; those that it has go on
    :ivar cold_until_s: until when it may be slower than other workers
    :ivar is_replaced: whether another worker has answered at its address, or
        its VM was moved or maintained; it gets no orders then, and its runs
        are kept until its lease has ended
    :ivar replaced_why: what showed that it was replaced, for the log
    :ivar is_inherited: whether an earlier leader may have started runs on it
    :ivar pools: pools that it was listed in; an earlier leader may have
        started runs in any of them
    :ivar started_unix_ms: start time of the incarnation that last reported,
        of the listed one before the first report; 0 if unknown
    :ivar clock_ms: its clock in the newest report
    :ivar clock_requested_at_s: when that report was requested
    :ivar clock_received_at_s: when that report was received
    :ivar clock_offset_ms: least difference between its clock in a report and
        the time of the request; its clock is at most this far ahead
    :ivar lease_until_ms: end of its longest lease, on its own clock; those of
        earlier leaders are assumed
    :ivar granted_until_ms: end of the longest lease that this leader granted
    :ivar known_since_s: when this leader first learned of it
    :ivar earlier_lease_end_s: when the leases of earlier leaders end, None
        if the longest one has to be assumed
    :ivar seen_sequence: sequence number of the last run end that was applied
    :ivar acked_sequence: sequence number of the last run end that is
        persisted and may be acknowledged
    :ivar unanswered_orders: number of consecutive orders without an answer
    :ivar had_runs: whether it had runs when its newest report was applied
    :ivar unknown_runs: runs in its newest report whose jobs
        this leader does not know, and with them what they reserve
    :ivar refused: rows of its newest report that could not be decoded
    :ivar quarantined_until_s: when it may get new runs again
    :ivar faults: the latest ends of runs, for its quarantine
    """

    entry: WorkerEntry
    is_listed: bool = True
    has_reported: bool = False
    is_report_cut: bool = False
    is_enrolled: bool = False
    is_cordoned: bool = False
    is_evacuated: bool = False
    cold_until_s: float = 0.0
    is_replaced: bool = False
    replaced_why: str = ""
    is_inherited: bool = False
    pools: set[str] = attrs.field(factory=set)
    started_unix_ms: int = 0
    clock_ms: int = 0
    clock_requested_at_s: float = 0.0
    clock_received_at_s: float = 0.0
    clock_offset_ms: float = math.inf
    lease_until_ms: int = 0
    granted_until_ms: int = 0
    known_since_s: float = 0.0
    earlier_lease_end_s: float | None = None
    seen_sequence: int = 0
    acked_sequence: int = 0
    pending_acks: deque[PendingAck] = attrs.field(factory=deque)
    runs: dict[tuple[TaskId, int], Run] = attrs.field(factory=dict)
    reserved: Resources = Resources()
    unanswered_orders: int = 0
    had_runs: bool = False
    unknown_runs: tuple[RunStatus, ...] = ()
    refused: tuple[str, ...] = ()
    quarantined_until_s: float = 0.0
    faults: WorkerFaults = attrs.field(factory=WorkerFaults)

    @property
    def worker_id(self) -> str:
        """Return the identifier, which it keeps when it restarts."""
        return self.entry.worker_id

    @property
    def free(self) -> Resources:
        """Return the unreserved capacity."""
        return self.entry.capacity.minus(self.reserved)

    def accepts_work(self, now_s: float) -> bool:
        """Return whether new runs may be placed on this worker."""
        return (
            self.is_listed
            and self.has_reported
            and not self.has_restarted
            and not self.has_outdated_entry
            and self.is_enrolled
            and not self.is_replaced
            and not self.is_cordoned
            and not self.is_evacuated
            and not self.has_many_withheld_ends
            and not self.unknown_runs
            and not self.entry.is_draining
            and now_s - self.clock_received_at_s < self._silence_limit_s
            and now_s >= self.quarantined_until_s
        )

    @property
    def has_many_withheld_ends(self) -> bool:
        """Return whether more runs might end than the worker can list."""
        pending = self.pending_acks
        return (
            bool(pending)
            and pending[0].is_withheld
            and len(pending) + len(self.runs) >= MAX_WITHHELD_ENDS
        )

    @property
    def has_restarted(self) -> bool:
        """Return whether a later incarnation is listed than has reported."""
        return 0 < self.started_unix_ms < self.entry.started_unix_ms

    @property
    def has_outdated_entry(self) -> bool:
        """Return whether a later incarnation has reported than is listed.

        Its labels and its capacity may differ from the listed ones.
        """
        return 0 < self.entry.started_unix_ms < self.started_unix_ms

    def is_unavailable(self, now_s: float) -> bool:
        """Return whether the worker needs a substitute in its pool.

        This holds while it is silent or in a long quarantine. The short pause
        after a refused start does not count.
        """
        is_silent = (
            self.clock_received_at_s > 0
            and now_s - self.clock_received_at_s > 2 * IDLE_SILENCE_S
        )
        return (
            is_silent or self.quarantined_until_s - now_s > MIN_UNAVAILABLE_S
        )

    @property
    def _silence_limit_s(self) -> float:
        # The request that is under way waits as long as the runs at its start
        # allowed.
        is_busy = self.runs and self.had_runs
        return BUSY_SILENCE_S if is_busy else IDLE_SILENCE_S

    def record_order_outcome(self, is_unanswered: bool) -> None:
        """Update the number of consecutive orders without an answer."""
        self.unanswered_orders = (
            self.unanswered_orders + 1 if is_unanswered else 0
        )

    def mark_replaced(self, why: str) -> None:
        """Record that another worker seems to have taken its place.

        :param why: what showed it first
        """
        if not self.is_replaced:
            self.is_replaced, self.replaced_why = True, why

    def pause_until(self, time_s: float) -> None:
        """Accept no new runs before a given time."""
        self.quarantined_until_s = max(self.quarantined_until_s, time_s)

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is lost if the worker ends.

        It is known to have no runs, and no ends that exist only there because
        they are not persisted.
        """
        return (
            self.has_reported
            and not self.is_report_cut
            and not self.runs
            and not self.unknown_runs
            and not self.pending_acks
        )

    @property
    def may_have_unknown_runs(self) -> bool:
        """Return whether it may have runs that this leader does not know.

        Only an earlier leader can have started them, and a report that is
        not cut lists them. They exist at most until its leases expire.
        """
        return self.is_inherited and not self.has_reported

    @property
    def may_hold_lease(self) -> bool:
        """Return whether this leader may have started runs on it, or will.

        Before its first report, and after its leases have ended, the worker
        accepts no work.
        """
        return self.clock_received_at_s > 0 and (
            self.has_reported or self.lease_until_ms > 0 or bool(self.runs)
        )

    @property
    def may_have_been_used(self) -> bool:
        """Return whether it may have had runs, of this leader or another."""
        return (
            self.is_inherited
            or bool(self.runs)
            or self.clock_received_at_s > 0
        )

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self.reserved = self.reserved.plus(run.task.step.spec.reserved)
        run.task.runs.append(run)

    def has_run(self, run: Run) -> bool:
        """Return whether a run that was held since is still registered.

        A run that was dropped and adopted again is another object.
        """
        return self.runs.get(run.key) is run

    def drop_run(self, run: Run) -> None:
        """Remove a run and free its resources."""
        if self.has_run(run):
            del self.runs[run.key]
            self.reserved = self.reserved.minus(run.task.step.spec.reserved)
            run.task.runs.remove(run)
            run.task.step.release(run.task)

    @property
    def clock(self) -> "WorkerClock":
        """Return the clock reading of the newest report applied."""
        return WorkerClock(
            self.clock_ms, self.clock_received_at_s, self.started_unix_ms
        )

    def lease_left_s(self, now_s: float) -> float:
        """Return how long the lease of this leader lasts at least.

        It is 0 if there is none. The clocks of workers do not run fast, so
        any reading of its clock tells the latest time that it can show now.
        The least of them is used, as a reading may be as old as the long-poll
        time of its report.
        """
        latest_ms = now_s * 1000 + self.clock_offset_ms
        return max(0.0, (self.granted_until_ms - latest_ms) / 1000)

    def lease_bound_s(self, longest_lease_s: float) -> float:
        """Return when all leases have expired if no order extends them.

        :param longest_lease_s: lease to assume for a worker that has never
            reported
        """
        if not self.clock_received_at_s:
            if self.earlier_lease_end_s is not None:
                return self.earlier_lease_end_s
            return self.known_since_s + longest_lease_s / SLOW_CLOCK_FACTOR
        remaining_s = max(0, self.lease_until_ms - self.clock_ms) / 1000
        return self.clock_received_at_s + remaining_s / SLOW_CLOCK_FACTOR

    def record_report(
        self, report: WorkerReport, requested_at_s: float, received_at_s: float
    ) -> None:
        """Update the clock reading from a report if it is a newer one."""
        if requested_at_s >= self.clock_requested_at_s:
            self.clock_ms = report.clock_ms
            self.clock_requested_at_s = requested_at_s
            self.clock_received_at_s = received_at_s
            self.clock_offset_ms = min(
                self.clock_offset_ms, report.clock_ms - requested_at_s * 1000
            )

    def record_run_outcome(
        self, now_s: float, is_fault: bool, step: Step | None = None
    ) -> bool:
        """Record how a run of a step ended.

        :returns: whether this puts the worker into quarantine
        """
        if not self.faults.record(now_s, is_fault, step):
            return False
        self.quarantined_until_s = now_s + QUARANTINE_S
        return True

    def forgive(self, step: Step, now_s: float) -> bool:
        """Drop the faults of a step; return whether that ends a quarantine."""
        is_ended = self.faults.forgive(step)
        if is_ended:
            self.quarantined_until_s = now_s
        return is_ended

    def advance_acks(self) -> None:
        """Acknowledge the persisted run ends, in order of sequence.

        Ends that are withheld are given up once they fill the worker's list
        of ends. They would hide those of all other jobs for good.
        """
        pending = self.pending_acks
        while pending and (
            pending[0].is_persisted
            or (
                pending[0].is_withheld
                and pending[0].end is None
                and self.is_report_cut
            )
        ):
            self.acked_sequence = pending.popleft().sequence

    def begin_incarnation(self, started_unix_ms: int) -> None:
        """Reset all that the worker counts; a new incarnation has reported.

        The runs are kept: the reports of the new incarnation show whether it
        has any of them. Leases by the clock of the earlier incarnation were
        never sent to it.
        """
        self.started_unix_ms = started_unix_ms
        self.has_reported = False
        self.seen_sequence = self.acked_sequence = 0
        self.pending_acks.clear()
        self.clock_offset_ms = math.inf
        self.lease_until_ms = self.granted_until_ms = 0
        for run in self.runs.values():
            run.lease_until_ms = 0
