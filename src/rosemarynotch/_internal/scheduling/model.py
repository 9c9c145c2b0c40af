"""Data model of submitted jobs and of the operators' configuration."""

import attrs

__all__ = [
    "AdvicePolicy",
    "Configuration",
    "JobSpec",
    "Organisation",
    "PoolPolicy",
    "QueuePolicy",
    "RequestLimits",
    "Resources",
    "StepSpec",
    "TaskId",
]


@attrs.frozen(kw_only=True)
class Resources:
    """An amount of processors, memory and accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            cpu_millicores=self.cpu_millicores + other.cpu_millicores,
            memory_mb=self.memory_mb + other.memory_mb,
            gpu_count=self.gpu_count + other.gpu_count,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(
            cpu_millicores=self.cpu_millicores - other.cpu_millicores,
            memory_mb=self.memory_mb - other.memory_mb,
            gpu_count=self.gpu_count - other.gpu_count,
        )

    def times(self, count: int) -> "Resources":
        """Return a multiple."""
        return Resources(
            cpu_millicores=self.cpu_millicores * count,
            memory_mb=self.memory_mb * count,
            gpu_count=self.gpu_count * count,
        )

    def at_most(self, other: "Resources") -> "Resources":
        """Return the lesser amount of each kind."""
        return Resources(
            cpu_millicores=min(self.cpu_millicores, other.cpu_millicores),
            memory_mb=min(self.memory_mb, other.memory_mb),
            gpu_count=min(self.gpu_count, other.gpu_count),
        )

    def at_least(self, other: "Resources") -> "Resources":
        """Return the greater amount of each kind."""
        return Resources(
            cpu_millicores=max(self.cpu_millicores, other.cpu_millicores),
            memory_mb=max(self.memory_mb, other.memory_mb),
            gpu_count=max(self.gpu_count, other.gpu_count),
        )

    def covers(self, size: "Resources") -> bool:
        """Return whether a request of the given size fits."""
        return (
            size.cpu_millicores <= self.cpu_millicores
            and size.memory_mb <= self.memory_mb
            and size.gpu_count <= self.gpu_count
        )


@attrs.frozen
class TaskId:
    """Identifier of a task.

    :ivar occurrence: number of the job's occurrence
    :ivar step: number of the step in the job
    :ivar index: number of the task in the step
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskId | None":
        """Parse a task identifier; return None if it is malformed."""
        parts = text.split(".")
        if len(parts) != 4 or not all(p.isdecimal() for p in parts[1:]):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


@attrs.frozen(kw_only=True)
class StepSpec:
    """A step of a job: identical tasks that may run in parallel.

    :ivar size: resources requested by each task
    :ivar estimated_ms: declared run time, which may be far from the real one
    :ivar after: numbers of the steps that have to be done first
    :ivar checkpointing: whether the tasks save checkpoints
    :ivar is_gang: whether the tasks make progress only while all of them run
    :ivar same_rack: whether the tasks are slow if spread over several racks
    :ivar required_label: label that a worker must have, empty for any worker
    :ivar data_rack: rack on which the tasks run fast, empty for any rack
    :ivar max_per_worker: maximum number of tasks of the step per worker, 0
        for no limit
    :ivar speculative: whether copies of a task may run at the same time
    :ivar long_running: whether the tasks run until the job is cancelled
    :ivar latency_target_ms: upper bound of the latency tail of a serving
        task, 0 for tasks that serve no requests
    :ivar uses_idle_cpu: whether the tasks run on processors that other tasks
        leave idle, without reserving any
    :ivar max_unavailable: number of tasks that the system may interrupt at
        the same time
    """

    task_count: int
    size: Resources = Resources()
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: int = 0
    uses_idle_cpu: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Return the resources that each task reserves on its worker."""
        if not self.uses_idle_cpu:
            return self.size
        return attrs.evolve(self.size, cpu_millicores=0)


@attrs.frozen(kw_only=True)
class JobSpec:
    """A job as specified by its caller.

    :ivar payload: opaque data passed to every task
    :ivar repeat_count: number of occurrences of a scheduled job, 0 for a job
        that runs once without delay
    :ivar first_run_unix_ms: when the first occurrence is due
    :ivar interval_ms: time between the due times of two occurrences
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeat_count: int = 0
    first_run_unix_ms: int = 0
    interval_ms: int = 0


