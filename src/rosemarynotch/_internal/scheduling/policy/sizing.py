"""Decides how many VMs each pool needs, and which VMs move."""

import abc
from collections.abc import Sequence
import math

import attrs

__all__ = [
    "DemandSizer",
    "LargestFirstSizer",
    "Move",
    "PoolLoad",
    "PoolSizer",
    "StaticSizer",
]

# Spare VMs of a pool, for the first tasks of a rise in demand: a VM takes
# move_s to arrive, and an idle VM costs little during that time. The demand of
# a large pool varies by more than one VM, by about SPARE_SHARE of its VMs.
MIN_SPARE_VMS = 1
SPARE_SHARE = 0.1
MIN_VMS = 2
# Headroom for demand that is not known yet: later steps and new jobs. It is
# small because the estimate of arrivals is already on the high side.
HEADROOM_FACTOR = 1.05
# A pool without demand waits this long before it gets VMs up to its minimum:
# at the first start its own VMs appear within this time.
EMPTY_HOLD_S = 2.0
# A surplus has to last this long before VMs move to the standby pool. Moving a
# VM there and back costs as much as about 2.3 s of a VM in a pool. A queue
# whose peak is over peaks again only after several other queues.
SURPLUS_HOLD_S = 1.5


@attrs.frozen(kw_only=True)
class PoolLoad:
    """Size and demand of a pool.

    :ivar is_standby: whether its VMs are powered off and cost nothing
    :ivar vm_count: VMs that serve the pool or are moving to it
    :ivar moving_count: VMs that are moving to it
    :ivar idle_vms: VMs that could leave the pool now
    :ivar priority: rank of the most urgent queue that it serves; 0 is the
        most urgent
    :ivar demand_vms: VMs filled by the running tasks and those that could
        start now
    :ivar running_vms: VMs filled by the running tasks
    :ivar long_running_vms: VMs filled by those of them that are long-running
    :ivar serving_vms: VMs on which only long-running tasks run
    :ivar arriving_vms: VMs kept busy by work at the present rate of arrivals
    :ivar expected_vms: VMs to provide ahead of a forecast rise in demand
    :ivar spread_vms: VMs that the tasks of one step need because only a few
        of them may share a VM
    :ivar reserve_vms: VMs to hold for arrivals beside the running tasks while
        no load peak is known
    """

    name: str
    is_standby: bool
    vm_count: int
    idle_vms: tuple[str, ...]
    demand_vms: float
    priority: int = 0
    moving_count: int = 0
    running_vms: float = 0.0
    long_running_vms: float = 0.0
    serving_vms: int = 0
    arriving_vms: float = 0.0
    expected_vms: float = 0.0
    spread_vms: int = 0
    reserve_vms: float = 0.0


@attrs.frozen
class Move:
    """A move of a VM to another pool."""

    vm: str
    source: str
    target: str


class PoolSizer(abc.ABC):
    """Chooses which VMs move between pools."""

    @abc.abstractmethod
    def desired_vms(self, pool: PoolLoad) -> int:
        """Return the number of VMs that a pool should have."""

    @abc.abstractmethod
    def plan(self, pools: Sequence[PoolLoad], now_s: float) -> list[Move]:
        """Return the moves to order now."""


class StaticSizer(PoolSizer):
    """Leaves every VM in its pool (baseline).

    :param is_first: ignored
    """

    def __init__(self, is_first: bool = False) -> None:
        super().__init__()

    def desired_vms(self, pool):
        """Return the present number of VMs."""
        return pool.vm_count

    def plan(self, pools, now_s):
        """Return no moves."""
        return []


