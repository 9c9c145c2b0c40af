"""Passes accepted jobs and cancellations from the store to the scheduler."""

from collections.abc import Iterable
from collections.abc import Iterator
import threading
from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_HISTORY_LOST
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.ports import Listing
from rosemarynotch._internal.scheduling.records import CANCELLATIONS_PREFIX
from rosemarynotch._internal.scheduling.records import INTAKE_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord
from rosemarynotch._internal.utils.process_memory import resident_mb

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["IntakeFeed"]

# Bounds the time until a watch whose connection has gone silent is noticed.
WATCH_MS = 1500
RETRY_S = 0.1
# The watch reports a write within milliseconds. Hinted keys that are still
# unknown after this time are read from the store.
HINT_GRACE_S = 0.04
# Hinted keys accumulate only while the store does not answer. Those above this
# limit are dropped, since the watch or a new listing reports them later.
MAX_HINTED_KEYS = 2000


class IntakeFeed:
    """Lists the jobs and cancellations once and then watches for new ones.

    A job is used only if the term still lasted when the store's answer had
    been received. The next leader counts the jobs created before its term as
    inherited, and starts them only when no worker can have them. A job that
    was created later must therefore not be started by this leader, which may
    start tasks for some seconds after its term.

    The position of the watch separates new jobs from old ones: a job that was
    created up to it, but is not known, was refused or forgotten. It is not
    added again, whatever returns it.
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._revision = 0
        # Protects the hinted keys, which several threads add.
        self._lock = threading.Lock()
        self._hinted_keys: dict[str, None] = {}
        self._hint_event = threading.Event()

    def load(self) -> bool:
        """Read all jobs with their progress.

        They are read page by page, so that the memory which this takes does
        not grow with their number.

        :returns: False if the store did not answer, or not within the term
        """
        controller = self._controller
        store = controller.ports.store
        progress = _ProgressReader(store.pages(PROGRESS_PREFIX))
        counts = _ReadCounts()
        revision = 0
        for page in store.pages(INTAKE_PREFIX):
            if isinstance(page, Failure):
                return self._log_not_read(page)
            revision = revision or page.revision
            for item in page.items:
                record = None
                if not _is_cancellation(item):
                    record = progress.find(item.key.removeprefix(JOBS_PREFIX))
                if isinstance(record, Failure):
                    return self._log_not_read(record)
                if not controller.is_running:
                    return False
                counts.add(item, record)
                with controller.lock:
                    self._apply(item, record)
        if not controller.is_running:
            return False
        controller.log(
            "jobs read",
            unloaded=len(controller.scheduler.unloaded),
            resident_mb=round(resident_mb()),
            **attrs.asdict(counts),
        )
        with controller.lock:
            controller.scheduler.advance_intake(revision)
        self._revision = revision
        return True

    def _log_not_read(self, failure: Failure) -> bool:
        self._controller.log("jobs not read", why=failure.reason)
        return False

    def record_hint(self, keys: Iterable[str]) -> None:
        """Record keys that a node has written.

        Keys that the watch does not report soon are read from the store.
        """
        with self._lock:
            if len(self._hinted_keys) < MAX_HINTED_KEYS:
                self._hinted_keys.update(dict.fromkeys(keys))
                self._hint_event.set()

    def run_hints(self) -> None:
        """Read hinted keys that the watch does not report.

        Runs until the term ends.
        """
        controller = self._controller
        while controller.is_running:
            if not self._hint_event.wait(WATCH_MS / 1000):
                continue
            with self._lock:
                self._hint_event.clear()
                keys, self._hinted_keys = self._hinted_keys, {}
            controller.stop.wait(HINT_GRACE_S)
            for key in keys:
                if not controller.is_running:
                    return
                self._read_hinted(key)

    def _read_hinted(self, key: str) -> None:
        controller = self._controller
        if self._is_known(key):
            return
        item = controller.ports.store.get(key)
        if not isinstance(item, Failure):
            controller.metrics.count("hints", outcome="read")
            self._post((item,))
        elif not item.is_a(STORE_KEY_MISSING):
            self.record_hint([key])
            controller.stop.wait(RETRY_S)

    def _is_known(self, key: str) -> bool:
        scheduler = self._controller.scheduler
        if key.startswith(JOBS_PREFIX):
            return scheduler.is_known(key.removeprefix(JOBS_PREFIX))
        return key.removeprefix(CANCELLATIONS_PREFIX) in (
            scheduler.cancelled_ids
        )

    def run(self) -> None:
        """Watch for new jobs and cancellations until the term ends."""
        controller = self._controller
        while controller.is_running:
            changes = controller.ports.store.watch(
                INTAKE_PREFIX, self._revision, WATCH_MS
            )
            if not isinstance(changes, Failure):
                self._revision = max(self._revision, changes.revision)
                self._post(changes.items, self._revision)
                continue
            if changes.is_a(STORE_HISTORY_LOST):
                controller.log(
                    "intake listed again",
                    why=changes.reason,
                    after=self._revision,
                )
                self._list_again()
            controller.stop.wait(RETRY_S)

    def _list_again(self) -> None:
        revision = 0
        for page in self._controller.ports.store.pages(INTAKE_PREFIX):
            if isinstance(page, Failure):
                return
            revision = revision or page.revision
            self._post(page.items)
        self._revision = revision
        self._post((), revision)

    def _post(self, items: tuple[Item, ...], revision: int = 0) -> None:
        """Pass items that were just received to the scheduling thread.

        If the term may have ended, only the cancellations are passed on. They
        start no task and free none, and prevent starts that nobody wants.

        :param revision: up to which the items are complete, together with
            those passed on before; 0 if they are single ones
        """
        controller = self._controller
        found = [item for item in items if item.value is not None]
        if not controller.is_running:
            revision = 0
            jobs = [item for item in found if not _is_cancellation(item)]
            found = [item for item in found if _is_cancellation(item)]
            if jobs:
                controller.log(
                    "jobs not added",
                    count=len(jobs),
                    why="received after the term",
                )
        # One event each, so that an item that cannot be applied costs only
        # itself: those after it would count as passed on.
        for item in found:
            controller.post(lambda now_s, item=item: self._apply(item))
        if revision:
            controller.post(
                lambda now_s: controller.scheduler.advance_intake(revision)
            )

    def _apply(self, item: Item, progress: Item | None = None) -> None:
        """Apply a job or a cancellation.

        :param progress: progress record of the job, None if it has none
        """
        scheduler = self._controller.scheduler
        if _is_cancellation(item):
            job_id = item.key.removeprefix(CANCELLATIONS_PREFIX)
            # A job is created before its cancellation. If it is not known
            # though the cancellation was passed on, it will not be added.
            is_held = job_id in scheduler.jobs or job_id in scheduler.unloaded
            if is_held or not scheduler.was_passed(item.revision):
                scheduler.cancel(job_id)
            return
        job_id = item.key.removeprefix(JOBS_PREFIX)
        if scheduler.is_known(job_id):
            return
        if scheduler.was_passed(item.revision):
            self._controller.log(
                "job not added",
                job=job_id,
                revision=item.revision,
                intake_revision=scheduler.intake_revision,
                why="refused or forgotten before",
            )
            return
        self._add_job(item, progress)

    def add_unloaded(
        self,
        job_id: str,
        item: Item | None,
        progress: Item | None,
        now_s: float,
    ) -> None:
        """Add a job that was left in the store before.

        :param item: its record, None if the store has none
        :param progress: its progress record, None if it has none
        """
        scheduler = self._controller.scheduler
        if job_id not in scheduler.unloaded:
            return
        if item is not None:
            self._add_job(item, progress, is_needed=True)
        # A job that the store lacks, or that was refused, is not read again.
        scheduler.unloaded.pop(job_id)
        scheduler.apply_withheld(job_id, now_s)

    def _add_job(
        self, item: Item, known: Item | None, is_needed: bool = False
    ) -> None:
        """Decode a job with its progress and add it.

        :param known: its progress record, None if it has none
        :param is_needed: whether it is added even if there is no memory
        """
        scheduler = self._controller.scheduler
        job_id = item.key.removeprefix(JOBS_PREFIX)
        submission = decode(item.value, SubmissionRecord)
        if isinstance(submission, Failure):
            self._controller.log(
                "job refused", job=job_id, why=submission.reason
            )
            scheduler.refuse(job_id, item.revision)
            return
        record = None
        if known is not None:
            record = decode(known.value, ProgressRecord)
            if isinstance(record, Failure):
                self._controller.log(
                    "progress refused", job=job_id, why=record.reason
                )
                scheduler.refuse(job_id, item.revision)
                return
        job = scheduler.add_job(
            job_id,
            submission,
            item.revision,
            record,
            known.revision if known else 0,
            is_needed,
        )
        if job is None:
            self._controller.log(
                "progress refused", job=job_id, why="not of this job"
            )
            scheduler.refuse(job_id, item.revision)


@attrs.define
class _ReadCounts:
    """What was read of the store, in items and bytes."""

    intake_items: int = 0
    intake_bytes: int = 0
    progress_items: int = 0
    progress_bytes: int = 0

    def add(self, item: Item, progress: Item | None) -> None:
        """Count a job or a cancellation, and its progress record."""
        self.intake_items += 1
        self.intake_bytes += len(item.value or b"")
        if progress is not None:
            self.progress_items += 1
            self.progress_bytes += len(progress.value or b"")


class _ProgressReader:
    """Finds the progress records of jobs that are listed in order.

    Jobs and progress records have the same order, so one page of the records
    is held at a time. None is written between the start of a term and the end
    of its first listing.
    """

    def __init__(self, pages: Iterator[Listing | Failure]) -> None:
        self._pages = pages
        self._items: dict[str, Item] = {}
        self._last_key = ""
        self._is_complete = False

    def find(self, job_id: str) -> Item | None | Failure:
        """Return the progress record of a job, None if it has none.

        :param job_id: job after those that were asked for before
        """
        key = PROGRESS_PREFIX + job_id
        while self._last_key < key and not self._is_complete:
            page = next(self._pages, None)
            if isinstance(page, Failure):
                return page
            self._is_complete = page is None
            if page is not None and page.items:
                self._items = {item.key: item for item in page.items}
                self._last_key = page.items[-1].key
        return self._items.get(key)


def _is_cancellation(item: Item) -> bool:
    return item.key.startswith(CANCELLATIONS_PREFIX)
