"""Promises, checked from what callers and workers saw."""

from collections.abc import Iterable

import attrs

from soak.history import History
from soak.history import JobHistory
from standins.fleet import Emulator
from standins.fleet.ledger import RunEntry

__all__ = ["Checker", "WORKER_MILLICORES"]

# Bounds of the users' platform: ``cancel_ms`` and ``attempts``; the emulated
# workers carry orders out up to 2 s late.
CANCEL_S = 3.0
LATE_ORDER_S = 2.0
MAX_FAILURES = 3
# Excess over a cap that the platform allows (``quota-overage``), in addition
# to one task.
CAP_OVERAGE = 0.1
WORKER_MILLICORES = 8000
# A worker that is told of an end may start a run ordered just before.
NOTED_S = 1.0


@attrs.frozen
class _Usage:
    """Something that started or ended.

    :ivar order: ends go before starts of the same moment
    """

    at_s: float
    order: int
    owner: str
    millicores: int


class Checker:
    """Finds broken promises.

    :param caps: most millicores that a team may have running
    """

    def __init__(
        self, emulator: Emulator, history: History, caps: dict[str, int]
    ) -> None:
        self._emulator = emulator
        self._history = history
        self._caps = caps

    def violations(self) -> list[str]:
        """Return what has been broken so far."""
        entries = self._emulator.ledger.snapshot()
        return [
            *self._history.wrong_answers,
            *self._check_origin(entries),
            *self._check_once(entries),
            *self._check_cancelled(entries),
            *self._check_failed(entries),
            *self._check_rooms(entries),
            *self._check_orders(),
        ]

    def unfinished(self) -> list[str]:
        """Return accepted work that has not come to its end yet."""
        entries = self._emulator.ledger.snapshot()
        used_up = self._used_up(entries)
        done = {e.task for e in entries if e.how == "done"}
        running = {e.task for e in entries if e.ended_at_s is None}
        found = []
        for job in self._history.jobs():
            if job.accepted_at_s is None or job.job_id in used_up:
                continue
            tasks = {f"{job.job_id}.0.0.{n}" for n in range(job.task_count)}
            if job.cancel_sent_at_s is not None:
                left = tasks & running if job.cancelled_at_s else set()
                found += [f"{task}: runs after cancellation" for task in left]
                continue
            wanted = running if job.is_lasting else done
            found += [f"{task}: not served" for task in tasks - wanted]
        return found

    def _job_of(self, entry: RunEntry) -> JobHistory | None:
        return self._history.find(entry.task.partition(".")[0])

    def _check_origin(self, entries: Iterable[RunEntry]) -> list[str]:
        found = []
        for entry in entries:
            job = self._job_of(entry)
            if job is None or job.spec != entry.spec:
                found.append(f"{entry.task}: started but never submitted")
            elif job.is_refused:
                found.append(f"{entry.task}: started but refused")
        return found

    def _check_once(self, entries: list[RunEntry]) -> list[str]:
        by_task: dict[str, list[RunEntry]] = {}
        for entry in entries:
            by_task.setdefault(entry.task, []).append(entry)
        found = [
            f"{first.task}: runs {first.run} and {second.run} overlap"
            for first, second in self._emulator.ledger.overlaps()
        ]
        for task, runs in by_task.items():
            noted_s = min(
                (
                    e.noted_at_s
                    for e in runs
                    if e.how == "done" and e.noted_at_s
                ),
                default=None,
            )
            last_s = max(e.started_at_s for e in runs)
            if noted_s is not None and last_s > noted_s + NOTED_S:
                found.append(f"{task}: started after its end was noted")
            failures = [e for e in runs if e.how == "failed" and e.noted_at_s]
            job = self._job_of(runs[0])
            if len(failures) > MAX_FAILURES and not (job and job.is_lasting):
                found.append(f"{task}: {len(failures)} failed runs")
        return found

    def _check_cancelled(self, entries: Iterable[RunEntry]) -> list[str]:
        found = []
        for entry in entries:
            job = self._job_of(entry)
            if job is None or job.cancelled_at_s is None:
                continue
            late_s = entry.started_at_s - job.cancelled_at_s
            if late_s > CANCEL_S + LATE_ORDER_S:
                found.append(f"{entry.task}: started {late_s:.1f} s too late")
        return found

    @staticmethod
    def _used_up(entries: Iterable[RunEntry]) -> set[str]:
        """Return jobs with a task that failed as often as its queue allows.

        Runs fail by their own fault or by their worker's.
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
        used_up = self._used_up(entries)
        return [
            f"{job.job_id}: failed without cause"
            for job in self._history.jobs()
            if job.is_failed and job.job_id not in used_up
        ]

    def _check_rooms(self, entries: Iterable[RunEntry]) -> list[str]:
        by_worker: list[_Usage] = []
        by_team: list[_Usage] = []
        largest = 0
        for entry in entries:
            job = self._job_of(entry)
            if job is None:
                continue
            largest = max(largest, job.cpu_millicores)
            for usages, owner in (
                (by_worker, entry.worker),
                (by_team, job.team),
            ):
                size = job.cpu_millicores
                usages.append(_Usage(entry.started_at_s, 1, owner, size))
                if entry.ended_at_s is not None:
                    usages.append(_Usage(entry.ended_at_s, 0, owner, -size))
        limits = {
            team: cap * (1 + CAP_OVERAGE) + largest
            for team, cap in self._caps.items()
        }
        return [
            *_exceeded(by_worker, {}, WORKER_MILLICORES),
            *_exceeded(by_team, limits, None),
        ]

    def _check_orders(self) -> list[str]:
        """Orders for one VM must not go back to an earlier leader."""
        newest: dict[str, int] = {}
        found = []
        for vm, what, holder, fence in list(self._emulator.orders):
            if fence < newest.get(vm, 0):
                found.append(f"{vm}: {what} by {holder} with an old fence")
            newest[vm] = max(fence, newest.get(vm, 0))
        return found


def _exceeded(
    usages: list[_Usage], limits: dict[str, float], default: float | None
) -> list[str]:
    used: dict[str, int] = {}
    found = {}
    for usage in sorted(usages, key=lambda u: (u.at_s, u.order)):
        total = used.get(usage.owner, 0) + usage.millicores
        used[usage.owner] = total
        limit = limits.get(usage.owner, default)
        if limit is not None and total > limit:
            found[usage.owner] = f"{usage.owner}: {total} of {limit} in use"
    return list(found.values())
