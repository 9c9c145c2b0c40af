"""In-memory state of accepted jobs and their tasks in the leader."""

import enum

import attrs

from rosemarynotch._internal.scheduling.model import StepSpec
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import StepRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.step_failures import StepFailures

__all__ = ["Job", "Occurrence", "Run", "RunPhase", "Step", "Task"]


class RunPhase(enum.Enum):
    """State of a run as known to the leader.

    ORDERED: the start order is being sent. ACTIVE: the worker has confirmed
    the run. UNCONFIRMED: the start order was not answered and may still be
    carried out. STOPPING: a stop was ordered.
    """

    ORDERED = "ordered"
    ACTIVE = "active"
    UNCONFIRMED = "unconfirmed"
    STOPPING = "stopping"


@attrs.define(kw_only=True, eq=False)
class Run:
    """A run of a task on a worker.

    :ivar checkpoint: checkpoint to resume from; the same in each order for the
        run, and for all members of a gang
    :ivar ordered_at_s: when the start was first ordered
    :ivar lease_until_ms: end of the lease sent with the start order, on the
        worker's clock; a repeated order carries the same value, so that it
        cannot prevent a lost run from expiring
    :ivar confirmed_at_s: when the worker confirmed the run; every report
        requested later has to contain it
    :ivar stop_sent_at_s: when a stop was last ordered, 0 if none was or if it
        has to be ordered again
    :ivar listed_at_s: when a report last listed it as running, 0 if none has
    :ivar progressed_at_s: when it was confirmed, or its percentage last
        increased
    :ivar pace_percent: share of its full speed that it was ordered to use
    :ivar load: latest load reported by the worker: the latency tail in
        milliseconds of a serving task, otherwise the processors in use
    :ivar is_sent: whether a start order was sent; until then the worker
        cannot have the run
    :ivar is_resent: whether the start order was sent more than once
    :ivar start_count: number of start orders that were sent
    :ivar stop_count: number of stops that were sent
    """

    task: "Task"
    number: int
    worker_id: str
    phase: RunPhase = RunPhase.ORDERED
    checkpoint: str = ""
    ordered_at_s: float = 0.0
    lease_until_ms: int = 0
    confirmed_at_s: float = 0.0
    stop_sent_at_s: float = 0.0
    percent: int = 0
    listed_at_s: float = 0.0
    progressed_at_s: float = 0.0
    pace_percent: int = 100
    load: float = 0.0
    is_sent: bool = False
    is_resent: bool = False
    start_count: int = 0
    stop_count: int = 0

    @property
    def key(self) -> tuple[TaskId, int]:
        """Return the identity of the run on its worker."""
        return self.task.task_id, self.number

    def confirm(self, now_s: float) -> None:
        """Record proof that the worker has accepted the run.

        The run may work from the first proof on. Its order may have waited in
        a queue before.
        """
        if self.phase in (RunPhase.ORDERED, RunPhase.UNCONFIRMED):
            self.phase = RunPhase.ACTIVE
        if not self.confirmed_at_s:
            self.confirmed_at_s = self.progressed_at_s = now_s


@attrs.define(eq=False)
class Task:
    """A task of a job.

    :ivar last_run: highest run number used for the task
    :ivar runs: runs that may exist; more than one only while an earlier one
        is being stopped, or if the step allows speculative copies
    :ivar failed_workers: workers on which a run failed or got stuck
    :ivar stuck_count: number of its runs that were stopped as stuck
    :ivar failed_runs: numbers of the runs that failed; empty for a
        long-running task, which may fail any number of times
    """

    step: "Step"
    index: int
    is_done: bool = False
    _checkpoint: str = ""
    last_run: int = 0
    runs: list[Run] = attrs.field(factory=list)
    failed_workers: set[str] = attrs.field(factory=set)
    stuck_count: int = 0
    failed_runs: set[int] = attrs.field(factory=set)

    @property
    def checkpoint(self) -> str:
        """Return the newest checkpoint, empty if there is none.

        That of any member of a gang is valid for all, and a gang works only
        if all members resume from the same one.
        """
        step = self.step
        return step.gang_checkpoint if step.spec.is_gang else self._checkpoint

    @checkpoint.setter
    def checkpoint(self, value: str) -> None:
        if self.step.spec.is_gang:
            self.step.gang_checkpoint = value
        else:
            self._checkpoint = value

    @property
    def failures(self) -> int:
        """Return the number of runs that have failed."""
        return len(self.failed_runs)

    @property
    def task_id(self) -> TaskId:
        """Return the identifier of the task."""
        occurrence = self.step.occurrence
        return TaskId(
            occurrence.job.job_id,
            occurrence.number,
            self.step.number,
            self.index,
        )

    @property
    def is_waiting(self) -> bool:
        """Return whether the task needs a run."""
        return not self.is_done and not self.runs


