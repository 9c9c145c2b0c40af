"""Registry of workers: which are listed, may have runs or have ended."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from rosemarynotch._internal.scheduling.jobs import Job
from rosemarynotch._internal.scheduling.jobs import Run
from rosemarynotch._internal.scheduling.model import Resources
from rosemarynotch._internal.scheduling.ports import WorkerEntry
from rosemarynotch._internal.scheduling.run_registry import RunRegistry
from rosemarynotch._internal.scheduling.workers import SLOW_CLOCK_FACTOR
from rosemarynotch._internal.scheduling.workers import Worker

__all__ = ["MIN_EVACUATION_S", "WorkerRegistry"]

# Added to the calculated end of a lease to allow for clock inaccuracy.
LEASE_MARGIN_S = 0.3
# Workers may be slower for this long after the end of an evacuation. One that
# was shorter than MIN_EVACUATION_S changes nothing that lasts: no worker
# counts as cold, and no serving task is moved.
COLD_S = 4.0
MIN_EVACUATION_S = 1.0
# Entries of workers that have ended are listed for at most three heartbeat
# intervals, some seconds in all.
LIST_LAG_S = 10.0
# Workers that are up send their first report within a few milliseconds.
FIRST_REPORT_S = 0.6


class WorkerRegistry(RunRegistry):
    """Adds and removes workers, and tells which may have unknown runs.

    :param term: number of this leader's term; run numbers of later terms are
        higher
    :param started_revision: store revision at which the term started; jobs
        created after it cannot have been started by an earlier leader
    :param longest_lease_s: longest lease that an earlier leader may have
        granted
    :param log: called with the name of an event and its fields
    :ivar unknown_until_s: until when any worker may have runs of earlier
        leaders, also one that the roster does not name; 0 if none may
    :ivar largest_earlier_capacity: at least what each worker of the roster
        had when it was written, None if it is not known
    :ivar evacuated_at_s: data centres that are being evacuated, and since when
        this leader knows of it
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
        self.unknown_until_s = 0.0
        self.largest_earlier_capacity: Resources | None = None
        self.evacuated_at_s: dict[str, float] = {}
        # Start time and time of removal of replaced workers, by identifier.
        self._removed_workers: dict[str, tuple[int, float]] = {}

    def assume_unknown_runs(self, now_s: float) -> None:
        """Assume until the longest lease is over that any worker has runs."""
        longest_s = self._longest_lease_s / SLOW_CLOCK_FACTOR
        self.unknown_until_s = now_s + longest_s + LEASE_MARGIN_S

    def set_workers(
        self,
        entries: Iterable[WorkerEntry],
        now_s: float,
        are_inherited: bool = False,
        lease_ends_s: Mapping[str, float] | None = None,
    ) -> list[Worker]:
        """Update the workers from a list of entries; return the new ones.

        :param entries: the platform's list, or the roster of earlier leaders
        :param are_inherited: whether earlier leaders may have started runs on
            the new workers
        :param lease_ends_s: when the leases of earlier leaders end, by
            worker; workers that it lacks have none. None if it is not known
        """
        listed = {entry.worker_id: entry for entry in entries}
        added = []
        for worker_id, entry in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                if self._is_outdated(entry, now_s):
                    continue
                worker = Worker(
                    entry=entry,
                    known_since_s=now_s,
                    is_inherited=are_inherited or now_s < self.unknown_until_s,
                    started_unix_ms=entry.started_unix_ms,
                    pools={entry.pool},
                )
                if lease_ends_s is not None:
                    end_s = lease_ends_s.get(worker_id, 0.0)
                    worker.earlier_lease_end_s = end_s
                self.workers[worker_id] = worker
                added.append(worker)
                if worker_id in self._removed_workers:
                    self._log(
                        "worker added again",
                        worker=worker_id,
                        pool=entry.pool,
                        draining=entry.is_draining,
                    )
            elif entry != worker.entry:
                if entry.is_draining and not worker.entry.is_draining:
                    self._log("worker draining", worker=worker_id)
                if (
                    entry.roster_row != worker.entry.roster_row
                    or entry.capacity != worker.entry.capacity
                ):
                    worker.is_enrolled = False
                if entry.address != worker.entry.address:
                    # Another worker at the former address shows nothing.
                    worker.is_replaced = False
                # An entry with a later start time tells that the worker may
                # have restarted. What it runs now is told by its report.
                worker.entry = entry
                worker.pools.add(entry.pool)
            worker.is_listed = True
            worker.is_evacuated = self._is_in_evacuation(worker)
        for worker_id, worker in self.workers.items():
            if worker_id not in listed and worker.is_listed:
                worker.is_listed = False
                self._log("worker unlisted", worker=worker_id)
        if added:
            self._log(
                "workers added", count=len(added), inherited=are_inherited
            )
        return added

    def set_evacuated(self, names: frozenset[str], now_s: float) -> None:
        """Update the data centres that are being evacuated.

        Only new runs depend on it. Those that exist are freed as ever.
        """
        ended = {
            name: since_s
            for name, since_s in self.evacuated_at_s.items()
            if name not in names
        }
        begun = names - set(self.evacuated_at_s)
        for name in ended:
            del self.evacuated_at_s[name]
        self.evacuated_at_s |= dict.fromkeys(begun, now_s)
        for worker in self.workers.values():
            since_s = ended.get(worker.entry.data_centre)
            if since_s is not None and now_s - since_s >= MIN_EVACUATION_S:
                worker.cold_until_s = now_s + COLD_S
            worker.is_evacuated = self._is_in_evacuation(worker)
        for name in sorted(begun):
            self._log("evacuation in force", **self._describe(name))
        for name in sorted(ended):
            self._log("evacuation ended", **self._describe(name))

    def workers_in_service(self) -> list[WorkerEntry]:
        """Return the entries of workers outside evacuated data centres."""
        return [
            worker.entry
            for worker in self.workers.values()
            if worker.is_listed and not worker.is_evacuated
        ]

    def _describe(self, data_centre: str) -> dict:
        workers = [
            worker
            for worker in self.workers.values()
            if worker.entry.data_centre == data_centre
        ]
        runs = sum(len(worker.runs) for worker in workers)
        return {
            "data_centre": data_centre,
            "workers": len(workers),
            "runs": runs,
        }

    def _is_in_evacuation(self, worker: Worker) -> bool:
        """Tell whether the data centre of a worker is being evacuated.

        The roster does not name the data centres of its workers. Until it is
        listed, such a worker may be in any of them.
        """
        entry = worker.entry
        is_located = entry.data_centre or entry.started_unix_ms
        if not is_located and self.evacuated_at_s:
            return True
        return entry.data_centre in self.evacuated_at_s

    def _is_outdated(self, entry: WorkerEntry, now_s: float) -> bool:
        """Tell whether an entry is that of a worker that was replaced.

        The list lags behind moves and maintenance. A worker that is listed
        long after its removal lives on.
        """
        started_unix_ms, removed_at_s = self._removed_workers.get(
            entry.worker_id, (-1, 0.0)
        )
        return (
            entry.started_unix_ms <= started_unix_ms
            and now_s - removed_at_s < LIST_LAG_S
        )

    def expire_workers(self, now_s: float) -> list[str]:
        """Drop the runs of workers whose leases have expired.

        Workers that are replaced or no longer listed are removed then. One
        that is replaced is removed at once if it is known to have no runs, and
        no ends that only it knows of. Others wait for the end of their leases,
        as what showed the replacement may be older than the present address
        or VM of the worker.

        :returns: identifiers of the removed workers
        """
        removed = []
        for worker_id, worker in list(self.workers.items()):
            is_unused = worker.is_replaced and (
                worker.is_empty or not worker.may_have_been_used
            )
            if not is_unused and now_s < self._lease_expiry_s(worker):
                continue
            is_ending = worker.is_replaced or not worker.is_listed
            if is_ending:
                self._log_removal(worker, now_s)
            if worker.lease_until_ms or is_ending:
                for run in list(worker.runs.values()):
                    self._drop_lost_run(worker, run, now_s, "lease lapsed")
                worker.lease_until_ms = 0
                worker.has_reported = False
            if is_ending:
                del self.workers[worker_id]
                if worker.is_replaced:
                    started_unix_ms = max(
                        worker.started_unix_ms, worker.entry.started_unix_ms
                    )
                    self._removed_workers[worker_id] = started_unix_ms, now_s
                removed.append(worker_id)
        return removed

    def _log_removal(self, worker: Worker, now_s: float) -> None:
        """Log why a worker is removed, and what may be left of it."""
        silent_s = now_s - (worker.clock_received_at_s or worker.known_since_s)
        lease_left_s = self._lease_expiry_s(worker) - now_s
        self._log(
            "worker gone",
            worker=worker.worker_id,
            pool=worker.entry.pool,
            why=worker.replaced_why or "not listed and lease lapsed",
            inherited=worker.is_inherited,
            heard=worker.clock_received_at_s > 0,
            listed=worker.is_listed,
            draining=worker.entry.is_draining,
            runs=len(worker.runs),
            silent_s=round(silent_s, 3),
            lease_left_s=round(max(0.0, lease_left_s), 3),
        )

    def lease_ends_s(self, now_s: float) -> dict[str, float]:
        """Return when all leases on each worker end.

        Workers that this leader has removed are left out: their leases are
        over, or they had no runs.

        :param now_s: time after which this leader grants no lease
        """
        longest_s = self._longest_lease_s / SLOW_CLOCK_FACTOR
        return {
            worker.worker_id: (
                # Its link grants leases before the first report is applied.
                now_s + longest_s
                if worker.granted_until_ms and not worker.clock_received_at_s
                else worker.lease_bound_s(self._longest_lease_s)
            )
            for worker in self.workers.values()
        }

    def pool_millicores(self, pool: str) -> int:
        """Return the processors of the workers of a pool."""
        return sum(
            worker.entry.capacity.cpu_millicores
            for worker in self.workers.values()
            if worker.entry.pool == pool
        )

    def belongs_in_roster(self, worker: Worker, now_s: float) -> bool:
        """Return whether the roster has to name a worker.

        One that has not reported for some time, or whose leases have ended,
        has no runs and gets none. If the roster named it, the next leader
        would wait for a lease that nobody has granted. New workers are named
        for a short time, so that their first run need not wait for a write.
        """
        return (
            worker.may_hold_lease
            or now_s - worker.known_since_s < FIRST_REPORT_S
            or (worker.is_inherited and now_s < self._lease_expiry_s(worker))
        )

    def enrol_workers(self, now_s: float) -> list[Worker]:
        """Return the workers that the roster has to name from now on.

        The others get no runs from now on: the next leader may not know them.
        """
        workers = []
        for worker in self.workers.values():
            if self.belongs_in_roster(worker, now_s):
                workers.append(worker)
            else:
                worker.is_enrolled = False
        return workers

    def _lease_expiry_s(self, worker: Worker) -> float:
        return worker.lease_bound_s(self._longest_lease_s) + LEASE_MARGIN_S

    def pools_with_unknown_runs(self, now_s: float) -> set[str]:
        """Return pools that may contain unreported runs of earlier leaders.

        These are the pools of inherited workers whose leases may still be
        valid and that have not sent a report in this term, or none that was
        not cut. A worker is added to the roster before its first run, so
        workers that are not in the roster read by this leader have no runs of
        earlier leaders, unless the roster does not name all of them.
        """
        return {
            pool
            for worker in self._unheard_workers(now_s)
            for pool in worker.pools
        }

    def unheard_capacity(self, now_s: float) -> Resources | None:
        """Return how much unreported runs of earlier leaders can use.

        :returns: None if it is not known
        """
        if now_s < self.unknown_until_s:
            return None
        total = Resources()
        for worker in self._unheard_workers(now_s):
            capacity = worker.entry.capacity
            if capacity == Resources():
                # The platform has not listed it in this term.
                if self.largest_earlier_capacity is None:
                    return None
                capacity = self.largest_earlier_capacity
            total = total.plus(capacity)
        return total

    def largest_capacity(self) -> Resources | None:
        """Return at least what each worker has, None if it is not known."""
        largest = Resources()
        for worker in self.workers.values():
            capacity = worker.entry.capacity
            if capacity == Resources():
                if self.largest_earlier_capacity is None:
                    return None
                capacity = self.largest_earlier_capacity
            largest = largest.at_least(capacity)
        return largest

    def _unheard_workers(self, now_s: float) -> list[Worker]:
        return [
            worker
            for worker in self.workers.values()
            if worker.may_have_unknown_runs
            and now_s < self._lease_expiry_s(worker)
        ]

    def jobs_with_unknown_runs(
        self, uncertain_pools: set[str], now_s: float
    ) -> dict[str, Job]:
        """Return active jobs that earlier leaders may have started, by id.

        :param uncertain_pools: pools with unreported runs of earlier leaders
        """
        are_all = now_s < self.unknown_until_s
        if not (are_all or uncertain_pools):
            return {}
        return {
            job.job_id: job
            for job in self.active.values()
            if job.is_inherited
            and (are_all or not uncertain_pools.isdisjoint(job.pools))
        }

    def _drop_lost_run(self, worker, run: Run, now_s: float, why: str) -> None:
        worker.drop_run(run)
        self.adjust_usage(run, -1)
        run.task.step.occurrence.job.lost_runs += 1
        self._log(
            "run lost",
            job=run.task.task_id.job_id,
            task=str(run.task.task_id),
            run=run.number,
            worker=worker.worker_id,
            why=why,
        )
