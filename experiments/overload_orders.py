"""Compares orders and sharing of pools by replays without a network.

``python -m experiments.overload_orders objective/apart drawn/urgent-first``
prints the figures of each choice and the paired difference to the first.
"""

from concurrent.futures import ProcessPoolExecutor
import statistics

import attrs
import defopt

from experiments.paired_days import interval
from rosemarynotch._internal.replay.overload_load import LOADS
from rosemarynotch._internal.replay.overload_load import make_case
from rosemarynotch._internal.replay.overload_trial import OverloadTrial
from rosemarynotch._internal.wiring.policies import CHOICES

__all__ = ["Figures", "main", "replay"]


@attrs.frozen
class Figures:
    """Figures of one replay.

    :ivar large: worth of the largest tenth relative to its queue
    :ivar wasted: share of the work whose result was worthless
    """

    on_time: float
    worth: float
    queue: float
    second: float
    organisation: float
    large: float
    wasted: float


def replay(load: str, seed: int, choice: str) -> Figures:
    """Replay a load.

    :param choice: names of the order and of the sharing, such as
        ``drawn/urgent-first``
    """
    order, _, sharing = choice.partition("/")
    result = OverloadTrial(
        make_case(load, seed),
        CHOICES["order"][order](),
        CHOICES["sharing"][sharing](),
    ).run()
    return Figures(
        result.on_time / len(result.jobs),
        result.worth(),
        result.worst_class,
        result.worst_second,
        result.worst_organisation,
        result.largest_tenth_ratio(),
        result.wasted_core_ms / max(1.0, result.work_core_ms),
    )


def main(
    *choices: str, seeds: int = 10, loads: list[str] = [], processes: int = 2
) -> None:
    """Print the figures of each choice by load.

    :param choices: names of orders and sharings, such as
        ``drawn/urgent-first``; the first is the baseline
    :param seeds: number of replays of each load
    :param loads: loads to replay, by default all
    :param processes: number of replays at a time
    """
    names = [field.name for field in attrs.fields(Figures)]
    print(f"{'load':20}{'choice':26}", *(f"{name:>12}" for name in names))
    with ProcessPoolExecutor(processes) as pool:
        for load in loads or LOADS:
            base: list[Figures] = []
            for choice in choices:
                count = range(seeds)
                found = list(
                    pool.map(replay, [load] * seeds, count, [choice] * seeds)
                )
                base = base or found
                means = (
                    statistics.fmean(getattr(each, name) for each in found)
                    for name in names
                )
                changes = [
                    after.worth - before.worth
                    for before, after in zip(base, found, strict=True)
                ]
                low, high = interval(changes)
                print(
                    f"{load:20}{choice:26}",
                    *(f"{mean:12.3f}" for mean in means),
                    f"  worth {statistics.fmean(changes):+.3f}"
                    f" [{low:+.3f}, {high:+.3f}]",
                    flush=True,
                )


if __name__ == "__main__":
    defopt.run(main)
