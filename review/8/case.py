"""A rack crashes and comes back; jobs that only it may run never start."""

from pathlib import Path
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import advice  # noqa: E402
import bench  # noqa: E402

MINIONS = {f"i-{number:02}": f"r{number // 8}" for number in range(40)}
ALLOWED = tuple(name for name, rack in MINIONS.items() if rack == "r0")
DOWN_S = 6.2
# From the end of the traffic (finish_s), and the span of the rule.
FINISH_S = 14.0
SPAN_S = 3.0
ADVISOR = {"decision-ms": 50, "period-ms": 10, "validity-ms": 3000}
BEFORE, AFTER = "5c0e7a21d94b36f8", "6d1f8b32ea5c47a9"


def play(record):
    with advice.Deployment(record, MINIONS, ALLOWED, ADVISOR) as deployment:
        platform = deployment.platform
        deployment.submit(BEFORE, "work=0.5")
        time.sleep(3.0)
        if deployment.state(BEFORE) != "completed":
            raise RuntimeError("the first job did not complete in calm")
        if bench.TROUBLE:
            for name in ALLOWED:
                platform.crash(name)
            time.sleep(DOWN_S)
            for name in ALLOWED:
                platform.restart(name)
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
    # A job that has run is not judged, whatever its state.
    if first_s is None:
        return (
            f"LOST: a job was accepted, and {FINISH_S + SPAN_S:.0f} s later "
            f"nothing of it had run (state {state}), while "
            f"{len(ALLOWED)} empty minions were allowed to run it"
        )
    return None


bench.main(HERE / "record.txt", play)
