"""HTTP API for operators, the report and the collection of metrics."""

from rosemarynotch._internal.operators.app import OperatorApp
from rosemarynotch._internal.operators.changes import Change
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.operators.collector import MetricsCollector
from rosemarynotch._internal.operators.jobs import OperatorJobs
from rosemarynotch._internal.operators.keys import OperatorKeys
from rosemarynotch._internal.operators.observer import Observer
from rosemarynotch._internal.operators.report import report_lines
from rosemarynotch._internal.operators.server import OperatorServer

__all__ = [
    "Change",
    "ConfigChanges",
    "MetricsCollector",
    "Observer",
    "OperatorApp",
    "OperatorJobs",
    "OperatorKeys",
    "OperatorServer",
    "report_lines",
]
