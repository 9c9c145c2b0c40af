"""Metrics of all entries of the environment."""

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

__all__ = ["CollectedMetrics", "MetricsCollector", "Missing", "Scope"]

# An entry answers within milliseconds unless it is overloaded; the operator
# waits for the slowest one.
TIMEOUT_S = 1.0
# Stands for the entries that are not known by name.
UNKNOWN_ENTRIES = "*"


class Scope(enum.StrEnum):
    """Whose metrics are shown."""

    ENVIRONMENT = "environment"
    ENTRY = "entry"


@attrs.frozen(kw_only=True)
class Missing:
    """An entry whose values are not included, and why."""

    entry: str
    code: str
    reason: str


@attrs.frozen(kw_only=True)
class CollectedMetrics:
    """Values of some entries, added up.

    :ivar included: entries whose values are in the sums
    :ivar missing: the other entries of the environment
    """

    scope: Scope
    snapshot: MetricsSnapshot
    included: tuple[str, ...]
    missing: tuple[Missing, ...] = ()


class MetricsCollector:
    """Asks the other entries for their metrics and adds them up.

    It asks only when an operator does, so an idle environment has no
    traffic from it.

    :param name: this entry
    :param fetch: asks an entry, with a time limit in seconds
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
        # One collection at a time bounds the threads that it takes.
        self._lock = threading.Lock()

    def answer(self) -> MetricsAnswer:
        """Return the values of this entry for another entry."""
        snapshot = self._metrics.snapshot()
        return MetricsAnswer(
            counters=snapshot.counters, histograms=snapshot.histograms
        )

    def own(self) -> CollectedMetrics:
        """Return the values of this entry alone."""
        return CollectedMetrics(
            scope=Scope.ENTRY,
            snapshot=self._metrics.snapshot(),
            included=(self._name,),
        )

    def collect(self) -> CollectedMetrics:
        """Return the sums over all entries that answer in time."""
        listed = sorted(member.name for member in self._members.entries())
        others = [name for name in listed if name != self._name]
        with self._lock:
            results = dict(zip(others, self._ask(others)))
        missing = []
        for name, result in results.items():
            if isinstance(result, Failure):
                self._metrics.count("metrics_missing", code=result.code)
                missing.append(_missing(name, result))
        if self._name not in listed:
            # Without a current members record there may be any number of
            # other entries.
            text = f"{self._name} has no list of entries that names it"
            missing.append(
                Missing(
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

    def _ask(self, entries: list[str]) -> list[MetricsSnapshot | Failure]:
        """Ask all at once, so that the time limit holds for the whole."""
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


def _missing(entry: str, failure: Failure) -> Missing:
    return Missing(entry=entry, code=failure.code, reason=failure.reason)
