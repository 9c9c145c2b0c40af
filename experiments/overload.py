"""Measures goodput and urgent requests at 1, 5 and 10 times the capacity.

Arrivals are an open loop, independent of the outcome of earlier requests.
Each request has a deadline; only answers count. One more team sends a few
urgent requests, whose wait is the latency minus the constant work time.
"""

import defopt

from experiments.setting import Testbed
from experiments.setting import TestbedShape
from rosemarynotch._internal.replay.load import LoadClass
from rosemarynotch._internal.replay.load import LoadProfile

__all__ = ["main"]

SHARES = {"a": 4.0, "b": 2.0, "c": 1.0, "urgent": 1.0}
WORK_MS = 400.0
URGENT_WORK_MS = 200.0
URGENT_PER_S = 2.0
DEADLINE_MS = 2_000
SLOTS = 4
VMS = 6
OPEN_WORKERS = 1_600
NORMAL_TEAMS = ("a", "b", "c")


def main(
    *,
    multiples: str = "1,5,10",
    measured_s: float = 20.0,
    warm_up_s: float = 8.0,
    seed: int = 1,
) -> None:
    """Print goodput, refusals and the wait of urgent requests.

    :param multiples: offered loads as multiples of the capacity of the pool,
        separated by commas
    :param measured_s: measured time of each run
    :param warm_up_s: time before the measured time of each run
    :param seed: seed of the generated load
    """
    shape = TestbedShape(
        shares=SHARES,
        slots=SLOTS,
        vms_per_pool=VMS,
        urgent_reserve_slots=2,
    )
    capacity_per_s = SLOTS * VMS * 1000 / WORK_MS
    print("load   offered/s  goodput/s  of 1x  urgent wait ms p50/p99/max")
    first_goodput = 0.0
    with Testbed(shape) as testbed:
        for multiple in (float(each) for each in multiples.split(",")):
            offered = multiple * capacity_per_s
            profile = _profile(offered, measured_s, warm_up_s)
            figures = testbed.run_load(profile, seed)
            goodput = figures["answered_per_s"]
            first_goodput = first_goodput or goodput
            urgent = figures["latency_by_team"]["urgent"]
            waits = "/".join(
                f"{urgent[name] - URGENT_WORK_MS:.0f}"
                for name in ("p50_ms", "p99_ms", "max_ms")
            )
            print(
                f"{multiple:4.1f}x {offered:10.1f} {goodput:10.1f} "
                f"{goodput / first_goodput:6.3f}  {waits}",
                flush=True,
            )
            print(f"      {figures['codes']}", flush=True)


def _profile(
    offered_per_s: float, measured_s: float, warm_up_s: float
) -> LoadProfile:
    normal = tuple(
        LoadClass(
            service="pool",
            queue="pool",
            team=team,
            share=SHARES[team],
            work_ms=WORK_MS,
            rate_per_s=offered_per_s / len(NORMAL_TEAMS),
            spread=0.5,
            deadline_ms=DEADLINE_MS,
        )
        for team in NORMAL_TEAMS
    )
    urgent = LoadClass(
        service="pool",
        queue="pool-urgent",
        team="urgent",
        share=SHARES["urgent"],
        work_ms=URGENT_WORK_MS,
        rate_per_s=URGENT_PER_S,
    )
    return LoadProfile(
        classes=(*normal, urgent),
        warm_up_s=warm_up_s,
        measured_s=measured_s,
        open_workers=OPEN_WORKERS,
    )


if __name__ == "__main__":
    defopt.run(main)
