"""Splits the VM-seconds of a day by pool and by what held the VMs."""

from collections.abc import Mapping
from collections.abc import Sequence
from collections import Counter

from rosemarynotch._internal.replay.day_log import DayLog
from rosemarynotch._internal.replay.day_log import PoolSample

__all__ = ["format_vm_account", "turned_moves", "vm_seconds"]

# A sample is valid until the next one, but no longer than this.
MAX_SAMPLE_S = 2.5
# Samples of all pools of one pass have times that differ by less than this.
SAME_PASS_S = 0.2
# A move that is undone within this time served nobody.
TURNED_WITHIN_S = 6.0
# A forecast rise that has not begun after this time did not come: VMs are
# provided 2.3 s ahead, and the forecast is given up 1.2 s after its time.
FORECAST_WITHIN_S = 4.0
# Share of a forecast rise in demand that has to come for it to count.
CAME_SHARE = 0.5

MOVING = "moving"
BATCH_WORK = "batch work"
LONG_RUNNING = "long-running tasks"
LONG_RUNNING_SPREAD = "kept by long-running tasks"
PARTLY_FILLED = "partly filled"
BLOCKED = "idle, own work cannot start"
ELSEWHERE = "idle, work waits elsewhere"
FORECAST = "forecast, rise came"
FORECAST_IN_VAIN = "forecast, rise did not come"
ARRIVALS = "idle, room for arrivals"
SPARE = "idle, spare or minimum"
SURPLUS = "idle, surplus held"


def vm_seconds(day: DayLog) -> dict[tuple[str, str], float]:
    """Return the VM-seconds outside of standby by pool and cause.

    Each VM counts once, for the first cause that explains it: VMs that move,
    then those with runs, then idle ones. An idle VM counts as missed by other
    pools only where these lacked more VMs than standby could provide.
    """
    held: Counter[tuple[str, str]] = Counter()
    by_pool: dict[str, list[PoolSample]] = {}
    for sample in day.pools:
        by_pool.setdefault(sample.pool, []).append(sample)
    unserved = _unserved_vms(day.pools)
    for pool, samples in by_pool.items():
        for index, sample in enumerate(samples[:-1]):
            if sample.is_standby:
                continue
            length_s = min(
                samples[index + 1].time_s - sample.time_s, MAX_SAMPLE_S
            )
            has_risen = _has_risen(sample, samples[index:])
            causes = _causes(sample, unserved[id(sample)], has_risen)
            for cause, vms in causes.items():
                held[pool, cause] += vms * length_s
    return {key: value for key, value in held.items() if value > 0}


def _unserved_vms(samples: Sequence[PoolSample]) -> dict[int, float]:
    """Return by sample the VMs that all other pools lack beyond standby."""
    unserved = {}
    ordered = sorted(samples, key=lambda each: each.time_s)
    begin = 0
    for index, sample in enumerate(ordered):
        is_last = (
            index + 1 == len(ordered)
            or ordered[index + 1].time_s - ordered[begin].time_s > SAME_PASS_S
        )
        if not is_last:
            continue
        group = ordered[begin : index + 1]
        begin = index + 1
        standby = sum(each.idle for each in group if each.is_standby)
        lacking = {
            id(each): max(0, _needed_vms(each) - each.vms)
            for each in group
            if not each.is_standby
        }
        total = sum(lacking.values())
        for each in group:
            others = total - lacking.get(id(each), 0)
            unserved[id(each)] = max(0, others - standby)
    return unserved


def _needed_vms(sample: PoolSample) -> float:
    return max(sample.demand_vms, sample.spread_vms)


def _has_risen(sample: PoolSample, following: Sequence[PoolSample]) -> bool:
    """Tell whether the demand that was expected at a sample came."""
    needed = _needed_vms(sample)
    risen = needed + CAME_SHARE * (sample.expected_vms - needed)
    return any(
        each.demand_vms >= risen
        for each in following
        if each.time_s - sample.time_s <= FORECAST_WITHIN_S
    )


def _causes(
    sample: PoolSample, unserved_vms: float, has_risen: bool
) -> dict[str, float]:
    """Return the VMs of a pool by cause.

    :param unserved_vms: VMs that the other pools lack beyond standby
    :param has_risen: whether a forecast rise came
    """
    causes: dict[str, float] = {}
    left = float(sample.vms)

    def take(cause: str, vms: float, limit: float) -> float:
        """Count VMs for a cause, and return what is left of a limit."""
        nonlocal left
        taken = max(0.0, min(left, limit, vms))
        left -= taken
        causes[cause] = causes.get(cause, 0.0) + taken
        return limit - taken

    take(MOVING, sample.moving, left)
    busy = max(0.0, left - sample.idle)
    batch = sample.running_vms - sample.long_running_vms
    busy = take(BATCH_WORK, batch, busy)
    busy = take(LONG_RUNNING, sample.long_running_vms, busy)
    busy = take(
        LONG_RUNNING_SPREAD,
        sample.serving_vms - sample.long_running_vms,
        busy,
    )
    take(PARTLY_FILLED, busy, busy)
    idle = left
    needed = _needed_vms(sample)
    idle = take(BLOCKED, sample.demand_vms - sample.running_vms, idle)
    idle = take(ELSEWHERE, unserved_vms, idle)
    forecast = FORECAST if has_risen else FORECAST_IN_VAIN
    idle = take(forecast, sample.expected_vms - needed, idle)
    sized = max(needed, sample.expected_vms)
    idle = take(ARRIVALS, sample.arriving_vms - sized, idle)
    sized = max(sized, sample.arriving_vms)
    idle = take(SPARE, sample.wanted_vms - sized, idle)
    take(SURPLUS, idle, idle)
    return causes


def turned_moves(day: DayLog) -> int:
    """Return the number of moves that were undone within a short time."""
    turned = 0
    last: dict[str, tuple[float, str]] = {}
    for time_s, vm, source, target in day.moves:
        moved_s, origin = last.get(vm, (float("-inf"), ""))
        turned += target == origin and time_s - moved_s < TURNED_WITHIN_S
        last[vm] = (time_s, source)
    return turned


def format_vm_account(day: DayLog) -> list[str]:
    """Return lines with the VM-seconds by cause and pool, and the moves."""
    held = vm_seconds(day)
    pools = sorted({pool for pool, _ in held})
    totals = _totals(held)
    lines = [f"VM-seconds in pools: {sum(totals.values()):.0f}"]
    if pools:
        header = "".join(f" {pool[:9]:>9}" for pool in pools)
        lines.append(f"  {'cause':28} {'all':>9}{header}")
    for cause in sorted(totals, key=lambda each: -totals[each]):
        row = "".join(f" {held.get((pool, cause), 0):9.0f}" for pool in pools)
        lines.append(f"  {cause:28} {totals[cause]:9.0f}{row}")
    lines.append(
        f"moves: {len(day.moves)}, undone within {TURNED_WITHIN_S:.0f} s:"
        f" {turned_moves(day)}"
    )
    return lines


def _totals(held: Mapping[tuple[str, str], float]) -> dict[str, float]:
    totals: Counter[str] = Counter()
    for (_, cause), vm_s in held.items():
        totals[cause] += vm_s
    return dict(totals)
