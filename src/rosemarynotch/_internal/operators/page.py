"""The report as an HTML page for small screens."""

from html import escape

from rosemarynotch._internal.operators.charts import histogram_figure
from rosemarynotch._internal.operators.collector import CollectedMetrics
from rosemarynotch._internal.operators.collector import MissingEntry
from rosemarynotch._internal.operators.collector import Scope

__all__ = ["html_page"]

MAX_CHARTS = 24
# Lines of the report have up to 40 characters, which fit into 360 pixels at
# this font size. Phones show no tooltips, so charts list values as text.
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
    """Return the report and the charts as an HTML page.

    :param report: the report as text
    """
    snapshot = metrics.snapshot
    names = sorted(snapshot.histograms)
    figures = [
        histogram_figure(name, snapshot.histogram(name))
        for name in names[:MAX_CHARTS]
    ]
    if names[MAX_CHARTS:]:
        omitted_count = len(names) - MAX_CHARTS
        figures.append(
            f"<p>and {omitted_count} more series, see /v1/metrics</p>"
        )
    return HTML.format(
        report=escape(report),
        sources=_sources(metrics),
        charts="\n".join(figures),
    )


def _sources(metrics: CollectedMetrics) -> str:
    """Return a paragraph that names the entries the charts cover."""
    if metrics.scope is Scope.ENTRY:
        name = escape(metrics.included[0])
        return f"<p>Requests at {name} alone, since its start:</p>"
    count = len(metrics.included)
    if not metrics.missing:
        entries = "the only entry" if count == 1 else f"all {count} entries"
        return f"<p>Requests at {entries}, since the start of each:</p>"
    rows = "".join(
        f"<li>{escape(item.entry)}: {escape(_reason_text(item))}</li>"
        for item in metrics.missing
    )
    return (
        '<div class="warning"><p><b>Not complete.</b> Requests at'
        f" {escape(', '.join(metrics.included))}, since the start of each."
        f" Missing:</p><ul>{rows}</ul></div>"
    )


def _reason_text(item: MissingEntry) -> str:
    """Return the reason without the name of the entry in front."""
    reason = item.reason.removeprefix(item.entry).lstrip(": ")
    return reason or item.code
