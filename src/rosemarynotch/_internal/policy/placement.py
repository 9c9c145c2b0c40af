"""Where jobs run, and how much room they are given."""

import abc
from collections.abc import Sequence

import attrs

__all__ = [
    "DeclaredSizeFirstFit",
    "JobSize",
    "LearnedSizeSpread",
    "PlacementPolicy",
    "WorkerCapacity",
]

# Weight of the newest observation, about the last 10 of them count.
LEARNING_RATE = 0.2
# Observations before the learnt size replaces the declared one.
MIN_OBSERVATIONS = 5
# Deviations above the mean that a job is given.
DEVIATIONS = 2.0
SMALLEST_CORES = 0.05


@attrs.frozen(kw_only=True)
class JobSize:
    """Processors, memory and accelerators of one job."""

    cores: float
    memory_mb: int
    accelerators: int = 0


@attrs.define(kw_only=True)
class WorkerCapacity:
    """A worker with the room that is left on it.

    :ivar jobs: jobs placed on it
    """

    name: str
    rack: tuple[str, str]
    cores: float
    memory_mb: int
    accelerators: int
    jobs: int = 0

    def fits(self, size: JobSize) -> bool:
        """Tell whether a job of that size has room."""
        return (
            size.cores <= self.cores + 1e-9
            and size.memory_mb <= self.memory_mb
            and size.accelerators <= self.accelerators
        )

    def take(self, size: JobSize) -> None:
        """Count a job of that size as placed here."""
        self.cores -= size.cores
        self.memory_mb -= size.memory_mb
        self.accelerators -= size.accelerators
        self.jobs += 1


class PlacementPolicy(abc.ABC):
    """Decides size and worker of a job."""

    @abc.abstractmethod
    def size(self, team: str, queue: str, declared: JobSize) -> JobSize:
        """Return the room that a job is given."""

    @abc.abstractmethod
    def observe(self, team: str, queue: str, used: JobSize) -> None:
        """Take note of what a job that ended has used."""

    @abc.abstractmethod
    def choose(self, size: JobSize, workers: Sequence[WorkerCapacity]) -> str:
        """Return the worker for a job, empty when none has room."""


class DeclaredSizeFirstFit(PlacementPolicy):
    """Baseline: the first worker with room for the declared size."""

    def size(self, team, queue, declared):
        """Return the declared size."""
        return declared

    def observe(self, team, queue, used):
        """Ignore what was used."""

    def choose(self, size, workers):
        """Return the first worker with room."""
        return next((w.name for w in workers if w.fits(size)), "")


@attrs.define
class Learnt:
    """Exponential mean and deviation of one figure."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Take an observation into account."""
        if not self.count:
            self.mean = value
        error = value - self.mean
        self.mean += LEARNING_RATE * error
        self.deviation += LEARNING_RATE * (abs(error) - self.deviation)
        self.count += 1

    @property
    def upper(self) -> float:
        """Return a size that most jobs stay under."""
        return self.mean + DEVIATIONS * self.deviation


class LearnedSizeSpread(PlacementPolicy):
    """Uses the learnt size and spreads jobs over racks.

    Of the racks it takes the one with the fewest jobs for its workers, and
    there the worker with the least room that fits, so that large jobs find
    room elsewhere.
    """

    def __init__(self) -> None:
        self._learnt: dict[tuple[str, str], tuple[Learnt, Learnt]] = {}

    def size(self, team, queue, declared):
        """Return the learnt size, the declared one until enough is known."""
        cores, memory_mb = self._learnt.get((team, queue), (None, None))
        if cores is None or cores.count < MIN_OBSERVATIONS:
            return declared
        return JobSize(
            cores=max(SMALLEST_CORES, cores.upper),
            memory_mb=max(0, round(memory_mb.upper)),
            accelerators=declared.accelerators,
        )

    def observe(self, team, queue, used):
        """Add an observation for the queue and team."""
        cores, memory_mb = self._learnt.setdefault(
            (team, queue), (Learnt(), Learnt())
        )
        cores.add(used.cores)
        memory_mb.add(used.memory_mb)

    def choose(self, size, workers):
        """Return a worker of the rack with the fewest jobs per worker."""
        jobs: dict[tuple[str, str], int] = {}
        count: dict[tuple[str, str], int] = {}
        fitting = []
        for worker in workers:
            jobs[worker.rack] = jobs.get(worker.rack, 0) + worker.jobs
            count[worker.rack] = count.get(worker.rack, 0) + 1
            if worker.fits(size):
                fitting.append(worker)
        best = min(
            fitting,
            key=lambda w: (jobs[w.rack] / count[w.rack], w.cores, w.name),
            default=None,
        )
        return best.name if best else ""
