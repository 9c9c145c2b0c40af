"""Calls that tell the state."""

from typing import Any

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import REQUEST_MALFORMED
from rosemarynotch._internal.operators.collector import CollectedMetrics
from rosemarynotch._internal.operators.collector import MetricsCollector
from rosemarynotch._internal.operators.collector import Scope
from rosemarynotch._internal.operators.findings import find
from rosemarynotch._internal.operators.http import Page
from rosemarynotch._internal.operators.http import Request
from rosemarynotch._internal.operators.http import Route
from rosemarynotch._internal.operators.observer import Observer
from rosemarynotch._internal.operators.page import html_page
from rosemarynotch._internal.operators.report import report_lines

__all__ = ["ReportCalls"]


class ReportCalls:
    """Report, status and metrics."""

    def __init__(
        self, observer: Observer, collector: MetricsCollector
    ) -> None:
        self._observer = observer
        self._collector = collector
        self.routes = (
            Route("GET", "/v1/status", self.status),
            Route("GET", "/v1/report", self.report),
            Route("GET", "/v1/metrics", self.metrics),
        )

    def status(self, request: Request) -> Any:
        """Return the whole snapshot and all findings."""
        snapshot = self._observer.snapshot()
        return {"findings": find(snapshot), "snapshot": snapshot}

    def report(self, request: Request) -> Any:
        """Return the report as text, or as HTML with histograms."""
        text = "\n".join(report_lines(self._observer.snapshot())) + "\n"
        if request.query("format") != "html":
            return Page("text/plain; charset=utf-8", text.encode())
        collected = self._collect(request)
        if isinstance(collected, Failure):
            return collected
        body = html_page(text, collected)
        return Page("text/html; charset=utf-8", body.encode())

    def metrics(self, request: Request) -> Any:
        """Return counters, summaries and encoded histograms."""
        collected = self._collect(request)
        if isinstance(collected, Failure):
            return collected
        sources: dict[str, Any] = {"included": collected.included}
        if collected.scope is Scope.ENVIRONMENT:
            sources["missing"] = collected.missing
            sources["complete"] = not collected.missing
        snapshot = collected.snapshot
        names = sorted(snapshot.histograms)
        return {
            "scope": collected.scope,
            **sources,
            "counters": dict(sorted(snapshot.counters.items())),
            "summaries": {name: snapshot.summary(name) for name in names},
            "histograms": {
                name: snapshot.histograms[name].decode() for name in names
            },
        }

    def _collect(self, request: Request) -> CollectedMetrics | Failure:
        scope = request.query("scope") or Scope.ENVIRONMENT
        if scope == Scope.ENTRY:
            return self._collector.own()
        if scope == Scope.ENVIRONMENT:
            return self._collector.collect()
        return REQUEST_MALFORMED.with_reason(
            f"scope is {Scope.ENVIRONMENT} or {Scope.ENTRY}"
        )
