"""Placement by learnt against declared size."""

import random

import attrs

from rosemarynotch._internal.policy.placement import DeclaredSizeFirstFit
from rosemarynotch._internal.policy.placement import JobSize
from rosemarynotch._internal.policy.placement import LearnedSizeSpread
from rosemarynotch._internal.policy.placement import PlacementPolicy
from rosemarynotch._internal.policy.placement import WorkerCapacity

__all__ = ["print_placements", "run_placement"]

RACKS = 3
WORKERS_PER_RACK = 4
CORES = 16.0
MEMORY_MB = 64_000
TRIAL_S = 3_600
JOBS_PER_S = 2.6
MEAN_RUN_S = 30.0
MEMORY_PER_CORE_MB = 2_000
SPREAD = 0.25

# Queue, declared cores, mean cores used, part of the jobs.
QUEUES = (
    ("generous", 4.0, 1.0, 0.5),
    ("modest", 1.0, 2.0, 0.2),
    ("honest", 2.0, 2.0, 0.3),
)


@attrs.define
class Run:
    """A job that runs; ``left_s`` at full speed."""

    queue: str
    worker: str
    size: JobSize
    used: JobSize
    left_s: float


@attrs.define
class Placed:
    """Totals of one run.

    :ivar overload_worker_s: time of workers with more use than cores
    :ivar largest_rack_part: largest part of a queue's running jobs that a
        single rack had, averaged over time
    """

    done: int = 0
    wait_s: float = 0.0
    used_core_s: float = 0.0
    overload_worker_s: int = 0
    largest_rack_part: float = 0.0
    waiting: int = 0


def run_placement(policy: PlacementPolicy, seed: int) -> Placed:
    """Run jobs whose declared sizes are far from the real ones."""
    rng = random.Random(seed)
    rooms = [
        WorkerCapacity(
            name=f"w{rack}-{n}",
            rack=("one", f"r{rack}"),
            cores=CORES,
            memory_mb=MEMORY_MB,
            accelerators=0,
        )
        for rack in range(RACKS)
        for n in range(WORKERS_PER_RACK)
    ]
    by_name = {room.name: room for room in rooms}
    waiting: list[tuple[int, tuple, JobSize, float]] = []
    running: list[Run] = []
    placed = Placed()
    for second in range(TRIAL_S):
        waiting += _arrivals(rng, second)
        waiting = _start(policy, rooms, by_name, waiting, running, placed)
        placed.wait_s += len(waiting)
        running = _work(policy, by_name, running, placed)
        placed.largest_rack_part += _largest_rack_part(by_name, running)
    placed.largest_rack_part /= TRIAL_S
    placed.waiting = len(waiting)
    return placed


def _arrivals(rng: random.Random, second: int):
    count = int(JOBS_PER_S) + (rng.random() < JOBS_PER_S % 1)
    jobs = []
    for _ in range(count):
        queue = rng.choices(QUEUES, [row[3] for row in QUEUES])[0]
        cores = max(0.1, rng.gauss(queue[2], SPREAD * queue[2]))
        used = _size(cores)
        jobs.append((second, queue, used, rng.expovariate(1 / MEAN_RUN_S)))
    return jobs


def _size(cores: float) -> JobSize:
    return JobSize(cores=cores, memory_mb=int(cores * MEMORY_PER_CORE_MB))


def _start(policy, rooms, by_name, waiting, running, placed):
    left = []
    for job in waiting:
        _, queue, used, run_s = job
        size = policy.size("team", queue[0], _size(queue[1]))
        worker = policy.choose(size, rooms)
        if not worker:
            left.append(job)
            continue
        by_name[worker].take(size)
        running.append(Run(queue[0], worker, size, used, run_s))
    return left


def _work(policy, by_name, running, placed):
    """Let a second go by; an overloaded worker slows its jobs down."""
    use: dict[str, float] = {}
    for run in running:
        use[run.worker] = use.get(run.worker, 0.0) + run.used.cores
    placed.overload_worker_s += sum(cores > CORES for cores in use.values())
    placed.used_core_s += sum(min(CORES, cores) for cores in use.values())
    left = []
    for run in running:
        run.left_s -= min(1.0, CORES / use[run.worker])
        if run.left_s > 0:
            left.append(run)
            continue
        placed.done += 1
        room = by_name[run.worker]
        room.take(
            JobSize(cores=-run.size.cores, memory_mb=-run.size.memory_mb)
        )
        room.jobs -= 2
        policy.observe("team", run.queue, run.used)
    return left


def _largest_rack_part(by_name, running) -> float:
    racks: dict[str, dict[str, int]] = {}
    for run in running:
        counts = racks.setdefault(run.queue, {})
        rack = by_name[run.worker].rack[1]
        counts[rack] = counts.get(rack, 0) + 1
    return max(
        (max(c.values()) / sum(c.values()) for c in racks.values()),
        default=0.0,
    )


def print_placements(seed: int) -> None:
    """Print the outcome of each policy."""
    workers = RACKS * WORKERS_PER_RACK
    print(f"placement on {workers} workers of {CORES:.0f} cores, {TRIAL_S} s")
    for policy in (DeclaredSizeFirstFit(), LearnedSizeSpread()):
        placed = run_placement(policy, seed)
        used = placed.used_core_s / (workers * CORES * TRIAL_S)
        print(
            f"{type(policy).__name__:16} {placed.done:6} done"
            f" {placed.waiting:5} still wait"
            f" {placed.wait_s / max(1, placed.done):7.1f} s mean wait"
            f" {100 * used:5.1f} % cores used"
            f" {placed.overload_worker_s:6} overloaded worker-s"
            f" {100 * placed.largest_rack_part:5.1f} % on one rack"
        )
