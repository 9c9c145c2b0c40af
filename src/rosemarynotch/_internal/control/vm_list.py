"""The platform's VM list as the control loop uses it."""

import logbook

from rosemarynotch._internal.control.fleet import is_list_plausible
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.reference.interface import PlatformVm
from rosemarynotch._internal.reference.interface import VmService
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["VmList"]

# A row takes about 130 bytes of JSON. Control may use 3 KB/s in all, and
# half of that is left for leases, records and job batches.
ROW_BYTES = 130
LIST_BYTES_PER_S = 1_500
SHORTEST_INTERVAL_S = 1.0

_log = logbook.Logger(__name__)


class VmList:
    """Fetches the list as often as the traffic budget allows.

    A list is used only together with the fleet record that was current when
    it was fetched, and with this process's own changes to that record. Once
    another process has changed the record, the list may be older than what
    the record says about an instance, and a new one is fetched.

    :ivar rows: the last list
    :ivar read_s: monotonic time at which the last list was requested
    :ivar alarm: why the last list was not used, empty when it was
    """

    def __init__(self, vms: VmService, clock: Clock) -> None:
        self._vms = vms
        self._clock = clock
        self.rows: list[PlatformVm] = []
        self.read_s = float("-inf")
        self._base: FleetRecord | None = None
        self._fetched_s = float("-inf")
        self._next_s = float("-inf")
        self.alarm = ""

    def refresh(self, record: FleetRecord, needed: bool = False) -> None:
        """Fetch the list if that is due.

        :param record: the fleet record before the call
        :param needed: whether to fetch it before the budget allows it
        """
        now_s = self._clock.monotonic_s()
        if record is not self._base and record == self._base:
            self._base = record
        due_s = self._next_s
        if needed or record is not self._base:
            due_s = self._fetched_s + SHORTEST_INTERVAL_S
        if now_s < due_s:
            return
        self._fetched_s = now_s
        rows = self._vms.vms()
        if isinstance(rows, Failure):
            self._next_s = now_s + SHORTEST_INTERVAL_S
            return
        size_bytes = len(rows) * ROW_BYTES
        self._next_s = now_s + max(
            SHORTEST_INTERVAL_S, size_bytes / LIST_BYTES_PER_S
        )
        self.rows = rows
        self.read_s = now_s
        self._base = record
        self._set_alarm(record, rows)

    def rows_for(self, record: FleetRecord) -> list[PlatformVm]:
        """Return the list if it may be applied to this record."""
        same = record is self._base or record == self._base
        return self.rows if same else []

    def note_own_change(self, record: FleetRecord) -> None:
        """Go on using the list after this process wrote the record."""
        if self._base is not None:
            self._base = record

    def _set_alarm(self, record: FleetRecord, rows: list[PlatformVm]) -> None:
        alarm = ""
        if not rows:
            alarm = "the platform's VM list is empty"
        elif not is_list_plausible(record, rows):
            alarm = "the platform's VM list lacks over half of the known VMs"
        if alarm != self.alarm:
            self.alarm = alarm
            _log.warning("VM list: {}", alarm or "plausible again")
