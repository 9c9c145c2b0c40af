"""Charts of histograms as inline SVG."""

from html import escape

from hdrh.histogram import HdrHistogram

from rosemarynotch._internal.utils.metrics import UNITS_PER_MS

__all__ = ["histogram_figure"]

WIDTH = 320
BARS_HEIGHT = 66
LABEL_HEIGHT = 14
HEIGHT = BARS_HEIGHT + LABEL_HEIGHT
# The first bar ends at 0.1 ms, and each further one at twice the time of the
# one before.
FIRST_BAR_UNITS = UNITS_PER_MS // 10
LOG_BASE = 2


def histogram_figure(name: str, histogram: HdrHistogram) -> str:
    """Return a bar chart over a logarithmic time axis, with a caption.

    The caption is HTML, because SVG text is cut off instead of wrapped.

    :returns: an empty string for a histogram without values
    """
    bars = [
        (item.value_iterated_to, item.count_added_in_this_iter_step)
        for item in histogram.get_log_iterator(FIRST_BAR_UNITS, LOG_BASE)
    ]
    highest = max((count for _, count in bars), default=0)
    if not highest:
        return ""
    bar_path = ""
    for index, (_, count) in enumerate(bars):
        if count:
            # At least one unit high, so that a bar with few values is visible.
            height = max(1, round(count / highest * BARS_HEIGHT))
            start = round(index * WIDTH / len(bars))
            width = round((index + 1) * WIDTH / len(bars)) - start - 1
            bar_path += f"M{start} {BARS_HEIGHT}v-{height}h{width}v{height}z"
    first, last = _format_units(bars[0][0]), _format_units(bars[-1][0])
    return (
        f"<figure><figcaption>{_title(name)}<br>"
        f"<small>{_summary(histogram)}</small></figcaption>"
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img"'
        f' font-size="11"><path d="{bar_path}"/>'
        f'<text y="{HEIGHT - 3}">up to {first}</text>'
        f'<text x="{WIDTH}" y="{HEIGHT - 3}" text-anchor="end">{last}</text>'
        "</svg></figure>"
    )


def _title(series: str) -> str:
    """Return the name and labels of a series as HTML that can wrap."""
    name, _, labels = series.partition("{")
    labels = labels.removesuffix("}").replace(",", ", ")
    return f"<b>{escape(name)}</b> {escape(labels)}"


def _summary(histogram: HdrHistogram) -> str:
    at = histogram.get_value_at_percentile
    return (
        f"{histogram.get_total_count()} values, 50 % within"
        f" {_format_units(at(50))}, 99 % within {_format_units(at(99))},"
        f" longest {_format_units(histogram.get_max_value())}"
    )


def _format_units(units: int) -> str:
    """Format a duration as text, such as ``2.5 ms`` or ``13 s``."""
    value_ms = units / UNITS_PER_MS
    if value_ms < 1000:
        return f"{value_ms:.3g} ms"
    return f"{value_ms / 1000:.3g} s"
