"""Calls the advice service for the tickets that are missing."""

from collections.abc import Callable

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.advice import AdviceRequest
from rosemarynotch._internal.scheduling.fleet_ports import Advisor
from rosemarynotch._internal.utils.clock import Clock
from rosemarynotch._internal.utils.metrics import Metrics

__all__ = ["AdviceRequester"]

# Interval at which an idle requester checks whether its term has ended.
REQUEST_WAIT_S = 0.5
# Longest time for which a call is awaited beyond the usual time-out.
MAX_WAIT_S = 60.0


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
        metrics: Metrics,
        accepts_work: Callable[[str], bool] = lambda worker_id: True,
    ) -> None:
        self._cache = cache
        self._accepts_work = accepts_work
        self._advisor = advisor
        self._clock = clock
        self._is_running = is_running
        self._post = post
        self._log = log
        self._metrics = metrics
        self._busy_until_s = 0.0

    def run(self) -> None:
        """Send requests until the term ends."""
        while self._is_running():
            if not self._cache.has_requests.wait(REQUEST_WAIT_S):
                continue
            request = self._cache.next_request(self._clock.monotonic_s())
            if request is not None:
                self._send(request)

    def _send(self, request: AdviceRequest) -> None:
        # The request may have waited while workers stopped accepting.
        workers = [*filter(self._accepts_work, request.workers)]
        if not workers:
            self._cache.drop_request(request, self._clock.monotonic_s())
            return
        request = attrs.evolve(
            request, workers={name: request.workers[name] for name in workers}
        )
        requested_at_s = self._clock.monotonic_s()
        call_s = request.policy.call_s(len(workers))
        # The service handles one call of this machine after the other, and
        # goes on with one that was given up.
        free_at_s = max(requested_at_s, self._busy_until_s) + call_s
        wait_s = min(MAX_WAIT_S, free_at_s - requested_at_s)
        job_id, occurrence, step = request.key
        answer = self._advisor.advise(
            job_id, occurrence, step, workers, wait_s
        )
        answered_at_s = self._clock.monotonic_s()
        if isinstance(answer, Failure):
            if answer.ran is not Ran.NO:
                self._busy_until_s = free_at_s
            self._log(
                "advice failed",
                job=job_id,
                why=answer.reason,
                after_s=round(answered_at_s - requested_at_s, 3),
                expected_s=round(wait_s, 3),
            )
            self._metrics.count("advice_calls", outcome="failed")
            self._cache.drop_request(request, answered_at_s)
            return
        self._log(
            "advice received",
            job=job_id,
            occurrence=occurrence,
            step=step,
            asked=" ".join(workers),
            allowed=" ".join(ticket.worker_id for ticket in answer.tickets),
            took_ms=round((answered_at_s - requested_at_s) * 1000),
        )
        self._metrics.count("advice_calls", outcome="answered")
        self._cache.record_answer(
            request, answer, requested_at_s, answered_at_s
        )
        self._post(lambda now_s: None)
