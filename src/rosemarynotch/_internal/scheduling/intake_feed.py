"""Brings accepted jobs and cancellations from the store to the leader."""

from typing import TYPE_CHECKING

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_HISTORY_LOST
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.scheduling.ports import Item
from rosemarynotch._internal.scheduling.records import CANCELLATIONS_PREFIX
from rosemarynotch._internal.scheduling.records import INTAKE_PREFIX
from rosemarynotch._internal.scheduling.records import JOBS_PREFIX
from rosemarynotch._internal.scheduling.records import PROGRESS_PREFIX
from rosemarynotch._internal.scheduling.records import ProgressRecord
from rosemarynotch._internal.scheduling.records import SubmissionRecord

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["IntakeFeed"]

# A watch whose connection went silent is noticed after this time.
WATCH_MS = 1500
RETRY_S = 0.1


class IntakeFeed:
    """Lists the intake once and then follows its changes."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller
        self._revision = 0

    def load(self) -> bool:
        """Read all jobs with their progress; return whether that worked."""
        store = self._controller.ports.store
        intake = store.list_prefix(INTAKE_PREFIX)
        progress = store.list_prefix(PROGRESS_PREFIX)
        if isinstance(intake, Failure) or isinstance(progress, Failure):
            return False
        records = {
            item.key.removeprefix(PROGRESS_PREFIX): item
            for item in progress.items
        }
        with self._controller.lock:
            for item in intake.items:
                self._apply(item, records)
        self._revision = intake.revision
        return True

    def run(self) -> None:
        """Follow changes until the term ends."""
        controller = self._controller
        while controller.is_running:
            changes = controller.ports.store.watch(
                INTAKE_PREFIX, self._revision, WATCH_MS
            )
            if not isinstance(changes, Failure):
                self._revision = max(self._revision, changes.revision)
                if changes.items:
                    controller.post(
                        lambda now_s, items=changes.items: self._add(items)
                    )
                continue
            if changes.is_a(STORE_HISTORY_LOST):
                controller.log("intake listed again", why=changes.reason)
                self._list_again()
            controller.stop.wait(RETRY_S)

    def _list_again(self) -> None:
        intake = self._controller.ports.store.list_prefix(INTAKE_PREFIX)
        if isinstance(intake, Failure):
            return
        self._revision = intake.revision
        self._controller.post(lambda now_s: self._add(intake.items))

    def _add(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.value is not None:
                self._apply(item, {})

    def _apply(self, item: Item, progress: dict[str, Item]) -> None:
        scheduler = self._controller.scheduler
        if item.key.startswith(CANCELLATIONS_PREFIX):
            scheduler.cancel(item.key.removeprefix(CANCELLATIONS_PREFIX))
            return
        job_id = item.key.removeprefix(JOBS_PREFIX)
        if job_id in scheduler.jobs:
            return
        submission = decode(item.value, SubmissionRecord)
        if isinstance(submission, Failure):
            self._controller.log(
                "job refused", job=job_id, why=submission.reason
            )
            return
        known, record = progress.get(job_id), None
        if known is not None:
            record = decode(known.value, ProgressRecord)
            if isinstance(record, Failure):
                self._controller.log(
                    "progress refused", job=job_id, why=record.reason
                )
                return
        scheduler.add_job(
            job_id,
            submission,
            item.revision,
            record,
            known.revision if known else 0,
        )
