"""Checks of the guarantees against the records of callers and workers."""

from collections.abc import Iterable

import attrs

from soak.history import History
from soak.history import JobHistory
from standins.fleet import Emulator
from standins.fleet.ledger import RunEntry

__all__ = ["Checker", "EVACUATE_MS", "WORKER_MILLICORES"]

# Bounds of the users' platform: ``cancel_ms`` and ``attempts``. The emulated
# workers execute orders up to 2 s late.
CANCELLATION_TIMEOUT_S = 3.0
MAX_ORDER_DELAY_S = 2.0
MAX_FAILURES = 3
# Setting ``evacuate-ms`` of the nodes. It is shorter than on the platform, as
# most faults of the soak last for less than its 5 s.
EVACUATE_MS = 1500
# Share of a cap by which the platform lets usage exceed it
# (``quota-overage``), in addition to one task.
CAP_OVERAGE = 0.1
WORKER_MILLICORES = 8000
# ``early_ms``, and 5 s more where clocks jump.
MAX_EARLY_S = 5.25
# After the end of a task is acknowledged, a worker may still start a run that
# was ordered just before.
ACK_GRACE_S = 1.0


@attrs.frozen
class _UsageChange:
    """Change in the usage of a worker or team at the start or end of a run.

    :ivar order: sorts ends before starts at the same time
    """

    at_s: float
    order: int
    owner: str
    millicores: int


