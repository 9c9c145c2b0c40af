"""Decides which entry runs a request, and serves other entries."""

from typing import Callable

import attrs

from rosemarynotch._internal.admission.idempotency import IdempotencyTable
from rosemarynotch._internal.callers.running import RequestRunner
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.messages import CallerRequest
from rosemarynotch._internal.models.messages import Forward
from rosemarynotch._internal.models.messages import ForwardAnswer
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Forwarder"]


# The receiver measures the deadline from the arrival of the request. Without
# this margin its refusal at the deadline would always come too late, and a
# request that did not run would be reported as an unknown outcome.
ANSWER_MARGIN_S = 0.25


def _never():
    return False


class Forwarder:
    """Runs requests here or at the entry that has to run them.

    A request with an idempotency key runs at the key's owner (R5). Another
    request of a team that has no portion here runs at the entry with the
    largest portion (R1).

    :param name: name of this entry
    :param in_force: the configuration
    :param members: the entries and the owners of keys
    :param permits: portions of teams
    :param exchange: sends requests to other entries
    :param runner: runs requests on targets
    :param table: outcomes of requests with a key that is owned here
    """

    def __init__(
        self,
        *,
        name: str,
        in_force,
        members,
        permits,
        exchange,
        runner: RequestRunner,
        table: IdempotencyTable,
        clock: Clock,
        metrics,
    ) -> None:
        self._name = name
        self._in_force = in_force
        self._members = members
        self._permits = permits
        self._exchange = exchange
        self._runner = runner
        self._table = table
        self._clock = clock
        self._metrics = metrics

    def run(
        self,
        request: CallerRequest,
        queue: QueueSpec,
        gone: Callable[[], bool] = _never,
    ) -> Answer | Failure:
        """Run a request of a caller of this entry."""
        if request.idempotency_key:
            # Read before the owner is looked up: a newer record than the
            # revision says makes the receiver check, an older one would not.
            revision = self._members.revision
            owner = self._members.owner(request.team, request.idempotency_key)
            if owner != self._name:
                return self._forward(owner, request, queue, revision, gone)
        elif not self._permits.portion(request.team):
            holder = self._permits.largest_holder(request.team)
            if holder and holder != self._name:
                revision = self._members.revision
                return self._forward(holder, request, queue, revision, gone)
        return self._run_here(request, queue, gone)

    def handle_forward(self, forward: Forward) -> ForwardAnswer:
        """Run a request that another entry sent here; never sends it on."""
        result = self._accept(forward)
        if isinstance(result, Failure):
            return ForwardAnswer(failure=result)
        return ForwardAnswer(answer=result)

    def _accept(self, forward):
        request = forward.request
        queue = self._in_force.current.document.queue(request.queue)
        if queue is None:
            return failures.QUEUE_UNKNOWN.with_reason(request.queue)
        if request.idempotency_key:
            revision = self._members.revision
            owner = self._members.owner(request.team, request.idempotency_key)
            # A sender with a newer record knows the owner better.
            if owner != self._name and revision >= forward.members_revision:
                return failures.NOT_OWNER.with_reason(f"the owner is {owner}")
        self._metrics.count("forwarded_here", team=request.team)
        return self._run_here(request, queue, _never)

    def _run_here(self, request, queue, gone):
        if not request.idempotency_key:
            return self._runner.run(request, queue, gone)
        # The run of a key is shared by its repeats, so it does not end
        # because the first caller has hung up.
        return self._table.run(
            request, lambda: self._runner.run(request, queue, _never)
        )

    def _forward(self, entry, request, queue, revision, gone):
        start_s = self._clock.monotonic_s()
        forward = Forward(
            request=request,
            members_revision=revision,
            config_version=self._in_force.current.version,
        )
        timeout_s = request.remaining_ms / 1000 + ANSWER_MARGIN_S
        result = self._exchange.forward(entry, forward, timeout_s)
        self._metrics.count("forwarded", team=request.team)
        if isinstance(result, ForwardAnswer):
            result = result.answer or result.failure
        if not isinstance(result, Failure) or result.ran is not Ran.UNKNOWN:
            return result
        if not request.idempotent:
            return failures.OUTCOME_UNKNOWN.with_reason(result.code)
        passed_ms = int((self._clock.monotonic_s() - start_s) * 1000)
        left_ms = request.remaining_ms - passed_ms
        if left_ms <= 0:
            return result
        request = attrs.evolve(request, remaining_ms=left_ms)
        return self._runner.run(request, queue, gone)
