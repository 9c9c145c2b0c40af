"""Which VMs a maintenance wave takes out of service next."""

import abc
from collections.abc import Sequence

import attrs

__all__ = [
    "AsManyAsAllowed",
    "OneAtATime",
    "WaveCandidate",
    "WavePolicy",
    "WavePool",
]

# Share of the remaining slots that the present demand may fill. The rest
# absorbs the growth of demand until the drained VMs are back.
LOAD_CEILING = 0.85


@attrs.frozen(kw_only=True)
class WaveCandidate:
    """A serving VM that the wave has not maintained yet."""

    vm: str
    rack: tuple[str, str]
    slots: int


@attrs.frozen(kw_only=True)
class WavePool:
    """A pool as a wave sees it.

    :ivar spare_vms: serving VMs beyond the availability budget
    :ivar out_vms: VMs out of service by plan
    :ivar out_racks: racks of those VMs
    :ivar demand_slots: requests queued and running
    :ivar serving_slots: slots of all serving VMs
    """

    name: str
    candidates: tuple[WaveCandidate, ...]
    spare_vms: int
    out_vms: int
    out_racks: frozenset[tuple[str, str]]
    demand_slots: float
    serving_slots: int


class WavePolicy(abc.ABC):
    """Chooses VMs; the budgets are checked again when they are taken."""

    @abc.abstractmethod
    def choose(self, pools: Sequence[WavePool], limit_vms: int) -> list[str]:
        """Return the VMs to drain next.

        :param limit_vms: most VMs to return
        """


class OneAtATime(WavePolicy):
    """Baseline: the next VM is taken when no VM is out of service."""

    def choose(self, pools, limit_vms):
        """Return at most one VM."""
        if limit_vms < 1 or any(pool.out_vms for pool in pools):
            return []
        for pool in pools:
            if pool.candidates and pool.spare_vms > 0:
                return [pool.candidates[0].vm]
        return []


class AsManyAsAllowed(WavePolicy):
    """As many VMs as budgets, racks and load allow, in all pools at once.

    Within a pool it completes one rack before the next, because two racks
    may not be out at the same time. It begins with the rack that has the
    most VMs left, so that the last round is not a single large rack.

    :param load_ceiling: part of the remaining slots that demand may fill
    """

    def __init__(self, load_ceiling: float = LOAD_CEILING) -> None:
        self._load_ceiling = load_ceiling

    def choose(self, pools, limit_vms):
        """Return VMs of every pool that can spare some."""
        chosen: list[str] = []
        for pool in pools:
            chosen += self._choose_in(pool, limit_vms - len(chosen))
        return chosen

    def _choose_in(self, pool: WavePool, limit_vms: int) -> list[str]:
        rack = self._rack(pool)
        slots = pool.serving_slots
        chosen: list[str] = []
        for candidate in pool.candidates:
            if len(chosen) >= min(pool.spare_vms, limit_vms):
                break
            left = slots - candidate.slots
            if pool.demand_slots > left * self._load_ceiling:
                break
            if candidate.rack == rack:
                chosen.append(candidate.vm)
                slots = left
        return chosen

    @staticmethod
    def _rack(pool: WavePool) -> tuple[str, str] | None:
        if len(pool.out_racks) > 1:
            return None
        if pool.out_racks:
            return next(iter(pool.out_racks))
        counts: dict[tuple[str, str], int] = {}
        for candidate in pool.candidates:
            counts[candidate.rack] = counts.get(candidate.rack, 0) + 1
        return max(counts, key=counts.get, default=None)
