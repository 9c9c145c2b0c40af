"""Loads of more work than the pools hold, for the trial of job orders.

Four queues peak in rotation, each in its own pool. Two have short jobs of
priority 0, two have long jobs of priority 1. The figures are those of the
customers' deployments (docs/next-release.md, part D).
"""

from collections.abc import Callable
import random

import attrs

from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.model import StepSpec

__all__ = [
    "ArrivingJob",
    "LOADS",
    "OverloadCase",
    "QUEUES",
    "ORGANISATIONS",
    "STANDBY_POOL",
    "SURGING",
    "make_case",
]

STANDBY_POOL = "standby"
QUEUES = tuple(
    QueuePolicy(
        name=name,
        host="h",
        prefix=f"/{name}/",
        pool=f"pool-{name}",
        priority=priority,
        max_failures=3,
        stretch=2.0,
        target_latency_ms=1000,
    )
    for name, priority in (("s1", 0), ("l1", 1), ("s2", 0), ("l2", 1))
)
ORGANISATIONS = tuple(f"org-{number}" for number in range(20))
# Organisation that submits more than usual in the load of a surge.
SURGING = ORGANISATIONS[0]
TASKS = 8
TURN_MS = 5000
# A queue that does not peak has this share of its mean demand.
LOW_FACTOR = 0.05
PEAK_FACTOR = 4.85
# Declared run times are off by at most this factor, and a small share of the
# long jobs runs several times as long as its class.
DECLARED_ERROR = 2.0
OUTLIER_SHARE = 0.03
OUTLIER_FACTOR = 7
MEMORY_MB = 500


@attrs.frozen
class ArrivingJob:
    """A job of the replay.

    :ivar run_ms: real run time of the tasks, by step
    :ivar is_outlier: whether it runs several times as long as declared
    """

    job_id: str
    at_ms: float
    queue: QueuePolicy
    organisation: str
    spec: JobSpec
    run_ms: tuple[float, ...]
    is_outlier: bool = False

    @property
    def objective_ms(self) -> float:
        """Return the time from arrival in which it is on time."""
        return self.queue.objective_ms(sum(self.run_ms))

    @property
    def work_core_ms(self) -> float:
        """Return the processor time of its tasks."""
        return sum(
            step.task_count * step.size.cpu_millicores / 1000 * run_ms
            for step, run_ms in zip(self.spec.steps, self.run_ms, strict=True)
        )


@attrs.frozen(kw_only=True)
class OverloadCase:
    """Jobs and VMs of one replay.

    :ivar vms: number of VMs that are not on standby at the start, by pool
    :ivar standby_vms: VMs of the standby pool
    :ivar do_move: whether VMs move between the pools
    """

    jobs: tuple[ArrivingJob, ...]
    vms: dict[str, int]
    cores: int
    standby_vms: int = 0
    do_move: bool = False


