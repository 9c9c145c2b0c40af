"""Checks that refuse requests which cannot be answered by their deadline."""

from rosemarynotch._internal.admission.pools import PoolState
from rosemarynotch._internal.admission.waiting import Waiter
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure

__all__ = ["check_arrival", "check_waiting"]


def check_arrival(waiter: Waiter, pool: PoolState) -> Failure | None:
    """Compare the estimated wait and run time with the deadline on arrival.

    :returns: None, or the reason for refusing the request, with ``ran`` no
    """
    team = waiter.request.team
    ahead = pool.queues.length(team, waiter.queue.urgent)
    wait_s = pool.slots.estimated_wait_s(team, ahead)
    run_s = pool.slots.expected_run_s(team)
    if waiter.arrived_s + wait_s + run_s <= waiter.deadline_s:
        return None
    reason = f"estimated wait and run time {(wait_s + run_s) * 1000:.0f} ms"
    return failures.DEADLINE_UNREACHABLE.with_reason(reason)


def check_waiting(
    waiter: Waiter, pool: PoolState, now_s: float
) -> Failure | None:
    """Compare the estimated run time of a queued request with its deadline.

    :returns: None, or the reason for refusing the request, with ``ran`` no
    """
    if now_s >= waiter.deadline_s:
        return failures.DEADLINE_PASSED.with_reason(
            "while the request was queued"
        )
    run_s = pool.slots.expected_run_s(waiter.request.team)
    if now_s + run_s > waiter.deadline_s:
        # It would occupy a slot although its answer would come too late.
        reason = f"estimated run time {run_s * 1000:.0f} ms"
        return failures.DEADLINE_UNREACHABLE.with_reason(reason)
    return None
