"""A rack crashes and comes back; tickets of its earlier life are used on."""

from pathlib import Path
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import advice  # noqa: E402
import bench  # noqa: E402

MINIONS = {f"i-{number:02}": f"r{number // 2}" for number in range(6)}
RACK = ("i-00", "i-01")
DOWN_S = 7.0
WATCH_S = 30.0
ADVISOR = {"decision-ms": 50, "period-ms": 10, "validity-ms": 3000}
JOB = "5c0e7a21d94b36f8"


def play(record):
    with advice.Deployment(record, MINIONS, RACK, ADVISOR) as deployment:
        platform = deployment.platform
        deployment.submit(JOB, "lasting", **{"long-running": True})
        time.sleep(6.0)
        if not any(platform.minions[name].running_count for name in RACK):
            raise RuntimeError("the job did not start before the crash")
        if bench.TROUBLE:
            for name in RACK:
                platform.crash(name)
            time.sleep(DOWN_S)
            for name in RACK:
                platform.restart(name)
        # The rule asks for 4 s of calm before the 3 s without a run.
        calm_s = time.monotonic() + 4.0
        time.sleep(WATCH_S)
        gap_s = deployment.longest_gap_s(JOB, calm_s, time.monotonic())
        record(f"longest time without a run, after 4 s of calm: {gap_s:.1f} s")
        deployment.state(JOB)
    if gap_s > 3.0:
        return (
            f"LOST: for {gap_s:.1f} s nothing of the lasting job ran, while "
            f"{len(RACK)} empty minions were allowed to run it"
        )
    return None


bench.main(HERE / "record.txt", play)
