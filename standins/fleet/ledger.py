"""Record of all runs on the emulated workers."""

import threading
import time

import attrs

__all__ = ["Ledger", "RunEntry"]


@attrs.define
class RunEntry:
    """A run of a task.

    :ivar spec: payload of the task
    :ivar ended_at_s: time of its end, None while it runs
    :ivar how: kind of its end, such as "done" or "killed"
    :ivar acknowledged_at_s: when its end was acknowledged, None before
    :ivar lapsed_at_s: when the lease of its worker was first over between its
        end and the acknowledgement, None if it was not
    """

    task: str
    run: int
    worker: str
    spec: str
    started_at_s: float
    ended_at_s: float | None = None
    how: str = ""
    acknowledged_at_s: float | None = None
    lapsed_at_s: float | None = None

    def is_repeated_by(self, later: "RunEntry") -> bool:
        """Return whether a start repeats this run, which was done.

        The end counts if it was acknowledged at any time. It does not count
        for starts after the lease of the worker was over, because the end was
        not known then.

        :param later: a run of the same task
        """
        if self.how != "done" or self.acknowledged_at_s is None:
            return False
        lapsed_at_s = self.lapsed_at_s
        return later.started_at_s > self.ended_at_s and (
            lapsed_at_s is None or later.started_at_s < lapsed_at_s
        )


class Ledger:
    """Thread-safe list of the runs of all workers, ordered by start."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.entries: list[RunEntry] = []

    def start(self, task: str, run: int, worker: str, spec: str) -> RunEntry:
        """Record the start of a run and return its entry."""
        entry = RunEntry(task, run, worker, spec, time.monotonic())
        with self._lock:
            self.entries.append(entry)
        return entry

    def end(self, entry: RunEntry, how: str) -> None:
        """Record the end of a run, unless it has ended already."""
        with self._lock:
            if entry.ended_at_s is None:
                entry.ended_at_s = time.monotonic()
                entry.how = how

    def lapse(self, entry: RunEntry, lapsed_at_s: float) -> None:
        """Record that the worker's lease is over after the end of a run."""
        with self._lock:
            if entry.acknowledged_at_s is None and entry.lapsed_at_s is None:
                entry.lapsed_at_s = max(lapsed_at_s, entry.ended_at_s)

    def acknowledge(self, entry: RunEntry) -> None:
        """Record the first acknowledgement of the end of a run."""
        with self._lock:
            if entry.acknowledged_at_s is None:
                entry.acknowledged_at_s = time.monotonic()

    def snapshot(self) -> list[RunEntry]:
        """Return copies of all entries."""
        with self._lock:
            return [attrs.evolve(entry) for entry in self.entries]

    def of_task(self, task: str) -> list[RunEntry]:
        """Return the runs of a task."""
        with self._lock:
            return [entry for entry in self.entries if entry.task == task]

    def done_tasks(self) -> dict[str, int]:
        """Return the number of runs that ended as done, by task."""
        counts: dict[str, int] = {}
        with self._lock:
            for entry in self.entries:
                if entry.how == "done":
                    counts[entry.task] = counts.get(entry.task, 0) + 1
        return counts

    def repeats(self) -> list[tuple[RunEntry, RunEntry]]:
        """Return pairs of a run that was done and a start that repeats it."""
        entries = self.snapshot()
        return [
            (first, second)
            for first in entries
            for second in entries
            if first.task == second.task and first.is_repeated_by(second)
        ]

    def overlaps(self) -> list[tuple[RunEntry, RunEntry]]:
        """Return pairs of successive runs of a task that overlap in time."""
        by_task: dict[str, list[RunEntry]] = {}
        with self._lock:
            for entry in self.entries:
                by_task.setdefault(entry.task, []).append(entry)
        pairs = []
        for entries in by_task.values():
            entries.sort(key=lambda entry: entry.started_at_s)
            for first, second in zip(entries, entries[1:]):
                end_s = first.ended_at_s
                if end_s is None or second.started_at_s < end_s:
                    pairs.append((first, second))
        return pairs
