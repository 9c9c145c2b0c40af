"""In-process store with injected faults."""

import enum

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.reference.interface import KeyRevision
from rosemarynotch._internal.reference.interface import Store
from rosemarynotch._internal.reference.interface import Versioned
from standins import kv

__all__ = ["Fault", "MemoryStore"]


class Fault(enum.StrEnum):
    """Faults that a test can inject."""

    NONE = "none"
    DOWN = "down"
    LOST_ANSWER = "lost-answer"


class MemoryStore(Store):
    """Adapter of the stand-in's key-value store to :class:`Store`.

    :param core: shared by the stores of all processes of a test
    :ivar fault: fault that applies to the next calls
    :ivar fault_calls: number of calls that it applies to, -1 for all
    """

    def __init__(self, core: kv.KeyValue) -> None:
        self.core = core
        self.fault = Fault.NONE
        self.fault_calls = -1

    def get(self, key):
        """Read a value."""
        return self._call(lambda: self._versioned(self.core.get(key)))

    def put(self, key, value, expected, lease=""):
        """Write a value."""
        return self._call(lambda: self.core.put(key, value, expected, lease))

    def delete(self, key, expected):
        """Delete a key."""

        def run():
            if not self.core.delete(key, expected):
                return failures.STORE_KEY_MISSING
            return None

        return self._call(run)

    def keys(self, prefix):
        """List keys."""
        return self._call(
            lambda: [
                KeyRevision(key=key, revision=revision)
                for key, revision in self.core.keys(prefix)
            ]
        )

    def watch(self, key, after, wait_ms):
        """Wait for a change."""
        return self._call(
            lambda: self._versioned(
                self.core.watch(key, after, wait_ms / 1000),
                failures.STORE_UNCHANGED,
            )
        )

    def grant_lease(self, ttl_ms):
        """Create a lease."""
        return self._call(lambda: self.core.grant_lease(ttl_ms / 1000))

    def renew_lease(self, lease):
        """Extend a lease."""
        return self._call(lambda: self.core.renew_lease(lease))

    def _call(self, run):
        fault = self._next_fault()
        if fault is Fault.DOWN:
            return failures.STORE_UNAVAILABLE
        try:
            result = run()
        except kv.Conflict as error:
            result = failures.STORE_CONFLICT.with_reason(str(error))
        except kv.LeaseMissing as error:
            result = failures.LEASE_LOST.with_reason(str(error))
        if fault is Fault.LOST_ANSWER:
            return Failure("store-unavailable", 503, Ran.UNKNOWN)
        return result

    def _next_fault(self):
        fault = self.fault
        if fault is not Fault.NONE and self.fault_calls > 0:
            self.fault_calls -= 1
            if not self.fault_calls:
                self.fault = Fault.NONE
                self.fault_calls = -1
        return fault

    @staticmethod
    def _versioned(entry, missing=failures.STORE_KEY_MISSING):
        if entry is None:
            return missing
        return Versioned(value=entry.value, revision=entry.revision)
