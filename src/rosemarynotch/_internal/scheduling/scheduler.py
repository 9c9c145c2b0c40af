"""State machine of workers and their runs; performs no I/O."""

from collections.abc import Callable
from collections.abc import Collection

from rosemarynotch._internal.scheduling.durations import DurationEstimator
from rosemarynotch._internal.scheduling.fleet_ports import FleetVm
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.jobs import Step
from rosemarynotch._internal.scheduling.pending_acks import PendingAck
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.worker_registry import WorkerRegistry
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["Scheduler"]

# The first report of a worker is logged if it comes later than this.
LATE_FIRST_REPORT_S = 1.0


class Scheduler(WorkerRegistry):
    """Maintains the leader's in-memory state of jobs, runs and workers.

    It is not thread-safe: callers must serialise access.

    :param term: number of this leader's term; run numbers of later terms are
        higher
    :param started_revision: store revision at which the term started; jobs
        created after it cannot have been started by an earlier leader
    :param longest_lease_s: longest lease that an earlier leader may have
        granted
    :param log: called with the name of an event and its fields
    """

    def __init__(
        self,
        term: int,
        started_revision: int,
        longest_lease_s: float,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        super().__init__(term, started_revision, longest_lease_s, log)
        self.durations = DurationEstimator()
        # Processors of all VMs that are not in a data centre being evacuated,
        # including those that are powered off.
        self.fleet_millicores = 0
        # Pools that need more VMs than they have or are about to get.
        self.short_of_vms: frozenset[str] = frozenset()
        # Whether a step that fails on several workers is blamed for it.
        self.blames_steps = True
        # Since when all VMs are in such data centres, None if they are not.
        self.out_of_service_since_s: float | None = None

    def measure_fleet(
        self, vms: Collection[FleetVm], now_s: float
    ) -> list[FleetVm]:
        """Update the capacity of the fleet from the list of VMs.

        :returns: the VMs that are not in a data centre being evacuated
        """
        usable = [
            vm for vm in vms if vm.data_centre not in self.evacuated_at_s
        ]
        self.fleet_millicores = sum(
            vm.capacity.cpu_millicores for vm in usable
        )
        if usable or not vms:
            self.out_of_service_since_s = None
        elif self.out_of_service_since_s is None:
            self.out_of_service_since_s = now_s
        return usable

    def advance_acks(self) -> None:
        """Acknowledge the run ends of all workers that are persisted."""
        for worker in self.workers.values():
            worker.advance_acks()

    def on_report(
        self,
        worker: Worker,
        report: WorkerReport,
        requested_at_s: float,
        received_at_s: float,
    ) -> None:
        """Apply a worker's report.

        The reports of a worker are requested one after the other, so a report
        of another incarnation than the last one is from a later incarnation.

        :param requested_at_s: when the report was requested
        :param received_at_s: when the report was received
        """
        is_first = self._handle_restart(worker, report)
        if is_first and worker.is_inherited:
            self._log_first_report(worker, report, received_at_s)
        worker.record_report(report, requested_at_s, received_at_s)
        if is_first and (report.running or report.is_cut):
            # An earlier leader may have granted its longest lease until now.
            worker.lease_until_ms = max(
                worker.lease_until_ms,
                report.clock_ms + round(self._longest_lease_s * 1000),
            )
        if report.is_cut != worker.is_report_cut:
            self._log(
                "report cut" if report.is_cut else "report whole again",
                worker=worker.worker_id,
                runs=len(worker.runs),
                running=len(report.running),
                ends=len(report.ends),
            )
        worker.is_report_cut = report.is_cut
        worker.has_reported |= not report.is_cut
        self._apply_ends(worker, report, received_at_s)
        present = set()
        unknown = []
        for status in report.running:
            present.add((status.task, status.run))
            if not self._on_status(worker, status, received_at_s):
                unknown.append(status)
        self._record_unknown_runs(worker, unknown)
        if not (report.refused or report.is_cut):
            self._drop_absent(worker, present, requested_at_s, received_at_s)
        if report.refused and report.refused != worker.refused:
            self._log(
                "report rows refused",
                worker=worker.worker_id,
                count=len(report.refused),
                why=report.refused[0],
            )
        worker.refused = report.refused
        worker.had_runs = bool(worker.runs)

    def _log_first_report(
        self, worker: Worker, report: WorkerReport, now_s: float
    ) -> None:
        """Log the first report of an incarnation in this term.

        Only workers that an earlier leader may have used are logged, and none
        that has nothing to tell and answered at once.
        """
        after_s = now_s - worker.known_since_s
        if report.running or report.ends or after_s > LATE_FIRST_REPORT_S:
            self._log(
                "worker heard",
                worker=worker.worker_id,
                pool=worker.entry.pool,
                after_s=round(after_s, 3),
                running=len(report.running),
                ends=len(report.ends),
                cut=report.is_cut,
            )

    def _handle_restart(self, worker: Worker, report: WorkerReport) -> bool:
        """Reset the counts of a worker if it has restarted.

        Its confirmed runs are dropped if the report lacks them.

        :returns: whether this is the first report of an incarnation
        """
        is_first = not worker.clock_received_at_s
        if report.started_unix_ms in (0, worker.started_unix_ms):
            return is_first
        if not is_first:
            self._log(
                "worker restarted",
                worker=worker.worker_id,
                runs=len(worker.runs),
                reported=len(report.running),
                ends=len(report.ends),
            )
            worker.begin_incarnation(report.started_unix_ms)
        worker.started_unix_ms = report.started_unix_ms
        return True

    def _drop_absent(self, worker, present, requested_at_s, now_s) -> None:
        """Drop confirmed runs that are missing from a worker's report.

        Only a report that was requested after the confirmation counts, and
        none that is cut: the run may have ended, and its end may be left out.
        """
        for run in list(worker.runs.values()):
            is_confirmed = run.phase is RunPhase.ACTIVE or (
                run.phase is RunPhase.STOPPING
            )
            if run.key in present or not is_confirmed:
                continue
            if run.confirmed_at_s and requested_at_s > run.confirmed_at_s:
                self._drop_lost_run(worker, run, now_s, "not on its worker")

    def _record_unknown_runs(
        self, worker: Worker, unknown: list[RunStatus]
    ) -> None:
        """Record which runs of unknown jobs a worker has."""
        if len(unknown) != len(worker.unknown_runs):
            self._log(
                "runs of unknown jobs",
                worker=worker.worker_id,
                count=len(unknown),
            )
        worker.unknown_runs = tuple(unknown)

    def _on_status(
        self, worker: Worker, status: RunStatus, now_s: float
    ) -> bool:
        """Apply a row of a report; return whether its task is known."""
        run = worker.runs.get((status.task, status.run))
        if run is None:
            run = self._adopt(worker, status, now_s)
        if run is None:
            return False
        run.confirm(now_s)
        run.listed_at_s = now_s
        self.mark_running(run.task.step.occurrence.job)
        if status.percent > run.percent:
            run.progressed_at_s = now_s
        run.percent = status.percent
        run.load = status.load
        if status.percent >= 100 and run.task.step.spec.long_running:
            run.task.step.failures.clear()
        if status.checkpoint:
            run.task.checkpoint = status.checkpoint
        return True

    def _adopt(
        self, worker: Worker, status: RunStatus, now_s: float
    ) -> Run | None:
        """Register a run that a report lists, but this leader does not hold.

        An earlier leader has started it, or this one has dropped it.

        :returns: the run, None if its task is unknown
        """
        job = self.jobs.get(status.task.job_id)
        task = job.task(status.task) if job else None
        if task is None:
            self.want(status.task.job_id)
            return None
        run = Run(
            task=task,
            number=status.run,
            worker_id=worker.worker_id,
            phase=RunPhase.ACTIVE,
            ordered_at_s=now_s,
            confirmed_at_s=now_s,
            progressed_at_s=now_s,
            is_sent=True,
        )
        worker.add_run(run)
        task.last_run = max(task.last_run, status.run)
        self._log(
            "run adopted",
            job=job.job_id,
            task=str(task.task_id),
            run=run.number,
            worker=worker.worker_id,
            inherited_worker=worker.is_inherited,
            other_runs=len(task.runs) - 1,
        )
        self.adjust_usage(run, 1)
        self.mark_running(job)
        return run

    def _apply_ends(
        self, worker: Worker, report: WorkerReport, now_s: float
    ) -> None:
        """Apply the ends of a report that are new, in order.

        Ends that concern no task of this leader need no write. They are
        acknowledged like the others, since they would otherwise take up the
        worker's list of ends, and it would answer each request at once. Only
        the ends of jobs that a later leader may know are withheld.
        """
        ends: dict[int, RunEnd | None] = dict.fromkeys(report.unnamed_ends)
        ends |= {end.sequence: end for end in report.ends}
        for sequence, end in sorted(ends.items()):
            if sequence <= worker.seen_sequence:
                continue
            worker.seen_sequence = sequence
            ack = self._on_end(worker, end, now_s) if end else None
            worker.pending_acks.append(ack or PendingAck(sequence))
        worker.advance_acks()

    def apply_withheld(self, job_id: str, now_s: float) -> None:
        """Apply what workers told of a job before it was read.

        A run that has ended since is missing in the next report.
        """
        for worker in self.workers.values():
            for index, ack in enumerate(worker.pending_acks):
                if ack.end is not None and ack.end.task.job_id == job_id:
                    worker.pending_acks[index] = self._on_end(
                        worker, ack.end, now_s
                    )
            unknown = [
                status
                for status in worker.unknown_runs
                if status.task.job_id != job_id
                or not self._on_status(worker, status, now_s)
            ]
            self._record_unknown_runs(worker, unknown)

    def _on_end(self, worker: Worker, end: RunEnd, now_s: float) -> PendingAck:
        """Apply an end; return what has to be persisted."""
        job = self.jobs.get(end.task.job_id)
        task = job.task(end.task) if job else None
        if task is None:
            return self.on_unknown_end(worker, end)
        run = worker.runs.get((end.task, end.run))
        if run is not None:
            worker.drop_run(run)
            self.adjust_usage(run, -1)
        task.last_run = max(task.last_run, end.run)
        is_fault = end.kind is EndKind.FAILED
        if is_fault or end.kind is EndKind.DONE:
            self._record_outcome(worker, task.step, is_fault, now_s)
        if not job.phase.is_final:
            self.mark_running(job)
            self._apply_end(worker, job, task, run, end, now_s)
            change = self.mark_dirty(job)
        else:
            change = job.change
        return PendingAck(end.sequence, job, change)

    def _record_outcome(
        self, worker: Worker, step: Step, is_fault: bool, now_s: float
    ) -> None:
        """Attribute the outcome of a run to its worker or to its step.

        The tasks of a step that fails on every worker would otherwise
        quarantine all of them.
        """
        failures = step.failures
        if not is_fault:
            failures.clear()
        elif self.blames_steps:
            failures.record(worker.worker_id, now_s)
        if step.fails_everywhere:
            for worker_id in failures.workers:
                known = self.workers.get(worker_id)
                if known is not None and known.forgive(step, now_s):
                    self._log("worker out of quarantine", worker=worker_id)
            return
        if worker.record_run_outcome(now_s, is_fault, step):
            self._log("worker quarantined", worker=worker.worker_id)

    def _apply_end(self, worker, job, task, run, end: RunEnd, now_s) -> None:
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if end.kind is EndKind.DONE and not task.step.spec.long_running:
            if run is not None:
                took_s = now_s - run.ordered_at_s
                task.step.longest_run_s = max(task.step.longest_run_s, took_s)
                self.durations.observe(job.submission.queue, took_s * 1000)
            job.mark_done(task)
            if task.step.is_done:
                task.step.done_at_s = now_s
            self.complete_if_done(job)
        elif end.kind is EndKind.FAILED:
            task.failed_workers.add(run.worker_id if run else "")
            if not task.step.spec.long_running:
                task.failed_runs.add(end.run)
                if task.failures >= self.queue_of(job).max_failures:
                    self.finish(job, Phase.FAILED)
        self._log(
            "run ended",
            job=job.job_id,
            task=str(end.task),
            run=end.run,
            worker=worker.worker_id,
            known=run is not None,
            how=end.kind.value,
            phase=job.phase.value,
        )
