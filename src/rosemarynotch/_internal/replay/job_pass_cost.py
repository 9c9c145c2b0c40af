"""Measures the cost of a control pass by the number of jobs."""

import random
import time

import attrs
import msgspec

from rosemarynotch._internal.admission.jobs import JobIntake
from rosemarynotch._internal.control.jobs import JobController
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.document import PoolKind
from rosemarynotch._internal.models.document import PoolSpec
from rosemarynotch._internal.models.document import QueueSpec
from rosemarynotch._internal.models.document import TeamSpec
from rosemarynotch._internal.models.document import VmSpec
from rosemarynotch._internal.models.jobs import JobSubmission
from rosemarynotch._internal.models.jobs import TABLE_PREFIX
from rosemarynotch._internal.policy.moves import NoMoves
from rosemarynotch._internal.policy.placement import LearnedSizeSpread
from rosemarynotch._internal.policy.waves import AsManyAsAllowed
from rosemarynotch._internal.reference.interface import Task
from rosemarynotch._internal.reference.interface import TaskService
from rosemarynotch._internal.reference.interface import TaskState
from rosemarynotch._internal.replay.fleet_simulation import FleetSimulation

__all__ = ["job_pass_cost", "print_job_pass_costs"]

JOBS = (0, 100, 1_000, 5_000)
WORKERS = 100
WORKERS_PER_RACK = 4
CORES = 25.0
MEMORY_MB = 131_072
TEAMS = 6
PAYLOAD_BYTES = 200
# Mean run times of jobs that end and of jobs that do not end within a
# measurement.
MEAN_RUN_S = 300.0
ENDLESS_RUN_S = 1e9
# The platform lists a task for this time after its end.
ENDED_TASK_RETENTION_S = 60.0
WARM_UP_PASSES = 100
PASSES = 200


class SimulatedTasks(TaskService):
    """Task service whose tasks end after random run times.

    :ivar transferred_bytes: size of the JSON passed to and returned by calls
    :ivar model_cpu_s: CPU time of this model, to subtract from measurements
    """

    def __init__(self, clock, rng: random.Random, run_s: float) -> None:
        self._clock = clock
        self._rng = rng
        self._run_s = run_s
        self._tasks: dict[str, Task] = {}
        self._ends_s: dict[str, float] = {}
        self._ended = 0
        self.transferred_bytes = 0
        self.model_cpu_s = 0.0

    def pop_ended_count(self) -> int:
        """Return the number of tasks that ended since the previous call."""
        ended, self._ended = self._ended, 0
        return ended

    def running(self) -> int:
        """Return the number of running tasks."""
        return sum(map(self._is_running, self._tasks))

    def _is_running(self, task_id: str) -> bool:
        return self._tasks[task_id].state is TaskState.RUNNING

    def start(self, task, lease_ms):
        """Start a task; a repeated start changes nothing."""
        self.transferred_bytes += len(msgspec.json.encode(task))
        run_s = self._run_s * self._rng.uniform(0.0, 2.0)
        self._tasks.setdefault(task.task_id, task)
        self._ends_s.setdefault(
            task.task_id, self._clock.monotonic_s() + run_s
        )

    def tasks(self):
        """Return the task list, encoded and decoded like a platform answer."""
        start_s = time.process_time()
        now_s = self._clock.monotonic_s()
        for task_id, end_s in list(self._ends_s.items()):
            if end_s + ENDED_TASK_RETENTION_S < now_s:
                del self._tasks[task_id], self._ends_s[task_id]
            elif end_s <= now_s and self._is_running(task_id):
                self._ended += 1
                self._tasks[task_id] = attrs.evolve(
                    self._tasks[task_id], state=TaskState.DONE, used_cores=1.0
                )
        data = msgspec.json.encode(list(self._tasks.values()))
        self.transferred_bytes += len(data)
        self.model_cpu_s += time.process_time() - start_s
        return msgspec.json.decode(data, type=list[Task])

    def renew(self, task_ids, lease_ms):
        """Extend leases."""
        self.transferred_bytes += len(msgspec.json.encode(task_ids))

    def checkpoint(self, task_id):
        """Do nothing."""

    def throttle(self, task_id, cores):
        """Do nothing."""

    def stop(self, task_id):
        """Do nothing."""


class UnlimitedPermits:
    """Permits without a limit."""

    def try_acquire(self, team):
        """Grant a permit."""
        return True

    def release(self, team):
        """Do nothing."""


