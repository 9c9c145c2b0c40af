"""One tenant hands in schedules at many times its usual rate."""

from pathlib import Path
import signal
import sys
import threading
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import advice  # noqa: E402
import bench  # noqa: E402

MINIONS = {f"i-{number:02}": f"r{number // 2}" for number in range(4)}
MEMORY_MB = 300
RESTART_S = 1.0
# hot_tenant: x 7.5 for 6.5 s. The tenant usually sends 1.2 jobs a second.
HOT_S = 6.5
USUAL_PER_S = 1.2
X = 7.5
# Once a minute for three days and a half, from the next hour on.
TIMES = 5000
INTERVAL_MS = 60_000
WATCH_S = 75.0
ENDS = 3
MACHINES = 2


class MemoryLimit:
    """Ends a node above its memory and starts it again, as the platform."""

    def __init__(self, nodes, record):
        self._nodes, self._record = nodes, record
        self.ends = {node.name: 0 for node in nodes.all}
        self.peak_mb = {node.name: 0 for node in nodes.all}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def close(self):
        self._stop.set()
        self._thread.join()

    def _run(self):
        while not self._stop.wait(0.1):
            for node in self._nodes.all:
                used_mb = node.memory_mb()
                peak_mb = max(self.peak_mb[node.name], used_mb)
                self.peak_mb[node.name] = peak_mb
                if used_mb > MEMORY_MB:
                    self._end(node, used_mb)

    def _end(self, node, used_mb):
        self.ends[node.name] += 1
        node.signal(signal.SIGKILL)
        node.kill()
        self._record(
            f"{node.name} used {used_mb:.0f} MB of {MEMORY_MB} and was ended"
        )
        if not self._stop.wait(RESTART_S):
            node.start()
            self._record(f"node {node.name} started")


def play(record):
    with advice.Deployment(record, MINIONS) as deployment:
        nodes = deployment.nodes
        limit = MemoryLimit(nodes, record)
        try:
            count = round(HOT_S * USUAL_PER_S * (X if bench.TROUBLE else 1))
            first_ms = round(time.time() * 1000) + 3_600_000
            body = {
                "spec": "work=0.1",
                "steps": [
                    {
                        "count": 1,
                        "cpu": 500,
                        "mem-mb": 64,
                        "estimated-ms": 100,
                    }
                ],
                "repeat-count": TIMES,
                "first-run-ms": first_ms,
                "interval-ms": INTERVAL_MS,
            }
            started_s = time.monotonic()
            accepted = 0
            for number in range(count):
                at_s = started_s + HOT_S * number / count
                time.sleep(max(0.0, at_s - time.monotonic()))
                accepted += nodes.submit("/one/", f"{number:016x}", body)
            record(f"{accepted} of {count} schedules were accepted")
            time.sleep(2.0)
            ordinary = f"{0xABCDEF:016x}"
            plain = {
                "spec": "work=0.2",
                "steps": [{"count": 1, "cpu": 500, "estimated-ms": 200}],
            }
            is_accepted = nodes.submit("/one/", ordinary, plain, key="key-b")
            record(f"job of another tenant accepted: {is_accepted}")
            time.sleep(WATCH_S)
            status, answer = nodes.all[0].call(
                "GET", f"/one/{ordinary}", key="key-b"
            )
            record(f"its state {WATCH_S:.0f} s later: {status} {answer}")
        finally:
            limit.close()
    for name in limit.ends:
        record(
            f"{name}: {limit.ends[name]} ends for memory, "
            f"peak {limit.peak_mb[name]:.0f} MB"
        )
    over = [name for name, ends in limit.ends.items() if ends >= ENDS]
    if len(over) >= MACHINES:
        return (
            f"Fault: on {len(over)} of {len(limit.ends)} machines the process "
            f"ended {ENDS} times or more for its memory"
        )
    return None


bench.main(HERE / "record.txt", play)
