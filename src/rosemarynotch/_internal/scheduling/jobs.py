"""Accepted jobs and the state of their tasks, in memory of the leader."""

import enum

import attrs

from rosemarynotch._internal.scheduling.model import StepSpec
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import StepRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord

__all__ = ["Job", "Occurrence", "Run", "RunPhase", "Step", "Task"]


class RunPhase(enum.Enum):
    """What the leader knows of a run.

    ORDERED: the order is under way. ACTIVE: the worker has it. UNCONFIRMED:
    the order had no answer and may be carried out later. STOPPING: it was
    told to stop.
    """

    ORDERED = "ordered"
    ACTIVE = "active"
    UNCONFIRMED = "unconfirmed"
    STOPPING = "stopping"


@attrs.define(kw_only=True, eq=False)
class Run:
    """A run of a task on a worker.

    :ivar ordered_at_s: when the start was first ordered
    :ivar lease_until_ms: end of the lease that was ordered with the start, on
        the worker's clock; a repeated order carries the same, so that it
        cannot keep a lost run from lapsing
    :ivar confirmed_at_s: when its answer came; a report that was asked for
        later has to name the run
    :ivar stop_sent_at_s: when it was last told to stop
    :ivar progressed_at_s: when its percentage last grew
    """

    task: "Task"
    number: int
    worker_id: str
    phase: RunPhase = RunPhase.ORDERED
    ordered_at_s: float = 0.0
    lease_until_ms: int = 0
    confirmed_at_s: float = 0.0
    stop_sent_at_s: float = 0.0
    percent: int = 0
    progressed_at_s: float = 0.0
    pace_percent: int = 100
    load: float = 0.0
    is_resent: bool = False

    @property
    def key(self) -> tuple[TaskId, int]:
        """Return what the worker calls the run."""
        return self.task.task_id, self.number


@attrs.define(eq=False)
class Task:
    """A task of a job.

    :ivar runs: runs that may exist, more than one only while an earlier one
        is being stopped or when copies are allowed
    :ivar waiting_since_s: when it could have started
    """

    step: "Step"
    index: int
    is_done: bool = False
    checkpoint: str = ""
    last_run: int = 0
    runs: list[Run] = attrs.field(factory=list)
    waiting_since_s: float = 0.0
    failed_workers: set[str] = attrs.field(factory=set)
    failed_runs: set[int] = attrs.field(factory=set)

    @property
    def failures(self) -> int:
        """Return the number of runs that have failed."""
        return len(self.failed_runs)

    @property
    def task_id(self) -> TaskId:
        """Return the name of the task."""
        occurrence = self.step.occurrence
        return TaskId(
            occurrence.job.job_id,
            occurrence.number,
            self.step.number,
            self.index,
        )

    @property
    def is_waiting(self) -> bool:
        """Tell whether the task needs a run."""
        return not self.is_done and not self.runs


@attrs.define(eq=False)
class Step:
    """A step of an occurrence."""

    occurrence: "Occurrence"
    number: int
    spec: StepSpec
    tasks: list[Task] = attrs.field(factory=list)
    done_count: int = 0

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return self.done_count == len(self.tasks)

    @property
    def is_ready(self) -> bool:
        """Tell whether all steps before are done."""
        steps = self.occurrence.steps
        return all(steps[number].is_done for number in self.spec.after)


@attrs.define(eq=False)
class Occurrence:
    """One run of all steps of a job."""

    job: "Job"
    number: int
    due_unix_ms: int
    steps: list[Step] = attrs.field(factory=list)

    @property
    def is_done(self) -> bool:
        """Tell whether all steps are done."""
        return all(step.is_done for step in self.steps)


