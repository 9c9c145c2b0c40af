"""Provides a simulated clock, store and VM service."""

import attrs

from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.reference.interface import KeyRevision
from rosemarynotch._internal.reference.interface import PlatformVm
from rosemarynotch._internal.reference.interface import PlatformVmState
from rosemarynotch._internal.reference.interface import Store
from rosemarynotch._internal.reference.interface import Versioned
from rosemarynotch._internal.reference.interface import VmService
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["SimulatedClock", "SimulatedStore", "SimulatedVms"]


class SimulatedClock(Clock):
    """Clock that only advances when a simulation sleeps."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def monotonic_s(self):
        """Return the simulated time."""
        return self.now_s

    def wall_s(self):
        """Return the simulated time."""
        return self.now_s

    def sleep(self, delay_s):
        """Advance the time."""
        self.now_s += delay_s


class SimulatedStore(Store):
    """Store in memory without faults; leases never end.

    :ivar calls: number of calls, including writes
    :ivar writes: number of writes
    :ivar transferred_bytes: size of all keys and values read and written
    """

    def __init__(self) -> None:
        self._values: dict[str, Versioned] = {}
        self._revision = 0
        self.calls = 0
        self.writes = 0
        self.transferred_bytes = 0

    def get(self, key):
        """Read a value."""
        found = self._values.get(key)
        self._count(key, found.value if found else b"")
        return found or failures.STORE_KEY_MISSING

    def put(self, key, value, expected, lease=""):
        """Write a value."""
        self._count(key, value)
        self.writes += 1
        found = self._values.get(key)
        if (found.revision if found else 0) != expected:
            return failures.STORE_CONFLICT
        self._revision += 1
        self._values[key] = Versioned(value=value, revision=self._revision)
        return self._revision

    def delete(self, key, expected):
        """Delete a key."""
        self._count(key, b"")
        self.writes += 1
        self._values.pop(key, None)

    def keys(self, prefix):
        """List keys."""
        found = [
            KeyRevision(key=key, revision=value.revision)
            for key, value in sorted(self._values.items())
            if key.startswith(prefix)
        ]
        self._count("".join(row.key for row in found), b"")
        return found

    def watch(self, key, after, wait_ms):
        """Report no change, without waiting."""
        return failures.STORE_UNCHANGED

    def grant_lease(self, ttl_ms):
        """Return a lease."""
        self._count("lease", b"")
        return "lease"

    def renew_lease(self, lease):
        """Renew a lease."""
        self._count("lease", b"")

    def _count(self, key: str, value: bytes) -> None:
        self.calls += 1
        self.transferred_bytes += len(key) + len(value)


class SimulatedVms(VmService):
    """VM service that reboots a VM once per operation, for a random time.

    :ivar list_calls: number of times that the list was fetched
    """

    def __init__(self, document, clock, rng, reboot_s) -> None:
        self._clock = clock
        self._rng = rng
        self._reboot_s = reboot_s
        self._ends_s: dict[str, float] = {}
        self._operations: set[tuple[str, str]] = set()
        self.list_calls = 0
        self.rows = {
            spec.name: PlatformVm(
                name=spec.name,
                instance=f"{spec.name}#1",
                state=PlatformVmState.LIVE,
                address=f"10.0.0.1:{number}",
                data_centre=spec.data_centre,
                rack=spec.rack,
            )
            for number, spec in enumerate(
                vm for pool in document.pools for vm in pool.vms
            )
        }

    def vms(self):
        """Complete the reboots that are due and return the list."""
        self.list_calls += 1
        for name, end_s in list(self._ends_s.items()):
            if end_s <= self._clock.monotonic_s():
                del self._ends_s[name]
                row = self.rows[name]
                instance_number = int(row.instance.rpartition("#")[2]) + 1
                self.rows[name] = attrs.evolve(
                    row,
                    instance=f"{name}#{instance_number}",
                    state=PlatformVmState.LIVE,
                )
        return list(self.rows.values())

    def drain(self, vm, operation_id):
        """Do nothing."""

    def undrain(self, vm, operation_id):
        """Do nothing."""

    def reboot(self, vm, operation_id):
        """Reboot a VM once per operation."""
        if (vm, operation_id) in self._operations:
            return
        self._operations.add((vm, operation_id))
        duration_s = self._rng.uniform(*self._reboot_s)
        self._ends_s[vm] = self._clock.monotonic_s() + duration_s
        self.rows[vm] = attrs.evolve(
            self.rows[vm], state=PlatformVmState.REBOOTING
        )
