"""Empty minions are added; the advice service is then given up too soon."""

from pathlib import Path
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import advice  # noqa: E402
import bench  # noqa: E402

FIRST = 24
# scale_out: a share of 0.25 is added, over gap_s (2 s).
ADDED = 6
GAP_S = 2.0
MINIONS = {f"i-{number:02}": f"r{number // 4}" for number in range(FIRST)}
NEW = {
    f"i-{number:02}": f"r{number // 4}"
    for number in range(FIRST, FIRST + ADDED)
}
FINISH_S = 14.0
SPAN_S = 3.0
ADVISOR = {"decision-ms": 200, "period-ms": 50, "validity-ms": 3000}
BEFORE, AFTER = "5c0e7a21d94b36f8", "6d1f8b32ea5c47a9"


def play(record):
    everyone = {*MINIONS, *NEW}
    with advice.Deployment(record, MINIONS, everyone, ADVISOR) as deployment:
        platform = deployment.platform
        deployment.submit(BEFORE, "work=0.5")
        time.sleep(5.0)
        if deployment.state(BEFORE) != "completed":
            raise RuntimeError("the first job did not complete in calm")
        if bench.TROUBLE:
            for name, rack in NEW.items():
                platform.add(name, rack)
                record(f"{name} added")
                time.sleep(GAP_S / ADDED)
            time.sleep(5.0)
        deployment.submit(AFTER, "work=0.5")
        sent_s = time.monotonic()
        time.sleep(FINISH_S + SPAN_S + 1.0)
        runs = [
            entry
            for entry in platform.ledger.snapshot()
            if entry.task.startswith(AFTER)
        ]
        first_s = min((run.started_at_s for run in runs), default=None)
        state = deployment.state(AFTER)
        if first_s is None:
            record("no task of the second job was started")
        else:
            record(f"its first task started after {first_s - sent_s:.2f} s")
    if first_s is None or state != "completed":
        return (
            f"LOST: a job was accepted, and {FINISH_S + SPAN_S:.0f} s later "
            f"nothing of it had run (state {state}), while "
            f"{len(everyone)} empty minions were allowed to run it"
        )
    return None


bench.main(HERE, play)
