"""Collection of the metrics of all entries of the environment."""

import concurrent.futures
import enum
import threading
from typing import Callable

import attrs

from rosemarynotch._internal.configuration import MembersView
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import RECORD_MALFORMED
from rosemarynotch._internal.models.messages import MetricsAnswer
from rosemarynotch._internal.utils.metrics import find_problem
from rosemarynotch._internal.utils.metrics import Metrics
from rosemarynotch._internal.utils.metrics import MetricsSnapshot

__all__ = ["CollectedMetrics", "MetricsCollector", "MissingEntry", "Scope"]

# An entry answers within milliseconds unless it is overloaded, and the
# operator waits for the slowest entry.
TIMEOUT_S = 1.0
# Placeholder for entries whose names are not known.
UNKNOWN_ENTRIES = "*"


class Scope(enum.StrEnum):
    """The entries that metrics cover: all of the environment or one."""

    ENVIRONMENT = "environment"
    ENTRY = "entry"


@attrs.frozen(kw_only=True)
class MissingEntry:
    """An entry whose values are not included, with the reason."""

    entry: str
    code: str
    reason: str


@attrs.frozen(kw_only=True)
class CollectedMetrics:
    """The merged metrics of entries.

    :ivar included: entries whose values are included
    :ivar missing: the other entries of the environment
    """

    scope: Scope
    snapshot: MetricsSnapshot
    included: tuple[str, ...]
    missing: tuple[MissingEntry, ...] = ()


class MetricsCollector:
    """Fetches the metrics of the other entries and merges them.

    It does so only when an operator requests them, and causes no traffic
    otherwise.

    :param name: name of this entry
    :param fetch: fetches the metrics of an entry within a timeout in seconds
    """

    def __init__(
        self,
        name: str,
        metrics: Metrics,
        members: MembersView,
        fetch: Callable[[str, float], MetricsAnswer | Failure],
    ) -> None:
        self._name = name
        self._metrics = metrics
        self._members = members
        self._fetch = fetch
        # Collections run one at a time, which bounds the number of threads.
        self._lock = threading.Lock()

    def answer(self) -> MetricsAnswer:
        """Return the metrics of this entry as a message to another entry."""
        snapshot = self._metrics.snapshot()
        return MetricsAnswer(
            counters=snapshot.counters, histograms=snapshot.histograms
        )

    def own(self) -> CollectedMetrics:
        """Return the metrics of this entry alone."""
        return CollectedMetrics(
            scope=Scope.ENTRY,
            snapshot=self._metrics.snapshot(),
            included=(self._name,),
        )

    def collect(self) -> CollectedMetrics:
        """Return the merged metrics of all entries that answer in time."""
        listed = sorted(member.name for member in self._members.entries())
        others = [name for name in listed if name != self._name]
        with self._lock:
            results = dict(zip(others, self._fetch_all(others)))
        missing = []
        for name, result in results.items():
            if isinstance(result, Failure):
                self._metrics.count("metrics_missing", code=result.code)
                missing.append(_missing_entry(name, result))
        if self._name not in listed:
            # This entry's members record is outdated or missing, so there
            # may be any number of other entries.
            text = f"{self._name} is not in its own list of entries"
            missing.append(
                MissingEntry(
                    entry=UNKNOWN_ENTRIES, code="members-unknown", reason=text
                )
            )
        included = {
            name: result
            for name, result in results.items()
            if not isinstance(result, Failure)
        }
        own = self._metrics.snapshot()
        return CollectedMetrics(
            scope=Scope.ENVIRONMENT,
            snapshot=own.merge(*included.values()),
            included=tuple(sorted([self._name, *included])),
            missing=tuple(missing),
        )

    def _fetch_all(
        self, entries: list[str]
    ) -> list[MetricsSnapshot | Failure]:
        """Fetch from all entries in parallel, within one timeout in total."""
        if not entries:
            return []
        with concurrent.futures.ThreadPoolExecutor(
            len(entries), "metrics"
        ) as pool:
            return list(pool.map(self._fetch_checked, entries))

    def _fetch_checked(self, entry: str) -> MetricsSnapshot | Failure:
        answer = self._fetch(entry, TIMEOUT_S)
        if isinstance(answer, Failure):
            return answer
        snapshot = MetricsSnapshot(
            counters=answer.counters, histograms=answer.histograms
        )
        problem = find_problem(snapshot)
        return RECORD_MALFORMED.with_reason(problem) if problem else snapshot


def _missing_entry(entry: str, failure: Failure) -> MissingEntry:
    return MissingEntry(entry=entry, code=failure.code, reason=failure.reason)
