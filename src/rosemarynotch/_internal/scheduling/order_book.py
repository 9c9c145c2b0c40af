"""Orders to workers, and what their answers change; no input or output."""

from collections.abc import Callable

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import RUN_LATE
from rosemarynotch._internal.exceptions import RUN_SUPERSEDED
from rosemarynotch._internal.exceptions import WORKER_REPLACED
from rosemarynotch._internal.scheduling.job_book import JobBook
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Task
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["OrderBook"]

# Pause of a worker that refused a start or could not be reached.
REFUSED_PAUSE_S = 0.3
# A worker that leaves so many orders in a row unanswered is paused as well.
# Fewer are no reason: where each second order is lost on its way, all workers
# would be paused, and the tasks of a whole pool would wait.
MAX_UNANSWERED = 3


class OrderBook(JobBook):
    """Jobs with the runs that were ordered for them.

    :param term: counts the leaders; run numbers of later leaders are higher
    :param started_revision: jobs created later were never started before
    :param log: receives the name of an event and its fields
    """

    def __init__(
        self,
        term: int,
        started_revision: int,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        super().__init__(term, started_revision, log)
        self.workers: dict[str, Worker] = {}

    @staticmethod
    def next_run_number(tasks: list[Task]) -> int:
        """Return a run number above all earlier ones of the tasks."""
        floor = tasks[0].step.occurrence.job.run_floor
        return max(floor, *(task.last_run for task in tasks)) + 1

    def new_run(
        self, task: Task, worker: Worker, now_s: float, number: int = 0
    ) -> Run:
        """Count a run that is about to be ordered.

        :param number: of all members of a gang, 0 for the task's next one
        """
        job = task.step.occurrence.job
        task.last_run = number or self.next_run_number([task])
        run = Run(
            task=task,
            number=task.last_run,
            worker_id=worker.worker_id,
            ordered_at_s=now_s,
            progressed_at_s=now_s,
        )
        worker.add_run(run)
        self.count(run, 1)
        job.highest_run = max(job.highest_run, run.number)
        return run

    def on_start_answer(
        self, run: Run, answer: int | Failure, now_s: float
    ) -> None:
        """Take the answer to a start into account."""
        worker = self.workers.get(run.worker_id)
        if worker is None:
            return
        is_unanswered = isinstance(answer, Failure) and (
            answer.ran is not Ran.NO
        )
        worker.record_order_outcome(is_unanswered)
        if run.key not in worker.runs:
            return
        if not isinstance(answer, Failure):
            if run.phase in (RunPhase.ORDERED, RunPhase.UNCONFIRMED):
                run.phase = RunPhase.ACTIVE
            run.confirmed_at_s = run.confirmed_at_s or now_s
            self.note_begun(run.task.step.occurrence.job)
            return
        self._log(
            "start refused",
            task=str(run.task.task_id),
            run=run.number,
            worker=run.worker_id,
            why=answer.code,
        )
        if answer.is_a(WORKER_REPLACED):
            worker.is_replaced = True
        elif answer.is_a(RUN_SUPERSEDED) or (
            answer.is_a(RUN_LATE) and run.is_resent
        ):
            # It ran and ended, or its lease is over: no order with this lease
            # can be carried out any more. The next report tells which.
            run.phase = RunPhase.ACTIVE
            run.confirmed_at_s = run.confirmed_at_s or now_s
        elif is_unanswered:
            # This order or an earlier one may still be carried out.
            run.phase = RunPhase.UNCONFIRMED
            if worker.unanswered_orders >= MAX_UNANSWERED:
                worker.pause_until(now_s + REFUSED_PAUSE_S)
        elif run.is_resent:
            # An earlier order may still be carried out. An answer to a stop
            # makes that harmless and frees the task before the lease ends.
            run.phase = RunPhase.STOPPING
            run.stop_sent_at_s = 0.0
            worker.pause_until(now_s + REFUSED_PAUSE_S)
        else:
            worker.drop_run(run)
            self._release(run, now_s)
            worker.pause_until(now_s + REFUSED_PAUSE_S)

    def on_stop_answer(
        self, run: Run, answer: None | Failure, now_s: float
    ) -> None:
        """Take the answer to a stop into account.

        A run that a worker was told to stop, and that a later report does
        not name, has ended or can never start there.
        """
        if answer is None and not run.confirmed_at_s:
            run.confirmed_at_s = now_s
        if answer is not None:
            run.stop_sent_at_s = 0.0

    def _release(self, run: Run, now_s: float) -> None:
        self.count(run, -1)
        run.task.waiting_since_s = now_s
