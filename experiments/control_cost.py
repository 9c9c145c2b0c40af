"""Measures CPU, memory and platform traffic of idle and busy members.

Starts a number of entries and control processes with a light load or none,
and reads CPU time and memory of each process from /proc and the traffic with
the platform from the stand-in. Traffic between members is measured in process
by ``replay.heartbeat_trial``.
"""

import os
from pathlib import Path
import time

import defopt

from experiments.setting import Testbed
from experiments.setting import TestbedShape
from rosemarynotch._internal.replay.load import LoadClass
from rosemarynotch._internal.replay.load import LoadProfile

__all__ = ["main"]

KIB = 1024
SETTLE_S = 40.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def main(
    *,
    entries: str = "3,6,12",
    pools: int = 5,
    teams: int = 6,
    measured_s: float = 20.0,
    rate_per_s: float = 5.0,
    seed: int = 1,
) -> None:
    """Print CPU %, resident memory, platform bytes and calls per process.

    :param entries: numbers of entries, separated by commas; as many control
        processes are started
    :param pools: number of pools, of 6 VMs each
    :param teams: number of teams
    :param measured_s: measured time for each number of entries
    :param rate_per_s: requests per second over all entries, 0 for none
    :param seed: seed of the generated load
    """
    print(
        "members  entry cpu% MB   control cpu% MB   leader cpu%  "
        "platform B/s  calls/s per member"
    )
    for count in (int(each) for each in entries.split(",")):
        shape = TestbedShape(
            shares={f"team-{n}": 1.0 for n in range(teams)},
            pools=tuple(f"pool-{n}" for n in range(pools)),
            entries=count,
            controls=count,
            settle_s=SETTLE_S,
        )
        with Testbed(shape) as testbed:
            profile = _profile(shape, measured_s, rate_per_s)
            _measure(testbed, profile, seed)


def _measure(testbed: Testbed, profile: LoadProfile, seed: int) -> None:
    """Measure the processes under a load and print a line of the table."""
    ids = testbed.processes.ids()
    before = {name: _cpu_s(pid) for name, pid in ids.items()}
    stats = testbed.stats()
    start_s = time.monotonic()
    if profile.classes:
        testbed.run_load(profile, seed)
    else:
        time.sleep(profile.measured_s)
    elapsed_s = time.monotonic() - start_s
    used = {
        name: 100 * (_cpu_s(pid) - before[name]) / elapsed_s
        for name, pid in ids.items()
    }
    after = testbed.stats()
    entries = [name for name in ids if name.startswith("entry")]
    controls = [name for name in ids if name.startswith("control")]
    leader = max(controls, key=lambda name: used[name])
    followers = [name for name in controls if name != leader] or [leader]
    members = len(entries) + len(controls)
    sent = sum(after[k] - stats[k] for k in ("bytes_in", "bytes_out"))
    calls = sum(after["calls"].values()) - sum(stats["calls"].values())
    print(
        f"{members:7} {_mean(used, entries):11.2f} "
        f"{_memory_mb(ids, entries):3.0f} {_mean(used, followers):13.2f} "
        f"{_memory_mb(ids, controls):3.0f} {used[leader]:12.2f} "
        f"{sent / elapsed_s / members:13.0f} "
        f"{calls / elapsed_s / members:8.2f}",
        flush=True,
    )


def _profile(shape, measured_s, rate_per_s) -> LoadProfile:
    classes = tuple(
        LoadClass(
            service=pool,
            queue=pool,
            team=team,
            share=1.0,
            work_ms=50.0,
            rate_per_s=rate_per_s / len(shape.pools) / len(shape.shares),
        )
        for pool in shape.pools
        for team in shape.shares
        if rate_per_s > 0
    )
    return LoadProfile(classes=classes, warm_up_s=0.0, measured_s=measured_s)


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _memory_mb(ids: dict[str, int], names: list[str]) -> float:
    """Return the largest resident memory among the named processes."""
    sizes = []
    for name in names:
        status = Path(f"/proc/{ids[name]}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
        sizes.append(int(line.split()[1]) / KIB)
    return max(sizes)


def _mean(values: dict[str, float], names: list[str]) -> float:
    return sum(values[name] for name in names) / len(names)


if __name__ == "__main__":
    defopt.run(main)
