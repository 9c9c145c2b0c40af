"""Compares how closely share policies follow the shares of teams.

Six teams load one pool of 6 VMs with 8 slots through six entries, each team
with more callers than the pool can serve. Work times and worths differ by
team. In the skewed case the callers of one team are all at one entry, those
of another are at the five others, and most other teams favour some entries.
"""

import defopt

from experiments.setting import Testbed
from experiments.setting import TestbedShape
from rosemarynotch._internal.replay.load import LoadClass
from rosemarynotch._internal.replay.load import LoadProfile

__all__ = ["main"]

SHARES = {"a": 4.0, "b": 2.0, "c": 2.0, "d": 1.0, "e": 1.0, "f": 1.0}
WORK_MS = {"a": 200, "b": 100, "c": 400, "d": 200, "e": 150, "f": 300}
WORTH = {"a": 1.0, "b": 1.0, "c": 2.0, "d": 0.5, "e": 1.0, "f": 3.0}
SKEW = {
    "a": (1, 0, 0, 0, 0, 0),
    "b": (0, 1, 1, 1, 1, 1),
    "c": (1, 1, 1, 1, 1, 1),
    "d": (0, 0, 0, 0, 1, 3),
    "e": (3, 1, 0, 0, 0, 0),
    "f": (0, 0, 1, 1, 0, 0),
}
CALLERS = 45
SPREAD = 0.5


def main(
    *,
    policies: str = "local,equal,max-min",
    cases: str = "even,skewed",
    measured_s: float = 60.0,
    warm_up_s: float = 15.0,
    seed: int = 1,
) -> None:
    """Print mean and worst relative distance from the fair share.

    :param policies: share policies of the entries, separated by commas
    :param cases: even and skewed, separated by commas
    :param measured_s: measured time of each run
    :param warm_up_s: time before the measured time of each run
    :param seed: seed of the generated load
    """
    print("case    policy    mean%  worst%  answered/s")
    for case in cases.split(","):
        for policy in policies.split(","):
            shape = TestbedShape(
                shares=SHARES, entry_flags={"share_policy": policy}
            )
            profile = _profile(case, measured_s, warm_up_s)
            with Testbed(shape) as testbed:
                figures = testbed.run_load(profile, seed)
            pool = figures["pools"]["pool"]
            print(
                f"{case:7} {policy:9} {100 * pool['mean_distance']:5.1f} "
                f"{100 * pool['worst_distance']:7.1f} "
                f"{figures['answered_per_s']:11.1f}",
                flush=True,
            )
            print(
                "        "
                + " ".join(
                    f"{t}={pool['served'][t]:.1f}/{pool['fair'][t]:.1f}"
                    for t in SHARES
                ),
                flush=True,
            )


def _profile(case: str, measured_s: float, warm_up_s: float) -> LoadProfile:
    classes = tuple(
        LoadClass(
            service="pool",
            queue="pool",
            team=team,
            share=share,
            work_ms=WORK_MS[team],
            worth=WORTH[team],
            callers=CALLERS,
            spread=SPREAD,
            entry_weights=SKEW[team] if case == "skewed" else (),
        )
        for team, share in SHARES.items()
    )
    return LoadProfile(
        classes=classes, warm_up_s=warm_up_s, measured_s=measured_s
    )


if __name__ == "__main__":
    defopt.run(main)
