"""Reads the phases of jobs, also while the store does not answer."""

from collections.abc import Callable
from concurrent import futures

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.scheduling.access import CallerAccess
from rosemarynotch._internal.scheduling.config_feed import ConfigFeed
from rosemarynotch._internal.scheduling.intake import JobIntake
from rosemarynotch._internal.scheduling.leader_query import LeaderQuery
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["PhaseReader"]

# The store answers within 20 ms unless it is slow or silent. The leader is
# asked after this time, and then at this interval.
ASK_INTERVAL_S = 0.1
# Longest time that a caller waits for an answer.
READ_LIMIT_S = 2.4
# After a read without an answer in time, the leader is asked first for this
# time.
ASK_FIRST_S = 2.0
READ_THREADS = 24
# The last answer to a caller is sent this long before the caller's key must
# have stopped working.
WITHDRAWAL_MARGIN_S = 0.5


class PhaseReader:
    """Reads the phase of a job from the store, or asks the leader.

    A read from a silent store lasts until its time-out. The leader is asked
    meanwhile, since it may have recorded that the job is completed.

    :param withdrawal_s: longest time for which a withdrawn key may be used.
        A node without contact to the store for almost that long does not
        answer from the leader's memory.
    """

    def __init__(
        self,
        intake: JobIntake,
        leader_query: LeaderQuery,
        config_feed: ConfigFeed,
        clock: Clock,
        withdrawal_s: float,
        log: Callable[..., None],
    ) -> None:
        self._intake = intake
        self._leader_query = leader_query
        self._config_feed = config_feed
        self._clock = clock
        self._log = log
        self._max_contact_age_s = withdrawal_s - WITHDRAWAL_MARGIN_S
        self._reads = futures.ThreadPoolExecutor(READ_THREADS, "phase-read")
        self._ask_first_until_s = 0.0

    def read(self, job_id: str, access: CallerAccess) -> Phase | Failure:
        """Return the phase of a job.

        :returns: the phase, JOB_UNKNOWN or STORE_UNAVAILABLE
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._ask_first_until_s or self._config_feed.is_failing:
            phase = self._ask_leader(job_id, access)
            if phase is not None:
                return phase
        reading = self._reads.submit(self._intake.phase, job_id, access)
        end_s = now_s + READ_LIMIT_S
        while now_s < end_s:
            done, _ = futures.wait([reading], ASK_INTERVAL_S)
            result = reading.result() if done else STORE_UNAVAILABLE
            if not (
                isinstance(result, Failure) and result.is_a(STORE_UNAVAILABLE)
            ):
                return result
            now_s = self._clock.monotonic_s()
            self._ask_first_until_s = now_s + ASK_FIRST_S
            phase = self._ask_leader(job_id, access)
            if phase is not None or done:
                break
        reading.cancel()
        return phase or result

    def _ask_leader(self, job_id: str, access: CallerAccess) -> Phase | None:
        """Return COMPLETED if the leader has recorded the completion."""
        if self._config_feed.contact_age_s() > self._max_contact_age_s:
            return None
        job = self._leader_query.ask(job_id)
        if job is None or not access.permits(job.organisation, job.queue):
            return None
        self._log("job shown by the leader", job=job_id)
        return Phase.COMPLETED
