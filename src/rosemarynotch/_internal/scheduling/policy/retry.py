"""Decides when a caller whose job was refused should come back.

Intended for outages of the store. A caller gives up after a few attempts, and
one that comes back every second has used them all while the store is still
away.
"""

__all__ = ["outage_retry_s"]

MIN_RETRY_S = 1
# A longer delay would keep callers away for long after the store is back.
MAX_RETRY_S = 4
# The delays of callers differ by up to this share, so that they do not all
# come back at the same moment.
SPREAD_SHARE = 0.5


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
