"""Forwarding of requests to the entry that has to run them."""

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


# Added to the remaining time of a request when waiting for a peer. The peer
# measures the deadline from the arrival of the request, so without this
# margin its refusal at the deadline would always arrive too late, and a
# request that did not run would be reported as an unknown outcome.
ANSWER_MARGIN_S = 0.25


def _never_disconnected():
    return False


def _refuse_without_owner(request, failure):
    """Return the failure of a request that its owner has not decided on.

    An earlier request with the same key may have run, which only the owner
    of the key knows.
    """
    is_repeat = request.idempotency_key and request.is_unsafe_repeat
    if failure.ran is Ran.NO and is_repeat:
        return failures.OUTCOME_UNKNOWN.with_reason(failure.reason)
    return failure


class Forwarder:
    """Runs requests locally or at the entry that has to run them.

    A request with an idempotency key runs at the entry that owns the key
    (rule R5). Any other request whose team has no portion of its limit at
    this entry runs at the entry with the largest portion (rule R1).

    :param name: name of this entry
    :param in_force: the configuration in force
    :param members: the entries and the owners of idempotency keys
    :param permits: portions of the limits of teams
    :param exchange: sends requests to other entries
    :param runner: runs requests on targets
    :param table: outcomes of requests whose key this entry owns
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
        is_disconnected: Callable[[], bool] = _never_disconnected,
    ) -> Answer | Failure:
        """Run a request that a caller sent to this entry.

        :param is_disconnected: tells whether the caller has disconnected
        """
        if request.idempotency_key:
            # The revision is read before the owner, so it is never newer
            # than the record that the owner comes from. A revision that is
            # too old only makes the receiver check the owner; one that is
            # too new would suppress the check.
            revision = self._members.revision
            owner = self._members.owner(request.team, request.idempotency_key)
            if owner != self._name:
                return self._forward(
                    owner, request, queue, revision, is_disconnected
                )
        elif not self._permits.portion(request.team):
            holder = self._permits.largest_holder(request.team)
            if holder and holder != self._name:
                revision = self._members.revision
                return self._forward(
                    holder, request, queue, revision, is_disconnected
                )
        return self._run_locally(request, queue, is_disconnected)

    def handle_forward(self, forward: Forward) -> ForwardAnswer:
        """Run a forwarded request without forwarding it again."""
        result = self._run_forwarded(forward)
        if isinstance(result, Failure):
            return ForwardAnswer(failure=result)
        return ForwardAnswer(answer=result)

    def _run_forwarded(self, forward):
        request = forward.request
        queue = self._in_force.current.document.queue(request.queue)
        if queue is None:
            return _refuse_without_owner(
                request, failures.QUEUE_UNKNOWN.with_reason(request.queue)
            )
        if request.idempotency_key:
            revision = self._members.revision
            owner = self._members.owner(request.team, request.idempotency_key)
            # If the sender has a newer members record, its choice of the
            # owner prevails.
            if owner != self._name and revision >= forward.members_revision:
                return _refuse_without_owner(
                    request,
                    failures.NOT_OWNER.with_reason(f"the owner is {owner}"),
                )
        self._metrics.count("forwarded_here", team=request.team)
        return self._run_locally(request, queue, _never_disconnected)

    def _run_locally(self, request, queue, is_disconnected):
        if not request.idempotency_key:
            return self._runner.run(request, queue, is_disconnected)
        # Repeats of a key share one run, so it must not be dropped when the
        # first caller disconnects.
        return self._table.run(
            request,
            lambda: self._runner.run(request, queue, _never_disconnected),
        )

    def _forward(self, entry, request, queue, revision, is_disconnected):
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
        else:
            result = _refuse_without_owner(request, result)
        if not isinstance(result, Failure) or result.ran is not Ran.UNKNOWN:
            return result
        if not request.idempotent:
            return failures.OUTCOME_UNKNOWN.with_reason(result.code)
        elapsed_ms = int((self._clock.monotonic_s() - start_s) * 1000)
        remaining_ms = request.remaining_ms - elapsed_ms
        if remaining_ms <= 0:
            return result
        request = attrs.evolve(request, remaining_ms=remaining_ms)
        return self._runner.run(request, queue, is_disconnected)
