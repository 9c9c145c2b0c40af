"""Client of the advice service."""

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PLATFORM_UNAVAILABLE
from rosemarynotch._internal.platform.calls import call_json
from rosemarynotch._internal.scheduling.ports import Advisor
from rosemarynotch._internal.scheduling.ports import Ticket
from rosemarynotch._internal.utils.http import HttpClient

__all__ = ["HttpAdvisor"]


class HttpAdvisor(Advisor):
    """The advice service over HTTP.

    :param http: connections to the service
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def advise(self, job_id, occurrence, step, workers):
        """Ask for tickets for at most 100 workers."""
        answer = call_json(
            self._http,
            "POST",
            ("advise",),
            PLATFORM_UNAVAILABLE,
            body={
                "step": f"{job_id}.{occurrence}.{step}",
                "workers": workers,
            },
            repeatable=False,
        )
        if isinstance(answer, Failure):
            return answer
        status, fields = answer
        if status != 200:
            return PLATFORM_UNAVAILABLE.because(f"advise: status {status}")
        return [
            Ticket(worker_id=row[0], value=row[1])
            for row in fields.get("allowed", [])
        ]
