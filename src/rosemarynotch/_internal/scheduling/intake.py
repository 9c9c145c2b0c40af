"""Acceptance, state and cancellation of jobs in the store.

Every node provides these operations, whether it leads or not.
"""

from collections.abc import Callable
from concurrent.futures import Future
import queue
import threading

import attrs

from rosemarynotch._internal.exceptions import ACCEPTANCE_UNKNOWN
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import JOB_TOO_LARGE
from rosemarynotch._internal.exceptions import JOB_UNKNOWN
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import REQUEST_MALFORMED
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.exceptions import STORE_UNAVAILABLE
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.access import CallerAccess
from rosemarynotch._internal.scheduling.cancellations import JobCanceller
from rosemarynotch._internal.scheduling.cancellations import refuse_withdrawn
from rosemarynotch._internal.scheduling.ports import CommitConflict
from rosemarynotch._internal.scheduling.ports import Condition
from rosemarynotch._internal.scheduling.ports import CoordinationStore
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import LOAD_KEY
from rosemarynotch._internal.scheduling.records import LoadRecord
from rosemarynotch._internal.scheduling.records import Phase
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["JobIntake"]

# A transaction has at most 32 entries, and a job needs two of them.
MAX_BATCH = 15
# Keeps a whole batch below one megabyte, the store's limit for one value.
MAX_RECORD_BYTES = 60_000
# Maximum age of the leader's counts; the platform allows counts to be 2 s old.
MAX_LOAD_AGE_MS = 1500
LOAD_READ_INTERVAL_S = 0.5
# Maximum age of counts that this node has made itself.
COUNT_MAX_AGE_S = 1.0
# A job that waits behind other writes, and was never sent, is then refused.
SUBMIT_RETRY_TIME_S = 0.6
# Share of the caller's waiting time in which a write without an answer is
# repeated. The caller of such a job can neither be refused nor come back. The
# last attempt may add a time-out of the store (0.8 s).
UNKNOWN_RETRY_SHARE = 0.6
RETRY_S = 0.05
# Interval at which an idle writer checks whether it has to stop.
IDLE_POLL_S = 0.5
# Share of the caller's waiting time after which no new attempt starts.
RETRY_TIME_SHARE = 0.2


@attrs.define
class _PendingJob:
    """A job that waits to be written.

    Each job is encoded before it is queued, so that a record that cannot be
    encoded or stored does not fail a whole batch.

    :ivar settle_until_s: when repeating a write without an answer ends
    :ivar is_unknown: an earlier attempt had no answer and may have stored it
    """

    job_id: str
    record: bytes
    configuration_revision: int
    retry_until_s: float
    settle_until_s: float
    result: Future
    is_unknown: bool = False


