"""Checks queued requests against the configuration in force."""

from rosemarynotch._internal.admission.waiting import Waiter
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure

__all__ = ["recheck"]


def recheck(waiter: Waiter, current, freshness) -> Failure | None:
    """Check team, key and queue of a request before it starts (rule R6).

    :param current: the configuration in force
    :param freshness: tells whether the configuration may still be used
    :returns: None, or the reason for refusing the request, with ``ran`` no
    """
    request = waiter.request
    if request.key_id:
        stale = freshness.check()
        if stale is not None:
            return stale
    if waiter.checked_version == current.version:
        return None
    refusal = _check(request, waiter.queue, current.document)
    if refusal is None:
        waiter.checked_version = current.version
    return refusal


def _check(request, checked_queue, document):
    team = document.team(request.team)
    if team is None:
        return failures.TEAM_UNKNOWN.with_reason(request.team)
    queue = document.queue(request.queue)
    if queue is None or queue.pool != checked_queue.pool:
        return failures.QUEUE_UNKNOWN.with_reason(request.queue)
    if not request.key_id:
        if queue.open_to_all:
            return None
        return failures.KEY_MISSING.with_reason("the queue requires a key")
    if all(key.key_id != request.key_id for key in team.keys):
        return failures.KEY_WITHDRAWN.with_reason(request.key_id)
    return None
