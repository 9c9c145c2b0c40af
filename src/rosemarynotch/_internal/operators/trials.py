"""The record of documents that were tried in a trial environment."""

import attrs

from rosemarynotch._internal.exceptions import DOCUMENT_NOT_TRIED
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.reference.records import RecordStore

__all__ = ["Trial", "TrialRecord", "Trials", "TRIED_KEY"]

TRIED_KEY = "config/tried"
# A full record has about 60 KB. At 640 changes a day, it covers half a day;
# an older document has to be tried again.
MAX_TRIALS = 300
WRITE_ATTEMPTS = 3


@attrs.frozen(kw_only=True)
class Trial:
    """A document that was in force in a trial environment.

    :ivar tried_at_s: wall time at which it was accepted
    :ivar environment: name of the trial environment
    """

    digest: str
    operator: str
    reason: str
    tried_at_s: float
    environment: str


@attrs.frozen(kw_only=True)
class TrialRecord:
    """The newest trials, newest first, with at most one for each digest."""

    trials: tuple[Trial, ...] = ()

    def find(self, digest: str) -> Trial | None:
        """Return the trial of a digest, or None."""
        return next((t for t in self.trials if t.digest == digest), None)


class Trials:
    """Reads and extends the record of trials in the store."""

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
                f"no trial of digest {digest[:12]}"
            )
        return found

    def add(self, trial: Trial) -> None | Failure:
        """Record a trial unless its digest already has one.

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
