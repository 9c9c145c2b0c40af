"""Rate-limited reading of the platform's VM list."""

import logbook

from rosemarynotch._internal.control.fleet import is_list_plausible
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.reference.interface import PlatformVm
from rosemarynotch._internal.reference.interface import VmService
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["VmList"]

# A row takes about 130 bytes of JSON. Control may use 3 KB/s in total, half of
# which is reserved for leases, records and job batches.
ROW_BYTES = 130
LIST_BYTES_PER_S = 1_500
MIN_INTERVAL_S = 1.0

_log = logbook.Logger(__name__)


class VmList:
    """Fetches the list as often as the traffic budget allows.

    A list is applied only to the fleet record that was current when it was
    fetched, and to this process's own changes of that record. Once another
    process has changed the record, the record may have newer data about an
    instance than the list, so a new list is fetched.

    :ivar rows: the last list
    :ivar read_s: monotonic time at which the last list was requested
    :ivar alarm: why the last list is implausible, empty if it is not
    """

    def __init__(self, vms: VmService, clock: Clock) -> None:
        self._vms = vms
        self._clock = clock
        self.rows: list[PlatformVm] = []
        self.read_s = float("-inf")
        self._base_record: FleetRecord | None = None
        self._requested_s = float("-inf")
        self._next_request_s = float("-inf")
        self.alarm = ""

    def refresh(self, record: FleetRecord, needed: bool = False) -> None:
        """Fetch the list if due.

        :param record: the fleet record before the call
        :param needed: fetch the list even before the traffic budget allows it
        """
        now_s = self._clock.monotonic_s()
        if record is not self._base_record and record == self._base_record:
            self._base_record = record
        due_s = self._next_request_s
        if needed or record is not self._base_record:
            due_s = self._requested_s + MIN_INTERVAL_S
        if now_s < due_s:
            return
        self._requested_s = now_s
        rows = self._vms.vms()
        if isinstance(rows, Failure):
            self._next_request_s = now_s + MIN_INTERVAL_S
            return
        size_bytes = len(rows) * ROW_BYTES
        self._next_request_s = now_s + max(
            MIN_INTERVAL_S, size_bytes / LIST_BYTES_PER_S
        )
        self.rows = rows
        self.read_s = now_s
        self._base_record = record
        self._set_alarm(record, rows)

    def rows_for(self, record: FleetRecord) -> list[PlatformVm]:
        """Return the list if applicable to this record, else an empty list."""
        same = record is self._base_record or record == self._base_record
        return self.rows if same else []

    def record_own_change(self, record: FleetRecord) -> None:
        """Keep the list applicable after this process wrote the record."""
        if self._base_record is not None:
            self._base_record = record

    def _set_alarm(self, record: FleetRecord, rows: list[PlatformVm]) -> None:
        alarm = ""
        if not rows:
            alarm = "the platform's VM list is empty"
        elif not is_list_plausible(record, rows):
            alarm = "the platform's VM list lacks over half of the known VMs"
        if alarm != self.alarm:
            self.alarm = alarm
            _log.warning("VM list: {}", alarm or "plausible again")
