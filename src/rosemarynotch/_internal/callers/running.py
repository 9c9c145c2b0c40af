"""Runs one request on targets from this entry (rule R3)."""

from typing import Callable

import attrs

from rosemarynotch._internal.callers.retries import RetryBudget
from rosemarynotch._internal.callers.retries import RunTimes
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.messages import CallerRequest
from rosemarynotch._internal.targets.answers import is_not_run
from rosemarynotch._internal.targets.client import LateWatch
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["RequestRunner"]

# Bounds what one request can cost, whatever the budget allows.
MAX_ATTEMPTS = 3


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
        self._run_times = RunTimes()

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
        for attempt in range(1, MAX_ATTEMPTS + 1):
            grant = self._dispatcher.admit(request, queue, gone, tried)
            if isinstance(grant, Failure):
                return earlier or grant
            result = self._attempt(
                grant,
                request,
                queue,
                end_s,
                request.idempotent and attempt == 1,
            )
            if isinstance(result, Answer):
                return result
            if result.ran is Ran.NO:
                result = earlier or result
            else:
                earlier = result
                if not request.idempotent or not self._budget.try_spend():
                    return result
                self._metrics.count("retried", team=request.team)
            left_s = end_s - self._clock.monotonic_s()
            if attempt == MAX_ATTEMPTS or left_s <= 0:
                return result
            tried = tried | {grant.vm}
            request = attrs.evolve(request, remaining_ms=int(left_s * 1000))

    def _attempt(self, grant, request, queue, end_s, may_repeat):
        """Send a request once; what did not run has ``ran`` no."""
        start_s = self._clock.monotonic_s()
        timeout_s = min(end_s - start_s, queue.longest_run_ms / 1000)
        if may_repeat:
            timeout_s = min(timeout_s, self._unusual_s(request, timeout_s))
        if timeout_s <= 0:
            result = failures.DEADLINE_PASSED.with_reason("before it was sent")
            grant.finish(result, 0.0)
            return result
        try:
            late = LateWatch(
                queue.longest_run_ms / 1000 - timeout_s,
                grant.end_hold,
                lambda: self._health.note(grant.vm, failures.TARGET_TIMEOUT),
            )
            result = self._client.send(grant.address, request, timeout_s, late)
        except BaseException:
            grant.hold(queue.longest_run_ms)
            raise
        run_ms = (self._clock.monotonic_s() - start_s) * 1000
        if isinstance(result, Answer) or result.is_a(failures.TARGET_TIMEOUT):
            self._run_times.note(request.queue, request.team, run_ms / 1000)
        if not self._was_impatient(request, result, timeout_s):
            self._health.note(grant.vm, result)
        if is_not_run(result):
            result = failures.TARGET_REFUSED.with_reason(grant.vm)
        if isinstance(result, Failure) and result.ran is not Ran.NO:
            # The target may still work on it.
            grant.hold(max(0.0, queue.longest_run_ms - run_ms))
            self._metrics.count("outcome_unknown", team=request.team)
        else:
            grant.finish(result, run_ms)
            if isinstance(result, Answer):
                self._metrics.record_ms("run", run_ms, team=request.team)
        return result

    def _was_impatient(self, request, result, timeout_s):
        """Tell whether a time-out says nothing about the target.

        Under overload most requests are sent shortly before their deadline.
        Their time-outs would eject targets that are well.
        """
        if not isinstance(result, Failure):
            return False
        if not result.is_a(failures.TARGET_TIMEOUT):
            return False
        unusual_s = self._run_times.unusual_s(request.queue, request.team)
        return unusual_s is not None and timeout_s < unusual_s

    def _unusual_s(self, request, longest_s):
        """Return after which time another connection should be tried.

        Without budget, a request that is only slow would fail for nothing.
        """
        if self._budget.is_spent():
            return longest_s
        unusual_s = self._run_times.unusual_s(request.queue, request.team)
        return unusual_s or longest_s
