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
# A call takes at most this part of the time for which its tickets are valid.
MAX_CALL_SHARE = 0.5
# A ticket is not used when it expires within this time, which the start order
# needs to reach the worker.
TICKET_MARGIN_S = 0.3
# Shortest time between two requests for the same workers and step. It also
# delays the retry of a refused or failed call.
RETRY_S = 0.3
# A worker that was not allowed is asked for again after this time. The answer
# does not change, but the service may not have known the worker yet.
NOT_ALLOWED_S = 5.0
# Passes, in which all steps with tasks to start are looked at, follow each
# other within this time.
WAITING_S = 2.0
# What is known of a step is dropped when it has not been used for this time.
UNUSED_S = 10.0
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
    :ivar policy: times of the service
    """

    key: StepKey
    workers: dict[str, int]
    policy: AdvicePolicy


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
    """What is known of a step.

    :ivar asked: start time of the incarnation for which an answer was given,
        and when, by worker
    :ivar allowed: those of them that may run the step
    :ivar requested_at_s: when a request was last queued
    :ivar is_requested: whether one is queued or under way
    :ivar retry_at_s: when a request may be queued after one that failed
    :ivar used_at_s: when the step last had tasks to start
    """

    tickets: dict[str, _Ticket] = attrs.field(factory=dict)
    asked: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    allowed: set[str] = attrs.field(factory=set)
    refusals: dict[str, _Refusals] = attrs.field(factory=dict)
    requested_at_s: float = -1e9
    is_requested: bool = False
    retry_at_s: float = -1e9
    used_at_s: float = -1e9

    def is_pausing(self, worker: Worker, now_s: float) -> bool:
        """Return whether a worker is left out after refusals."""
        refusals = self.refusals.get(worker.worker_id)
        return refusals is not None and refusals.is_pausing(now_s)

    def asked_at_s(self, worker: Worker) -> float | None:
        """Return when an answer was given for the present incarnation."""
        started_unix_ms, at_s = self.asked.get(worker.worker_id, (None, None))
        return at_s if started_unix_ms == worker.started_unix_ms else None

    def choose(
        self,
        rooms: Sequence[tuple[Worker, int]],
        missing: int,
        limit: int,
        now_s: float,
    ) -> list[Worker]:
        """Return the workers to ask for next.

        Workers that are known to be allowed go first, and alone if they have
        room enough. Then follow those that were never asked for, and those
        that were not allowed some time ago. A request for all of the same
        workers again waits for a time.

        :param rooms: workers without a lasting ticket, and how many tasks
            each has room for, in the order in which they are wanted
        :param missing: tasks for which there is no ticket
        :param limit: most workers of a request
        """
        allowed, unknown, refused = [], [], []
        allowed_room = 0
        for worker, room in rooms:
            asked_at_s = self.asked_at_s(worker)
            if asked_at_s is None:
                unknown.append(worker)
            elif worker.worker_id not in self.allowed:
                if now_s - asked_at_s > NOT_ALLOWED_S:
                    refused.append(worker)
            elif allowed_room < missing:
                allowed.append(worker)
                allowed_room += room
        if allowed_room >= missing:
            unknown = refused = []
        is_repeated = not unknown and now_s - self.requested_at_s <= RETRY_S
        return [] if is_repeated else (allowed + unknown + refused)[:limit]


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
        self._dropped_at_s = 0.0
        self.has_requests = threading.Event()

    def tickets(
        self,
        step: Step,
        policy: AdvicePolicy,
        capacities: Sequence[FreeCapacity],
        wanted: int,
        now_s: float,
    ) -> dict[str, str]:
        """Return valid tickets by worker, and request those that are missing.

        Workers without room are left out. More workers are asked for until
        the tickets suffice for all tasks, or all workers have been asked for.

        :param capacities: workers on which the tasks could run
        :param wanted: number of tasks that could start
        """
        key = _key(step)
        usable: dict[str, str] = {}
        without: list[tuple[Worker, int]] = []
        missing = wanted
        with self._lock:
            self._drop_unused(now_s)
            advice = self._advice_by_step.setdefault(key, _Advice())
            advice.used_at_s = now_s
            until_s = now_s + _renewal_s(policy)
            for capacity in sorted(
                capacities, key=lambda each: -each.free.cpu_millicores
            ):
                worker = capacity.worker
                room = capacity.room_for(step, wanted)
                if not room or advice.is_pausing(worker, now_s):
                    continue
                ticket = advice.tickets.get(worker.worker_id)
                if ticket and ticket.is_valid(worker, now_s):
                    usable[worker.worker_id] = ticket.value
                if ticket and ticket.is_valid(worker, until_s):
                    missing -= room
                else:
                    without.append((worker, room))
            is_due = not advice.is_requested and now_s >= advice.retry_at_s
            if missing > 0 and is_due:
                self._request(key, policy, without, missing, now_s)
        return usable

    def _request(self, key, policy, rooms, missing, now_s) -> None:
        advice = self._advice_by_step[key]
        limit = _max_workers(policy)
        workers = advice.choose(rooms, missing, limit, now_s)
        if not workers:
            return
        advice.requested_at_s = now_s
        advice.is_requested = True
        self._pending_requests[key] = AdviceRequest(
            key=key,
            workers={each.worker_id: each.started_unix_ms for each in workers},
            policy=policy,
        )
        self.has_requests.set()

    def _drop_unused(self, now_s: float) -> None:
        if now_s - self._dropped_at_s < UNUSED_S:
            return
        self._dropped_at_s = now_s
        self._advice_by_step = {
            key: advice
            for key, advice in self._advice_by_step.items()
            if advice.is_requested or now_s - advice.used_at_s < UNUSED_S
        }

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

    def next_request(self, now_s: float) -> AdviceRequest | None:
        """Remove and return the oldest pending request, None if none is.

        Those of steps that have nothing to start any more are dropped.
        """
        with self._lock:
            while self._pending_requests:
                key = next(iter(self._pending_requests))
                request = self._pending_requests.pop(key)
                advice = self._advice_by_step.get(key)
                if advice is None or now_s - advice.used_at_s < WAITING_S:
                    return request
                advice.is_requested = False
            self.has_requests.clear()
            return None

    def record_answer(
        self,
        request: AdviceRequest,
        answer: AdviceAnswer,
        requested_at_s: float,
        answered_at_s: float,
    ) -> None:
        """Store the tickets of an answer.

        They may have been issued at any time of the call. Their validity
        counts from its start, unless that would leave less than half of it: a
        slow service issues them when it answers, and no start would have one.

        :param requested_at_s: when the request was sent
        """
        validity_s = request.policy.validity_ms / 1000
        if answer.validity_ms is not None:
            validity_s = answer.validity_ms / 1000
        issued_at_s = max(
            requested_at_s, answered_at_s - MAX_CALL_SHARE * validity_s
        )
        with self._lock:
            advice = self._advice_by_step.setdefault(request.key, _Advice())
            advice.is_requested = False
            for worker_id, started_unix_ms in request.workers.items():
                advice.asked[worker_id] = started_unix_ms, answered_at_s
                advice.allowed.discard(worker_id)
                advice.tickets.pop(worker_id, None)
            for row in answer.tickets:
                if row.worker_id in request.workers:
                    advice.allowed.add(row.worker_id)
                    advice.tickets[row.worker_id] = _Ticket(
                        row.value,
                        issued_at_s,
                        issued_at_s + validity_s,
                        request.workers[row.worker_id],
                    )

    def drop_request(self, request: AdviceRequest, now_s: float) -> None:
        """Record that a request was not sent, or has no answer."""
        with self._lock:
            advice = self._advice_by_step.get(request.key)
            if advice is not None:
                advice.is_requested = False
                advice.retry_at_s = now_s + RETRY_S

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


def _max_workers(policy: AdvicePolicy) -> int:
    """Return the most workers of a request."""
    if not (policy.per_worker_ms and policy.validity_ms):
        return MAX_WORKERS_PER_REQUEST
    left_ms = MAX_CALL_SHARE * policy.validity_ms - policy.decision_ms
    count = int(left_ms // policy.per_worker_ms)
    return max(1, min(MAX_WORKERS_PER_REQUEST, count))


def _renewal_s(policy: AdvicePolicy) -> float:
    """Return how long before its end a ticket is requested anew."""
    call_s = policy.call_s(_max_workers(policy))
    return min(call_s, MAX_CALL_SHARE / 2 * policy.validity_ms / 1000)
