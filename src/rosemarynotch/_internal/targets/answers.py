"""Classification of the outcomes of requests to targets."""

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Answer

__all__ = ["NOT_RUN_HEADER", "is_draining", "is_failed", "is_not_run"]

NOT_RUN_HEADER = "rosemarynotch-not-run"
UNAVAILABLE = 503
FIRST_SERVER_ERROR = 500


def is_not_run(outcome: Answer | Failure) -> bool:
    """Tell whether the target states that it did not run the request."""
    if isinstance(outcome, Failure) or outcome.status != UNAVAILABLE:
        return False
    return _header(outcome, NOT_RUN_HEADER) == "1"


def is_draining(outcome: Answer | Failure) -> bool:
    """Tell whether the target announces that it is about to stop."""
    if isinstance(outcome, Failure) or outcome.status != UNAVAILABLE:
        return False
    return _header(outcome, "connection").lower() == "close"


def is_failed(outcome: Answer | Failure) -> bool:
    """Tell whether the outcome counts as a failure of the target."""
    if isinstance(outcome, Failure):
        return True
    return outcome.status >= FIRST_SERVER_ERROR


def _header(answer: Answer, name: str) -> str:
    values = (v for n, v in answer.headers if n.lower() == name)
    return next(values, "")
