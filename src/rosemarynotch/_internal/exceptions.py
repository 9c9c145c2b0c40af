"""Failure and exception types.

An operation that can fail in an expected way returns a :class:`Failure`
instead of raising an exception. This module defines one constant for each
kind of failure. :meth:`Failure.with_reason` adds a reason to a constant, and
:meth:`Failure.is_a` compares the kinds of two failures. Exceptions are
raised only for errors that end a program.
"""

import enum

import attrs

__all__ = [
    "Failure",
    "Ran",
    "RosemarynotchError",
    "SettingsError",
]


class RosemarynotchError(Exception):
    """Base class of the exceptions of this package."""


class SettingsError(RosemarynotchError):
    """Raised when a setting is missing, malformed or out of range."""


class Ran(enum.StrEnum):
    """Whether a failed request may have run on a target."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@attrs.frozen
class Failure:
    """A failure of a certain kind.

    :ivar code: stable identifier of the kind, in kebab case
    :ivar status: HTTP status sent to callers and operators
    :ivar ran: whether the request may have run on a target
    :ivar reason: human-readable description
    :ivar retry_after_s: delay before the next attempt, 0 if unknown
    """

    code: str
    status: int
    ran: Ran = Ran.NO
    reason: str = ""
    retry_after_s: int = 0

    def with_reason(self, reason: str) -> "Failure":
        """Return a copy of this failure with a reason."""
        return attrs.evolve(self, reason=reason)

    def with_retry_after(self, delay_s: int) -> "Failure":
        """Return a copy of this failure with a delay before a retry."""
        return attrs.evolve(self, retry_after_s=delay_s)

    def with_ran_unknown(self) -> "Failure":
        """Return a copy of this failure for a request that may have run."""
        return attrs.evolve(self, ran=Ran.UNKNOWN)

    def is_a(self, kind: "Failure") -> bool:
        """Return whether this failure has the same code as ``kind``."""
        return self.code == kind.code


# Caller requests.
CONFIGURATION_MISSING = Failure("configuration-missing", 503)
OVERLOADED = Failure("overloaded", 503)
ACCEPTANCE_UNKNOWN = Failure("acceptance-unknown", 504, Ran.UNKNOWN)
KEY_MISSING = Failure("key-missing", 401)
KEY_INVALID = Failure("key-invalid", 401)
KEY_WITHDRAWN = Failure("key-withdrawn", 401)
TEAM_UNKNOWN = Failure("team-unknown", 403)
QUEUE_UNKNOWN = Failure("queue-unknown", 404)
POOL_UNKNOWN = Failure("pool-unknown", 404)
JOB_UNKNOWN = Failure("job-unknown", 404)
JOB_WITHDRAWN = Failure("job-withdrawn", 503)
REQUEST_MALFORMED = Failure("request-malformed", 400)
BODY_TOO_LARGE = Failure("body-too-large", 413)
BODY_TRUNCATED = Failure("body-truncated", 400)
JOB_TOO_LARGE = Failure("job-too-large", 422)
JOB_MEMORY_FULL = Failure("job-memory-full", 503)
JOB_TABLE_FULL = Failure("job-table-full", 503)
IDEMPOTENCY_KEY_REUSED = Failure("idempotency-key-reused", 422)
QUEUE_FULL = Failure("queue-full", 429)
DEADLINE_UNREACHABLE = Failure("deadline-unreachable", 503)
DEADLINE_PASSED = Failure("deadline-passed", 504)
CALLER_GONE = Failure("caller-gone", 499)
NO_TARGET = Failure("no-target", 503)
SHUTTING_DOWN = Failure("shutting-down", 503)
CONFIGURATION_STALE = Failure("configuration-stale", 503)
NOT_OWNER = Failure("not-owner", 503)
OUTCOME_UNKNOWN = Failure("outcome-unknown", 504, Ran.UNKNOWN)

# Targets and peers.
TARGET_UNREACHABLE = Failure("target-unreachable", 502)
TARGET_REFUSED = Failure("target-refused", 503)
GRANT_EXPIRED = Failure("grant-expired", 503)
TARGET_TIMEOUT = Failure("target-timeout", 504, Ran.UNKNOWN)
ANSWER_TRUNCATED = Failure("answer-truncated", 502, Ran.UNKNOWN)
PEER_UNREACHABLE = Failure("peer-unreachable", 503)
PEER_TIMEOUT = Failure("peer-timeout", 504, Ran.UNKNOWN)
PEER_VERSION = Failure("peer-version", 502)

# The platform.
STORE_UNAVAILABLE = Failure("store-unavailable", 503)
STORE_CONFLICT = Failure("store-conflict", 409)
STORE_KEY_MISSING = Failure("store-key-missing", 404)
STORE_UNCHANGED = Failure("store-unchanged", 304)
LEASE_LOST = Failure("lease-lost", 409)
PLATFORM_UNAVAILABLE = Failure("platform-unavailable", 503)
PLATFORM_REFUSED = Failure("platform-refused", 409)
RECORD_MALFORMED = Failure("record-malformed", 500)
STORE_HISTORY_LOST = Failure("store-history-lost", 410)

# Workers.
RUN_FENCED = Failure("run-fenced", 409)
RUN_SUPERSEDED = Failure("run-superseded", 409)
RUN_LATE = Failure("run-late", 409)
RUN_NO_ROOM = Failure("run-no-room", 409)
RUN_NO_TICKET = Failure("run-no-ticket", 409)
WORKER_REPLACED = Failure("worker-replaced", 421)
WORKER_BUSY = Failure("worker-busy", 503)
WORKER_UNREACHABLE = Failure("worker-unreachable", 503)

# Operators.
OPERATOR_KEY_INVALID = Failure("operator-key-invalid", 401)
DOCUMENT_MALFORMED = Failure("document-malformed", 422)
DOCUMENT_NOT_TRIED = Failure("document-not-tried", 409)
VERSION_CHANGED = Failure("version-changed", 409)
CHANGE_UNKNOWN = Failure("change-unknown", 504, Ran.UNKNOWN)
CONFIRMATION_NEEDED = Failure("confirmation-needed", 409)
BUDGET_WOULD_BREAK = Failure("budget-would-break", 409)
VM_UNKNOWN = Failure("vm-unknown", 404)
VM_BUSY = Failure("vm-busy", 409)
WAVE_UNKNOWN = Failure("wave-unknown", 404)
