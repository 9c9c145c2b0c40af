"""The store is down while more than 500 tasks end on one minion."""

from pathlib import Path
import sys
import time

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from bed import Bed  # noqa: E402
from bed import run_case  # noqa: E402
from bed import StoreFault  # noqa: E402

TASKS = 900
OUTAGE_S = 4.0
STEPS = [{"count": TASKS, "cpu": 50, "mem-mb": 100, "estimated-ms": 5000}]


def play(is_troubled):
    """Run one wide job; the store is down from the end of its first task."""
    bed = Bed(FOLDER, {"one": 3})
    try:
        if not bed.wait_ready():
            return None
        job_id, status = bed.submit(0, "one", "work=5", STEPS)
        if status != 200:
            return None
        end_s = time.monotonic() + 40
        while not any(run.ended_s for run in bed.runs):
            if time.monotonic() > end_s:
                return None
            time.sleep(0.01)
        if is_troubled:
            bed.record("the store is down")
            bed.store.fault = StoreFault.SILENT
            time.sleep(OUTAGE_S)
            bed.store.fault = StoreFault.NONE
            bed.record("the store is back")
        end_s = time.monotonic() + 40
        while time.monotonic() < end_s:
            if bed.state(1, "one", job_id) == "completed":
                break
            time.sleep(0.5)
        else:
            bed.record("the job was not completed in time")
        time.sleep(1)
        return bed.find_twice()
    finally:
        bed.close(FOLDER if "-v" in sys.argv else None)


if __name__ == "__main__":
    run_case(FOLDER, play)
