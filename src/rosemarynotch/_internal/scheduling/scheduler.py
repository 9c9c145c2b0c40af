"""Workers, their runs, and what their reports change; no input or output."""

from collections.abc import Callable
from collections.abc import Iterable

from rosemarynotch._internal.scheduling.durations import DurationEstimator
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.jobs import RunPhase
from rosemarynotch._internal.scheduling.order_book import OrderBook
from rosemarynotch._internal.scheduling.ports import EndKind
from rosemarynotch._internal.scheduling.ports import RunEnd
from rosemarynotch._internal.scheduling.ports import RunStatus
from rosemarynotch._internal.scheduling.ports import VmListing
from rosemarynotch._internal.scheduling.ports import VmPhase
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.ports import WorkerReport
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.workers import PendingAck
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["Scheduler"]

# Added to the calculated end of a lease for the accuracy of clocks.
LEASE_MARGIN_S = 0.3


class Scheduler(OrderBook):
    """What the leader knows. One thread uses it at a time.

    :param term: counts the leaders; run numbers of later leaders are higher
    :param started_revision: jobs created later were never started before
    :param longest_lease_s: longest lease that an earlier leader may have
        given
    :param log: receives the name of an event and its fields
    """

    def __init__(
        self,
        term: int,
        started_revision: int,
        longest_lease_s: float,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        super().__init__(term, started_revision, log)
        self._longest_lease_s = longest_lease_s
        self.durations = DurationEstimator()
        # Processors of all VMs, also of those that are off.
        self.fleet_millicores = 0
        self._ended: dict[str, int] = {}

    # Workers.

    def advance_acks(self) -> None:
        """Acknowledge what has been written."""
        for worker in self.workers.values():
            worker.advance_acks()

    def set_workers(
        self,
        entries: Iterable[WorkerEntry],
        now_s: float,
        are_inherited: bool = False,
    ) -> list[Worker]:
        """Take the platform's list into account; return new workers.

        :param are_inherited: earlier leaders may have started runs on them
        """
        listed = {entry.worker_id: entry for entry in entries}
        added = []
        for worker_id, entry in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                if entry.started_unix_ms <= self._ended.get(worker_id, -1):
                    # The list lags behind a move or a maintenance.
                    continue
                worker = Worker(
                    entry=entry,
                    known_since_s=now_s,
                    is_inherited=are_inherited,
                    started_unix_ms=entry.started_unix_ms,
                )
                self.workers[worker_id] = worker
                added.append(worker)
            elif entry != worker.entry:
                if entry.is_draining and not worker.entry.is_draining:
                    self._log("worker draining", worker=worker_id)
                self._note_start(worker, entry.started_unix_ms, now_s)
                worker.entry = entry
            worker.is_listed = True
        for worker_id, worker in self.workers.items():
            if worker_id not in listed and worker.is_listed:
                worker.is_listed = False
                self._log("worker unlisted", worker=worker_id)
        return added

    def expire_workers(self, now_s: float) -> list[str]:
        """Drop the runs of workers whose leases have lapsed.

        :returns: workers that are gone for good
        """
        gone = []
        for worker_id, worker in list(self.workers.items()):
            if not worker.is_replaced and now_s < self._gone_at_s(worker):
                continue
            is_ending = worker.is_replaced or not worker.is_listed
            if worker.lease_until_ms or is_ending:
                for run in list(worker.runs.values()):
                    self._lose(worker, run, now_s, "lease lapsed")
                worker.lease_until_ms = 0
                worker.is_learnt = False
            if is_ending:
                del self.workers[worker_id]
                if worker.is_replaced:
                    self._ended[worker_id] = worker.started_unix_ms
                gone.append(worker_id)
                self._log("worker gone", worker=worker_id)
        return gone

    def _gone_at_s(self, worker: Worker) -> float:
        return worker.lease_bound_s(self._longest_lease_s) + LEASE_MARGIN_S

    def pools_with_unknown_runs(self, now_s: float) -> set[str]:
        """Return pools in which runs of an earlier leader may be hidden.

        A worker is enrolled in the roster before its first run, so workers
        outside of the roster that this leader found hide nothing.
        """
        return {
            worker.entry.pool
            for worker in self.workers.values()
            if worker.is_inherited
            and not worker.clock_received_at_s
            and not worker.is_replaced
            and now_s < self._gone_at_s(worker)
        }

    def mark_replaced_workers(self, listing: VmListing) -> None:
        """Drop inherited workers whose VMs have other lives by now.

        The roster also names workers whose VMs an earlier leader moved in
        its last moments. Waiting for their leases kept the inherited jobs of
        a pool from starting for 5 s. A VM that is down and names no worker,
        or whose row cannot be read, may have any of them.

        :param listing: asked for in this term
        """
        living = {vm.worker_id for vm in listing.vms}
        is_telling = listing.is_complete and not any(
            vm.phase is VmPhase.DOWN and not vm.worker_id for vm in listing.vms
        )
        if not listing.vms or not is_telling:
            return
        for worker in self.workers.values():
            if (
                worker.is_inherited
                and not worker.clock_received_at_s
                and worker.worker_id not in living
            ):
                worker.is_replaced = True

    def on_report(
        self,
        worker: Worker,
        report: WorkerReport,
        asked_at_s: float,
        received_at_s: float,
    ) -> None:
        """Take a report into account."""
        born = report.started_unix_ms
        if born and born < worker.started_unix_ms:
            return
        self._note_start(worker, born, received_at_s)
        worker.note_report(report, asked_at_s, received_at_s)
        worker.is_learnt = True
        for end in report.ends:
            if end.sequence > worker.seen_sequence:
                worker.seen_sequence = end.sequence
                self._on_end(worker, end, received_at_s)
        present = set()
        for status in report.running:
            present.add((status.task, status.run))
            self._on_status(worker, status, received_at_s)
        if not report.refused:
            self._drop_absent(worker, present, asked_at_s, received_at_s)
        elif report.refused != worker.refused:
            self._log(
                "report rows refused",
                worker=worker.worker_id,
                count=len(report.refused),
                why=report.refused[0],
            )
        worker.refused = report.refused

    def _note_start(self, worker, started_unix_ms: int, now_s: float) -> None:
        """Release the runs of a worker that has started again."""
        if started_unix_ms <= worker.started_unix_ms:
            return
        if worker.started_unix_ms:
            lost = worker.restart(started_unix_ms)
            for run in lost:
                self._release(run, now_s)
            self._log(
                "worker restarted", worker=worker.worker_id, lost=len(lost)
            )
        worker.started_unix_ms = started_unix_ms

    def _drop_absent(self, worker, present, asked_at_s, now_s) -> None:
        """Release runs that the worker should have named but did not."""
        for run in list(worker.runs.values()):
            is_confirmed = run.phase is RunPhase.ACTIVE or (
                run.phase is RunPhase.STOPPING
            )
            if run.key in present or not is_confirmed:
                continue
            if run.confirmed_at_s and asked_at_s > run.confirmed_at_s:
                self._lose(worker, run, now_s, "not on its worker")

    def _on_status(
        self, worker: Worker, status: RunStatus, now_s: float
    ) -> None:
        run = worker.runs.get((status.task, status.run))
        if run is None:
            run = self._adopt(worker, status, now_s)
        if run is None:
            return
        if run.phase in (RunPhase.ORDERED, RunPhase.UNCONFIRMED):
            run.phase = RunPhase.ACTIVE
            run.confirmed_at_s = now_s
        self.note_begun(run.task.step.occurrence.job)
        if status.percent > run.percent or not run.progressed_at_s:
            run.progressed_at_s = now_s
        run.percent = status.percent
        run.load = status.load
        if status.checkpoint:
            run.task.checkpoint = status.checkpoint

    def _adopt(
        self, worker: Worker, status: RunStatus, now_s: float
    ) -> Run | None:
        """Count a run that an earlier leader has started."""
        job = self.jobs.get(status.task.job_id)
        task = job.task(status.task) if job else None
        if task is None:
            return None
        run = Run(
            task=task,
            number=status.run,
            worker_id=worker.worker_id,
            phase=RunPhase.ACTIVE,
            ordered_at_s=now_s,
            confirmed_at_s=now_s,
            progressed_at_s=now_s,
        )
        worker.add_run(run)
        task.last_run = max(task.last_run, status.run)
        self.count(run, 1)
        self.note_begun(job)
        return run

    def _on_end(self, worker: Worker, end: RunEnd, now_s: float) -> None:
        job = self.jobs.get(end.task.job_id)
        task = job.task(end.task) if job else None
        if task is None:
            self._log("end of unknown task", task=str(end.task))
            return
        run = worker.runs.get((end.task, end.run))
        if run is not None:
            worker.drop_run(run)
            self.count(run, -1)
        task.last_run = max(task.last_run, end.run)
        is_fault = end.kind is EndKind.FAILED
        if is_fault or end.kind is EndKind.DONE:
            if worker.record_run_outcome(now_s, is_fault):
                self._log("worker quarantined", worker=worker.worker_id)
        if not job.phase.is_final:
            self.note_begun(job)
            self._apply_end(job, task, run, end, now_s)
            change = self.touch(job)
        else:
            change = job.change
        worker.pending_acks.append(PendingAck(end.sequence, job, change))

    def _apply_end(self, job, task, run, end: RunEnd, now_s) -> None:
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        task.waiting_since_s = now_s
        if end.kind is EndKind.DONE and not task.step.spec.long_running:
            if run is not None:
                took_ms = (now_s - run.ordered_at_s) * 1000
                self.durations.observe(job.submission.queue, took_ms)
            job.mark_done(task)
            self.complete_if_done(job)
        elif end.kind is EndKind.FAILED:
            task.failed_runs.add(end.run)
            task.failed_workers.add(run.worker_id if run else "")
            most = self.queue_of(job).max_failures
            if task.failures >= most and not task.step.spec.long_running:
                self.finish(job, Phase.FAILED)
        self._log(
            "run ended",
            job=job.job_id,
            task=str(end.task),
            run=end.run,
            how=end.kind.value,
            phase=job.phase.value,
        )

    def _lose(self, worker, run: Run, now_s: float, why: str) -> None:
        worker.drop_run(run)
        self._release(run, now_s)
        self._log(
            "run lost",
            job=run.task.task_id.job_id,
            task=str(run.task.task_id),
            run=run.number,
            worker=worker.worker_id,
            why=why,
        )
