"""When the spare pool gives VMs to other pools and gets them back."""

import abc
from collections.abc import Sequence

import attrs

__all__ = [
    "HysteresisMoves",
    "Move",
    "MovePolicy",
    "NoMoves",
    "PoolLoad",
    "ThresholdMoves",
]

HIGH_LOAD = 0.9
LOW_LOAD = 0.5

# Slot-seconds that a move costs: about 3 s of drain and ramp-up for a VM of
# 8 slots.
MOVE_COST_SLOT_S = 24.0
# A gap between two passes that is longer than this counts as this long, so
# that a pause of the process does not look like lasting demand. Passes are up
# to 5 s apart at 1,300 VMs.
LONGEST_PASS_S = 6.0


@attrs.frozen(kw_only=True)
class PoolLoad:
    """Demand and capacity of one pool.

    :ivar spare: the pool lends its VMs
    :ivar demand_slots: requests queued and running
    :ivar slots: slots of VMs that serve or are on their way to the pool
    :ivar vm_slots: slots of a typical VM
    :ivar available_vms: serving VMs beyond the availability budget
    :ivar borrowed_vms: serving VMs here that belong to a spare pool
    """

    name: str
    spare: bool
    demand_slots: float
    slots: int
    vm_slots: int
    available_vms: int
    borrowed_vms: int = 0


@attrs.frozen(kw_only=True)
class Move:
    """One VM, to be chosen by the controller, goes to another pool."""

    source: str
    destination: str


class MovePolicy(abc.ABC):
    """Chooses moves; the budgets are checked again when a VM is taken."""

    @abc.abstractmethod
    def choose(self, loads: Sequence[PoolLoad], now_s: float) -> list[Move]:
        """Return the moves to begin now.

        :param now_s: monotonic time of the pass
        """


class NoMoves(MovePolicy):
    """Baseline: every VM stays where it is."""

    def choose(self, loads, now_s):
        """Return nothing."""
        return []


class ThresholdMoves(MovePolicy):
    """Baseline: compares the load at this moment with two fixed values."""

    def __init__(self, high: float = HIGH_LOAD, low: float = LOW_LOAD) -> None:
        self._high = high
        self._low = low

    def choose(self, loads, now_s):
        """Return one move for each pool beyond a threshold."""
        supply = _Supply(loads)
        moves = []
        for load in loads:
            if load.spare:
                continue
            if load.demand_slots > self._high * load.slots:
                moves += supply.take(load.name)
            elif (
                load.borrowed_vms
                and load.demand_slots < self._low * load.slots
            ):
                moves += supply.give_back(load.name)
        return moves


class HysteresisMoves(MovePolicy):
    """Moves a VM once waiting has cost as much as the move.

    Each pool collects the slot-seconds that it lacks, and those that a lent
    VM idles. Reaching the cost of a move triggers one. Demand that reverses
    sooner causes no move, and the regret is at most about twice that of
    knowing the future. A lent VM that idles goes directly to a pool that
    lacks one if the spare pool is empty.

    :param cost_slot_s: cost of a move
    :param return_factor: a return waits for this many times the cost, since
        a wrong return costs two moves
    """

    def __init__(
        self,
        cost_slot_s: float = MOVE_COST_SLOT_S,
        return_factor: float = 2.0,
        high: float = HIGH_LOAD,
        low: float = LOW_LOAD,
    ) -> None:
        self._cost_slot_s = cost_slot_s
        self._return_cost_slot_s = return_factor * cost_slot_s
        self._high = high
        self._low = low
        self._lack_slot_s: dict[str, float] = {}
        self._idle_slot_s: dict[str, float] = {}
        self._last_s: float | None = None

    def choose(self, loads, now_s):
        """Return the moves whose cost has been reached."""
        last_s = now_s if self._last_s is None else self._last_s
        pass_s = min(LONGEST_PASS_S, now_s - last_s)
        self._last_s = now_s
        supply = _Supply(loads)
        for load in loads:
            if not load.spare:
                self._collect(load, pass_s)
        moves = []
        for load in loads:
            moves += [] if load.spare else self._borrow(load, supply)
        for load in loads:
            moves += [] if load.spare else self._give_back(load, supply)
        return moves

    def _collect(self, load: PoolLoad, pass_s: float) -> None:
        lack = load.demand_slots - self._high * load.slots
        self._lack_slot_s[load.name] = _collected(
            self._lack_slot_s.get(load.name, 0.0), lack * pass_s
        )
        without = load.slots - load.vm_slots
        idle = self._low * without - load.demand_slots
        if not load.borrowed_vms:
            idle = 0.0
            self._idle_slot_s[load.name] = 0.0
        rate = min(idle, load.vm_slots) if idle >= 0 else -load.vm_slots
        self._idle_slot_s[load.name] = _collected(
            self._idle_slot_s.get(load.name, 0.0), rate * pass_s
        )

    def _borrow(self, load: PoolLoad, supply: "_Supply") -> list[Move]:
        moves: list[Move] = []
        lack = load.demand_slots - self._high * load.slots
        while lack > 0 and self._lack_slot_s[load.name] >= self._cost_slot_s:
            taken = supply.take(load.name) or supply.redirect(
                load.name, self._idle_slot_s, self._cost_slot_s
            )
            if not taken:
                break
            moves += taken
            self._lack_slot_s[load.name] -= self._cost_slot_s
            lack -= self._high * load.vm_slots
        return moves

    def _give_back(self, load: PoolLoad, supply: "_Supply") -> list[Move]:
        if self._idle_slot_s.get(load.name, 0.0) < self._return_cost_slot_s:
            return []
        self._idle_slot_s[load.name] = 0.0
        return supply.give_back(load.name)


class _Supply:
    """VMs that can be taken during one decision."""

    def __init__(self, loads: Sequence[PoolLoad]) -> None:
        self._spare = {
            load.name: load.available_vms for load in loads if load.spare
        }
        self._lent = {
            load.name: min(load.borrowed_vms, load.available_vms)
            for load in loads
            if not load.spare
        }

    def take(self, destination: str) -> list[Move]:
        for name, available_vms in self._spare.items():
            if available_vms > 0:
                self._spare[name] -= 1
                return [Move(source=name, destination=destination)]
        return []

    def give_back(self, source: str) -> list[Move]:
        if self._lent.get(source, 0) < 1 or not self._spare:
            return []
        self._lent[source] -= 1
        return [Move(source=source, destination=next(iter(self._spare)))]

    def redirect(
        self, destination: str, idle_slot_s: dict[str, float], cost: float
    ) -> list[Move]:
        for source, borrowed_vms in self._lent.items():
            idle_long = idle_slot_s.get(source, 0.0) >= cost
            if source != destination and borrowed_vms > 0 and idle_long:
                self._lent[source] -= 1
                idle_slot_s[source] = 0.0
                return [Move(source=source, destination=destination)]
        return []


def _collected(total: float, change: float) -> float:
    """Add to a collected cost, which does not fall under 0."""
    return max(0.0, total + change)
