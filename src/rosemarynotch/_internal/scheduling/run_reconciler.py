"""Plans stops of runs, and starts to repeat; performs no I/O."""

from collections.abc import Callable

from rosemarynotch._internal.scheduling.advice import AdviceCache
from rosemarynotch._internal.scheduling.commands import StartCommand
from rosemarynotch._internal.scheduling.commands import StopCommand
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.policy import suits
from rosemarynotch._internal.scheduling.scheduler import Scheduler
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["RunReconciler"]

# A stop order that has not ended its run is sent again after this time.
STOP_RETRY_S = 1.0
# A run whose percentage has not grown for this long counts as stuck. Workers
# report at least once a second.
STUCK_AFTER_S = 2.2
# The same limit for long-running tasks, which need a short time to start.
STUCK_LONG_RUNNING_S = 6.0
# A run is not stuck before it could have gained this many percent.
STUCK_PERCENTS = 4
# After this many stuck runs of a task, the limit doubles with each further
# one. Workers on which tasks stand still are seldom met twice in a row.
QUICK_STOPS = 2


class RunReconciler:
    """Plans what to order for runs that exist or may exist."""

    def __init__(
        self,
        scheduler: Scheduler,
        advice: AdviceCache,
        log: Callable[..., None],
    ) -> None:
        self._scheduler = scheduler
        self._advice = advice
        self._log = log

    def reconcile_runs(self, now_s: float) -> list[StartCommand | StopCommand]:
        """Return the stops to order and the starts to order again."""
        commands: list[StartCommand | StopCommand] = []
        for worker in self._scheduler.workers.values():
            if worker.is_replaced:
                # Another worker would answer the orders. The runs end with
                # the lease.
                continue
            for run in worker.runs.values():
                command = self._reconcile_run(run, worker, now_s)
                if command is not None:
                    commands.append(command)
        return commands

    def _reconcile_run(self, run: Run, worker: Worker, now_s: float):
        job = run.task.step.occurrence.job
        if run.phase is RunPhase.STOPPING or job.phase.is_final:
            return self._stop(run, worker, now_s)
        if run.phase is RunPhase.UNCONFIRMED:
            if worker.is_evacuated:
                # The stop also prevents the start if it was not carried out.
                return self._stop(run, worker, now_s)
            if (
                worker.has_restarted
                or worker.has_outdated_entry
                or not worker.is_enrolled
            ):
                # The lease has to be by the clock of the new incarnation, and
                # the next leader has to find the worker in the roster.
                return None
            if not suits(run.task.step.spec, worker.entry):
                # The worker has restarted as one of another kind.
                return self._stop(run, worker, now_s)
            run.phase = RunPhase.ORDERED
            run.is_resent = True
            ticket = self._advice.ticket(run, worker, now_s)
            return StartCommand(run, worker, ticket)
        if run.phase is RunPhase.ACTIVE and self._is_stuck(run):
            self._log(
                "run stuck",
                job=job.job_id,
                task=str(run.task.task_id),
                worker=worker.worker_id,
                percent=run.percent,
            )
            worker.record_run_outcome(now_s, is_fault=True)
            run.task.failed_workers.add(worker.worker_id)
            run.task.stuck_count += 1
            return self._stop(run, worker, now_s)
        return None

    @staticmethod
    def _is_stuck(run: Run) -> bool:
        """Tell whether reports list the run without any progress.

        Only reports that list it count: a run that has ended makes no
        progress either, and its end may be missing in a report that is cut.
        A long task needs more time for each percent, and its estimate may be
        far too low, so the limit grows if runs of it get stuck everywhere.
        """
        if run.pace_percent < 100 or run.percent >= 100:
            return False
        is_long_running = run.task.step.spec.long_running
        limit_s = STUCK_LONG_RUNNING_S if is_long_running else STUCK_AFTER_S
        percent_s = run.task.step.spec.estimated_ms / 1000 / 100
        limit_s = max(limit_s, STUCK_PERCENTS * percent_s)
        limit_s *= 2 ** max(0, run.task.stuck_count - QUICK_STOPS)
        return run.listed_at_s - run.progressed_at_s > limit_s

    @staticmethod
    def _stop(run: Run, worker: Worker, now_s: float) -> StopCommand | None:
        if run.stop_sent_at_s and now_s - run.stop_sent_at_s < STOP_RETRY_S:
            return None
        run.phase = RunPhase.STOPPING
        run.stop_sent_at_s = now_s
        return StopCommand(run, worker)
