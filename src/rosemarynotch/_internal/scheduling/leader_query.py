"""Asks the leader for completed jobs while the store does not answer.

The store may answer the leader and not this node, and the leader keeps in
memory which completions it has recorded. Queries and answers are datagrams,
which may be lost, but have no connection that could go silent.
"""

from collections.abc import Callable
import socket

import attrs

from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode

__all__ = ["CompletedJob", "JobQuery", "LeaderQuery"]

MAX_BYTES = 1400
# The nodes are about a millisecond apart.
ANSWER_TIMEOUT_S = 0.08
ATTEMPTS = 2


@attrs.frozen
class JobQuery:
    """Asks whether a job is recorded as completed."""

    asked_job: str


@attrs.frozen
class CompletedJob:
    """The answer to a query about a job that is recorded as completed.

    :ivar organisation: owner of the job, empty if it has none
    :ivar queue: name of its queue
    """

    completed_job: str
    organisation: str
    queue: str = ""


class LeaderQuery:
    """Asks the leader about jobs.

    :param leader: returns host and port of the leader, None if it is unknown
        or this node
    :param ask_locally: answers from the memory of this node, if it leads or
        led last
    """

    def __init__(
        self,
        leader: Callable[[], tuple[str, int] | None],
        ask_locally: Callable[[str], CompletedJob | None],
    ) -> None:
        self._leader = leader
        self._ask_locally = ask_locally

    def ask(self, job_id: str) -> CompletedJob | None:
        """Return the job if the leader has recorded that it is completed."""
        found = self._ask_locally(job_id)
        address = self._leader()
        if found is not None or address is None:
            return found
        try:
            return self._ask(address, job_id)
        except OSError:
            # No answer, or the leader's machine refuses the datagram.
            return None

    @staticmethod
    def _ask(address: tuple[str, int], job_id: str) -> CompletedJob | None:
        query = encode(JobQuery(job_id))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as channel:
            channel.settimeout(ANSWER_TIMEOUT_S)
            for _ in range(ATTEMPTS):
                channel.sendto(query, address)
                try:
                    data, _ = channel.recvfrom(MAX_BYTES)
                except TimeoutError:
                    continue
                answer = decode(data, CompletedJob)
                if (
                    isinstance(answer, CompletedJob)
                    and answer.completed_job == job_id
                ):
                    return answer
        return None
