"""Attempts of a request on targets (rule R3, retries)."""

from typing import Callable

import attrs

from rosemarynotch._internal.callers.retries import RetryBudget
from rosemarynotch._internal.callers.retries import RunTimes
from rosemarynotch._internal.configuration import MAX_TICK_GAP_S
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.messages import CallerRequest
from rosemarynotch._internal.targets.answers import is_not_run
from rosemarynotch._internal.targets.client import LateAnswerCallbacks
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["RequestRunner"]

# Limits the cost of one request even if the retry budget allows more.
MAX_ATTEMPTS = 3


class RequestRunner:
    """Obtains a grant for a request, sends the request, ends the grant.

    :param dispatcher: grants slots, permits and targets
    :param client: sends requests to targets
    :param health: records the outcomes by target
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
        is_disconnected: Callable[[], bool],
    ) -> Answer | Failure:
        """Run a request, with retries if it may be repeated.

        :param is_disconnected: tells whether the caller has disconnected
        :returns: the answer, or why there is none
        """
        end_s = self._clock.monotonic_s() + request.remaining_ms / 1000
        self._budget.record_first_attempt()
        tried_vms = frozenset()
        earlier_failure = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            grant = self._dispatcher.admit(
                request, queue, is_disconnected, tried_vms
            )
            if isinstance(grant, Failure):
                return earlier_failure or grant
            result = self._attempt(
                grant,
                request,
                queue,
                end_s,
                request.idempotent and attempt == 1,
            )
            if isinstance(result, Answer):
                return result
            if not result.is_a(failures.GRANT_EXPIRED):
                tried_vms = tried_vms | {grant.vm}
            if result.ran is Ran.NO:
                result = earlier_failure or result
            else:
                earlier_failure = result
                if not request.idempotent or not self._budget.try_spend():
                    return result
                self._metrics.count("retried", team=request.team)
            remaining_s = end_s - self._clock.monotonic_s()
            if attempt == MAX_ATTEMPTS or remaining_s <= 0:
                return result
            request = attrs.evolve(
                request, remaining_ms=int(remaining_s * 1000)
            )

    def _attempt(self, grant, request, queue, end_s, may_repeat):
        """Send a request once.

        :param may_repeat: whether the request may be sent again when this
            attempt takes unusually long
        :returns: the answer or a failure; its ``ran`` is no if the target
            did not run the request
        """
        start_s = self._clock.monotonic_s()
        timeout_s = min(end_s - start_s, queue.longest_run_ms / 1000)
        if may_repeat:
            timeout_s = min(
                timeout_s, self._first_timeout_s(request, timeout_s)
            )
        if timeout_s <= 0:
            result = failures.DEADLINE_PASSED.with_reason(
                "deadline passed before the request was sent"
            )
            grant.finish(result, 0.0)
            return result
        try:
            late = LateAnswerCallbacks(
                queue.longest_run_ms / 1000 - timeout_s,
                grant.end_hold,
                lambda: self._health.record_outcome(
                    grant.vm, failures.TARGET_TIMEOUT
                ),
            )
            # The process may have been paused since the permit was taken, and
            # the portion reclaimed.
            result = self._client.send(
                grant.address,
                request,
                timeout_s,
                late,
                grant.started_s + MAX_TICK_GAP_S,
            )
        except BaseException:
            grant.hold(queue.longest_run_ms)
            raise
        run_ms = (self._clock.monotonic_s() - start_s) * 1000
        if isinstance(result, Answer) or result.is_a(failures.TARGET_TIMEOUT):
            self._run_times.record(request.queue, request.team, run_ms / 1000)
        if not self._is_inconclusive(request, result, timeout_s):
            self._health.record_outcome(grant.vm, result)
        if is_not_run(result):
            result = failures.TARGET_REFUSED.with_reason(grant.vm)
        if isinstance(result, Failure) and result.ran is not Ran.NO:
            # The target may still run the request, so its slot and permit
            # stay in use.
            grant.hold(max(0.0, queue.longest_run_ms - run_ms))
            self._metrics.count("outcome_unknown", team=request.team)
        else:
            grant.finish(result, run_ms)
            if isinstance(result, Answer):
                self._metrics.record_ms("run", run_ms, team=request.team)
        return result

    def _is_inconclusive(self, request, result, timeout_s):
        """Tell whether a result says nothing about the target's health.

        A request whose grant has expired was not sent. Under overload most
        requests are sent shortly before their deadline, and their time-outs
        would eject healthy targets.
        """
        if not isinstance(result, Failure):
            return False
        if not result.is_a(failures.TARGET_TIMEOUT):
            return result.is_a(failures.GRANT_EXPIRED)
        threshold_s = self._run_times.outlier_threshold_s(
            request.queue, request.team
        )
        return threshold_s is not None and timeout_s < threshold_s

    def _first_timeout_s(self, request, longest_s):
        """Return the time after which another attempt should start.

        Without a retry left it is the longest time, since a request that is
        only slow would fail without a benefit.
        """
        if self._budget.is_spent():
            return longest_s
        threshold_s = self._run_times.outlier_threshold_s(
            request.queue, request.team
        )
        return threshold_s or longest_s
