"""Policies for the size reserved for a job and for its worker."""

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

# Weight of the newest observation; about the last 10 observations count.
LEARNING_RATE = 0.2
# Observations required before the learned size replaces the declared one.
MIN_OBSERVATIONS = 5
# The reserved size is the mean plus this number of mean deviations.
DEVIATION_FACTOR = 2.0
MIN_CORES = 0.05


@attrs.frozen(kw_only=True)
class JobSize:
    """Cores, memory and accelerators of one job."""

    cores: float
    memory_mb: int
    accelerators: int = 0


@attrs.define(kw_only=True)
class WorkerCapacity:
    """Free resources of a worker.

    :ivar jobs: number of jobs placed on the worker
    """

    name: str
    rack: tuple[str, str]
    cores: float
    memory_mb: int
    accelerators: int
    jobs: int = 0

    def fits(self, size: JobSize) -> bool:
        """Tell whether a job of this size fits on the worker."""
        return (
            size.cores <= self.cores + 1e-9
            and size.memory_mb <= self.memory_mb
            and size.accelerators <= self.accelerators
        )

    def take(self, size: JobSize) -> None:
        """Reserve the resources of a job that is placed on the worker."""
        self.cores -= size.cores
        self.memory_mb -= size.memory_mb
        self.accelerators -= size.accelerators
        self.jobs += 1


class PlacementPolicy(abc.ABC):
    """Chooses the reserved size and the worker of a job."""

    @abc.abstractmethod
    def size(self, team: str, queue: str, declared: JobSize) -> JobSize:
        """Return the resources to reserve for a job."""

    @abc.abstractmethod
    def observe(self, team: str, queue: str, used: JobSize) -> None:
        """Record the resources that a finished job has used."""

    @abc.abstractmethod
    def choose(self, size: JobSize, workers: Sequence[WorkerCapacity]) -> str:
        """Return the worker for a job; empty if the job fits on none."""


class DeclaredSizeFirstFit(PlacementPolicy):
    """Chooses the first worker on which the job fits (baseline).

    The declared size is used.
    """

    def size(self, team, queue, declared):
        """Return the declared size."""
        return declared

    def observe(self, team, queue, used):
        """Do nothing; used resources are not taken into account."""

    def choose(self, size, workers):
        """Return the first worker on which the job fits."""
        return next((w.name for w in workers if w.fits(size)), "")


@attrs.define
class _UsageEstimate:
    """Exponential moving mean and mean absolute deviation of a value."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Add an observation."""
        if not self.count:
            self.mean = value
        error = value - self.mean
        self.mean += LEARNING_RATE * error
        self.deviation += LEARNING_RATE * (abs(error) - self.deviation)
        self.count += 1

    @property
    def upper_bound(self) -> float:
        """Return a value that most observations do not exceed."""
        return self.mean + DEVIATION_FACTOR * self.deviation


class LearnedSizeSpread(PlacementPolicy):
    """Reserves the size learned from used resources, spreads over racks.

    Chooses the rack with the fewest jobs per worker and there the fitting
    worker with the fewest free cores (best fit), which keeps the workers
    with more free cores available for large jobs.
    """

    def __init__(self) -> None:
        self._estimates: dict[
            tuple[str, str], tuple[_UsageEstimate, _UsageEstimate]
        ] = {}

    def size(self, team, queue, declared):
        """Return the learned size, or the declared one before enough data."""
        cores, memory_mb = self._estimates.get((team, queue), (None, None))
        if cores is None or cores.count < MIN_OBSERVATIONS:
            return declared
        return JobSize(
            cores=max(MIN_CORES, cores.upper_bound),
            memory_mb=max(0, round(memory_mb.upper_bound)),
            accelerators=declared.accelerators,
        )

    def observe(self, team, queue, used):
        """Add an observation for the team and queue."""
        cores, memory_mb = self._estimates.setdefault(
            (team, queue), (_UsageEstimate(), _UsageEstimate())
        )
        cores.add(used.cores)
        memory_mb.add(used.memory_mb)

    def choose(self, size, workers):
        """Return the fitting worker of the rack with the fewest jobs each."""
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
