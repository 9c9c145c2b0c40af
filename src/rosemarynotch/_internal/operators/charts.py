"""Histograms as inline SVG."""

from html import escape

from hdrh.histogram import HdrHistogram

from rosemarynotch._internal.utils.metrics import UNITS_PER_MS

__all__ = ["histogram_svg"]

WIDTH = 320
HEIGHT = 80
TITLE_HEIGHT = 14
# Each bar is a doubling of the time, from 0.1 ms on.
FIRST_BAR_UNITS = UNITS_PER_MS // 10
LOG_BASE = 2


def histogram_svg(name: str, histogram: HdrHistogram) -> str:
    """Return a chart of counts over doubling times."""
    bars = [
        (
            item.value_iterated_to / UNITS_PER_MS,
            item.count_added_in_this_iter_step,
        )
        for item in histogram.get_log_iterator(FIRST_BAR_UNITS, LOG_BASE)
    ]
    highest = max((count for _, count in bars), default=0)
    if not highest:
        return ""
    bar_width = WIDTH / len(bars)
    shapes = []
    for index, (up_to_ms, count) in enumerate(bars):
        height = round(count / highest * (HEIGHT - TITLE_HEIGHT), 1)
        x, y = round(index * bar_width, 1), HEIGHT - height
        shapes.append(
            f'<rect x="{x}" y="{y}" width="{bar_width - 1:.1f}"'
            f' height="{height}"><title>up to {up_to_ms:g} ms:'
            f" {count}</title></rect>"
        )
    total = histogram.get_total_count()
    p99_ms = histogram.get_value_at_percentile(99) / UNITS_PER_MS
    title = f"{name}: {total}, 99 % within {p99_ms:g} ms"
    return (
        f'<svg width="{WIDTH}" height="{HEIGHT}"'
        f' viewBox="0 0 {WIDTH} {HEIGHT}" role="img">'
        f'<text y="11" font-size="11">{escape(title)}</text>'
        + "".join(shapes)
        + "</svg>"
    )