@attrs.frozen(kw_only=True)
class AdvicePolicy:
    """Response times of the advice service for a queue.

    :ivar decision_ms: base time of each answer
    :ivar per_worker_ms: additional time for each worker in the request
    :ivar validity_ms: lifetime of a ticket
    """

    decision_ms: int
    per_worker_ms: int
    validity_ms: int

    def call_s(self, worker_count: int) -> float:
        """Return the time of a call for some workers."""
        return (self.decision_ms + worker_count * self.per_worker_ms) / 1000


@attrs.frozen(kw_only=True)
class QueuePolicy:
    """Policy of a queue of jobs.

    :ivar host: host name of the requests that belong to the queue
    :ivar prefix: path prefix of the requests that belong to the queue
    :ivar pool: pool whose workers run the tasks
    :ivar is_public: whether calls need no key
    :ivar priority: rank of the queue; 0 is the most urgent
    :ivar max_failures: number of failed runs of one task after which the job
        fails
    :ivar stretch: objective for the completion time, as a multiple of the
        job's critical path
    :ivar target_latency_ms: constant added to that multiple
    :ivar advice: policy of the advice service, None if the queue does not
        use it
    """

    name: str
    host: str
    prefix: str
    pool: str
    is_public: bool = False
    priority: int = 0
    max_failures: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    advice: AdvicePolicy | None = None

    def objective_ms(self, path_ms: float) -> float:
        """Return the time in which a job should end.

        :param path_ms: run time of its longest chain of steps
        """
        return self.stretch * path_ms + self.target_latency_ms


@attrs.frozen(kw_only=True)
class PoolPolicy:
    """A pool of workers.

    :ivar guards_capacity: whether its workers refuse tasks that do not fit
    :ivar is_standby: whether its VMs are powered off and cost nothing
    """

    name: str
    guards_capacity: bool = False
    is_standby: bool = False


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation that submits jobs.

    :ivar weight: relative share of the fleet under contention
    :ivar cap: maximum resources of its running tasks; a value of 0 means no
        limit
    """

    name: str
    keys: frozenset[str]
    weight: float = 1.0
    cap: Resources = Resources()


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Time-outs of caller connections.

    :ivar header_timeout_ms: maximum time to receive a request
    :ivar idle_timeout_ms: maximum idle time of a connection
    """

    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.frozen(kw_only=True)
class Configuration:
    """A version of the operators' configuration.

    :ivar revision: store revision at which it was written
    :ivar refused: rows that were rejected, with the reasons
    :ivar pool_names: names of all pools, including those that only a queue
        names
    """

    version: int
    revision: int
    queues: tuple[QueuePolicy, ...] = ()
    pools: dict[str, PoolPolicy] = attrs.field(factory=dict)
    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    limits: RequestLimits = RequestLimits()
    refused: tuple[str, ...] = ()
    queues_by_name: dict[str, QueuePolicy] = attrs.field(init=False)
    pool_names: frozenset[str] = attrs.field(init=False)
    _keys: dict[str, str] = attrs.field(init=False)
    _prefixes: dict[tuple[str, str], QueuePolicy] = attrs.field(init=False)

    @queues_by_name.default
    def _index_names(self) -> dict[str, QueuePolicy]:
        return {queue.name: queue for queue in self.queues}

    @pool_names.default
    def _collect_pools(self) -> frozenset[str]:
        return frozenset(self.pools) | {queue.pool for queue in self.queues}

    @_keys.default
    def _index_keys(self) -> dict[str, str]:
        return {
            key: organisation.name
            for organisation in self.organisations.values()
            for key in organisation.keys
        }

    @_prefixes.default
    def _index_prefixes(self) -> dict[tuple[str, str], QueuePolicy]:
        return {(queue.host, queue.prefix): queue for queue in self.queues}

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue with the longest matching path prefix."""
        for length in range(len(path), 0, -1):
            if path[length - 1] != "/" and length != len(path):
                continue
            queue = self._prefixes.get((host, path[:length]))
            if queue is not None:
                return queue
        return None

    def organisation_of(self, key: str) -> str | None:
        """Return the name of the organisation that owns a key."""
        return self._keys.get(key)
