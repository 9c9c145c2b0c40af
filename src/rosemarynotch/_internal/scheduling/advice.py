"""Caches tickets of the advice service, which are requested ahead."""

from collections.abc import Sequence
import threading

import attrs

from rosemarynotch._internal.scheduling.fleet_ports import AdviceAnswer
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.model import AdvicePolicy
from rosemarynotch._internal.scheduling.policy import FreeCapacity
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["AdviceCache", "AdviceRequest"]

# Most workers named in one call; each of them adds to the time of the call.
MAX_WORKERS_PER_REQUEST = 30
# A ticket is not used when it expires within this time, which the start order
# needs to reach the worker.
TICKET_MARGIN_S = 0.3
# Shortest time between two requests for the same step. It also delays the
# retry of a refused or failed call.
RETRY_S = 0.3
# A worker that refuses one ticket after the other is left out for the step,
# for twice as long each time. Refusals longer ago than the memory count as
# none.
MAX_PAUSE_S = 8.0
REFUSAL_MEMORY_S = 20.0

StepKey = tuple[str, int, int]


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Request for tickets for the tasks of one step.

    :ivar workers: workers on which the tasks may start, with the start time of
        the incarnation that is known of each
    """

    key: StepKey
    workers: dict[str, int]
    validity_ms: int


@attrs.frozen
class _Ticket:
    """A ticket for one step on one incarnation of a worker."""

    value: str
    issued_at_s: float
    valid_until_s: float
    worker_started_unix_ms: int

    def is_valid(self, worker: Worker, now_s: float) -> bool:
        """Return whether a start that is ordered now can use it."""
        return (
            now_s < self.valid_until_s - TICKET_MARGIN_S
            and worker.started_unix_ms == self.worker_started_unix_ms
        )


@attrs.frozen
class _Refusals:
    """Tickets that a worker has refused one after the other."""

    count: int = 0
    last_at_s: float = -1e9

    def add(self, now_s: float) -> "_Refusals":
        """Return the refusals with another one."""
        is_recent = now_s - self.last_at_s < REFUSAL_MEMORY_S
        return _Refusals(self.count + 1 if is_recent else 1, now_s)

    def is_pausing(self, now_s: float) -> bool:
        """Return whether the worker is left out."""
        if self.count < 2:
            return False
        pause_s = min(MAX_PAUSE_S, RETRY_S * 2 ** (self.count - 2))
        return now_s - self.last_at_s < pause_s


@attrs.define
class _Advice:
    tickets: dict[str, _Ticket] = attrs.field(factory=dict)
    refusals: dict[str, _Refusals] = attrs.field(factory=dict)
    requested_at_s: float = -1e9


class AdviceCache:
    """Caches tickets by step, and queues requests for missing ones.

    A ticket holds for one incarnation of one worker, and for its own time. One
    that its worker refuses is dropped.

    :ivar has_requests: set while requests may be pending
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._advice_by_step: dict[StepKey, _Advice] = {}
        self._pending_requests: dict[StepKey, AdviceRequest] = {}
        self.has_requests = threading.Event()

    def tickets(
        self,
        step: Step,
        policy: AdvicePolicy,
        capacities: Sequence[FreeCapacity],
        now_s: float,
    ) -> dict[str, str]:
        """Return valid tickets by worker; request some if there are none.

        The request names the workers with the most free processors.
        """
        key = _key(step)
        with self._lock:
            advice = self._advice_by_step.setdefault(key, _Advice())
            workers = [
                capacity.worker
                for capacity in sorted(
                    capacities,
                    key=lambda capacity: -capacity.free.cpu_millicores,
                )
                if not _is_pausing(advice, capacity.worker, now_s)
            ]
            usable = {
                worker.worker_id: ticket.value
                for worker in workers
                if (ticket := advice.tickets.get(worker.worker_id))
                and ticket.is_valid(worker, now_s)
            }
            is_wanted = bool(workers) and not usable
            if is_wanted and now_s - advice.requested_at_s > RETRY_S:
                advice.requested_at_s = now_s
                self._pending_requests[key] = AdviceRequest(
                    key=key,
                    workers={
                        worker.worker_id: worker.started_unix_ms
                        for worker in workers[:MAX_WORKERS_PER_REQUEST]
                    },
                    validity_ms=policy.validity_ms,
                )
                self.has_requests.set()
            return usable

    def ticket(self, run: Run, worker: Worker, now_s: float) -> str:
        """Return the ticket for a repeated start of a run.

        :returns: the newest one if it is valid, else that of the first order
        """
        with self._lock:
            advice = self._advice_by_step.get(_key(run.task.step))
            ticket = advice and advice.tickets.get(run.worker_id)
            if ticket and ticket.is_valid(worker, now_s):
                return ticket.value
        return run.ticket

    def reject(self, run: Run, value: str, now_s: float) -> float | None:
        """Drop a ticket that the worker of a run has refused.

        :returns: its age in seconds, None if it was dropped before
        """
        with self._lock:
            advice = self._advice_by_step.get(_key(run.task.step))
            ticket = advice and advice.tickets.get(run.worker_id)
            if not ticket or ticket.value != value:
                return None
            del advice.tickets[run.worker_id]
            earlier = advice.refusals.get(run.worker_id, _Refusals())
            advice.refusals[run.worker_id] = earlier.add(now_s)
            return now_s - ticket.issued_at_s

    def next_request(self) -> AdviceRequest | None:
        """Remove and return the oldest pending request, None if none is."""
        with self._lock:
            if not self._pending_requests:
                self.has_requests.clear()
                return None
            return self._pending_requests.pop(
                next(iter(self._pending_requests))
            )

    def record_answer(
        self,
        request: AdviceRequest,
        answer: AdviceAnswer,
        requested_at_s: float,
    ) -> None:
        """Store the tickets of an answer.

        :param requested_at_s: when the request was sent; the validity of the
            tickets counts from then
        """
        validity_ms = request.validity_ms
        if answer.validity_ms is not None:
            validity_ms = answer.validity_ms
        with self._lock:
            advice = self._advice_by_step.setdefault(request.key, _Advice())
            for row in answer.tickets:
                if row.worker_id in request.workers:
                    advice.tickets[row.worker_id] = _Ticket(
                        row.value,
                        requested_at_s,
                        requested_at_s + validity_ms / 1000,
                        request.workers[row.worker_id],
                    )

    def forget(self, job_id: str) -> None:
        """Drop tickets and pending requests for the steps of a job."""
        with self._lock:
            for key in [
                key for key in self._advice_by_step if key[0] == job_id
            ]:
                del self._advice_by_step[key]
                self._pending_requests.pop(key, None)


def _key(step: Step) -> StepKey:
    occurrence = step.occurrence
    return occurrence.job.job_id, occurrence.number, step.number


def _is_pausing(advice: _Advice, worker: Worker, now_s: float) -> bool:
    refusals = advice.refusals.get(worker.worker_id)
    return refusals is not None and refusals.is_pausing(now_s)
