"""Calls with an unknown key reach the jobs of an organisation."""

import http.client
import json
from pathlib import Path
import sys
import time
import uuid

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from bed import Bed  # noqa: E402
from bed import KEY  # noqa: E402
from bed import QUEUE_HOST  # noqa: E402
from bed import run_case  # noqa: E402

# No configuration has ever held this key.
UNKNOWN_KEY = "key-of-nobody"
CONFIG_APPLY_S = 2.0
STEPS = [{"count": 1, "cpu": 1000, "mem-mb": 500, "estimated-ms": 20000}]


def play(is_troubled):
    """Submit jobs of an organisation; call with an unknown key."""
    bed = Bed(FOLDER, {"one": 3, "two": 3})
    try:
        if not bed.wait_ready():
            return None
        make_public(bed, "two")
        time.sleep(2 * CONFIG_APPLY_S)
        jobs = []
        for number in range(3):
            job_id, status = bed.submit(number, "one", "work=20", STEPS)
            if status != 200:
                return None
            jobs.append(job_id)
        time.sleep(1)
        key = UNKNOWN_KEY if is_troubled else KEY
        found = []
        for number, job_id in enumerate(jobs):
            own_id = uuid.uuid4().hex[:16]
            bed.jobs[own_id] = STEPS
            body = {"spec": "work=1", "steps": STEPS}
            for method, path, sent in (
                ("GET", f"/one/{job_id}", None),
                ("GET", f"/two/{job_id}", None),
                ("POST", f"/two/{own_id}", body),
                ("DELETE", f"/two/{job_id}", None),
            ):
                status, answer = call(bed, number, method, path, key, sent)
                if key == UNKNOWN_KEY and 200 <= status < 300:
                    found.append(
                        f"{method} {path} with a key that no configuration "
                        f"ever held: {status} {answer}"
                    )
        time.sleep(1)
        for number, job_id in enumerate(jobs):
            bed.state(number, "one", job_id)
        return found
    finally:
        bed.close(FOLDER if "-v" in sys.argv else None)


def make_public(bed, pool):
    """Write a configuration in which the queue of a pool is public."""
    document = json.loads(bed.store.value("op/config"))
    document["version"] += 1
    for route in document["routes"]:
        route["public"] = route["backend"] == pool
    bed.record(f"the queue of pool {pool} is public from now on")
    bed.store.put("op/config", json.dumps(document).encode())


def call(bed, number, method, path, key, body):
    """Call a node with a key; return the status and the body."""
    connection = http.client.HTTPConnection(
        bed.front_address(number), timeout=3
    )
    headers = {"Host": QUEUE_HOST, "Authorization": f"Token {key}"}
    data = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        status, answer = response.status, response.read().decode()
    finally:
        connection.close()
    bed.record(f"{method} {path} with {key} to edge-{number}: {status}")
    return status, answer


if __name__ == "__main__":
    run_case(FOLDER, play)
