"""In-memory state of accepted jobs in the leader."""

from collections.abc import Iterator

import attrs

from rosemarynotch._internal.scheduling.job_sizes import ended_bytes
from rosemarynotch._internal.scheduling.job_sizes import occurrence_bytes
from rosemarynotch._internal.scheduling.job_sizes import spec_bytes
from rosemarynotch._internal.scheduling.job_sizes import TASK_BYTES
from rosemarynotch._internal.scheduling.model import StepSpec
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import StepRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.runs import Run
from rosemarynotch._internal.scheduling.runs import RunPhase
from rosemarynotch._internal.scheduling.tasks import Occurrence
from rosemarynotch._internal.scheduling.tasks import Step
from rosemarynotch._internal.scheduling.tasks import Task
from rosemarynotch._internal.utils.lazy import IndexSet
from rosemarynotch._internal.utils.lazy import LazySequence

__all__ = ["Job", "Occurrence", "Run", "RunPhase", "Step", "Task"]

# Due occurrences of a job that are held before any of their tasks has started.
# The others are opened as these start.
MAX_UNTOUCHED_OCCURRENCES = 30


@attrs.define(eq=False, kw_only=True)
class Job:
    """A job and its state in the leader.

    Of the occurrences of a scheduled job, only those that are due and not
    done are held.

    :ivar created_revision: store revision at which the job was accepted
    :ivar done_occurrences: numbers of the occurrences of a scheduled job that
        are done
    :ivar held_tasks: number of its tasks that are held
    :ivar run_floor: new runs get numbers above this one
    :ivar run_limit: highest run number that may be used; a later leader uses
        higher ones only
    :ivar reserved_run: the next limit, in force once it is recorded
    :ivar reservation_change: number of the change that records it
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
    occurrences: LazySequence[Occurrence] = attrs.field(init=False)
    done_occurrences: IndexSet = attrs.field(init=False)
    held_tasks: int = 0
    run_floor: int = 0
    run_limit: int = 0
    reserved_run: int = 0
    reservation_change: int = 0
    highest_run: int = 0
    progress_revision: int = 0
    change: int = 0
    durable_change: int = 0
    finished_unix_ms: int = 0
    retained_since_s: float | None = None
    is_inherited: bool = False
    pools: dict[str, int] = attrs.field(factory=dict)
    lost_runs: int = 0
    _spec_bytes: int = attrs.field(init=False)
    # Occurrences below this number were opened, or are done.
    _next_unopened: int = 0

    def __attrs_post_init__(self):
        count = max(1, self.submission.spec.repeat_count)
        self.occurrences = LazySequence(count, Occurrence, self)
        self.done_occurrences = IndexSet(count)
        if not self.is_scheduled:
            self.occurrences[0]
        self._spec_bytes = spec_bytes(self.submission.spec)

    @classmethod
    def from_submission(
        cls, job_id: str, submission: SubmissionRecord, revision: int
    ) -> "Job":
        """Create a job of which nothing has started."""
        return cls(
            job_id=job_id,
            submission=submission,
            created_revision=revision,
            pools={submission.policy.pool: 0},
        )

    @property
    def memory_bytes(self) -> int:
        """Return an upper estimate of the memory that the job takes."""
        spec = self.submission.spec
        if self.phase.is_final:
            size = ended_bytes(spec)
        else:
            further = max(0, self.occurrences.held_count - 1)
            size = self._spec_bytes + further * occurrence_bytes(spec)
        return size + self.held_tasks * TASK_BYTES

    @property
    def is_long_running(self) -> bool:
        """Return whether a step runs until the job is cancelled."""
        return any(step.long_running for step in self.submission.spec.steps)

    @property
    def is_scheduled(self) -> bool:
        """Return whether the occurrences of the job have due times."""
        return self.submission.spec.repeat_count > 0

    @property
    def is_done(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        if self.is_scheduled:
            return self.done_occurrences.is_full
        return self.occurrences[0].is_done

    @property
    def unheld_count(self) -> int:
        """Return the number of occurrences that are neither held nor done."""
        done = self.done_occurrences
        held = sum(each.number not in done for each in self.occurrences.held)
        return len(self.occurrences) - len(done) - held

    def due_unix_ms(self, number: int) -> int:
        """Return the earliest start of an occurrence of a scheduled job."""
        spec = self.submission.spec
        return spec.first_run_unix_ms + number * spec.interval_ms

    @property
    def next_due_ms(self) -> int:
        """Return when the next occurrence is due, 0 for a job without."""
        if not self.is_scheduled:
            return 0
        return self.due_unix_ms(self.first_unfinished_number)

    def due_count(self, wall_ms: float) -> int:
        """Return how many occurrences may have started by a time."""
        if not self.is_scheduled:
            return 1
        spec = self.submission.spec
        since_ms = wall_ms - spec.first_run_unix_ms
        if since_ms < 0:
            return 0
        if not spec.interval_ms:
            return spec.repeat_count
        return min(spec.repeat_count, int(since_ms // spec.interval_ms) + 1)

    def unopened_count(self, wall_ms: float) -> int:
        """Return how many due occurrences are neither held nor done."""
        due_count = self.due_count(wall_ms)
        held = sum(
            each.number < due_count and not each.is_done
            for each in self.occurrences.held
        )
        return max(0, due_count - len(self.done_occurrences) - held)

    @property
    def first_unfinished_number(self) -> int:
        """Return the number of the first occurrence that is not done.

        :returns: that of the last one if all are done
        """
        last = len(self.occurrences) - 1
        return next(self.done_occurrences.missing(), last)

    def first_unfinished(self) -> Occurrence:
        """Return the first occurrence that is not done, or the last one."""
        return self.occurrences[self.first_unfinished_number]

    def open_occurrences(
        self, wall_ms: float, has_room: bool = True
    ) -> list[Occurrence]:
        """Return the due occurrences that are held and not done.

        Further ones are opened as long as few have nothing started.

        :param has_room: whether there is memory for more than one
        """
        if not self.is_scheduled:
            occurrence = self.occurrences[0]
            return [] if occurrence.is_done else [occurrence]
        due_count = self.due_count(wall_ms)
        found = [
            each
            for each in self.occurrences.held
            if each.number < due_count and not each.is_done
        ]
        untouched = sum(each.is_untouched for each in found)
        while self._next_unopened < due_count:
            if untouched >= MAX_UNTOUCHED_OCCURRENCES:
                break
            if found and not has_room:
                break
            number = self._next_unopened
            self._next_unopened += 1
            if number in self.done_occurrences:
                continue
            if self.occurrences.peek(number) is None:
                found.append(self.occurrences[number])
                untouched += 1
        return sorted(found, key=lambda each: each.number)

    def release(self, occurrence: Occurrence) -> None:
        """Drop an occurrence that does not have to be held."""
        if occurrence.is_needed:
            return
        if self.is_scheduled and occurrence.is_done:
            self.done_occurrences.add(occurrence.number)
        self.occurrences.drop(occurrence.number)

    def release_unused(self) -> None:
        """Drop all that does not have to be held.

        After the end of the job this includes its payload.
        """
        if self.phase.is_final and self.submission.spec.payload:
            spec = attrs.evolve(self.submission.spec, payload="")
            self.submission = attrs.evolve(self.submission, spec=spec)
        for occurrence in self.occurrences.held:
            for step in occurrence.steps:
                step.release_unused()
            self.release(occurrence)

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task of this job, None if there is no such task.

        It is held from now on.
        """
        try:
            occurrence = self.occurrences[task_id.occurrence]
            return occurrence.steps[task_id.step].tasks[task_id.index]
        except IndexError:
            return None

    def waiting_counts(self) -> Iterator[tuple[StepSpec, int]]:
        """Return how many tasks of each step need a run, due or not."""
        held = self.occurrences.held
        for index, spec in enumerate(self.submission.spec.steps):
            waiting = sum(each.steps[index].waiting_count for each in held)
            yield spec, waiting + self.unheld_count * spec.task_count

    def mark_done(self, task: Task) -> None:
        """Mark a task, or all tasks of its gang, as done."""
        step = task.step
        step.mark_done(task)
        if self.is_scheduled and step.occurrence.is_done:
            self.done_occurrences.add(step.occurrence.number)
        if step.spec.is_gang:
            step.release_unused()
        else:
            step.release(task)

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
                step.done.add(index)
            for index, count in row.failures.items():
                # Older records only count the failures. Negative numbers
                # cannot clash with run numbers, which are positive.
                step.tasks[index].failed_runs |= set(range(-count, 0))
            for index, runs in row.failed_runs.items():
                step.tasks[index].failed_runs |= set(runs)
            for index, checkpoint in row.checkpoints.items():
                step.tasks[index].checkpoint = checkpoint
            self.release(step.occurrence)
        self.release_unused()

    def progress(self) -> ProgressRecord:
        """Return the progress record to be written to the store.

        The steps are left out once the job has ended.
        """
        rows = []
        if not self.phase.is_final:
            rows = list(self._step_records())
        return ProgressRecord(
            phase=self.phase,
            queue=self.submission.queue,
            organisation=self.submission.organisation,
            highest_run=max(self.highest_run, self.reserved_run),
            finished_unix_ms=self.finished_unix_ms,
            pools=tuple(
                pool
                for pool in self.pools
                if pool != self.submission.policy.pool
            ),
            steps=tuple(rows),
        )

    def _step_records(self) -> Iterator[StepRecord]:
        steps = self.submission.spec.steps
        held = {each.number: each for each in self.occurrences.held}
        for number in sorted(held.keys() | set(self.done_occurrences)):
            if number in held:
                rows = map(_step_record, held[number].steps)
                yield from (row for row in rows if row is not None)
                continue
            for index, spec in enumerate(steps):
                yield StepRecord(
                    occurrence=number,
                    step=index,
                    done=tuple(range(spec.task_count)),
                )


def _step_record(step: Step) -> StepRecord | None:
    done = tuple(step.done)
    tasks = sorted(step.tasks.held, key=lambda task: task.index)
    failed_runs = {
        t.index: tuple(sorted(t.failed_runs)) for t in tasks if t.failed_runs
    }
    checkpoints = {t.index: t.checkpoint for t in tasks if t.checkpoint}
    if step.spec.is_gang and step.gang_checkpoint:
        members = range(step.spec.task_count)
        checkpoints = dict.fromkeys(members, step.gang_checkpoint)
    if not (done or failed_runs or checkpoints):
        return None
    return StepRecord(
        occurrence=step.occurrence.number,
        step=step.number,
        done=done,
        failed_runs=failed_runs,
        checkpoints=checkpoints,
    )
