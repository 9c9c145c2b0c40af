"""Deduplication of requests by idempotency key (rule R5)."""

from collections import OrderedDict
import hashlib
import threading
from typing import Callable

import attrs

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.models.messages import Answer
from rosemarynotch._internal.models.messages import CallerRequest
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["BODY_DROPPED_HEADER", "IdempotencyTable"]

RETENTION_S = 120.0
MAX_TABLE_BYTES = 32 * 1024 * 1024
MAX_STORED_BODY_BYTES = 64 * 1024
# Estimated memory for a table entry without its body and headers.
ENTRY_BYTES = 1024
BODY_DROPPED_HEADER = "Rosemarynotch-Body-Dropped"


@attrs.define(eq=False)
class _Run:
    """A running request, or the outcome of a finished one."""

    fingerprint: bytes
    done: threading.Event = attrs.field(factory=threading.Event)
    outcome: Answer | Failure | None = None
    size_bytes: int = ENTRY_BYTES
    done_at_s: float = 0.0


class IdempotencyTable:
    """Runs each key owned by this entry once and answers repeats of it.

    :param members: the entries among which the keys are divided; when they
        change, this entry may become the owner of keys whose requests may
        have run at the former owner
    """

    def __init__(self, members, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._lock = threading.Lock()
        self._runs: dict[tuple[str, str], _Run] = {}
        self._finished: OrderedDict[tuple[str, str], _Run] = OrderedDict()
        self._size_bytes = 0
        self._revision = -1
        self._entries: frozenset = frozenset()
        self._uncertain_until_s = 0.0

    def run(
        self,
        request: CallerRequest,
        execute: Callable[[], Answer | Failure],
    ) -> Answer | Failure:
        """Run a request, or return the outcome of its earlier run.

        A repeat waits for a run that has not finished yet.

        :param execute: runs the request on a target
        :returns: the outcome; IDEMPOTENCY_KEY_REUSED if the content differs
            from that of the earlier request
        """
        key = (request.team, request.idempotency_key)
        fingerprint = _fingerprint(request)
        with self._lock:
            self._expire()
            run = self._runs.get(key)
            if run is None:
                refusal = self._refuse_new(request)
                if refusal is not None:
                    return refusal
                run = _Run(fingerprint)
                self._runs[key] = run
                self._size_bytes += run.size_bytes
                first = True
            else:
                first = False
        if run.fingerprint != fingerprint:
            return failures.IDEMPOTENCY_KEY_REUSED.with_reason(
                "the key was used before with different content"
            )
        if first:
            return self._execute(key, run, request, execute)
        if not run.done.wait(request.remaining_ms / 1000):
            return failures.OUTCOME_UNKNOWN.with_reason(
                "the first request with this key is still running"
            )
        return run.outcome

    def _execute(self, key, run, request, execute):
        outcome = failures.OUTCOME_UNKNOWN.with_reason("internal error")
        try:
            outcome = execute()
        finally:
            with self._lock:
                self._record_outcome(key, run, request, outcome)
            run.done.set()
        return outcome

    def _record_outcome(self, key, run, request, outcome):
        run.outcome = outcome
        if isinstance(outcome, Failure):
            # A request that did not run, or that is idempotent, may run
            # when it is repeated, so its failure is not kept.
            if outcome.ran is Ran.NO or request.idempotent:
                del self._runs[key]
                self._size_bytes -= run.size_bytes
                return
        else:
            run.outcome = _storable(outcome)
            extra = _size(run.outcome)
            run.size_bytes += extra
            self._size_bytes += extra
        run.done_at_s = self._clock.monotonic_s()
        self._finished[key] = run
        self._drop_bodies()

    def _refuse_new(self, request):
        """Return why a request with an unknown key must not run, or None."""
        self._follow_entries()
        is_uncertain = self._clock.monotonic_s() < self._uncertain_until_s
        if is_uncertain and request.is_unsafe_repeat:
            return failures.OUTCOME_UNKNOWN.with_reason(
                "the request may have run at the former owner of the key"
            )
        if self._size_bytes + ENTRY_BYTES > MAX_TABLE_BYTES:
            return failures.QUEUE_FULL.with_reason(
                "too many idempotency keys in use"
            )
        return None

    def _follow_entries(self):
        """Start an uncertain period when keys may have moved here."""
        revision = self._members.revision
        if revision == self._revision:
            return
        self._revision = revision
        entries = frozenset(
            (member.name, member.incarnation)
            for member in self._members.entries()
        )
        if entries != self._entries:
            self._entries = entries
            self._uncertain_until_s = self._clock.monotonic_s() + RETENTION_S

    def _expire(self):
        """Remove the requests that finished over ``RETENTION_S`` ago."""
        before_s = self._clock.monotonic_s() - RETENTION_S
        while self._finished:
            key, run = next(iter(self._finished.items()))
            if run.done_at_s > before_s:
                return
            del self._finished[key], self._runs[key]
            self._size_bytes -= run.size_bytes

    def _drop_bodies(self):
        """Drop the oldest bodies to free memory.

        The record that a request ran is never dropped.
        """
        for run in self._finished.values():
            if self._size_bytes <= MAX_TABLE_BYTES:
                return
            if isinstance(run.outcome, Answer) and run.outcome.body:
                before = _size(run.outcome)
                run.outcome = _without_body(run.outcome)
                freed = before - _size(run.outcome)
                run.size_bytes -= freed
                self._size_bytes -= freed


def _fingerprint(request):
    digest = hashlib.sha256()
    for part in (request.method, request.path, request.queue):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()


def _size(answer):
    headers = sum(len(n) + len(v) for n, v in answer.headers)
    return len(answer.body) + headers


def _storable(answer):
    if len(answer.body) <= MAX_STORED_BODY_BYTES:
        return answer
    return _without_body(answer)


def _without_body(answer):
    return Answer(
        status=answer.status,
        headers=((BODY_DROPPED_HEADER, "1"),),
        body=b"",
    )
