"""Cancellation of jobs, whether they are stored already or not yet."""

from collections.abc import Callable

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import JOB_UNKNOWN
from rosemarynotch._internal.exceptions import JOB_WITHDRAWN
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.access import CallerAccess
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.ports import Condition
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.records import CANCELLATIONS_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.scheduling.records import withdrawn_submission
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["JobCanceller", "refuse_withdrawn"]

# The platform allows 4 s for the answer to a cancellation.
CANCEL_RETRY_TIME_S = 1.2
RETRY_S = 0.05


class JobCanceller:
    """Records cancellations so that they hold once they are acknowledged.

    The write of a job may be repeated, or carried out by the store, seconds
    after the cancellation. An unknown job is therefore withdrawn: a row in
    the place of the job makes the condition of any later write of it fail.
    The leader ends such a row as cancelled, and removes it like a job.

    :param on_written: called with the keys that were written
    """

    def __init__(
        self,
        store: CoordinationStore,
        clock: Clock,
        log: Callable[..., None],
        on_written: Callable[[list[str]], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._on_written = on_written

    def cancel(self, job_id: str, access: CallerAccess) -> None | Failure:
        """Cancel a job; repeating the call is harmless.

        :returns: None if the job is cancelled, JOB_UNKNOWN if it is not
            stored and cannot be stored any more, or belongs to others, or
            STORE_UNAVAILABLE
        """
        job_key = JOBS_PREFIX + job_id
        found = self._store.get(job_key)
        if isinstance(found, Failure) and not found.is_a(STORE_KEY_MISSING):
            return found
        job = None if isinstance(found, Failure) else found
        retry_until_s = self._clock.monotonic_s() + CANCEL_RETRY_TIME_S
        while True:
            refusal = self._refuse(job, job_id, access)
            if refusal is not None:
                return refusal
            answer = self._write(job, job_id)
            if isinstance(answer, int) and job is not None:
                self._on_written([CANCELLATIONS_PREFIX + job_id])
                return None
            if isinstance(answer, int):
                self._log("job withdrawn", job=job_id)
                return JOB_UNKNOWN.with_reason(job_id)
            if isinstance(answer, CommitConflict):
                rows = {item.key: item for item in answer.items}
                if CANCELLATIONS_PREFIX + job_id in rows:
                    return None
                job = rows.get(job_key)
            elif self._clock.monotonic_s() >= retry_until_s:
                return answer
            else:
                self._clock.sleep(RETRY_S)

    @staticmethod
    def _refuse(
        job: Item | None, job_id: str, access: CallerAccess
    ) -> Failure | None:
        """Return why a caller cannot cancel a job, None if it can."""
        if job is None:
            return None
        record = decode(job.value, SubmissionRecord)
        if isinstance(record, Failure):
            return record
        if not access.permits(record.organisation, record.queue):
            return JOB_UNKNOWN.with_reason(job_id)
        return None

    def _write(
        self, job: Item | None, job_id: str
    ) -> int | CommitConflict | Failure:
        """Record that a job is cancelled.

        Each write expects the job as it was read. Without this, the record of
        a cancellation would stay for good if the job was removed meanwhile.
        """
        job_key = JOBS_PREFIX + job_id
        if job is None:
            record = withdrawn_submission(round(self._clock.wall_s() * 1000))
            return self._store.commit(
                [Condition(job_key, 0)], [Write(job_key, encode(record))]
            )
        key = CANCELLATIONS_PREFIX + job_id
        return self._store.commit(
            [Condition(key, 0), Condition(job_key, job.revision)],
            [Write(key, b"")],
        )


def refuse_withdrawn(stored: Item) -> Failure | None:
    """Return JOB_WITHDRAWN if a row only takes the place of a job.

    :returns: None if the row is a job, also if it cannot be decoded
    """
    record = decode(stored.value, SubmissionRecord)
    if isinstance(record, Failure) or not record.is_withdrawn:
        return None
    return JOB_WITHDRAWN.with_reason(
        "the job was cancelled before it was stored"
    )
