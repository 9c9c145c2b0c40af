"""How long VMs have been seen as failed."""

from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import VmState
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["FailureTracker"]

# Failures of one cause arrive within this time of each other. Afterwards the
# budgets alone decide, so that one VM that never returns does not stop the
# maintenance of the whole fleet.
SETTLE_S = 30.0


class FailureTracker:
    """Tells new failures, which pause waves, from settled ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since_s: dict[str, float] = {}

    def settled(
        self, record: FleetRecord, ejected: frozenset[str]
    ) -> frozenset[str]:
        """Return failed VMs once no VM has failed for a while."""
        now_s = self._clock.monotonic_s()
        failed = set(ejected)
        failed.update(
            name
            for name, vm in record.vms.items()
            if vm.state is VmState.FAILED
        )
        self._since_s = {
            name: self._since_s.get(name, now_s) for name in failed
        }
        newest_s = max(self._since_s.values(), default=now_s)
        if now_s - newest_s < SETTLE_S:
            return frozenset()
        return frozenset(failed)
