"""Generates the load of queues that peak in turn."""

from collections.abc import Sequence
import random

import attrs

from rosemarynotch._internal.scheduling.jobs import Task
from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.model import StepSpec

__all__ = [
    "LOAD_QUEUES",
    "ORGANISATION",
    "POOLS",
    "STANDBY",
    "TurnJob",
    "is_long_running",
    "make_turn_load",
]

ORGANISATION = "o"
STANDBY = "standby"
# Queues of short and of long jobs; each has a pool of its own.
POOLS = ("short-1", "long-1", "short-2", "long-2")
JOBS_PER_S = {"short": 12.0, "long": 1.5}
PEAK_FACTOR = 5.0
LOW_FACTOR = 0.05
TURN_S = 5.0
# A peak begins and ends within this time.
RAMP_S = 2.0
TASKS_PER_STEP = 8
# Share of the long tasks that take much longer than estimated, and how much.
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7.0
# Run times differ from the declared ones by up to this factor.
DECLARED_ERROR = 1.3
LONG_RUNNING_TASKS = 24
LONG_RUNNING_AT_S = -8.0
TICKS_PER_S = 100


def _queue(pool: str) -> QueuePolicy:
    return QueuePolicy(
        name=f"q-{pool}",
        host="h",
        prefix=f"/{pool}/",
        pool=pool,
        priority=int(pool.startswith("long")),
        max_failures=3,
        stretch=1.6,
        target_latency_ms=600,
    )


LOAD_QUEUES = tuple(_queue(pool) for pool in POOLS)


def is_long_running(spec: JobSpec) -> bool:
    """Tell whether a job has no end."""
    return any(step.long_running for step in spec.steps)


@attrs.define(kw_only=True)
class TurnJob:
    """A job of the load.

    :ivar at_s: time of its submission, from the start of the traffic
    :ivar task_s: true run times of the tasks of each step
    """

    job_id: str
    queue: QueuePolicy
    spec: JobSpec
    at_s: float
    task_s: tuple[tuple[float, ...], ...]
    is_ended: bool = False

    @property
    def path_ms(self) -> float:
        """Return the true run time of its longest chain of tasks."""
        return 1000 * sum(max(times) for times in self.task_s)

    def run_s(self, task: Task) -> float:
        """Return the run time of a task."""
        if task.step.spec.long_running:
            return float("inf")
        return self.task_s[task.task_id.step][task.task_id.index]


def make_turn_load(
    order: Sequence[str], seed: int, peak_factor: float = PEAK_FACTOR
) -> list[TurnJob]:
    """Return the jobs of a day.

    :param order: pools in the order of their turns
    """
    rng = random.Random(seed)
    jobs = [_long_running_job(queue) for queue in LOAD_QUEUES]
    for tick in range(round(len(order) * TURN_S * TICKS_PER_S)):
        at_s = tick / TICKS_PER_S
        turn = int(at_s / TURN_S)
        for queue in LOAD_QUEUES:
            rate = JOBS_PER_S[queue.pool.split("-")[0]]
            factor = LOW_FACTOR
            if order[turn] == queue.pool:
                factor = peak_factor * _shape(at_s - turn * TURN_S)
            elif turn and order[turn - 1] == queue.pool:
                factor = peak_factor * _tail(at_s - turn * TURN_S)
            if rng.random() < max(factor, LOW_FACTOR) * rate / TICKS_PER_S:
                jobs.append(_batch_job(queue, at_s, len(jobs), rng))
    return jobs


def _shape(since_s: float) -> float:
    return min(1.0, (since_s + 0.3) / RAMP_S)


def _tail(since_s: float) -> float:
    return max(0.0, 1.0 - since_s / RAMP_S)


def _batch_job(
    queue: QueuePolicy, at_s: float, number: int, rng: random.Random
) -> TurnJob:
    if queue.priority:
        step_count = 2
        cores, run_s = rng.uniform(7, 13), rng.uniform(1.3, 2.1)
    else:
        step_count = 1 + (rng.random() < 0.6)
        cores, run_s = rng.uniform(3, 6), rng.uniform(0.4, 0.8)
    steps = []
    task_s = []
    for index in range(step_count):
        true_s = run_s * rng.uniform(0.9, 1.1)
        share = STRAGGLER_SHARE if queue.priority else 0.0
        task_s.append(
            tuple(
                true_s * (STRAGGLER_FACTOR if rng.random() < share else 1.0)
                for _ in range(TASKS_PER_STEP)
            )
        )
        declared_s = true_s * rng.uniform(1 / DECLARED_ERROR, DECLARED_ERROR)
        steps.append(
            StepSpec(
                task_count=TASKS_PER_STEP,
                size=Resources(
                    cpu_millicores=round(cores * 1000), memory_mb=1000
                ),
                estimated_ms=round(declared_s * 1000),
                after=(index - 1,) if index else (),
            )
        )
    return TurnJob(
        job_id=f"{number:016x}",
        queue=queue,
        spec=JobSpec(payload="", steps=tuple(steps)),
        at_s=at_s,
        task_s=tuple(task_s),
    )


def _long_running_job(queue: QueuePolicy) -> TurnJob:
    """Return the long-running tasks of a pool; 3 of them may share a VM."""
    step = StepSpec(
        task_count=LONG_RUNNING_TASKS,
        size=Resources(cpu_millicores=4500, memory_mb=1000),
        estimated_ms=1000,
        long_running=True,
        max_per_worker=3,
    )
    return TurnJob(
        job_id=f"f{LOAD_QUEUES.index(queue):015x}",
        queue=queue,
        spec=JobSpec(payload="", steps=(step,)),
        at_s=LONG_RUNNING_AT_S,
        task_s=(),
    )
