"""A minion loses power and soon starts again under its id."""

from pathlib import Path
import sys
import threading
import time

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from bed import Bed  # noqa: E402
from bed import run_case  # noqa: E402

CRASHES = 6
DOWN_S = 0.4
STEPS = [{"count": 6, "cpu": 3500, "mem-mb": 6500, "estimated-ms": 600}]


def play(is_troubled):
    """Submit jobs; the busiest minion crashes and starts again at once."""
    bed = Bed(FOLDER, {"one": 6})
    stop = threading.Event()

    def submit():
        number = 0
        while not stop.wait(0.1):
            number += 1
            bed.submit(number % 3, "one", "work=0.6", STEPS)

    try:
        if not bed.wait_ready():
            return None
        client = threading.Thread(target=submit)
        client.start()
        for _ in range(CRASHES):
            time.sleep(4)
            if is_troubled:
                minion = max(bed.minions, key=lambda each: len(each.runs))
                minion.crash(is_dark=True)
                time.sleep(DOWN_S)
                minion.start()
        time.sleep(4)
        stop.set()
        client.join()
        time.sleep(5)
        return bed.find_twice()
    finally:
        stop.set()
        bed.close(FOLDER if "-v" in sys.argv else None)


if __name__ == "__main__":
    run_case(FOLDER, play)
