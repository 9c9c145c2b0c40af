"""Caches tickets of the advice service, which are requested ahead."""

from collections.abc import Callable
from collections.abc import Sequence
import threading

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.scheduling.fleet_ports import Advisor
from rosemarynotch._internal.scheduling.fleet_ports import Ticket
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.model import AdvicePolicy
from rosemarynotch._internal.scheduling.policy import FreeCapacity
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["AdviceCache", "AdviceRequest", "AdviceRequester"]

# Most workers named in one call; each of them adds to the time of the call.
MAX_WORKERS_PER_REQUEST = 30
# A ticket is not used when it expires within this time, which the start order
# needs to reach the worker.
TICKET_MARGIN_S = 0.3
# Shortest time between two requests for the same step. It also delays the
# retry of a refused or failed call.
RETRY_S = 0.3
# Interval at which an idle requester checks whether its term has ended.
REQUEST_WAIT_S = 0.5

StepKey = tuple[str, int, int]


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Request for tickets for the tasks of one step.

    :ivar workers: workers on which the tasks may start
    """

    key: StepKey
    workers: tuple[str, ...]
    validity_ms: int


@attrs.define
class _Advice:
    tickets: dict[str, str] = attrs.field(factory=dict)
    issued_at_s: dict[str, float] = attrs.field(factory=dict)
    valid_until_s: float = 0.0
    requested_at_s: float = -1e9


class AdviceCache:
    """Caches tickets by step, and queues requests for missing ones.

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
        workers = [
            capacity.worker.worker_id
            for capacity in sorted(
                capacities, key=lambda capacity: -capacity.free.cpu_millicores
            )
        ]
        with self._lock:
            advice = self._advice_by_step.setdefault(key, _Advice())
            is_valid = now_s < advice.valid_until_s - TICKET_MARGIN_S
            usable = set(workers) & set(advice.tickets) if is_valid else set()
            is_wanted = bool(workers) and not usable
            if is_wanted and now_s - advice.requested_at_s > RETRY_S:
                advice.requested_at_s = now_s
                self._pending_requests[key] = AdviceRequest(
                    key=key,
                    workers=tuple(workers[:MAX_WORKERS_PER_REQUEST]),
                    validity_ms=policy.validity_ms,
                )
                self.has_requests.set()
            return {
                worker_id: advice.tickets[worker_id] for worker_id in usable
            }

    def ticket(self, run: Run) -> str:
        """Return the ticket that a run was started with."""
        with self._lock:
            advice = self._advice_by_step.get(_key(run.task.step))
            return advice.tickets.get(run.worker_id, "") if advice else ""

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
        tickets: list[Ticket],
        requested_at_s: float,
    ) -> None:
        """Store the tickets of an answer.

        :param requested_at_s: when the request was sent; the validity of the
            tickets counts from then
        """
        with self._lock:
            advice = self._advice_by_step.setdefault(request.key, _Advice())
            advice.tickets |= {t.worker_id: t.value for t in tickets}
            advice.issued_at_s |= {
                t.worker_id: requested_at_s for t in tickets
            }
            advice.valid_until_s = requested_at_s + request.validity_ms / 1000

    def ticket_age_s(self, run: Run, now_s: float) -> float | None:
        """Return the age of the ticket for a run, None if there is none."""
        with self._lock:
            advice = self._advice_by_step.get(_key(run.task.step))
            issued_at_s = advice and advice.issued_at_s.get(run.worker_id)
            return None if issued_at_s is None else now_s - issued_at_s

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


class AdviceRequester:
    """Asks the advice service for what the cache is missing.

    :param is_running: returns whether the term lasts
    :param post: queues a callback for the scheduling thread
    :param accepts_work: tells whether new runs may be placed on a worker
    """

    def __init__(
        self,
        cache: AdviceCache,
        advisor: Advisor,
        clock: Clock,
        is_running: Callable[[], bool],
        post: Callable[[Callable[[float], None]], None],
        log: Callable[..., None],
        accepts_work: Callable[[str], bool] = lambda worker_id: True,
    ) -> None:
        self._cache = cache
        self._accepts_work = accepts_work
        self._advisor = advisor
        self._clock = clock
        self._is_running = is_running
        self._post = post
        self._log = log

    def run(self) -> None:
        """Send requests until the term ends."""
        while self._is_running():
            if not self._cache.has_requests.wait(REQUEST_WAIT_S):
                continue
            request = self._cache.next_request()
            if request is None:
                continue
            # The request may have waited while workers stopped accepting.
            workers = [*filter(self._accepts_work, request.workers)]
            if not workers:
                continue
            requested_at_s = self._clock.monotonic_s()
            job_id, occurrence, step = request.key
            answer = self._advisor.advise(job_id, occurrence, step, workers)
            if isinstance(answer, Failure):
                self._log("advice failed", job=job_id, why=answer.reason)
                continue
            took_s = self._clock.monotonic_s() - requested_at_s
            self._log(
                "advice received",
                job=job_id,
                occurrence=occurrence,
                step=step,
                asked=" ".join(workers),
                allowed=" ".join(ticket.worker_id for ticket in answer),
                took_ms=round(took_s * 1000),
            )
            self._cache.record_answer(request, answer, requested_at_s)
            self._post(lambda now_s: None)
