"""The record of documents that were tried."""

import attrs

from rosemarynotch._internal.exceptions import DOCUMENT_NOT_TRIED
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.reference.records import RecordStore

__all__ = ["Trial", "TrialRecord", "Trials", "TRIED_KEY"]

TRIED_KEY = "config/tried"
# About 60 KB. At 640 changes a day this is the record of half a day; an
# older document can be tried again.
MAX_TRIALS = 300
WRITE_ATTEMPTS = 3


@attrs.frozen(kw_only=True)
class Trial:
    """A document that was in force in a trial environment.

    :ivar environment: name of that environment
    """

    digest: str
    operator: str
    reason: str
    tried_at_s: float
    environment: str


@attrs.frozen(kw_only=True)
class TrialRecord:
    """Trials, newest first, one for each digest."""

    trials: tuple[Trial, ...] = ()

    def find(self, digest: str) -> Trial | None:
        """Return the trial of a digest."""
        return next((t for t in self.trials if t.digest == digest), None)


class Trials:
    """Reads and adds trials."""

    def __init__(self, records: RecordStore) -> None:
        self._records = records

    def find(self, digest: str) -> Trial | Failure:
        """Return the trial of a digest.

        :returns: the trial, DOCUMENT_NOT_TRIED or STORE_UNAVAILABLE
        """
        read = self._records.read(TRIED_KEY, TrialRecord)
        if isinstance(read, Failure) and not read.is_a(STORE_KEY_MISSING):
            return read
        found = None
        if not isinstance(read, Failure):
            found = read.value.find(digest)
        if found is None:
            return DOCUMENT_NOT_TRIED.with_reason(
                f"{digest[:12]} was not tried"
            )
        return found

    def add(self, trial: Trial) -> None | Failure:
        """Record a trial. Adding it twice is harmless.

        :returns: None or STORE_UNAVAILABLE
        """

        def change(record: TrialRecord) -> TrialRecord:
            if record.find(trial.digest):
                return record
            kept = record.trials[: MAX_TRIALS - 1]
            return TrialRecord(trials=(trial, *kept))

        for _ in range(WRITE_ATTEMPTS):
            written = self._records.update(
                TRIED_KEY, TrialRecord, TrialRecord(), change
            )
            if not isinstance(written, Failure):
                return None
            if written.ran is Ran.NO:
                break
        return written
