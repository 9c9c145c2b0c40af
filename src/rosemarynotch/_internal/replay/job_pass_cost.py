"""Cost of a control pass by the number of jobs."""

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
# Mean run time of jobs that end, and the run time of those that do not.
RUN_S = 300.0
ENDLESS_S = 1e9
# How long the platform lists a task that has ended.
LISTED_S = 60.0
SETTLE_PASSES = 100
PASSES = 200


class SimulatedTasks(TaskService):
    """Tasks that end after times drawn at random.

    :ivar moved_bytes: JSON that calls took and returned
    :ivar own_cpu_s: CPU time of the model, which is none of the product's
    """

    def __init__(self, clock, rng: random.Random, run_s: float) -> None:
        self._clock = clock
        self._rng = rng
        self._run_s = run_s
        self._tasks: dict[str, Task] = {}
        self._ends_s: dict[str, float] = {}
        self._ended = 0
        self.moved_bytes = 0
        self.own_cpu_s = 0.0

    def take_ended(self) -> int:
        """Return how many tasks have ended since the last call."""
        ended, self._ended = self._ended, 0
        return ended

    def running(self) -> int:
        """Return how many tasks run."""
        return sum(map(self._is_running, self._tasks))

    def _is_running(self, task_id: str) -> bool:
        return self._tasks[task_id].state is TaskState.RUNNING

    def start(self, task, lease_ms):
        """Start a task once."""
        self.moved_bytes += len(msgspec.json.encode(task))
        run_s = self._run_s * self._rng.uniform(0.0, 2.0)
        self._tasks.setdefault(task.task_id, task)
        self._ends_s.setdefault(
            task.task_id, self._clock.monotonic_s() + run_s
        )

    def tasks(self):
        """Return the list, decoded as from the platform."""
        start_s = time.process_time()
        now_s = self._clock.monotonic_s()
        for task_id, end_s in list(self._ends_s.items()):
            if end_s + LISTED_S < now_s:
                del self._tasks[task_id], self._ends_s[task_id]
            elif end_s <= now_s and self._is_running(task_id):
                self._ended += 1
                self._tasks[task_id] = attrs.evolve(
                    self._tasks[task_id], state=TaskState.DONE, used_cores=1.0
                )
        data = msgspec.json.encode(list(self._tasks.values()))
        self.moved_bytes += len(data)
        self.own_cpu_s += time.process_time() - start_s
        return msgspec.json.decode(data, type=list[Task])

    def renew(self, task_ids, lease_ms):
        """Extend leases."""
        self.moved_bytes += len(msgspec.json.encode(task_ids))

    def checkpoint(self, task_id):
        """Do nothing."""

    def throttle(self, task_id, cores):
        """Do nothing."""

    def stop(self, task_id):
        """Do nothing."""


class NoLimits:
    """Permits without end."""

    def try_acquire(self, team):
        """Give a permit."""
        return True

    def release(self, team):
        """Take a permit back."""


def job_document() -> Document:
    """Return a pool of workers, a queue and some teams."""
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
    """Means over passes, with the largest shard at the end."""

    cpu_ms: float
    store_bytes: float
    store_calls: float
    task_bytes: float
    running: int
    shard_bytes: int


def job_pass_cost(
    jobs: int, ends: bool, seed: int, passes: int = PASSES
) -> JobPassCost:
    """Measure passes one second apart with so many unfinished jobs.

    :param ends: whether jobs end, and new ones take their places
    """
    rng = random.Random(seed)

    def make_jobs(simulation: FleetSimulation) -> JobController:
        clock = simulation.clock
        simulation.tasks = SimulatedTasks(
            clock, rng, RUN_S if ends else ENDLESS_S
        )
        return JobController(
            simulation.records,
            simulation.tasks,
            LearnedSizeSpread(),
            NoLimits(),
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
    for _ in range(SETTLE_PASSES):
        _pass(simulation)
        _submit(intake, simulation, simulation.tasks.take_ended(), rng)
    total = [0.0] * 4
    for _ in range(passes):
        total = [sum(pair) for pair in zip(total, _pass(simulation))]
        _submit(intake, simulation, simulation.tasks.take_ended(), rng)
    return JobPassCost(
        *(each / passes for each in total),
        simulation.tasks.running(),
        _largest_shard_bytes(simulation.store),
    )


def _largest_shard_bytes(store) -> int:
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


def _pass(simulation: FleetSimulation) -> tuple[float, float, float, float]:
    """Run a pass and return what it cost."""
    store, tasks = simulation.store, simulation.tasks
    store.calls = store.moved_bytes = tasks.moved_bytes = 0
    tasks.own_cpu_s = 0.0
    simulation.entries.send_heartbeats()
    start_s = time.process_time()
    simulation.loop.step()
    cpu_s = time.process_time() - start_s - tasks.own_cpu_s
    simulation.clock.sleep(1.0)
    return 1000 * cpu_s, store.moved_bytes, store.calls, tasks.moved_bytes


def print_job_pass_costs(seed: int) -> None:
    """Print the cost of passes by jobs, without and with changes."""
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