class _JobMaker:
    """Draws the arrivals and the jobs of one replay."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.jobs: list[ArrivingJob] = []
        self.weights = [1.0] * len(ORGANISATIONS)

    def add(self, queue, from_ms, to_ms, per_s, size_factor=1.0) -> None:
        """Add Poisson arrivals of a queue."""
        at_ms = float(from_ms)
        while per_s > 0:
            at_ms += self.rng.expovariate(per_s / 1000)
            if at_ms >= to_ms:
                return
            self.jobs.append(self._job(queue, at_ms, size_factor))

    def _job(self, queue, at_ms, size_factor) -> ArrivingJob:
        rng = self.rng
        is_short = queue.priority == 0
        steps = 1 + (rng.random() < 0.6) if is_short else 2
        base_ms = 600 * rng.uniform(0.7, 1.3)
        cores = rng.uniform(3, 6)
        if not is_short:
            base_ms = rng.uniform(1300, 2100)
            cores = rng.uniform(7, 13)
        is_outlier = not is_short and rng.random() < OUTLIER_SHARE
        if is_outlier:
            base_ms *= OUTLIER_FACTOR
        base_ms *= size_factor
        run_ms = tuple(base_ms * rng.uniform(0.9, 1.1) for _ in range(steps))
        # The caller does not know that its job is an outlier.
        known_ms = min(base_ms, 2100 * size_factor)
        declared_ms = known_ms * DECLARED_ERROR ** rng.uniform(-1, 1)
        size = Resources(
            cpu_millicores=round(cores * 1000), memory_mb=MEMORY_MB
        )
        organisation = rng.choices(ORGANISATIONS, self.weights)[0]
        return ArrivingJob(
            job_id=f"{len(self.jobs):06x}{rng.randrange(1 << 40):010x}",
            at_ms=at_ms,
            queue=queue,
            organisation=organisation,
            spec=JobSpec(
                payload="",
                steps=tuple(
                    StepSpec(
                        task_count=TASKS,
                        size=size,
                        estimated_ms=round(declared_ms),
                        after=(number - 1,) if number else (),
                    )
                    for number in range(steps)
                ),
            ),
            run_ms=run_ms,
            is_outlier=is_outlier,
        )


def _mean_per_s(queue: QueuePolicy) -> float:
    return 12.0 if queue.priority == 0 else 1.5


def _one_pool(maker: _JobMaker, queue: QueuePolicy, vms: int) -> OverloadCase:
    cores = maker.rng.choice((32, 64))
    return OverloadCase(
        jobs=tuple(maker.jobs), vms={queue.pool: vms}, cores=cores
    )


def _rotation(maker: _JobMaker) -> OverloadCase:
    """All queues peak in turn; VMs move between the pools."""
    for turn, queue in enumerate(QUEUES):
        for number in range(len(QUEUES)):
            factor = PEAK_FACTOR if number == turn else LOW_FACTOR
            maker.add(
                queue,
                number * TURN_MS,
                (number + 1) * TURN_MS,
                _mean_per_s(queue) * factor,
            )
    return OverloadCase(
        jobs=tuple(maker.jobs),
        vms={queue.pool: 5 for queue in QUEUES},
        cores=maker.rng.choice((32, 64)),
        standby_vms=10,
        do_move=True,
    )


def _turn_change(maker: _JobMaker) -> OverloadCase:
    """The turn of a queue of long jobs is followed by one of short jobs."""
    maker.add(QUEUES[1], 0, 4000, 1.5 * PEAK_FACTOR)
    maker.add(QUEUES[2], 4000, 8000, 12 * PEAK_FACTOR * 0.5)
    return OverloadCase(
        jobs=tuple(maker.jobs),
        vms={QUEUES[1].pool: 4, QUEUES[2].pool: 4},
        cores=64,
        standby_vms=4,
        do_move=True,
    )


def _short_peak(maker: _JobMaker) -> OverloadCase:
    """One queue of short jobs at its peak, more than its pool holds."""
    maker.add(QUEUES[0], 0, 6000, 12 * PEAK_FACTOR)
    return _one_pool(maker, QUEUES[0], maker.rng.randint(14, 24))


def _large_burst(maker: _JobMaker) -> OverloadCase:
    """A queue of long jobs at 2.6 times its peak for 4 s."""
    queue = QUEUES[1]
    maker.add(queue, 0, 3000, 1.5)
    maker.add(queue, 3000, 7000, 1.5 * PEAK_FACTOR * 2.6, size_factor=1.2)
    maker.add(queue, 7000, 10000, 1.5)
    return _one_pool(maker, queue, maker.rng.randint(18, 30))


def _urgent_burst(maker: _JobMaker) -> OverloadCase:
    """Two queues share a pool, and the urgent one bursts to 2.6 times."""
    urgent, other = QUEUES[0], attrs.evolve(QUEUES[1], pool=QUEUES[0].pool)
    maker.add(other, 0, 10000, 3.0)
    maker.add(urgent, 0, 10000, 6.0)
    maker.add(urgent, 3000, 7000, 12 * 2.6)
    return _one_pool(maker, urgent, maker.rng.randint(18, 30))


def _organisation_surge(maker: _JobMaker) -> OverloadCase:
    """One organisation submits seven times as many jobs as usual."""
    maker.weights[0] = 7.0
    maker.add(QUEUES[0], 0, 8000, 40.0)
    return _one_pool(maker, QUEUES[0], maker.rng.randint(12, 20))


def _equal_queues(maker: _JobMaker) -> OverloadCase:
    """Two queues of one priority peak together and share the VMs."""
    for queue in (QUEUES[0], QUEUES[2]):
        maker.add(queue, 0, 6000, 40.0)
    return OverloadCase(
        jobs=tuple(maker.jobs),
        vms={QUEUES[0].pool: 4, QUEUES[2].pool: 4},
        cores=maker.rng.choice((32, 64)),
        standby_vms=12,
        do_move=True,
    )


def _long_peak(maker: _JobMaker) -> OverloadCase:
    """One queue of long jobs at its peak, somewhat above its pool."""
    maker.add(QUEUES[1], 0, 8000, 1.5 * PEAK_FACTOR)
    return _one_pool(maker, QUEUES[1], maker.rng.randint(10, 30))


LOADS: dict[str, Callable[[_JobMaker], OverloadCase]] = {
    "rotation": _rotation,
    "turn change": _turn_change,
    "short peak": _short_peak,
    "long peak": _long_peak,
    "large burst": _large_burst,
    "urgent burst": _urgent_burst,
    "organisation surge": _organisation_surge,
    "equal queues": _equal_queues,
}


def make_case(load: str, seed: int) -> OverloadCase:
    """Return the jobs and VMs of a load."""
    maker = _JobMaker(random.Random(f"{load}-{seed}"))
    case = LOADS[load](maker)
    return attrs.evolve(
        case, jobs=tuple(sorted(case.jobs, key=lambda job: job.at_ms))
    )
