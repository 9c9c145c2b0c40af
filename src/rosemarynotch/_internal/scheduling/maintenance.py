"""Maintenance waves: which VMs are taken out of service next."""

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

# Share of a pool's processors in use from which a VM is taken only when the
# time of the wave runs out.
BUSY_SHARE = 0.6
# Share of a pool's VMs that may be out of service at once.
MAX_OUT_SHARE = 0.34
# Part of the wave's time after which busy pools give up VMs as well.
PRESSING_SHARE = 0.5


@attrs.frozen(kw_only=True)
class Wave:
    """VMs that are due for maintenance.

    :ivar max_down: VMs of the wave that may be down at once
    """

    number: int
    vms: tuple[str, ...]
    duration_s: float
    max_down: int


@attrs.frozen(kw_only=True)
class WaveRecord:
    """What the store keeps of a wave.

    :ivar ordered: VMs whose maintenance was ordered, with the worker that
        each had then; an order without an answer may still be carried out
    :ivar back: VMs that have been maintained
    :ivar seen_unix_ms: when a leader first saw the wave; its time goes on
        when the leader changes
    """

    ordered: dict[str, str] = attrs.field(factory=dict)
    back: tuple[str, ...] = ()
    seen_unix_ms: int = 0

    def age_s(self, wall_ms: float) -> float:
        """Return for how long the wave has been seen."""
        if not self.seen_unix_ms:
            return 0.0
        return max(0.0, (wall_ms - self.seen_unix_ms) / 1000)


@attrs.frozen(kw_only=True)
class WaveVm:
    """A VM that the wave has not ordered yet.

    :ivar pool_vms: VMs of its pool
    :ivar pool_unavailable_vms: those of them that are out of service or about
        to be
    :ivar pool_utilisation: share of the pool's processors in use
    :ivar run_count: runs on it
    :ivar is_free: it costs nothing to take it, as in a standby pool
    """

    name: str
    pool: str
    pool_vms: int
    pool_unavailable_vms: int
    pool_utilisation: float
    run_count: int
    is_free: bool


class WavePolicy(abc.ABC):
    """Chooses VMs to empty and maintain."""

    @abc.abstractmethod
    def choose(
        self, vms: Sequence[WaveVm], limit: int, elapsed_share: float
    ) -> list[str]:
        """Return the next VMs.

        :param limit: most VMs to return
        :param elapsed_share: part of the wave's time that has passed
        """


class OneAtATime(WavePolicy):
    """Baseline: one VM after the other."""

    def choose(self, vms, limit, elapsed_share):
        """Return one VM when none is out."""
        if limit < 1 or any(vm.pool_unavailable_vms for vm in vms):
            return []
        return [vm.name for vm in vms[:1]]


class SpreadOverPools(WavePolicy):
    """Idle VMs first, a few of each pool, busy pools only under pressure.

    It answers a wave over half of the fleet while queues peak by turns: the
    VMs of the queue that has its turn wait until the turn is over.
    """

    def choose(self, vms, limit, elapsed_share):
        """Return VMs by how little their absence costs."""
        chosen: list[str] = []
        out: dict[str, int] = {}
        pressing = elapsed_share >= PRESSING_SHARE
        order = sorted(
            vms, key=lambda vm: (not vm.is_free, vm.run_count, vm.name)
        )
        for vm in order:
            if len(chosen) >= limit:
                break
            if not vm.is_free:
                count = out.get(vm.pool, vm.pool_unavailable_vms)
                most = max(1, int(vm.pool_vms * MAX_OUT_SHARE))
                if count >= most:
                    continue
                if vm.pool_utilisation > BUSY_SHARE and not pressing:
                    continue
                out[vm.pool] = count + 1
            chosen.append(vm.name)
        return chosen
