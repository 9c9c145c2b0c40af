"""Compares placement by learnt job sizes with placement by declared ones."""

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
CORES_DEVIATION = 0.25

# Queue, declared cores, mean cores used, fraction of the jobs.
QUEUES = (
    ("generous", 4.0, 1.0, 0.5),
    ("modest", 1.0, 2.0, 0.2),
    ("honest", 2.0, 2.0, 0.3),
)


@attrs.define
class RunningJob:
    """A running job.

    :ivar remaining_s: remaining run time at full speed
    """

    queue: str
    worker: str
    size: JobSize
    used: JobSize
    remaining_s: float


@attrs.define
class PlacementTotals:
    """Totals of one run.

    :ivar overload_worker_s: time that workers had more cores in use than
        they have, summed over workers
    :ivar largest_rack_fraction: largest fraction of a queue's running jobs on
        one rack, averaged over time
    """

    done: int = 0
    wait_s: float = 0.0
    used_core_s: float = 0.0
    overload_worker_s: int = 0
    largest_rack_fraction: float = 0.0
    waiting: int = 0


def run_placement(policy: PlacementPolicy, seed: int) -> PlacementTotals:
    """Run jobs whose declared sizes differ widely from actual ones."""
    rng = random.Random(seed)
    capacities = [
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
    by_name = {capacity.name: capacity for capacity in capacities}
    waiting: list[tuple[int, tuple, JobSize, float]] = []
    running: list[RunningJob] = []
    totals = PlacementTotals()
    for second in range(TRIAL_S):
        waiting += _arrivals(rng, second)
        waiting = _start(policy, capacities, by_name, waiting, running, totals)
        totals.wait_s += len(waiting)
        running = _run_second(policy, by_name, running, totals)
        totals.largest_rack_fraction += _largest_rack_fraction(
            by_name, running
        )
    totals.largest_rack_fraction /= TRIAL_S
    totals.waiting = len(waiting)
    return totals


def _arrivals(rng: random.Random, second: int):
    count = int(JOBS_PER_S) + (rng.random() < JOBS_PER_S % 1)
    jobs = []
    for _ in range(count):
        queue = rng.choices(QUEUES, [row[3] for row in QUEUES])[0]
        cores = max(0.1, rng.gauss(queue[2], CORES_DEVIATION * queue[2]))
        used = _size(cores)
        jobs.append((second, queue, used, rng.expovariate(1 / MEAN_RUN_S)))
    return jobs


def _size(cores: float) -> JobSize:
    return JobSize(cores=cores, memory_mb=int(cores * MEMORY_PER_CORE_MB))


def _start(policy, capacities, by_name, waiting, running, totals):
    remaining = []
    for job in waiting:
        _, queue, used, run_s = job
        size = policy.size("team", queue[0], _size(queue[1]))
        worker = policy.choose(size, capacities)
        if not worker:
            remaining.append(job)
            continue
        by_name[worker].take(size)
        running.append(RunningJob(queue[0], worker, size, used, run_s))
    return remaining


def _run_second(policy, by_name, running, totals):
    """Advance by a second; an overloaded worker slows its jobs down."""
    use: dict[str, float] = {}
    for run in running:
        use[run.worker] = use.get(run.worker, 0.0) + run.used.cores
    totals.overload_worker_s += sum(cores > CORES for cores in use.values())
    totals.used_core_s += sum(min(CORES, cores) for cores in use.values())
    remaining = []
    for run in running:
        run.remaining_s -= min(1.0, CORES / use[run.worker])
        if run.remaining_s > 0:
            remaining.append(run)
            continue
        totals.done += 1
        capacity = by_name[run.worker]
        capacity.take(
            JobSize(cores=-run.size.cores, memory_mb=-run.size.memory_mb)
        )
        # take() adds a job; subtract that one and the one that has ended.
        capacity.jobs -= 2
        policy.observe("team", run.queue, run.used)
    return remaining


def _largest_rack_fraction(by_name, running) -> float:
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
        totals = run_placement(policy, seed)
        used = totals.used_core_s / (workers * CORES * TRIAL_S)
        print(
            f"{type(policy).__name__:16} {totals.done:6} done"
            f" {totals.waiting:5} still wait"
            f" {totals.wait_s / max(1, totals.done):7.1f} s mean wait"
            f" {100 * used:5.1f} % cores used"
            f" {totals.overload_worker_s:6} overloaded worker-s"
            f" {100 * totals.largest_rack_fraction:5.1f} % on one rack"
        )
