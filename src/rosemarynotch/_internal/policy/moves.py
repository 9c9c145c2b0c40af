"""Policies for lending VMs of the spare pool to other pools."""

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

# Cost of a move in slot-seconds: drain and ramp-up take about 3 s for a VM
# with 8 slots.
MOVE_COST_SLOT_S = 24.0
# Upper bound of the time counted between two passes, so that a pause of the
# process does not count as lasting demand. Passes are up to 5 s apart with
# 1,300 VMs.
MAX_PASS_INTERVAL_S = 6.0


@attrs.frozen(kw_only=True)
class PoolLoad:
    """Demand and capacity of one pool.

    :ivar spare: whether the pool lends its VMs to other pools
    :ivar demand_slots: queued and running requests
    :ivar slots: slots of the VMs that serve the pool or are moving to it
    :ivar vm_slots: slots of a typical VM
    :ivar available_vms: serving VMs beyond the availability budget
    :ivar borrowed_vms: serving VMs of the pool that belong to a spare pool
    :ivar is_wave_blocked: whether a wave cannot drain any of its VMs, since
        the pool has no more VMs than its availability budget requires
    """

    name: str
    spare: bool
    demand_slots: float
    slots: int
    vm_slots: int
    available_vms: int
    borrowed_vms: int = 0
    is_wave_blocked: bool = False


@attrs.frozen(kw_only=True)
class Move:
    """Move of one VM between pools; the controller selects the VM."""

    source: str
    destination: str


class MovePolicy(abc.ABC):
    """Chooses moves; budgets are checked again when a VM is selected."""

    @abc.abstractmethod
    def choose(self, loads: Sequence[PoolLoad], now_s: float) -> list[Move]:
        """Return the moves to start now.

        :param now_s: monotonic time of the pass
        """


class NoMoves(MovePolicy):
    """Moves no VM (baseline)."""

    def choose(self, loads, now_s):
        """Return no moves."""
        return []


class ThresholdMoves(MovePolicy):
    """Compares the current load with two fixed thresholds (baseline)."""

    def __init__(self, high: float = HIGH_LOAD, low: float = LOW_LOAD) -> None:
        self._high = high
        self._low = low

    def choose(self, loads, now_s):
        """Return one move for each pool whose load is beyond a threshold."""
        available = _AvailableVms(loads)
        moves = []
        for load in loads:
            if load.spare:
                continue
            if load.demand_slots > self._high * load.slots:
                moves += available.borrow(load.name)
            elif (
                load.borrowed_vms
                and load.demand_slots < self._low * load.slots
            ):
                moves += available.return_vm(load.name)
        return moves


class HysteresisMoves(MovePolicy):
    """Moves a VM when not moving it has cost as much as the move.

    For each pool, missing slot-seconds and idle slot-seconds of borrowed VMs
    are accumulated; a sum that reaches the cost of a move triggers one.
    Demand that reverses earlier causes no move, and the total cost is at
    most about twice that of an optimal policy that knows future demand. If
    the spare pool is empty, an idle borrowed VM moves directly to a pool
    that needs one. A pool whose wave is blocked borrows a VM at once, as no
    demand would ever bring one.

    :param cost_slot_s: cost of a move
    :param return_factor: a VM is returned at this multiple of the cost,
        since a wrong return costs two moves
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
        self._missing_slot_s: dict[str, float] = {}
        self._idle_slot_s: dict[str, float] = {}
        self._last_s: float | None = None

    def choose(self, loads, now_s):
        """Return the moves whose cost has been reached."""
        last_s = now_s if self._last_s is None else self._last_s
        interval_s = min(MAX_PASS_INTERVAL_S, now_s - last_s)
        self._last_s = now_s
        available = _AvailableVms(loads)
        for load in loads:
            if not load.spare:
                self._accumulate(load, interval_s)
        moves = []
        for load in loads:
            if load.is_wave_blocked:
                moves += available.borrow(load.name)
        for load in loads:
            moves += [] if load.spare else self._borrow(load, available)
        for load in loads:
            moves += [] if load.spare else self._return_vm(load, available)
        return moves

    def _accumulate(self, load: PoolLoad, interval_s: float) -> None:
        missing = load.demand_slots - self._high * load.slots
        self._missing_slot_s[load.name] = _add_cost(
            self._missing_slot_s.get(load.name, 0.0), missing * interval_s
        )
        remaining_slots = load.slots - load.vm_slots
        idle = self._low * remaining_slots - load.demand_slots
        if not load.borrowed_vms:
            idle = 0.0
            self._idle_slot_s[load.name] = 0.0
        rate = min(idle, load.vm_slots) if idle >= 0 else -load.vm_slots
        self._idle_slot_s[load.name] = _add_cost(
            self._idle_slot_s.get(load.name, 0.0), rate * interval_s
        )

    def _borrow(
        self, load: PoolLoad, available: "_AvailableVms"
    ) -> list[Move]:
        moves: list[Move] = []
        missing = load.demand_slots - self._high * load.slots
        while (
            missing > 0
            and self._missing_slot_s[load.name] >= self._cost_slot_s
        ):
            found = available.borrow(load.name) or available.reassign(
                load.name, self._idle_slot_s, self._cost_slot_s
            )
            if not found:
                break
            moves += found
            self._missing_slot_s[load.name] -= self._cost_slot_s
            missing -= self._high * load.vm_slots
        return moves

    def _return_vm(
        self, load: PoolLoad, available: "_AvailableVms"
    ) -> list[Move]:
        if self._idle_slot_s.get(load.name, 0.0) < self._return_cost_slot_s:
            return []
        self._idle_slot_s[load.name] = 0.0
        return available.return_vm(load.name)


class _AvailableVms:
    """VMs that can still be moved in one pass."""

    def __init__(self, loads: Sequence[PoolLoad]) -> None:
        self._spare_vms = {
            load.name: load.available_vms for load in loads if load.spare
        }
        self._borrowed_vms = {
            load.name: min(load.borrowed_vms, load.available_vms)
            for load in loads
            if not load.spare
        }

    def borrow(self, destination: str) -> list[Move]:
        """Move a VM of a spare pool, if one is available."""
        for name, available_vms in self._spare_vms.items():
            if available_vms > 0:
                self._spare_vms[name] -= 1
                return [Move(source=name, destination=destination)]
        return []

    def return_vm(self, source: str) -> list[Move]:
        """Move a borrowed VM to a spare pool, if one is available."""
        if self._borrowed_vms.get(source, 0) < 1 or not self._spare_vms:
            return []
        self._borrowed_vms[source] -= 1
        return [Move(source=source, destination=next(iter(self._spare_vms)))]

    def reassign(
        self, destination: str, idle_slot_s: dict[str, float], cost: float
    ) -> list[Move]:
        """Move an idle borrowed VM from another pool, if there is one.

        :param idle_slot_s: idle slot-seconds by pool; a pool gives up a VM
            when they have reached the cost, and is then reset to 0
        """
        for source, borrowed_vms in self._borrowed_vms.items():
            is_idle_enough = idle_slot_s.get(source, 0.0) >= cost
            if source != destination and borrowed_vms > 0 and is_idle_enough:
                self._borrowed_vms[source] -= 1
                idle_slot_s[source] = 0.0
                return [Move(source=source, destination=destination)]
        return []


def _add_cost(total: float, change: float) -> float:
    """Add to an accumulated cost, with 0 as lower bound."""
    return max(0.0, total + change)
