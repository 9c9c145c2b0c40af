"""Another writer leaves an entry of its own service in the registry."""

import json
import os
from pathlib import Path
import sys
import time

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from bed import Answer  # noqa: E402
from bed import Bed  # noqa: E402
from bed import JsonServer  # noqa: E402
from bed import run_case  # noqa: E402

TRAFFIC_S = 12
FINISH_S = 14
WATCH_S = 3
STEPS = [{"count": 2, "cpu": 3500, "mem-mb": 6500, "estimated-ms": 600}]
# Entries of the other writer: id and address. The first address has an empty
# part. The second id is Malayalam for Kochi, with a number, and its address is
# that of an HTTP server. Each of them alone has the same effect; one is
# chosen by ENTRY=0 or ENTRY=1.
FOREIGN_ENTRIES = [
    ("archive-1", "127.0.0..1:9200"),
    ("\u0d15\u0d4a\u0d1a\u0d4d\u0d1a\u0d3f-1", None),
]


def play(is_troubled):
    """Submit jobs, before and after the entry is written."""
    bed = Bed(FOLDER, {"one": 6})
    foreign = JsonServer(lambda call: Answer(404))
    accepted = []
    try:
        if not bed.wait_ready():
            return None
        end_s = time.monotonic() + TRAFFIC_S
        entry_s = time.monotonic() + 3
        while time.monotonic() < end_s:
            if is_troubled and time.monotonic() > entry_s:
                entry_s = end_s + 1
                for foreign_id, address in chosen_entries():
                    put_entry(bed, foreign_id, address or foreign.address)
            job_id, status = bed.submit(len(accepted) % 3, "one", "", STEPS)
            if status == 200:
                accepted.append(job_id)
            time.sleep(0.2)
        bed.record("the traffic has ended")
        time.sleep(FINISH_S)
        states = {job: bed.state(1, "one", job) for job in accepted}
        if not accepted:
            return None
        idle = bed.find_idle(accepted)
        end_s = time.monotonic() + WATCH_S
        while time.monotonic() < end_s and idle:
            time.sleep(0.05)
            idle &= bed.find_idle(accepted) if bed.is_half_free() else set()
        return [
            f"{job}: accepted, shown as {states[job]}; nothing of it ran for "
            f"{WATCH_S} s, {FINISH_S} s after the end of the traffic"
            for job in accepted
            if job in idle
        ]
    finally:
        foreign.close()
        bed.close(FOLDER if "-v" in sys.argv else None)


def chosen_entries():
    """Return the entries to write."""
    chosen = os.environ.get("ENTRY")
    if chosen is None:
        return FOREIGN_ENTRIES
    return [FOREIGN_ENTRIES[int(chosen)]]


def put_entry(bed, foreign_id, address):
    """Write an entry with the usual fields that names no minion."""
    entry = {
        "backend": "archive-index",
        "address": address,
        "zone": "zone-1",
        "version": "7.1",
        "slots": 8,
        "state": "ready",
        "cold-remaining-ms": 0,
        "seq": 1,
        "born": round(time.time() * 1000),
        "capacity": {"cpu": 64000, "mem-mb": 131072, "gpu": 0},
        "labels": ["a", "rack-0"],
    }
    bed.record(f"another writer writes servers/{foreign_id}: {entry}")
    bed.store.put(f"servers/{foreign_id}", json.dumps(entry).encode())


if __name__ == "__main__":
    run_case(FOLDER, play)
