"""WSGI application for operators."""

from rosemarynotch._internal.configuration import ConfigInForce
from rosemarynotch._internal.configuration import FleetView
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.operators.changes import ConfigChanges
from rosemarynotch._internal.operators.collector import MetricsCollector
from rosemarynotch._internal.operators.config_calls import ConfigCalls
from rosemarynotch._internal.operators.fleet_calls import FleetCalls
from rosemarynotch._internal.operators.fleet_calls import Operations
from rosemarynotch._internal.operators.http import answer
from rosemarynotch._internal.operators.http import find_route
from rosemarynotch._internal.operators.http import Request
from rosemarynotch._internal.operators.jobs import Intake
from rosemarynotch._internal.operators.jobs import OperatorJobs
from rosemarynotch._internal.operators.key_calls import KeyCalls
from rosemarynotch._internal.operators.keys import OperatorKeys
from rosemarynotch._internal.operators.observer import Observer
from rosemarynotch._internal.operators.report_calls import ReportCalls
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.metrics import Metrics

__all__ = ["OperatorApp"]


class OperatorApp:
    """Answers operators.

    :param keys: operators that are let in
    :param operations: the module ``control.operations``
    :param jobs: the job intake of this entry
    :param collector: gathers the metrics of all entries
    :param is_trial: documents may be tried in this environment
    """

    def __init__(
        self,
        *,
        keys: OperatorKeys,
        records: RecordStore,
        in_force: ConfigInForce,
        fleet: FleetView,
        observer: Observer,
        changes: ConfigChanges,
        operations: Operations,
        jobs: Intake,
        metrics: Metrics,
        collector: MetricsCollector,
        is_trial: bool,
    ) -> None:
        self._keys = keys
        self._metrics = metrics
        config = ConfigCalls(changes, observer, is_trial)
        self._routes = (
            *config.routes,
            *KeyCalls(changes, config).routes,
            *FleetCalls(
                records,
                in_force,
                fleet,
                observer,
                operations,
                OperatorJobs(records, jobs),
            ).routes,
            *ReportCalls(observer, collector).routes,
        )

    def __call__(self, environ, start_response):
        """Answer one request of an operator."""
        result = self._handle(environ)
        if isinstance(result, Failure):
            self._metrics.count("operator_refused", code=result.code)
        return answer(result, start_response)

    def _handle(self, environ):
        operator = self._keys.check(environ.get("HTTP_AUTHORIZATION", ""))
        if isinstance(operator, Failure):
            return operator
        handler = find_route(
            self._routes, environ["REQUEST_METHOD"], environ["PATH_INFO"]
        )
        if isinstance(handler, Failure):
            return handler
        return handler(Request(environ, operator))