class Checker:
    """Finds violations of the guarantees.

    :param caps: caps by team, in millicores of running tasks
    """

    def __init__(
        self, emulator: Emulator, history: History, caps: dict[str, int]
    ) -> None:
        self._emulator = emulator
        self._history = history
        self._caps = caps

    def violations(self) -> list[str]:
        """Return the violations so far."""
        entries = self._emulator.ledger.snapshot()
        return [
            *self._history.wrong_answers,
            *self._check_submitted(entries),
            *self._check_due(entries),
            *self._check_single_execution(entries),
            *self._check_cancelled(entries),
            *self._check_evacuated(entries),
            *self._check_failed(entries),
            *self._check_capacity(entries),
            *self._check_orders(),
        ]

    def unfinished(self) -> list[str]:
        """Return accepted jobs that have not reached their expected state.

        The tasks of a job must be done, those of a long-running job running
        and those of a cancelled job stopped. Jobs with a task that used up
        its attempts are left out, and those of a team with half of its cap in
        use: the platform then asks for no further starts.
        """
        entries = self._emulator.ledger.snapshot()
        exhausted = self._exhausted_jobs(entries)
        done = {e.task for e in entries if e.how == "done"}
        running = {e.task for e in entries if e.ended_at_s is None}
        busy_teams = self._teams_near_caps(entries)
        found = []
        for job in self._history.jobs():
            if job.accepted_at_s is None or job.job_id in exhausted:
                continue
            tasks = job.tasks
            if job.cancel_sent_at_s is not None:
                still_running = (
                    tasks & running if job.cancelled_at_s else set()
                )
                found += [
                    f"{task}: runs after cancellation"
                    for task in still_running
                ]
                continue
            expected = running if job.is_long_running else done
            if job.team in busy_teams:
                continue
            found += [f"{task}: not served" for task in tasks - expected]
        return found

    def _teams_near_caps(self, entries: list[RunEntry]) -> set[str]:
        """Return the teams that have half of their cap in use."""
        used: dict[str, int] = {}
        for entry in entries:
            job = self._job_of(entry)
            if entry.ended_at_s is None and job is not None:
                used[job.team] = used.get(job.team, 0) + job.cpu_millicores
        return {
            team
            for team, cap in self._caps.items()
            if used.get(team, 0) >= cap / 2
        }

    def _job_of(self, entry: RunEntry) -> JobHistory | None:
        return self._history.find(entry.task.partition(".")[0])

    def _check_submitted(self, entries: Iterable[RunEntry]) -> list[str]:
        found = []
        for entry in entries:
            job = self._job_of(entry)
            if job is None or job.spec != entry.spec:
                found.append(f"{entry.task}: started but never submitted")
            elif job.is_refused:
                found.append(f"{entry.task}: started but refused")
        return found

    def _check_due(self, entries: Iterable[RunEntry]) -> list[str]:
        """Find starts of occurrences before their time.

        The clocks of nodes are set by the soak.
        """
        found = []
        for entry in entries:
            job = self._job_of(entry)
            if job is None or not job.repeat_count:
                continue
            occurrence = int(entry.task.split(".")[1])
            due_at_s = job.due_at_s + occurrence * job.interval_s
            if entry.started_at_s < due_at_s - MAX_EARLY_S:
                early_s = due_at_s - entry.started_at_s
                found.append(f"{entry.task}: started {early_s:.1f} s early")
        return found

    def _check_single_execution(self, entries: list[RunEntry]) -> list[str]:
        by_task: dict[str, list[RunEntry]] = {}
        for entry in entries:
            by_task.setdefault(entry.task, []).append(entry)
        found = [
            f"{first.task}: runs {first.run} and {second.run} overlap"
            for first, second in self._emulator.ledger.overlaps()
        ]
        for task, runs in by_task.items():
            found += self._check_repeated(task, runs)
            done_at_s = min(
                (
                    e.acknowledged_at_s
                    for e in runs
                    if e.how == "done" and e.acknowledged_at_s
                ),
                default=None,
            )
            last_started_at_s = max(e.started_at_s for e in runs)
            if (
                done_at_s is not None
                and last_started_at_s > done_at_s + ACK_GRACE_S
            ):
                found.append(f"{task}: started after its end was acknowledged")
            failures = [
                e for e in runs if e.how == "failed" and e.acknowledged_at_s
            ]
            job = self._job_of(runs[0])
            if len(failures) > MAX_FAILURES and not (
                job and job.is_long_running
            ):
                found.append(f"{task}: {len(failures)} failed runs")
        return found

    @staticmethod
    def _check_repeated(task: str, runs: list[RunEntry]) -> list[str]:
        """Check that no run starts after one that was done."""
        return [
            f"{task}: run {second.run} started after run {first.run} was done"
            for first in runs
            for second in runs
            if first.is_repeated_by(second)
        ]

    def _check_cancelled(self, entries: Iterable[RunEntry]) -> list[str]:
        found = []
        for entry in entries:
            job = self._job_of(entry)
            if job is None or job.cancelled_at_s is None:
                continue
            delay_s = entry.started_at_s - job.cancelled_at_s
            if delay_s > CANCELLATION_TIMEOUT_S + MAX_ORDER_DELAY_S:
                found.append(f"{entry.task}: started {delay_s:.1f} s too late")
        return found

    def _check_evacuated(self, entries: Iterable[RunEntry]) -> list[str]:
        """Find starts in a data centre that has been evacuated long enough.

        Nodes start nothing by requests that are older than the bound, so it
        is not extended while the store fails.
        """
        bound_s = EVACUATE_MS / 1000 + MAX_ORDER_DELAY_S
        return [
            f"{entry.task}: started in {each.data_centre} "
            f"{entry.started_at_s - each.acknowledged_at_s:.1f} s after the "
            "request to evacuate it"
            for each in self._emulator.evacuations
            for entry in entries
            if each.acknowledged_at_s + bound_s
            < entry.started_at_s
            < each.ended_at_s
            and self._emulator.data_centre_by_worker[entry.worker]
            == each.data_centre
        ]

    @staticmethod
    def _exhausted_jobs(entries: Iterable[RunEntry]) -> set[str]:
        """Return jobs with a task that failed as often as its queue allows.

        Failures count whether the task or its worker causes them.
        """
        counts: dict[str, int] = {}
        for entry in entries:
            if entry.how == "failed":
                counts[entry.task] = counts.get(entry.task, 0) + 1
        return {
            task.partition(".")[0]
            for task, count in counts.items()
            if count >= MAX_FAILURES
        }

    def _check_failed(self, entries: Iterable[RunEntry]) -> list[str]:
        exhausted = self._exhausted_jobs(entries)
        return [
            f"{job.job_id}: failed without cause"
            for job in self._history.jobs()
            if job.is_failed and job.job_id not in exhausted
        ]

    def _check_capacity(self, entries: Iterable[RunEntry]) -> list[str]:
        by_worker: list[_UsageChange] = []
        by_team: list[_UsageChange] = []
        largest = 0
        for entry in entries:
            job = self._job_of(entry)
            if job is None:
                continue
            largest = max(largest, job.cpu_millicores)
            for changes, owner in (
                (by_worker, entry.worker),
                (by_team, job.team),
            ):
                size = job.cpu_millicores
                changes.append(
                    _UsageChange(entry.started_at_s, 1, owner, size)
                )
                if entry.ended_at_s is not None:
                    changes.append(
                        _UsageChange(entry.ended_at_s, 0, owner, -size)
                    )
        limits = {
            team: cap * (1 + CAP_OVERAGE) + largest
            for team, cap in self._caps.items()
        }
        return [
            *_find_exceeded(by_worker, {}, WORKER_MILLICORES),
            *_find_exceeded(by_team, limits, None),
        ]

    def _check_orders(self) -> list[str]:
        """Check that the fencing tokens of the orders for a VM never decrease.

        A lower token means that an earlier leader still gives orders.
        """
        newest: dict[str, int] = {}
        found = []
        for vm, path, holder, fence in list(self._emulator.orders):
            if fence < newest.get(vm, 0):
                found.append(f"{vm}: {path} by {holder} with an old fence")
            newest[vm] = max(fence, newest.get(vm, 0))
        return found


def _find_exceeded(
    changes: list[_UsageChange],
    limits: dict[str, float],
    default: float | None,
) -> list[str]:
    """Describe the last excess of each owner whose usage passed its limit.

    :param limits: limits in millicores by owner
    :param default: limit of the other owners, None for no limit
    """
    used: dict[str, int] = {}
    found = {}
    for change in sorted(changes, key=lambda c: (c.at_s, c.order)):
        total = used.get(change.owner, 0) + change.millicores
        used[change.owner] = total
        limit = limits.get(change.owner, default)
        if limit is not None and total > limit:
            found[change.owner] = f"{change.owner}: {total} of {limit} in use"
    return list(found.values())
