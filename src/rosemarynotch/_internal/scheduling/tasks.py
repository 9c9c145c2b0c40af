"""Tasks, steps and occurrences of a job, as known to the leader.

Most tasks of a large job are either done or have not been started. Only those
with a run, or with something to remember of an earlier one, are held.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.scheduling.model import StepSpec
from rosemarynotch._internal.scheduling.model import TaskId
from rosemarynotch._internal.scheduling.runs import Run
from rosemarynotch._internal.scheduling.step_failures import StepFailures
from rosemarynotch._internal.utils.lazy import IndexSet
from rosemarynotch._internal.utils.lazy import LazySequence

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.jobs import Job

__all__ = ["Occurrence", "Step", "Task"]


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
    _checkpoint: str = ""
    last_run: int = 0
    runs: list[Run] = attrs.field(factory=list)
    failed_workers: set[str] = attrs.field(factory=set)
    stuck_count: int = 0
    failed_runs: set[int] = attrs.field(factory=set)

    def __attrs_post_init__(self):
        self.step.occurrence.job.held_tasks += 1

    @property
    def is_done(self) -> bool:
        """Return whether a run of the task has ended as done."""
        return self.index in self.step.done

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
        return not self.runs and not self.is_done

    @property
    def is_needed(self) -> bool:
        """Return whether the task has to be held."""
        if self.runs:
            return True
        is_over = self.is_done or self.step.occurrence.job.phase.is_final
        return not is_over and bool(
            self.last_run
            or self._checkpoint
            or self.failed_workers
            or self.failed_runs
        )


@attrs.define(eq=False)
class Step:
    """A step of an occurrence.

    :ivar tasks: its tasks, of which only some are held
    :ivar done: indexes of the tasks that are done
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
    tasks: LazySequence[Task] = attrs.field(init=False)
    done: IndexSet = attrs.field(init=False)
    first_ordered_at_s: float = 0.0
    last_ordered_at_s: float = 0.0
    longest_run_s: float = 0.0
    done_at_s: float = 0.0
    gang_checkpoint: str = ""
    _failures: StepFailures | None = None

    def __attrs_post_init__(self):
        self.tasks = LazySequence(self.spec.task_count, Task, self)
        self.done = IndexSet(self.spec.task_count)

    @property
    def failures(self) -> StepFailures:
        """Return the failures of the runs of the step."""
        if self._failures is None:
            self._failures = StepFailures()
        return self._failures

    @property
    def fails_everywhere(self) -> bool:
        """Return whether its tasks, and not the workers, seem to fail."""
        return self._failures is not None and self._failures.are_everywhere

    @property
    def done_count(self) -> int:
        """Return the number of tasks that are done."""
        return len(self.done)

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.done.is_full

    @property
    def is_ready(self) -> bool:
        """Return whether all steps that it depends on are done."""
        steps = self.occurrence.steps
        return all(steps[number].is_done for number in self.spec.after)

    @property
    def running_count(self) -> int:
        """Return the number of tasks that have a run."""
        return sum(bool(task.runs) for task in self.tasks.held)

    @property
    def waiting_count(self) -> int:
        """Return the number of tasks that need a run."""
        busy = sum(
            bool(task.runs) and not task.is_done for task in self.tasks.held
        )
        return self.spec.task_count - self.done_count - busy

    def waiting_tasks(self) -> Iterator[Task]:
        """Return the tasks that need a run, in the order of their indexes.

        Tasks that are not held yet are held from now on.
        """
        for index in self.done.missing():
            task = self.tasks[index]
            if not task.runs:
                yield task

    def mark_done(self, task: Task) -> None:
        """Mark a task, or all tasks of its gang, as done."""
        if not self.spec.is_gang:
            if self.done.add(task.index):
                task.checkpoint = ""
            return
        self.done.fill()
        self.gang_checkpoint = ""

    def release(self, task: Task) -> None:
        """Drop a task that does not have to be held.

        The caller must not use the task any more.
        """
        if not task.is_needed and self.tasks.peek(task.index) is task:
            self.tasks.drop(task.index)
            job = self.occurrence.job
            job.held_tasks -= 1
            job.release(self.occurrence)

    def release_unused(self) -> None:
        """Drop all tasks that do not have to be held."""
        for task in self.tasks.held:
            self.release(task)


@attrs.define(eq=False)
class Occurrence:
    """One execution of all steps of a job."""

    job: "Job"
    number: int
    steps: list[Step] = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.steps = [
            Step(self, number, spec)
            for number, spec in enumerate(self.job.submission.spec.steps)
        ]
        if self.number in self.job.done_occurrences:
            for step in self.steps:
                step.done.fill()

    @property
    def is_done(self) -> bool:
        """Return whether all steps are done."""
        return all(step.is_done for step in self.steps)

    @property
    def is_untouched(self) -> bool:
        """Return whether no task has a run or an outcome."""
        return not any(
            step.done_count or any(task.is_needed for task in step.tasks.held)
            for step in self.steps
        )

    @property
    def is_needed(self) -> bool:
        """Return whether the occurrence has to be held."""
        if any(step.tasks.held for step in self.steps):
            return True
        job = self.job
        return not (job.phase.is_final or (job.is_scheduled and self.is_done))
