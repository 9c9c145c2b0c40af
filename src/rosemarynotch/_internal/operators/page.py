"""The report as HTML, to be read on a phone."""

from html import escape

from rosemarynotch._internal.operators.charts import histogram_figure
from rosemarynotch._internal.operators.collector import CollectedMetrics
from rosemarynotch._internal.operators.collector import Missing
from rosemarynotch._internal.operators.collector import Scope

__all__ = ["html_page"]

MAX_CHARTS = 24
# The report has lines of 40 characters, which fit 360 pixels at this size.
# Phones show no tool tips, so charts have their values in the text.
HTML = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<meta name="color-scheme" content="light dark">
<title>rosemarynotch</title>
<style>
body{{margin:8px;font:15px/1.4 sans-serif;overflow-wrap:anywhere}}
pre{{font:13px/1.4 monospace;white-space:pre-wrap}}
figure{{margin:16px 0;max-width:480px}}
svg{{display:block;width:100%;fill:currentColor}}
small{{font-size:13px}}
.warning{{border-left:4px solid #d33;padding-left:8px}}
</style></head>
<body><pre>{report}</pre>
{sources}
{charts}
</body></html>
"""


def html_page(report: str, metrics: CollectedMetrics) -> str:
    """Return the page.

    :param report: the report as text
    """
    snapshot = metrics.snapshot
    names = sorted(snapshot.histograms)
    figures = [
        histogram_figure(name, snapshot.histogram(name))
        for name in names[:MAX_CHARTS]
    ]
    if names[MAX_CHARTS:]:
        left = len(names) - MAX_CHARTS
        figures.append(f"<p>and {left} more series, see /v1/metrics</p>")
    return HTML.format(
        report=escape(report),
        sources=_sources(metrics),
        charts="\n".join(figures),
    )


def _sources(metrics: CollectedMetrics) -> str:
    """Say whose values the charts show."""
    if metrics.scope is Scope.ENTRY:
        name = escape(metrics.included[0])
        return f"<p>Requests at {name} alone, since its start:</p>"
    count = len(metrics.included)
    if not metrics.missing:
        entries = "the only entry" if count == 1 else f"all {count} entries"
        return f"<p>Requests at {entries}, since the start of each:</p>"
    rows = "".join(
        f"<li>{escape(item.entry)}: {escape(_why(item))}</li>"
        for item in metrics.missing
    )
    return (
        '<div class="warning"><p><b>Not complete.</b> Requests at'
        f" {escape(', '.join(metrics.included))}, since the start of each."
        f" Missing:</p><ul>{rows}</ul></div>"
    )


def _why(item: Missing) -> str:
    """Return the reason, which may begin with the name of the entry."""
    reason = item.reason.removeprefix(item.entry).lstrip(": ")
    return reason or item.code
