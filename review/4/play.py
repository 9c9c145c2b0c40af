"""A job is shown as completed while the store is down, and runs again."""

from pathlib import Path
import sys
import time

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from bed import Bed  # noqa: E402
from bed import run_case  # noqa: E402
from bed import StoreFault  # noqa: E402

OUTAGE_S = 4.5
STEPS = [{"count": 2, "cpu": 3500, "mem-mb": 6500, "estimated-ms": 1500}]
CONTACT_S = 3.0
SHOWN_SLACK_S = 1.0


def play(is_troubled):
    """Play a store outage; the minion of a completed job is lost in it."""
    bed = Bed(FOLDER, {"one": 6})
    try:
        if not bed.wait_ready():
            return None
        job_id, status = bed.submit(0, "one", "work=1.5", STEPS)
        if status != 200:
            return None
        time.sleep(1.2)
        minion = next((run.minion for run in bed.runs), None)
        if minion is None:
            return None
        back_s = 0.0
        if is_troubled:
            bed.record("the store is down")
            bed.store.fault = StoreFault.SILENT
            down_s = time.monotonic()
        shown_s = wait_completed(bed, job_id, 3.0)
        if shown_s is None:
            bed.record("the job was not shown as completed in the outage")
        if is_troubled:
            minion.crash()
            bed.remove_entry_later(minion)
            time.sleep(max(0.0, down_s + OUTAGE_S - time.monotonic()))
            bed.store.fault = StoreFault.NONE
            back_s = time.monotonic()
            bed.record("the store is back")
        time.sleep(12)
        bed.state(1, "one", job_id)
        if shown_s is None:
            return [] if is_troubled else None
        return [
            f"{run} started {run.started_s - shown_s:.1f} s after the job was "
            f"shown as completed, {run.started_s - back_s:.1f} s after the "
            "store was back"
            for run in bed.runs
            if run.started_s > shown_s + SHOWN_SLACK_S
            and run.started_s > back_s + CONTACT_S
        ]
    finally:
        bed.close(FOLDER if "-v" in sys.argv else None)


def wait_completed(bed, job_id, timeout_s):
    """Return when the job was shown as completed, None if it was not."""
    end_s = time.monotonic() + timeout_s
    number = 0
    while time.monotonic() < end_s:
        number += 1
        if bed.state(number % 3, "one", job_id) == "completed":
            return time.monotonic()
        time.sleep(0.05)
    return None


if __name__ == "__main__":
    run_case(FOLDER, play)
