"""Registry of the runs that were ordered from workers; performs no I/O."""

from collections.abc import Callable

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import RUN_LATE
from rosemarynotch._internal.exceptions import RUN_NO_TICKET
from rosemarynotch._internal.exceptions import RUN_SUPERSEDED
from rosemarynotch._internal.exceptions import WORKER_REPLACED
from rosemarynotch._internal.scheduling.bounded_registry import BoundedRegistry
from rosemarynotch._internal.scheduling.job_registry import RUNS_PER_TERM
from rosemarynotch._internal.scheduling.job_sizes import TASK_BYTES
from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Task
from rosemarynotch._internal.scheduling.pending_acks import PendingAck
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["RunRegistry"]

# Pause of a worker that refused a start or could not be reached.
REFUSED_PAUSE_S = 0.3
# A worker is also paused after this many consecutive orders without an answer,
# unless it still reports. Otherwise the loss of most orders on the network
# would pause all workers of a pool and delay all of its tasks.
MAX_UNANSWERED = 3
# Busy workers report at least once a second.
MAX_REPORT_AGE_S = 1.2


class RunRegistry(BoundedRegistry):
    """Holds jobs, workers and runs, and applies the answers to orders.

    :param term: number of this leader's term; run numbers of later terms are
        higher
    :param started_revision: store revision at which the term started; jobs
        created after it cannot have been started by an earlier leader
    :param log: called with the name of an event and its fields
    :ivar workers: workers by identifier
    """

    def __init__(
        self,
        term: int,
        started_revision: int,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        super().__init__(term, started_revision, log)
        self.workers: dict[str, Worker] = {}

    def accepts_work(self, worker_id: str, now_s: float) -> bool:
        """Return whether new runs may be placed on a worker."""
        worker = self.workers.get(worker_id)
        return worker is not None and worker.accepts_work(now_s)

    @staticmethod
    def next_run_number(tasks: list[Task]) -> int:
        """Return a run number that is higher than all earlier ones.

        :param tasks: tasks of one job
        """
        floor = tasks[0].step.occurrence.job.run_floor
        return max(floor, *(task.last_run for task in tasks)) + 1

    def has_run_number(self, job: Job) -> bool:
        """Return whether the next run of a job may get a number.

        Otherwise more are reserved, and may be used once the store has
        recorded that. The next leader would use them again without it, and
        workers would take its runs for those that have ended.
        """
        if job.highest_run < job.run_limit:
            return True
        if job.reserved_run <= job.run_limit:
            job.reserved_run = job.run_limit + RUNS_PER_TERM
            job.reservation_change = self.mark_dirty(job)
            self._log(
                "run numbers reserved",
                job=job.job_id,
                used=job.highest_run,
                reserved=job.reserved_run,
            )
        elif job.durable_change >= job.reservation_change:
            job.run_limit = job.reserved_run
            return True
        return False

    def new_run(
        self, task: Task, worker: Worker, now_s: float, number: int = 0
    ) -> Run:
        """Register a run that is about to be ordered.

        :param number: run number shared by the members of a gang, 0 to use
            the next number of the task
        """
        job = task.step.occurrence.job
        task.last_run = number or self.next_run_number([task])
        run = Run(
            task=task,
            number=task.last_run,
            worker_id=worker.worker_id,
            checkpoint=task.checkpoint,
            ordered_at_s=now_s,
        )
        worker.add_run(run)
        self.memory.add(job.submission.organisation, TASK_BYTES)
        step = task.step
        step.first_ordered_at_s = step.first_ordered_at_s or now_s
        step.last_ordered_at_s = now_s
        self.adjust_usage(run, 1)
        job.highest_run = max(job.highest_run, run.number)
        return run

    def on_start_answer(
        self, run: Run, answer: int | Failure, now_s: float
    ) -> None:
        """Apply the answer to a start order."""
        worker = self.workers.get(run.worker_id)
        if worker is None:
            return
        is_unanswered = isinstance(answer, Failure) and (
            answer.ran is not Ran.NO
        )
        worker.record_order_outcome(is_unanswered)
        if not worker.has_run(run):
            return
        if not isinstance(answer, Failure):
            run.confirm(now_s)
            self.mark_running(run.task.step.occurrence.job)
            return
        self._log(
            "start refused",
            task=str(run.task.task_id),
            run=run.number,
            worker=run.worker_id,
            why=answer.code,
        )
        if answer.is_a(WORKER_REPLACED):
            worker.mark_replaced("another worker answered a start")
        if answer.is_a(RUN_SUPERSEDED) or (
            answer.is_a(RUN_LATE) and run.is_resent
        ):
            # The run has ended or its lease has expired, so no order with this
            # lease can still be carried out. The next report shows which.
            run.phase = RunPhase.ACTIVE
            run.confirm(now_s)
        elif is_unanswered:
            # This order or an earlier one may still be carried out.
            run.phase = RunPhase.UNCONFIRMED
            if (
                worker.unanswered_orders >= MAX_UNANSWERED
                and now_s - worker.clock_received_at_s > MAX_REPORT_AGE_S
            ):
                worker.pause_until(now_s + REFUSED_PAUSE_S)
        elif run.is_resent:
            # An earlier order may still be carried out. An answered stop
            # makes that harmless and frees the task before the lease expires.
            run.phase = RunPhase.STOPPING
            run.stop_sent_at_s = 0.0
            self._pause_refusing(worker, answer, now_s)
        else:
            worker.drop_run(run)
            self.adjust_usage(run, -1)
            self._pause_refusing(worker, answer, now_s)

    @staticmethod
    def _pause_refusing(worker: Worker, why: Failure, now_s: float) -> None:
        """Pause a worker that has refused a start.

        A ticket that it does not accept says nothing of the other steps.
        """
        if not why.is_a(RUN_NO_TICKET):
            worker.pause_until(now_s + REFUSED_PAUSE_S)

    def on_order_withheld(self, run: Run) -> None:
        """Handle an order that was not sent as it had become needless.

        A run that was never sent cannot exist, so its task is free at once.
        Otherwise an earlier start may still be carried out; an answered stop
        makes that harmless.
        """
        worker = self.workers.get(run.worker_id)
        if worker is None or not worker.has_run(run):
            return
        if not run.is_sent:
            worker.drop_run(run)
            self.adjust_usage(run, -1)
        elif run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.STOPPING
            run.stop_sent_at_s = 0.0

    def on_unknown_end(self, worker: Worker, end: RunEnd) -> PendingAck:
        """Handle the end of a task that this leader does not know.

        The worker may forget it if its job was removed, but not if the job
        was refused: a later leader that can decode it would start the task
        again. The end of a job that is left in the store is applied once the
        job has been read.
        """
        is_unloaded = end.task.job_id in self.unloaded
        if is_unloaded:
            self.want(end.task.job_id)
        is_withheld = is_unloaded or end.task.job_id in self.refused_ids
        self._log(
            "end of unknown task",
            task=str(end.task),
            worker=worker.worker_id,
            run=end.run,
            sequence=end.sequence,
            how=end.kind.value,
            acknowledged=not is_withheld,
        )
        return PendingAck(
            end.sequence,
            is_withheld=is_withheld,
            end=end if is_unloaded else None,
        )

    def on_stop_answer(
        self, run: Run, answer: None | Failure, now_s: float
    ) -> None:
        """Apply the answer to a stop order.

        Once a worker has accepted a stop, a later report without the run
        proves that it has ended or can no longer start there.
        """
        if answer is None and not run.confirmed_at_s:
            run.confirmed_at_s = now_s
        if answer is not None:
            run.stop_sent_at_s = 0.0
