"""The HTTP server for callers."""

from waitress.task import ErrorTask

from rosemarynotch._internal.callers.answers import failure_body
from rosemarynotch._internal.callers.answers import RAN_HEADER
from rosemarynotch._internal.callers.app import CallerApp
from rosemarynotch._internal.callers.parsing import MAX_BODY_BYTES
from rosemarynotch._internal import exceptions as failures
from rosemarynotch._internal.utils.bounded_parser import RETRY_AFTER_S
from rosemarynotch._internal.utils.graceful_server import GracefulServer
from rosemarynotch._internal.utils.request_budget import RequestBudget

__all__ = ["CallerServer"]

REFUSAL_BY_STATUS = {
    400: failures.REQUEST_MALFORMED,
    413: failures.BODY_TOO_LARGE,
    431: failures.REQUEST_MALFORMED,
    501: failures.REQUEST_MALFORMED,
    503: failures.OVERLOADED,
}


class _RefusalTask(ErrorTask):
    """Answers errors that waitress detects in the format of refusals."""

    def execute(self):
        error = self.request.error
        known = REFUSAL_BY_STATUS.get(error.code)
        # An unexpected exception may have occurred after the request started.
        failure = known or failures.OUTCOME_UNKNOWN
        body = failure_body(failure.with_reason(error.reason))
        self.status = f"{error.code} {error.reason}"
        self.response_headers += [
            ("Content-Type", "application/json"),
            (RAN_HEADER, str(failure.ran)),
        ]
        if error.code == 503:
            self.response_headers.append(("Retry-After", str(RETRY_AFTER_S)))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class CallerServer(GracefulServer):
    """Serves callers; errors of waitress are answered as typed refusals."""

    def __init__(
        self,
        app: CallerApp,
        host: str,
        port: int,
        threads: int,
        budget: RequestBudget | None = None,
        receive_buffer_bytes: int = 0,
    ) -> None:
        super().__init__(
            app,
            host,
            port,
            threads,
            _RefusalTask,
            MAX_BODY_BYTES,
            budget=budget,
            receive_buffer_bytes=receive_buffer_bytes,
        )
