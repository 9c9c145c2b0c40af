"""Fixtures for tests of the scheduler: jobs, workers and a leader."""

from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.model import Configuration
from rosemarynotch._internal.scheduling.model import JobSpec
from rosemarynotch._internal.scheduling.model import Organisation
from rosemarynotch._internal.scheduling.model import QueuePolicy
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.model import StepSpec
from rosemarynotch._internal.scheduling.planner import Planner
from rosemarynotch._internal.scheduling.policy import BestFit
from rosemarynotch._internal.scheduling.policy import ObjectiveOrder
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.scheduler import Scheduler

__all__ = ["LEASE_S", "Leader", "QUEUE", "job_spec", "step"]

LEASE_S = 6.0
CAPACITY = Resources(cpu_millicores=8000, memory_mb=8000)
QUEUE = QueuePolicy(
    name="q",
    host="h",
    prefix="/q/",
    pool="p",
    max_failures=3,
    stretch=2.0,
    target_latency_ms=500,
)


def step(count: int = 1, cpu: int = 1000, **fields) -> StepSpec:
    """Return a step with tasks of a default size."""
    size = Resources(cpu_millicores=cpu, memory_mb=100)
    fields.setdefault("estimated_ms", 1000)
    return StepSpec(task_count=count, size=size, **fields)


def job_spec(*steps: StepSpec, **fields) -> JobSpec:
    """Return a job with the given steps, by default a single task."""
    return JobSpec(payload="", steps=steps or (step(),), **fields)


class Leader:
    """A scheduler with its planner and a manually advanced clock."""

    def __init__(self, term: int = 1, started_revision: int = 0) -> None:
        self.now_s = 1000.0
        self.scheduler = Scheduler(term, started_revision, LEASE_S)
        self.scheduler.configuration = Configuration(
            version=1,
            revision=1,
            queues=(QUEUE,),
            organisations={
                "o": Organisation(name="o", keys=frozenset(), weight=1.0)
            },
        )
        self.advice = AdviceCache()
        self.planner = Planner(
            self.scheduler, ObjectiveOrder(), BestFit(), self.advice
        )
        self._sequences: dict[str, int] = {}

    def set_cap(self, cap: Resources) -> None:
        """Limit the resources of the organisation's running tasks."""
        organisations = self.scheduler.configuration.organisations
        organisations["o"] = Organisation(name="o", keys=frozenset(), cap=cap)

    def submit(self, job_id, spec=None, revision=10, progress=None):
        """Add an accepted job."""
        record = SubmissionRecord(
            policy=QUEUE,
            organisation="o",
            spec=spec or job_spec(),
            accepted_unix_ms=round(self.now_s * 1000),
            attempt_id="a",
        )
        return self.scheduler.add_job(job_id, record, revision, progress)

    def add_workers(self, *names: str, **fields) -> None:
        """Add enrolled workers that have reported."""
        known = [w.entry for w in self.scheduler.workers.values()]
        entries = [self.entry(name, **fields) for name in names]
        for worker in self.scheduler.set_workers(known + entries, self.now_s):
            worker.is_enrolled = True
            self.report(worker.worker_id)

    @staticmethod
    def entry(name: str, **fields) -> WorkerEntry:
        """Return the entry of a worker."""
        fields.setdefault("labels", ("a", "rack-1"))
        return WorkerEntry(
            worker_id=name,
            started_unix_ms=1,
            pool="p",
            address="h:1",
            capacity=CAPACITY,
            **fields,
        )

    def report(
        self,
        name,
        running=(),
        ends=(),
        asked_before_s=0.0,
        started_unix_ms=1,
        clock_ms=None,
        **fields,
    ):
        """Apply a report of a worker.

        :param running: task, run number and percentage of each running run
        :param asked_before_s: age of the request for the report
        :param started_unix_ms: incarnation of the worker
        :param clock_ms: its clock, by default that of the leader
        :param fields: other fields of the report
        """
        worker = self.scheduler.workers[name]
        self.scheduler.on_report(
            worker,
            WorkerReport(
                clock_ms=(
                    round(self.now_s * 1000) if clock_ms is None else clock_ms
                ),
                started_unix_ms=started_unix_ms,
                running=tuple(
                    RunStatus(task=task, run=run, percent=percent)
                    for task, run, percent in running
                ),
                ends=tuple(ends),
                **fields,
            ),
            self.now_s - asked_before_s,
            self.now_s,
        )

    def report_runs(self, name, percent=50):
        """Apply a report of a worker with all runs ordered from it."""
        runs = list(self.scheduler.workers[name].runs.values())
        self.report(
            name,
            [(run.task.task_id, run.number, percent) for run in runs],
        )

    def end(self, run, kind=EndKind.DONE):
        """Apply a report with the end of a run and the remaining runs."""
        name = run.worker_id
        sequence = self._sequences.get(name, 0) + 1
        self._sequences[name] = sequence
        end = RunEnd(
            sequence=sequence,
            task=run.task.task_id,
            run=run.number,
            kind=kind,
        )
        others = [
            (each.task.task_id, each.number, 50)
            for each in self.scheduler.workers[name].runs.values()
            if each is not run
        ]
        self.report(name, others, [end])

    def place(self):
        """Run a placement pass and confirm all starts; return the runs."""
        commands = self.planner.place(self.now_s, self.now_s * 1000)
        clock_ms = round(self.now_s * 1000)
        for command in commands:
            self.scheduler.on_start_answer(command.run, clock_ms, self.now_s)
        return [command.run for command in commands]

    def advance(self, seconds: float) -> None:
        """Advance the clock and apply reports of all workers."""
        self.now_s += seconds
        for name in list(self.scheduler.workers):
            self.report_runs(name)
