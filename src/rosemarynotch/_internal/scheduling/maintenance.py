"""Chooses which VMs of a maintenance wave are taken out of service next."""

import abc
from collections.abc import Sequence

import attrs

__all__ = [
    "OneAtATime",
    "SpreadOverPools",
    "Wave",
    "WavePolicy",
    "WaveRecord",
    "WaveVm",
]

# A pool with a larger share of its processors in use is busy, and its VMs are
# taken only when the time of the wave becomes short.
BUSY_UTILISATION = 0.6
# Share of a pool's VMs that may be out of service at the same time.
MAX_UNAVAILABLE_SHARE = 0.34
# Share of the wave's time after which VMs of busy pools are taken as well.
URGENT_ELAPSED_SHARE = 0.5


@attrs.frozen(kw_only=True)
class Wave:
    """A set of VMs that are due for maintenance.

    :ivar duration_s: time within which all of them have to be maintained
    :ivar max_down: VMs of the wave that may be down at the same time
    """

    number: int
    vms: tuple[str, ...]
    duration_s: float
    max_down: int


@attrs.frozen(kw_only=True)
class WaveRecord:
    """Progress of a wave, as recorded in the store.

    :ivar ordered: VMs whose maintenance was ordered, with the worker that
        each had then; an order without an answer may still be carried out
    :ivar begun: VMs whose maintenance has begun, or was done before, for
        certain; the others may have to be ordered again
    :ivar back: VMs that have been maintained and are back in service
    :ivar seen_unix_ms: when a leader first read the wave; later leaders also
        count the time of the wave from here
    """

    ordered: dict[str, str] = attrs.field(factory=dict)
    begun: tuple[str, ...] = ()
    back: tuple[str, ...] = ()
    seen_unix_ms: int = 0

    def age_s(self, wall_ms: float) -> float:
        """Return the time since a leader first read the wave."""
        if not self.seen_unix_ms:
            return 0.0
        return max(0.0, (wall_ms - self.seen_unix_ms) / 1000)


@attrs.frozen(kw_only=True)
class WaveVm:
    """A VM of a wave whose maintenance has not been ordered yet.

    :ivar pool_vms: number of VMs in its pool
    :ivar pool_unavailable_vms: number of VMs in its pool that are out of
        service or about to be
    :ivar pool_utilisation: share of the pool's processors in use
    :ivar run_count: number of runs on the VM
    :ivar is_free: whether maintaining it costs no capacity, because its pool
        is a standby pool, it has no worker or its data centre is evacuated
    """

    name: str
    pool: str
    pool_vms: int
    pool_unavailable_vms: int
    pool_utilisation: float
    run_count: int
    is_free: bool


class WavePolicy(abc.ABC):
    """Chooses the VMs of a wave to empty and maintain next."""

    @abc.abstractmethod
    def choose(
        self, vms: Sequence[WaveVm], limit: int, elapsed_share: float
    ) -> list[str]:
        """Return the names of the next VMs.

        :param vms: VMs of the wave that have not been ordered yet
        :param limit: greatest number of VMs to return
        :param elapsed_share: share of the wave's time that has passed
        """


class OneAtATime(WavePolicy):
    """Maintains one VM after the other (baseline)."""

    def choose(self, vms, limit, elapsed_share):
        """Return one VM if no pool has a VM out of service."""
        if limit < 1 or any(vm.pool_unavailable_vms for vm in vms):
            return []
        return [vm.name for vm in vms[:1]]


class SpreadOverPools(WavePolicy):
    """Takes idle VMs first, a few of each pool, and busy pools last.

    Intended for a wave over half of the fleet while queues peak one after the
    other: the VMs of the peaking queue are left in service until its peak is
    over or the time of the wave becomes short.
    """

    def choose(self, vms, limit, elapsed_share):
        """Return the VMs whose absence costs the least."""
        chosen: list[str] = []
        unavailable_by_pool: dict[str, int] = {}
        is_urgent = elapsed_share >= URGENT_ELAPSED_SHARE
        order = sorted(
            vms, key=lambda vm: (not vm.is_free, vm.run_count, vm.name)
        )
        for vm in order:
            if len(chosen) >= limit:
                break
            if not vm.is_free:
                count = unavailable_by_pool.get(
                    vm.pool, vm.pool_unavailable_vms
                )
                max_unavailable = max(
                    1, int(vm.pool_vms * MAX_UNAVAILABLE_SHARE)
                )
                if count >= max_unavailable:
                    continue
                if vm.pool_utilisation > BUSY_UTILISATION and not is_urgent:
                    continue
                unavailable_by_pool[vm.pool] = count + 1
            chosen.append(vm.name)
        return chosen