@attrs.define(eq=False, kw_only=True)
class Job:
    """A job that the leader knows.

    :ivar run_floor: runs are numbered above it
    :ivar progress_revision: revision of its progress record, 0 before the
        first
    :ivar change: number of the last change to the job
    :ivar durable_change: last change that is safe in the store
    """

    job_id: str
    submission: SubmissionRecord
    created_revision: int = 0
    phase: Phase = Phase.QUEUED
    occurrences: list[Occurrence] = attrs.field(factory=list)
    run_floor: int = 0
    highest_run: int = 0
    progress_revision: int = 0
    change: int = 0
    durable_change: int = 0
    finished_unix_ms: int = 0
    is_inherited: bool = False

    @classmethod
    def from_submission(
        cls, job_id: str, submission: SubmissionRecord, revision: int
    ) -> "Job":
        """Build the tasks of a job."""
        job = cls(
            job_id=job_id, submission=submission, created_revision=revision
        )
        spec = submission.spec
        for number in range(max(1, spec.repeat_count)):
            due = spec.first_run_unix_ms + number * spec.interval_ms
            occurrence = Occurrence(job, number, due)
            for index, step_spec in enumerate(spec.steps):
                step = Step(occurrence, index, step_spec)
                step.tasks = [
                    Task(step, each) for each in range(step_spec.task_count)
                ]
                occurrence.steps.append(step)
            job.occurrences.append(occurrence)
        return job

    @property
    def is_long_running(self) -> bool:
        """Tell whether a step runs until the job is cancelled."""
        return any(step.long_running for step in self.submission.spec.steps)

    @property
    def is_scheduled(self) -> bool:
        """Tell whether the job has due times."""
        return self.submission.spec.repeat_count > 0

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task of this job."""
        try:
            occurrence = self.occurrences[task_id.occurrence]
            return occurrence.steps[task_id.step].tasks[task_id.index]
        except IndexError:
            return None

    def all_tasks(self) -> list[Task]:
        """Return all tasks of all occurrences."""
        return [
            task
            for occurrence in self.occurrences
            for step in occurrence.steps
            for task in step.tasks
        ]

    def mark_done(self, task: Task) -> None:
        """Take note that a task, or its whole gang, is done."""
        step = task.step
        members = step.tasks if step.spec.is_gang else [task]
        for member in members:
            if not member.is_done:
                member.is_done = True
                member.checkpoint = ""
                step.done_count += 1

    def restore(self, record: ProgressRecord) -> None:
        """Apply the progress that an earlier leader recorded."""
        self.phase = record.phase
        self.highest_run = record.highest_run
        self.finished_unix_ms = record.finished_unix_ms
        for row in record.steps:
            step = self.occurrences[row.occurrence].steps[row.step]
            for index in row.done:
                step.tasks[index].is_done = True
            step.done_count = sum(task.is_done for task in step.tasks)
            for index, count in row.failures.items():
                # Runs have positive numbers.
                step.tasks[index].failed_runs |= set(range(-count, 0))
            for index, runs in row.failed_runs.items():
                step.tasks[index].failed_runs |= set(runs)
            for index, checkpoint in row.checkpoints.items():
                step.tasks[index].checkpoint = checkpoint

    def progress(self) -> ProgressRecord:
        """Return the record for the store."""
        rows = []
        if not self.phase.is_final:
            rows = [
                row
                for occurrence in self.occurrences
                for step in occurrence.steps
                if (row := _step_record(step))
            ]
        return ProgressRecord(
            phase=self.phase,
            queue=self.submission.queue,
            organisation=self.submission.organisation,
            highest_run=self.highest_run,
            finished_unix_ms=self.finished_unix_ms,
            steps=tuple(rows),
        )


def _step_record(step: Step) -> StepRecord | None:
    done = tuple(task.index for task in step.tasks if task.is_done)
    failed_runs = {
        t.index: tuple(sorted(t.failed_runs))
        for t in step.tasks
        if t.failed_runs
    }
    checkpoints = {t.index: t.checkpoint for t in step.tasks if t.checkpoint}
    if not (done or failed_runs or checkpoints):
        return None
    return StepRecord(
        occurrence=step.occurrence.number,
        step=step.number,
        done=done,
        failed_runs=failed_runs,
        checkpoints=checkpoints,
    )