@attrs.define(eq=False)
class Step:
    """A step of an occurrence.

    :ivar first_ordered_at_s: when a task was first ordered to start, 0 if
        this leader has ordered none
    :ivar last_ordered_at_s: when a task was last ordered to start
    :ivar longest_run_s: longest run that ended as done
    :ivar done_at_s: when the last task ended, 0 if it has not
    :ivar gang_checkpoint: newest checkpoint of any member of a gang
    """

    occurrence: "Occurrence"
    number: int
    spec: StepSpec
    tasks: list[Task] = attrs.field(factory=list)
    done_count: int = 0
    first_ordered_at_s: float = 0.0
    last_ordered_at_s: float = 0.0
    longest_run_s: float = 0.0
    done_at_s: float = 0.0
    gang_checkpoint: str = ""
    failures: StepFailures = attrs.field(factory=StepFailures)

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.done_count == len(self.tasks)

    @property
    def is_ready(self) -> bool:
        """Return whether all steps that it depends on are done."""
        steps = self.occurrence.steps
        return all(steps[number].is_done for number in self.spec.after)


@attrs.define(eq=False)
class Occurrence:
    """One execution of all steps of a job.

    :ivar due_unix_ms: earliest start of a scheduled job's occurrence
    """

    job: "Job"
    number: int
    due_unix_ms: int
    steps: list[Step] = attrs.field(factory=list)

    @property
    def is_done(self) -> bool:
        """Return whether all steps are done."""
        return all(step.is_done for step in self.steps)


@attrs.define(eq=False, kw_only=True)
class Job:
    """A job and its state in the leader.

    :ivar created_revision: store revision at which the job was accepted
    :ivar run_floor: new runs get numbers above this one
    :ivar highest_run: highest run number used for any of its tasks
    :ivar progress_revision: store revision of its progress record, 0 if it
        has none
    :ivar change: number of the last change to the job
    :ivar durable_change: number of the last change that is persisted
    :ivar retained_since_s: when this leader first found that the job has
        ended, None if it has not
    :ivar is_inherited: whether an earlier leader may have started the job,
        as it existed when this leader's term began
    :ivar pools: pools that may have runs of the job, each with the number of
        the change that records it, 0 if the store had it before
    :ivar lost_runs: number of runs that ended without an end being reported
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
    retained_since_s: float | None = None
    is_inherited: bool = False
    pools: dict[str, int] = attrs.field(factory=dict)
    lost_runs: int = 0

    @classmethod
    def from_submission(
        cls, job_id: str, submission: SubmissionRecord, revision: int
    ) -> "Job":
        """Create a job with the occurrences and tasks of its submission."""
        job = cls(
            job_id=job_id,
            submission=submission,
            created_revision=revision,
            pools={submission.policy.pool: 0},
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
        """Return whether a step runs until the job is cancelled."""
        return any(step.long_running for step in self.submission.spec.steps)

    @property
    def is_scheduled(self) -> bool:
        """Return whether the occurrences of the job have due times."""
        return self.submission.spec.repeat_count > 0

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task of this job, None if there is no such task."""
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
        """Mark a task, or all tasks of its gang, as done."""
        step = task.step
        members = step.tasks if step.spec.is_gang else [task]
        for member in members:
            if not member.is_done:
                member.is_done = True
                member.checkpoint = ""
                step.done_count += 1

    def can_restore(self, record: ProgressRecord) -> bool:
        """Return whether all that a record names is a part of this job."""
        return all(
            row.occurrence in range(len(self.occurrences))
            and row.step in range(len(self.submission.spec.steps))
            and all(
                index in range(self.submission.spec.steps[row.step].task_count)
                for index in (
                    *row.done,
                    *row.failures,
                    *row.failed_runs,
                    *row.checkpoints,
                )
            )
            for row in record.steps
        )

    def restore(self, record: ProgressRecord) -> None:
        """Apply the progress recorded by an earlier leader."""
        self.phase = record.phase
        self.highest_run = record.highest_run
        self.finished_unix_ms = record.finished_unix_ms
        self.pools |= dict.fromkeys(record.pools, 0)
        for row in record.steps:
            step = self.occurrences[row.occurrence].steps[row.step]
            for index in row.done:
                step.tasks[index].is_done = True
            step.done_count = sum(task.is_done for task in step.tasks)
            for index, count in row.failures.items():
                # Older records only count the failures. Negative numbers
                # cannot clash with run numbers, which are positive.
                step.tasks[index].failed_runs |= set(range(-count, 0))
            for index, runs in row.failed_runs.items():
                step.tasks[index].failed_runs |= set(runs)
            for index, checkpoint in row.checkpoints.items():
                step.tasks[index].checkpoint = checkpoint

    def progress(self) -> ProgressRecord:
        """Return the progress record to be written to the store.

        The steps are left out once the job has ended.
        """
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
            pools=tuple(
                pool
                for pool in self.pools
                if pool != self.submission.policy.pool
            ),
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
