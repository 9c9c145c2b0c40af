"""WSGI applications for readiness probes and metrics."""

import re

from rosemarynotch._internal.scheduling.job_api import JobApi
from rosemarynotch._internal.utils.json_logs import JsonLog
from rosemarynotch._internal.utils.metrics import Metrics

__all__ = ["MetricsApp", "ReadinessApp"]

LABEL = re.compile(r"([a-z_]+)=([^,}]*)")


class ReadinessApp:
    """WSGI application that reports whether a node accepts jobs."""

    def __init__(self, job_api: JobApi) -> None:
        self._job_api = job_api

    def mark_not_ready(self) -> None:
        """Do nothing, as the readiness already reflects the shutdown."""

    def __call__(self, environ, start_response):
        """Answer a probe with status 200 or 503."""
        ready = self._job_api.is_ready
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]


class MetricsApp:
    """WSGI application that serves counters and latencies to Prometheus."""

    def __init__(self, metrics: Metrics, log: JsonLog) -> None:
        self._metrics = metrics
        self._log = log

    def mark_not_ready(self) -> None:
        """Do nothing; metrics stay available during the shutdown."""

    def __call__(self, environ, start_response):
        """Answer with all series as plain text."""
        data = self.text().encode()
        headers = [
            ("Content-Type", "text/plain; version=0.0.4"),
            ("Content-Length", str(len(data))),
        ]
        start_response("200 OK", headers)
        return [data]

    def text(self) -> str:
        """Return all series in the text format of Prometheus."""
        snapshot = self._metrics.snapshot()
        lines = [f"log_lines_dropped_total {self._log.dropped}"]
        for name, value in sorted(self._metrics.gauges().items()):
            lines.append(f"{name} {value}")
        for series, value in sorted(snapshot.counters.items()):
            name, labels = _split(series)
            lines.append(f"{name}_total{labels} {value}")
        for series in sorted(snapshot.histograms):
            name, labels = _split(series)
            summary = snapshot.summary(series)
            if summary is None:
                continue
            lines += [
                f"{name}_ms_count{labels} {summary.count}",
                f"{name}_ms_p50{labels} {summary.p50_ms}",
                f"{name}_ms_p99{labels} {summary.p99_ms}",
                f"{name}_ms_max{labels} {summary.max_ms}",
            ]
        return "\n".join(lines) + "\n"


def _split(series: str) -> tuple[str, str]:
    """Split a series into its name and its labels in Prometheus syntax."""
    name, _, rest = series.partition("{")
    labels = ",".join(f'{k}="{v}"' for k, v in LABEL.findall(rest))
    return name, f"{{{labels}}}" if labels else ""
