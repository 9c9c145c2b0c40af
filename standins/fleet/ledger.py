"""What really ran, as the workers saw it."""

import threading
import time

import attrs

__all__ = ["Ledger", "RunEntry"]


@attrs.define
class RunEntry:
    """A run of a task.

    :ivar ended_at_s: None while it runs
    :ivar how: how it ended
    :ivar noted_at_s: when its end was acknowledged, None before
    """

    task: str
    run: int
    worker: str
    spec: str
    started_at_s: float
    ended_at_s: float | None = None
    how: str = ""
    noted_at_s: float | None = None


class Ledger:
    """All runs of all workers, in the order of their starts."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.entries: list[RunEntry] = []

    def start(self, task: str, run: int, worker: str, spec: str) -> RunEntry:
        """Note a start."""
        entry = RunEntry(task, run, worker, spec, time.monotonic())
        with self._lock:
            self.entries.append(entry)
        return entry

    def end(self, entry: RunEntry, how: str) -> None:
        """Note an end."""
        with self._lock:
            if entry.ended_at_s is None:
                entry.ended_at_s = time.monotonic()
                entry.how = how

    def note(self, entry: RunEntry) -> None:
        """Note that the end of a run was acknowledged."""
        with self._lock:
            if entry.noted_at_s is None:
                entry.noted_at_s = time.monotonic()

    def snapshot(self) -> list[RunEntry]:
        """Return copies of all entries."""
        with self._lock:
            return [attrs.evolve(entry) for entry in self.entries]

    def of_task(self, task: str) -> list[RunEntry]:
        """Return the runs of a task."""
        with self._lock:
            return [entry for entry in self.entries if entry.task == task]

    def done_tasks(self) -> dict[str, int]:
        """Return how often each task ended as done."""
        counts: dict[str, int] = {}
        with self._lock:
            for entry in self.entries:
                if entry.how == "done":
                    counts[entry.task] = counts.get(entry.task, 0) + 1
        return counts

    def overlaps(self) -> list[tuple[RunEntry, RunEntry]]:
        """Return pairs of runs of one task that ran at the same time."""
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