class JobIntake:
    """Writes accepted jobs to the store and reads their state.

    :param configuration_key: key whose revision must be unchanged when a job
        is stored, so that no job is accepted under an outdated configuration
    :param on_written: called with the keys that were written
    """

    def __init__(
        self,
        store: CoordinationStore,
        clock: Clock,
        configuration_key: str,
        log: Callable[..., None],
        on_written: Callable[[list[str]], None] = lambda keys: None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._configuration_key = configuration_key
        self._log = log
        self._on_written = on_written
        self._canceller = JobCanceller(store, clock, log, on_written)
        self._load: LoadRecord | None = None
        self._load_read_at_s = -1e9
        self._count_lock = threading.Lock()
        self._counts: dict[str, int] | Failure = {}
        self._counted_at_s = -1e9
        self._queue: queue.SimpleQueue[_PendingJob] = queue.SimpleQueue()

    def submit(
        self,
        job_id: str,
        record: SubmissionRecord,
        configuration_revision: int,
        wait_ms: int = 0,
    ) -> None | Failure | CommitConflict:
        """Store a job unless it is stored already.

        :param wait_ms: how long the caller waits, 0 if not given
        :returns: None if the job is stored, by this or an earlier attempt; a
            CommitConflict if the configuration has changed meanwhile; a
            failure, with ``ran`` NO only if this attempt can never be stored,
            as with JOB_WITHDRAWN, if it was cancelled before it was stored
        """
        try:
            encoded = encode(record)
        except (OverflowError, TypeError, ValueError) as error:
            return REQUEST_MALFORMED.with_reason(str(error))
        if len(encoded) > MAX_RECORD_BYTES:
            reason = (
                f"the job's record has {len(encoded)} bytes; at most "
                f"{MAX_RECORD_BYTES} are allowed"
            )
            return JOB_TOO_LARGE.with_reason(reason)
        retry_time_s = settle_time_s = SUBMIT_RETRY_TIME_S
        if wait_ms:
            wait_s = wait_ms / 1000
            retry_time_s = min(retry_time_s, wait_s * RETRY_TIME_SHARE)
            settle_time_s = max(retry_time_s, wait_s * UNKNOWN_RETRY_SHARE)
        now_s = self._clock.monotonic_s()
        pending = _PendingJob(
            job_id,
            encoded,
            configuration_revision,
            now_s + retry_time_s,
            now_s + settle_time_s,
            Future(),
        )
        self._queue.put(pending)
        return pending.result.result()

    def run(self, stop: threading.Event) -> None:
        """Write batches of queued jobs until the process stops."""
        while not stop.is_set():
            batch = self._refuse_overdue(self._next_batch())
            if not batch:
                continue
            try:
                self._write(batch)
            except Exception as error:
                # The jobs may have been stored. The callers need an answer.
                why = ACCEPTANCE_UNKNOWN.with_reason(repr(error))
                self._log("intake failed", jobs=len(batch), why=why.reason)
                for each in batch:
                    if not each.result.done():
                        each.result.set_result(why)

    def _next_batch(self) -> list[_PendingJob]:
        batch: list[_PendingJob] = []
        try:
            batch.append(self._queue.get(timeout=IDLE_POLL_S))
            while len(batch) < MAX_BATCH:
                batch.append(self._queue.get_nowait())
        except queue.Empty:
            pass
        revisions = {each.configuration_revision for each in batch}
        newest = max(revisions, default=0)
        # A transaction has one condition on the configuration, and a job id
        # may occur only once in it. Other jobs go back to the queue.
        chosen: dict[str, _PendingJob] = {}
        for each in batch:
            if each.configuration_revision != newest or (
                each.job_id in chosen
            ):
                self._queue.put(each)
            else:
                chosen[each.job_id] = each
        return list(chosen.values())

    def _refuse_overdue(self, batch: list[_PendingJob]) -> list[_PendingJob]:
        """Refuse jobs that waited too long and were never sent to the store.

        :returns: the other jobs of the batch
        """
        now_s = self._clock.monotonic_s()
        remaining = []
        for each in batch:
            if each.is_unknown or now_s < each.retry_until_s:
                remaining.append(each)
            else:
                why = STORE_UNAVAILABLE.with_reason(
                    "the job was queued too long behind other writes"
                )
                each.result.set_result(why)
        return remaining

    def _write(self, batch: list[_PendingJob]) -> None:
        conditions = [
            Condition(self._configuration_key, batch[0].configuration_revision)
        ]
        conditions += [
            Condition(JOBS_PREFIX + each.job_id, 0) for each in batch
        ]
        writes = [
            Write(JOBS_PREFIX + each.job_id, each.record) for each in batch
        ]
        answer = self._store.commit(conditions, writes)
        if isinstance(answer, int):
            for each in batch:
                each.result.set_result(None)
            self._on_written([JOBS_PREFIX + each.job_id for each in batch])
        elif isinstance(answer, CommitConflict):
            self._handle_conflict(batch, answer)
        else:
            self._handle_failure(batch, answer)

    def _handle_conflict(
        self, batch: list[_PendingJob], conflict: CommitConflict
    ) -> None:
        found = {item.key: item for item in conflict.items}
        configuration = found.get(self._configuration_key)
        for each in batch:
            stored = found.get(JOBS_PREFIX + each.job_id)
            if stored is not None:
                each.result.set_result(refuse_withdrawn(stored))
            elif (
                configuration is None
                or configuration.revision != each.configuration_revision
            ):
                # Earlier attempts without an answer can no longer be applied
                # either, since their condition on the configuration never
                # holds again.
                each.result.set_result(conflict)
            else:
                self._queue.put(each)

    def _handle_failure(
        self, batch: list[_PendingJob], failure: Failure
    ) -> None:
        now_s = self._clock.monotonic_s()
        for each in batch:
            each.is_unknown |= failure.ran is not Ran.NO
            if not each.is_unknown:
                each.result.set_result(failure)
            elif now_s >= each.settle_until_s:
                reason = failure.reason
                each.result.set_result(ACCEPTANCE_UNKNOWN.with_reason(reason))
            else:
                self._queue.put(each)
        self._clock.sleep(RETRY_S)

    def is_known(self, job_id: str) -> bool | Failure:
        """Return whether a job is stored."""
        item = self._store.get(JOBS_PREFIX + job_id)
        if not isinstance(item, Failure):
            return True
        return False if item.is_a(STORE_KEY_MISSING) else item

    def phase(self, job_id: str, access: CallerAccess) -> Phase | Failure:
        """Return the phase of a job.

        :returns: the phase, JOB_UNKNOWN or STORE_UNAVAILABLE
        """
        # A final phase never changes, so a stale read of it is correct. It
        # costs a tenth of a consistent read.
        progress = self._progress(job_id, allow_stale=True)
        if isinstance(progress, Failure) or not progress.phase.is_final:
            progress = self._progress(job_id)
        if not isinstance(progress, Failure):
            if not access.permits(progress.organisation, progress.queue):
                return JOB_UNKNOWN
            return progress.phase
        item = progress
        if not item.is_a(STORE_KEY_MISSING):
            return item
        found = self._submission(job_id, access)
        return found if isinstance(found, Failure) else Phase.QUEUED

    def _progress(
        self, job_id: str, allow_stale: bool = False
    ) -> ProgressRecord | Failure:
        item = self._store.get(PROGRESS_PREFIX + job_id, allow_stale)
        if isinstance(item, Failure):
            return item
        return decode(item.value, ProgressRecord)

    def _submission(
        self, job_id: str, access: CallerAccess
    ) -> SubmissionRecord | Failure:
        item = self._store.get(JOBS_PREFIX + job_id)
        if isinstance(item, Failure):
            if item.is_a(STORE_KEY_MISSING):
                return JOB_UNKNOWN.with_reason(job_id)
            return item
        record = decode(item.value, SubmissionRecord)
        if isinstance(record, Failure):
            return record
        if not access.permits(record.organisation, record.queue):
            return JOB_UNKNOWN.with_reason(job_id)
        return record

    def cancel(self, job_id: str, access: CallerAccess) -> None | Failure:
        """Cancel a job, see :meth:`JobCanceller.cancel`."""
        return self._canceller.cancel(job_id, access)

    def waiting_count(self, queue_name: str) -> int | Failure:
        """Return the number of jobs of a queue that have not started."""
        load = self._read_load()
        if load is None:
            return self._count_waiting(queue_name)
        return load.waiting.get(queue_name, 0)

    def load(self) -> LoadRecord | None:
        """Return the load of the queues, None if it is not known."""
        now_s = self._clock.monotonic_s()
        if now_s - self._load_read_at_s > LOAD_READ_INTERVAL_S:
            self._load_read_at_s = now_s
            self._load = self._read_load()
        return self._load

    def _read_load(self) -> LoadRecord | None:
        """Return the load record of the leader, None if it is too old."""
        # A stale read will do, since the age of the record is checked below.
        item = self._store.get(LOAD_KEY, allow_stale=True)
        if isinstance(item, Failure):
            return None
        load = decode(item.value, LoadRecord)
        if isinstance(load, Failure):
            self._log("load refused", why=load.reason)
            return None
        age_ms = self._clock.wall_s() * 1000 - load.written_unix_ms
        return load if abs(age_ms) < MAX_LOAD_AGE_MS else None

    def _count_waiting(self, queue_name: str) -> int | Failure:
        """Count jobs in the store while no leader publishes counts.

        One listing at a time serves all callers of the node, to spare a
        recovering store, from which the next leader has to read the same
        items.
        """
        with self._count_lock:
            age_s = self._clock.monotonic_s() - self._counted_at_s
            if age_s > COUNT_MAX_AGE_S:
                # Failures are cached as well. Otherwise each queued caller
                # would wait for the time-out of a silent store in turn.
                self._counts = self._count_in_store()
                self._counted_at_s = self._clock.monotonic_s()
            counts = self._counts
        if isinstance(counts, Failure):
            return counts
        return counts.get(queue_name, 0)

    def _count_in_store(self) -> dict[str, int] | Failure:
        # Only the names are kept of each page, as the records of all jobs may
        # take more memory than the node has.
        started: set[str] = set()
        for page in self._store.pages(PROGRESS_PREFIX):
            if isinstance(page, Failure):
                return page
            started.update(
                item.key.removeprefix(PROGRESS_PREFIX)
                for item in page.items
                if _has_started(item)
            )
        counts: dict[str, int] = {}
        for page in self._store.pages(JOBS_PREFIX):
            if isinstance(page, Failure):
                return page
            for item in page.items:
                if item.key.removeprefix(JOBS_PREFIX) in started:
                    continue
                record = decode(item.value, SubmissionRecord)
                if not isinstance(record, Failure):
                    counts[record.queue] = counts.get(record.queue, 0) + 1
        return counts


def _has_started(item: Item) -> bool:
    """Tell whether a progress record is that of a job that does not wait."""
    record = decode(item.value, ProgressRecord)
    # A waiting job has one, too, if its queue has changed its pool.
    return isinstance(record, Failure) or record.phase is not Phase.QUEUED
