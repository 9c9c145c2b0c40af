"""Runs one request on targets from this entry (rule R3)."""

import threading
from typing import Callable

import attrs

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.messages import CallerRequest
from rosemarynotch._internal.targets.answers import is_not_run
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["RequestRunner", "RetryBudget"]

RETRY_FRACTION = 0.1
# Lets an entry with little traffic retry at all.
MAX_SAVED_RETRIES = 10.0
# A request that no target takes is refused after this many targets.
MAX_TARGETS = 3


class RetryBudget:
    """Allows retries for a fraction of the first attempts."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._saved = MAX_SAVED_RETRIES

    def note_first_attempt(self) -> None:
        """Count a first attempt."""
        with self._lock:
            saved = self._saved + RETRY_FRACTION
            self._saved = min(MAX_SAVED_RETRIES, saved)

    def try_spend(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        with self._lock:
            if self._saved < 1:
                return False
            self._saved -= 1
            return True


class RequestRunner:
    """Gets a grant for a request, sends it and settles the grant.

    :param dispatcher: grants slots, permits and targets
    :param client: sends requests to targets
    :param health: learns the outcomes
    """

    def __init__(
        self, *, dispatcher, client, health, clock: Clock, metrics
    ) -> None:
        self._dispatcher = dispatcher
        self._client = client
        self._health = health
        self._clock = clock
        self._metrics = metrics
        self._budget = RetryBudget()

    def run(
        self,
        request: CallerRequest,
        queue: QueueSpec,
        gone: Callable[[], bool],
    ) -> Answer | Failure:
        """Run a request and return its answer or why there is none.

        :param gone: tells whether the caller has hung up
        """
        end_s = self._clock.monotonic_s() + request.remaining_ms / 1000
        self._budget.note_first_attempt()
        tried = frozenset()
        earlier = None
        while True:
            grant = self._dispatcher.enter(request, queue, gone, tried)
            if isinstance(grant, Failure):
                return earlier or grant
            result = self._attempt(grant, request, queue, end_s)
            if isinstance(result, Answer):
                return result
            if result.ran is Ran.NO:
                tried = tried | {grant.vm}
                if len(tried) >= MAX_TARGETS:
                    return earlier or result
            else:
                earlier = result
                if not request.idempotent or not self._budget.try_spend():
                    return result
                tried = frozenset((grant.vm,))
                self._metrics.count("retried", team=request.team)
            left_s = end_s - self._clock.monotonic_s()
            if left_s <= 0:
                return earlier or failures.DEADLINE_PASSED
            request = attrs.evolve(request, remaining_ms=int(left_s * 1000))

    def _attempt(self, grant, request, queue, end_s):
        """Send a request once; what did not run has ``ran`` no."""
        start_s = self._clock.monotonic_s()
        timeout_s = min(end_s - start_s, queue.longest_run_ms / 1000)
        if timeout_s <= 0:
            result = failures.DEADLINE_PASSED.because("before it was sent")
            grant.finish(result, 0.0)
            return result
        try:
            result = self._client.send(grant.address, request, timeout_s)
        except BaseException:
            grant.hold(queue.longest_run_ms)
            raise
        run_ms = (self._clock.monotonic_s() - start_s) * 1000
        self._health.note(grant.vm, result)
        if is_not_run(result):
            result = failures.TARGET_REFUSED.because(grant.vm)
        if isinstance(result, Failure) and result.ran is not Ran.NO:
            # The target may still work on it.
            grant.hold(max(0.0, queue.longest_run_ms - run_ms))
            self._metrics.count("outcome_unknown", team=request.team)
        else:
            grant.finish(result, run_ms)
            if isinstance(result, Answer):
                self._metrics.record_ms("run", run_ms, team=request.team)
        return result
