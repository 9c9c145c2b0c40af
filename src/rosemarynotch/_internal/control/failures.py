"""Tracks how long VMs have been failed."""

from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["FailureTracker"]

# Failures with a common cause are observed within this time of each other.
# Once it has passed without a new failure, only the availability budgets
# restrict waves, so that a VM that never returns does not stop the
# maintenance of the whole fleet.
LASTING_FAILURE_S = 30.0


class FailureTracker:
    """Distinguishes recent failures, which pause waves, from lasting ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failed_since_s: dict[str, float] = {}

    def lasting_failures(
        self, record: FleetRecord, ejected: frozenset[str]
    ) -> frozenset[str]:
        """Return all failed VMs, or none while a failure is recent.

        :param ejected: VMs that most entries have ejected
        """
        now_s = self._clock.monotonic_s()
        failed = set(ejected)
        failed.update(
            name
            for name, vm in record.vms.items()
            if vm.state is VmState.FAILED
        )
        self._failed_since_s = {
            name: self._failed_since_s.get(name, now_s) for name in failed
        }
        newest_s = max(self._failed_since_s.values(), default=now_s)
        if now_s - newest_s < LASTING_FAILURE_S:
            return frozenset()
        return frozenset(failed)
