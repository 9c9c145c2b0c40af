"""Calls that tell the state."""

from html import escape
from typing import Any

from rosemarynotch._internal.operators.charts import histogram_svg
from rosemarynotch._internal.operators.findings import find
from rosemarynotch._internal.operators.http import Page
from rosemarynotch._internal.operators.http import Request
from rosemarynotch._internal.operators.http import Route
from rosemarynotch._internal.operators.observer import Observer
from rosemarynotch._internal.operators.report import report_lines
from rosemarynotch._internal.utils.metrics import Metrics

__all__ = ["ReportCalls"]

MAX_CHARTS = 24
HTML = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>rosemarynotch</title></head>
<body><pre>{report}</pre>
<p>Times of this entry since its start:</p>
{charts}</body></html>
"""


class ReportCalls:
    """Report, status and metrics."""

    def __init__(self, observer: Observer, metrics: Metrics) -> None:
        self._observer = observer
        self._metrics = metrics
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
        snapshot = self._metrics.snapshot()
        charts = "\n".join(
            histogram_svg(name, snapshot.histogram(name))
            for name in sorted(snapshot.histograms)[:MAX_CHARTS]
        )
        body = HTML.format(report=escape(text), charts=charts)
        return Page("text/html; charset=utf-8", body.encode())

    def metrics(self, request: Request) -> Any:
        """Return counters, summaries and encoded histograms."""
        snapshot = self._metrics.snapshot()
        names = sorted(snapshot.histograms)
        return {
            "counters": dict(sorted(snapshot.counters.items())),
            "summaries": {name: snapshot.summary(name) for name in names},
            "histograms": {
                name: snapshot.histograms[name].decode() for name in names
            },
        }