def job_document() -> Document:
    """Return a document with a pool of workers, a queue and teams."""
    vms = tuple(
        VmSpec(
            name=f"worker-{number}",
            data_centre="one",
            rack=f"r{number // WORKERS_PER_RACK}",
            cores=CORES,
            memory_mb=MEMORY_MB,
        )
        for number in range(WORKERS)
    )
    pool = PoolSpec(
        name="workers", kind=PoolKind.WORKERS, min_available_vms=80, vms=vms
    )
    teams = tuple(
        TeamSpec(name=f"team-{n}", share=1.0, limit_requests=JOBS[-1])
        for n in range(TEAMS)
    )
    queue = QueueSpec(name="batches", pool="workers")
    return Document(pools=(pool,), teams=teams, queues=(queue,))


@attrs.frozen
class JobPassCost:
    """Mean costs of a pass.

    :ivar running: number of running tasks after the last pass
    :ivar shard_bytes: size of the largest shard after the last pass
    """

    cpu_ms: float
    store_bytes: float
    store_calls: float
    task_bytes: float
    running: int
    shard_bytes: int


def job_pass_cost(
    jobs: int, ends: bool, seed: int, passes: int = PASSES
) -> JobPassCost:
    """Measure passes one second apart with a number of unfinished jobs.

    :param ends: whether jobs end and are replaced by new ones
    """
    rng = random.Random(seed)

    def make_jobs(simulation: FleetSimulation) -> JobController:
        clock = simulation.clock
        simulation.tasks = SimulatedTasks(
            clock, rng, MEAN_RUN_S if ends else ENDLESS_RUN_S
        )
        return JobController(
            simulation.records,
            simulation.tasks,
            LearnedSizeSpread(),
            UnlimitedPermits(),
            "control.1",
            clock,
        )

    simulation = FleetSimulation(
        job_document(), AsManyAsAllowed(), NoMoves(), seed, make_jobs=make_jobs
    )
    intake = JobIntake(
        simulation.records, simulation.in_force, "entry.1", simulation.clock
    )
    _submit(intake, simulation, jobs, rng)
    for _ in range(WARM_UP_PASSES):
        _run_pass(simulation)
        _submit(intake, simulation, simulation.tasks.pop_ended_count(), rng)
    total = [0.0] * 4
    for _ in range(passes):
        total = [sum(pair) for pair in zip(total, _run_pass(simulation))]
        _submit(intake, simulation, simulation.tasks.pop_ended_count(), rng)
    return JobPassCost(
        *(each / passes for each in total),
        simulation.tasks.running(),
        _largest_shard_bytes(simulation.store),
    )


def _largest_shard_bytes(store) -> int:
    """Return the size of the largest stored shard of the job table."""
    found = store.keys(TABLE_PREFIX)
    sizes = [len(store.get(each.key).value) for each in found]
    return max(sizes, default=0)


def _submit(intake, simulation, jobs: int, rng: random.Random) -> None:
    queue = simulation.in_force.current.document.queues[0]
    for _ in range(jobs):
        submission = JobSubmission(
            memory_mb=1_024, payload=rng.randbytes(PAYLOAD_BYTES // 2).hex()
        )
        intake.submit(f"team-{rng.randrange(TEAMS)}", queue, submission)


def _run_pass(
    simulation: FleetSimulation,
) -> tuple[float, float, float, float]:
    """Run a pass and return its CPU ms, store bytes, calls and task bytes."""
    store, tasks = simulation.store, simulation.tasks
    store.calls = store.transferred_bytes = tasks.transferred_bytes = 0
    tasks.model_cpu_s = 0.0
    simulation.entries.send_heartbeats()
    start_s = time.process_time()
    simulation.loop.step()
    cpu_s = time.process_time() - start_s - tasks.model_cpu_s
    simulation.clock.sleep(1.0)
    return (
        1000 * cpu_s,
        store.transferred_bytes,
        store.calls,
        tasks.transferred_bytes,
    )


def print_job_pass_costs(seed: int) -> None:
    """Print the cost of passes by number of jobs, idle and with turnover."""
    print(
        f"control pass with jobs, {WORKERS} workers, mean of {PASSES} passes"
    )
    for jobs in JOBS:
        for ends in (False, True) if jobs else (False,):
            cost = job_pass_cost(jobs, ends, seed)
            print(
                f"{jobs:5} jobs {'ending' if ends else 'still '}:"
                f" CPU {cost.cpu_ms:6.2f} ms,"
                f" store {cost.store_bytes:8.0f} B"
                f" {cost.store_calls:6.2f} calls,"
                f" tasks {cost.task_bytes:7.0f} B;"
                f" {cost.running:5} running,"
                f" largest shard {cost.shard_bytes:7} B"
            )
