"""Decides when a caller whose job was refused should come back.

Intended for outages of the store and for queues without room. A caller gives
up after a few attempts, and one that comes back every second has used them
all while the store is still away, or before there is room. Callers that all
come back when there is room again would all be refused again but the first.
"""

import abc
import math

from rosemarynotch._internal.scheduling.policy.ordering import draw

__all__ = [
    "BacklogRetry",
    "ExcessRetry",
    "memory_retry_s",
    "outage_retry_s",
    "RoomRetry",
]

MIN_RETRY_S = 1
# A longer delay would keep callers away for long after the store is back.
MAX_RETRY_S = 4
# The delays of callers differ by up to this share, so that they do not all
# come back at the same moment.
SPREAD_SHARE = 0.5
# The longest time over which retries are spread. Callers wait at most a few
# seconds, and jobs that come back later are too late in any case.
MAX_SPREAD_MS = 4000.0
# The shortest delay after a refusal for lack of memory; the longest is twice
# as long.
MEMORY_RETRY_S = 5


def outage_retry_s(outage_age_s: float, job_id: str) -> int:
    """Return the delay before the next attempt in whole seconds.

    An outage that has lasted for some time is expected to last about as long
    again.

    :param outage_age_s: time since the store last answered
    :param job_id: hexadecimal digits, which spread the callers
    """
    position = int(job_id[-4:], 16) / 0xFFFF
    factor = 1 + SPREAD_SHARE * (position - 0.5)
    return round(min(MAX_RETRY_S, max(MIN_RETRY_S, outage_age_s * factor)))


def memory_retry_s(job_id: str) -> int:
    """Return the delay after a refusal for lack of memory, in seconds.

    Memory becomes free when jobs end, which no record tells in advance.
    """
    return MEMORY_RETRY_S + round(MEMORY_RETRY_S * draw(job_id))


class RoomRetry(abc.ABC):
    """Tells when a job that was refused for lack of room may come back."""

    @abc.abstractmethod
    def retry_s(
        self,
        room_in_ms: float,
        delay_ms: float,
        job_id: str,
        earlier_refusals: int,
    ) -> int:
        """Return the delay before the next attempt in whole seconds.

        :param room_in_ms: when a job like this one would be accepted if no
            others arrived
        :param delay_ms: how long the work ahead of it takes
        :param earlier_refusals: how often this node has refused it before
        """


class ExcessRetry(RoomRetry):
    """Returns the time until there is room (baseline)."""

    def retry_s(self, room_in_ms, delay_ms, job_id, earlier_refusals):
        """Return the same delay for all callers."""
        return max(MIN_RETRY_S, math.ceil(room_in_ms / 1000))


class BacklogRetry(RoomRetry):
    """Spreads the callers over the room that becomes free.

    Room appears from ``room_in_ms`` on, and the backlog is gone after
    ``delay_ms``, so the callers are spread over the time in between. One that
    was refused before comes back in the first half of it, or an even earlier
    part after several refusals.
    """

    def retry_s(self, room_in_ms, delay_ms, job_id, earlier_refusals):
        """Return a delay that depends on the job."""
        spread_ms = min(MAX_SPREAD_MS, max(0.0, delay_ms - room_in_ms))
        spread_ms *= draw(job_id) * 0.5**earlier_refusals
        delay_s = round((room_in_ms + spread_ms) / 1000)
        return max(MIN_RETRY_S, delay_s)
