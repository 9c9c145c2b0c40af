"""Policies for the VMs that a maintenance wave drains next."""

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

# Fraction of the remaining slots that the present demand may use. The rest is
# for growth of demand until the drained VMs are back in service.
LOAD_CEILING = 0.85


@attrs.frozen(kw_only=True)
class WaveCandidate:
    """A serving VM that the wave has not maintained yet."""

    vm: str
    rack: tuple[str, str]
    slots: int


@attrs.frozen(kw_only=True)
class WavePool:
    """State of a pool that a wave policy decides on.

    :ivar spare_vms: serving VMs beyond the availability budget
    :ivar out_vms: VMs taken out of service by a planned operation
    :ivar out_racks: racks of those VMs
    :ivar demand_slots: queued and running requests
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
    """Chooses VMs; budgets are checked again before a VM is drained."""

    @abc.abstractmethod
    def choose(self, pools: Sequence[WavePool], limit_vms: int) -> list[str]:
        """Return the VMs to drain next.

        :param limit_vms: maximum number of VMs to return
        """


class OneAtATime(WavePolicy):
    """Chooses one VM when no VM is out of service (baseline)."""

    def choose(self, pools, limit_vms):
        """Return at most one VM."""
        if limit_vms < 1 or any(pool.out_vms for pool in pools):
            return []
        for pool in pools:
            if pool.candidates and pool.spare_vms > 0:
                return [pool.candidates[0].vm]
        return []


class AsManyAsAllowed(WavePolicy):
    """Chooses as many VMs as budgets, racks and load allow.

    All pools are maintained at the same time. Within a pool, one rack is
    completed before the next, since two racks must not be out of service at
    the same time. The rack with the most remaining VMs comes first, so that
    the last round is not a single large rack.

    :param load_ceiling: fraction of the remaining slots that demand may use
    """

    def __init__(self, load_ceiling: float = LOAD_CEILING) -> None:
        self._load_ceiling = load_ceiling

    def choose(self, pools, limit_vms):
        """Return VMs of all pools, within budgets, racks and load."""
        chosen: list[str] = []
        for pool in pools:
            chosen += self._choose_in_pool(pool, limit_vms - len(chosen))
        return chosen

    def _choose_in_pool(self, pool: WavePool, limit_vms: int) -> list[str]:
        rack = self._next_rack(pool)
        slots = pool.serving_slots
        chosen: list[str] = []
        for candidate in pool.candidates:
            if len(chosen) >= min(pool.spare_vms, limit_vms):
                break
            remaining_slots = slots - candidate.slots
            if pool.demand_slots > remaining_slots * self._load_ceiling:
                break
            if candidate.rack == rack:
                chosen.append(candidate.vm)
                slots = remaining_slots
        return chosen

    @staticmethod
    def _next_rack(pool: WavePool) -> tuple[str, str] | None:
        if len(pool.out_racks) > 1:
            return None
        if pool.out_racks:
            return next(iter(pool.out_racks))
        counts: dict[tuple[str, str], int] = {}
        for candidate in pool.candidates:
            counts[candidate.rack] = counts.get(candidate.rack, 0) + 1
        return max(counts, key=counts.get, default=None)