class DemandSizer(PoolSizer):
    """Moves VMs to pools with demand, and to standby when there is none.

    Intended for queues that peak one after the other at several times their
    mean demand: with fixed sizes, the pool of the peaking queue is too small
    while the others are idle. When the fleet is too small for all, the pools
    of urgent queues go first: their jobs are short and cannot wait for VMs.

    :param is_first: whether there was no earlier leader; a pool without demand
        then has never had any, and its idle VMs may leave at once
    """

    def __init__(self, is_first: bool = False) -> None:
        self._is_first = is_first
        self._needed_at_s: dict[str, float] = {}
        self._empty_since_s: dict[str, float] = {}

    def desired_vms(self, pool):
        """Return the VMs for the demand, a forecast rise and some spare."""
        demand_vms = max(pool.demand_vms, pool.arriving_vms)
        vms = math.ceil(demand_vms * HEADROOM_FACTOR)
        needed = max(vms, pool.spread_vms, math.ceil(pool.expected_vms))
        spare = max(MIN_SPARE_VMS, round(SPARE_SHARE * vms))
        reserve_vms = math.ceil(pool.long_running_vms + pool.reserve_vms)
        return max(MIN_VMS, needed + spare, reserve_vms)

    def plan(self, pools, now_s):
        """Fill shortages from surpluses and standby, then release idle VMs.

        VMs that are idle in other pools are used before those on standby. VMs
        whose pool has had a surplus for SURPLUS_HOLD_S move to standby.
        """
        standby = next((p for p in pools if p.is_standby), None)
        serving = [pool for pool in pools if not pool.is_standby]
        lacking: list[PoolLoad] = []
        surplus: list[tuple[str, str]] = []
        releasable: list[tuple[str, str]] = []
        for pool in serving:
            excess = pool.vm_count - self.desired_vms(pool)
            if excess < 0 and not self._awaits_own_vms(pool, now_s):
                lacking.append(pool)
            if excess <= 0:
                self._needed_at_s[pool.name] = now_s
                continue
            idle = [(vm, pool.name) for vm in pool.idle_vms[:excess]]
            surplus += idle
            initial_s = -math.inf if self._is_first else now_s
            since_s = self._needed_at_s.setdefault(pool.name, initial_s)
            if now_s - since_s >= SURPLUS_HOLD_S:
                releasable += idle
        if standby is None:
            spare = []
        else:
            spare = [(vm, standby.name) for vm in standby.idle_vms]
        shortages = self._shortages(lacking)
        return self._match(shortages, surplus + spare, releasable, standby)

    def _shortages(self, pools: Sequence[PoolLoad]) -> list[tuple[int, str]]:
        """Return how many VMs pools lack, in the order of filling.

        Pools of the most urgent queues go first, and of several the one that
        lacks the most. Forecast work counts like work that has arrived: when
        it came last, the next turn began without VMs whenever the present one
        had a backlog.
        """
        missing = [
            (pool.priority, pool.vm_count - self.desired_vms(pool), pool.name)
            for pool in pools
        ]
        return [(-count, name) for _, count, name in sorted(missing)]

    def _awaits_own_vms(self, pool: PoolLoad, now_s: float) -> bool:
        """Tell whether an empty pool without demand may wait for its VMs."""
        if pool.vm_count or pool.demand_vms or pool.expected_vms:
            self._empty_since_s.pop(pool.name, None)
            return False
        since_s = self._empty_since_s.setdefault(pool.name, now_s)
        return now_s - since_s < EMPTY_HOLD_S

    @staticmethod
    def _match(shortages, sources, releasable, standby) -> list[Move]:
        """Fill the shortages in their order, then move VMs to standby.

        :param shortages: number of missing VMs and pool
        :param sources: VMs that may fill shortages, with their pools
        :param releasable: VMs that may move to standby, with their pools
        :param standby: the standby pool, None if there is none
        """
        sources = list(sources)
        moves = []
        for count, pool in shortages:
            for _ in range(count):
                if not sources:
                    return moves
                vm, source = sources.pop(0)
                moves.append(Move(vm, source, pool))
        if standby is not None:
            used = {move.vm for move in moves}
            moves += [
                Move(vm, source, standby.name)
                for vm, source in releasable
                if vm not in used
            ]
        return moves


class LargestFirstSizer(DemandSizer):
    """Fills the largest shortages first (baseline)."""

    def _shortages(self, pools):
        """Return the shortages, the largest first."""
        shortages = [
            (self.desired_vms(pool) - pool.vm_count, pool.name)
            for pool in pools
        ]
        return sorted(shortages, key=lambda each: (-each[0], each[1]))
