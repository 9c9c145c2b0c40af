"""Commands of the leader to start and stop runs."""

import attrs

from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.policy import suits
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["StartCommand", "StopCommand"]


@attrs.frozen
class StartCommand:
    """Order to start a run; may be a repetition of an earlier order."""

    run: Run
    worker: Worker
    ticket: str = ""

    def is_current(self, now_s: float) -> bool:
        """Tell whether the run is still wanted on the worker.

        The order may have waited while its task was done or moved elsewhere,
        its job ended, its run was marked to stop, or its worker was about to
        leave. A worker that does not accept work at present gets no first
        order, so that the task starts on another one; members of a gang follow
        one that was sent. An order is not repeated in a data centre that is
        being evacuated, as the worker may not have received the one before,
        nor to a worker that has restarted and may be of another kind.
        """
        run, worker, task = self.run, self.worker, self.run.task
        is_newest = run.number == task.last_run or task.step.spec.speculative
        if (
            not worker.has_run(run)
            or run.phase is not RunPhase.ORDERED
            or task.is_done
            or task.step.occurrence.job.phase.is_final
            or not is_newest
        ):
            return False
        if run.is_sent or self._is_gang_started():
            is_leaving = worker.entry.is_draining or worker.is_replaced
            return not (
                is_leaving
                or worker.is_evacuated
                or worker.has_outdated_entry
                or not suits(task.step.spec, worker.entry)
            )
        return worker.accepts_work(now_s)

    def _is_gang_started(self) -> bool:
        """Tell whether another member of a gang has been ordered to start.

        It ends alone if the others do not follow.
        """
        step = self.run.task.step
        return step.spec.is_gang and any(
            run.is_sent and run.number == self.run.number
            for task in step.tasks.held
            for run in task.runs
        )


@attrs.frozen
class StopCommand:
    """Order to stop a run."""

    run: Run
    worker: Worker
