"""Client of the advice service."""

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PLATFORM_UNAVAILABLE
from rosemarynotch._internal.platform.calls import call_json
from rosemarynotch._internal.platform.schema import AdviceBody
from rosemarynotch._internal.scheduling.fleet_ports import AdviceAnswer
from rosemarynotch._internal.scheduling.fleet_ports import Advisor
from rosemarynotch._internal.scheduling.fleet_ports import Ticket
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["HttpAdvisor"]


class HttpAdvisor(Advisor):
    """Calls the advice service over HTTP.

    :param http: connections to the service
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def advise(self, job_id, occurrence, step, workers, wait_s):
        """Request tickets for a step on at most 100 workers."""
        answer = call_json(
            self._http,
            "POST",
            ("advise",),
            PLATFORM_UNAVAILABLE,
            answers={200: AdviceBody},
            body={
                "step": f"{job_id}.{occurrence}.{step}",
                "workers": workers,
            },
            repeatable=False,
            wait_ms=round(wait_s * 1000),
        )
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status != 200:
            return PLATFORM_UNAVAILABLE.with_reason(f"advise: status {status}")
        return AdviceAnswer(
            tickets=tuple(
                Ticket(worker_id=worker_id, value=value)
                for worker_id, value in body.allowed
            ),
            validity_ms=(
                None if body.validity_ms is None else int(body.validity_ms)
            ),
        )
