"""Upkeep is due on a machine whose lasting task fits nowhere else."""

from pathlib import Path
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import bench  # noqa: E402
from standins.fleet import Emulator  # noqa: E402

POOLS = {"one": 4}
WAVE_S = 26
WAVE = {"wave": 1, "machines": ["vm-1"], "duration-s": WAVE_S, "cap": 1}
FINISH_S = 14.0
SPAN_S = 3.0
LASTING, AFTER = "5c0e7a21d94b36f8", "6d1f8b32ea5c47a9"


def configuration():
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-one",
                "host": bench.HOST,
                "prefix": "/one/",
                "type": "non_idempotent",
                "timeout-ms": 3000,
                "target-latency-ms": 600,
                "priority": 0,
                "backend": "one",
                "attempts": 3,
                "stretch": 2.0,
                "public": False,
            }
        ],
        "services": [
            {"name": "one", "admission-check": True, "standby": False},
        ],
        "limits": {"header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [
            {"name": name, "api-keys": [key], "weight": 1, "cap": {}}
            for name, key in bench.KEYS.items()
        ],
    }


def play(record):
    platform = Emulator(POOLS, outage_s=2.0)
    nodes = None
    try:
        # Each machine stands in a rack of its own; racks are labels.
        for name, vm in platform.vms.items():
            vm.rack = f"r-{name}"
        machine = platform.vms["vm-1"]
        label = machine.rack
        platform.put_configuration(configuration())
        nodes = bench.Nodes(
            3,
            platform.store_server.address,
            platform.cloud_server.address,
            record,
        )
        nodes.await_ready("/one/")
        time.sleep(3.0)
        step = {
            "cpu": 1000,
            "mem-mb": 256,
            "estimated-ms": 500,
            "required-label": label,
        }
        lasting = {"count": 1, "long-running": True, "max-unavailable": 1}
        body = {"spec": "lasting", "steps": [step | lasting]}
        if not nodes.submit("/one/", LASTING, body):
            raise RuntimeError("the lasting job was not accepted")
        time.sleep(3.0)
        if not platform.ledger.of_task(f"{LASTING}.0.0.0"):
            raise RuntimeError("the lasting task did not start")
        if bench.TROUBLE:
            document = bench.json.dumps(WAVE)
            platform.store.put("op/wave/1", document.encode())
            record(f"op/wave/1: {document}")
        time.sleep(5.0)
        body = {"spec": "work=0.5", "steps": [step | {"count": 1}]}
        if not nodes.submit("/one/", AFTER, body):
            raise RuntimeError("the second job was not accepted")
        time.sleep(WAVE_S + FINISH_S + SPAN_S)
        for path, holder, fence in (
            (order[1], order[2], order[3])
            for order in platform.orders
            if order[0] == "vm-1"
        ):
            record(f"{path} of vm-1 ordered by {holder}, fence {fence}")
        worker = machine.worker
        record(f"vm-1 is {machine.state}, runs {worker.running_count}")
        wave = platform.store.value("status/wave/1")
        record(f"status/wave/1: {wave}")
        status, body = nodes.all[0].call("GET", f"/one/{AFTER}")
        record(f"GET /one/{AFTER}: {status} {body}")
        runs = platform.ledger.of_task(f"{AFTER}.0.0.0")
        record(f"runs of its task: {len(runs)}")
    finally:
        if nodes is not None:
            nodes.close()
        platform.close()
    if not runs:
        return (
            f"LOST: a job was accepted, and {WAVE_S + FINISH_S + SPAN_S:.0f} "
            "s later nothing of it had run, while the minion with its label "
            "had an eighth of its processors in use"
        )
    return None


bench.main(HERE / "record.txt", play)
