"""State of maintenance waves, and their records in the store."""

from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.maintenance import WaveRecord
from rosemarynotch._internal.scheduling.ports import Condition
from rosemarynotch._internal.scheduling.ports import Write
from rosemarynotch._internal.scheduling.records import LEADER_KEY

if TYPE_CHECKING:
    from rosemarynotch._internal.scheduling.controller import Controller

__all__ = ["RunningWave", "WaveStore"]

WAVES_PREFIX = "waves/"


@attrs.define
class RunningWave:
    """State of a wave while this node leads.

    :ivar seen_at_s: when a leader first saw the wave, on the local clock
    :ivar cordoned: VMs that are being emptied, with their workers
    :ivar confirmed_at_s: for each VM, when the VM service confirmed the order
        for its maintenance
    :ivar is_status_written: whether the status has been written at least once
    :ivar is_written: whether the store has the current record
    """

    wave: Wave
    seen_at_s: float
    record: WaveRecord
    cordoned: dict[str, str] = attrs.field(factory=dict)
    confirmed_at_s: dict[str, float] = attrs.field(factory=dict)
    is_status_written: bool = False
    is_completed: bool = False
    is_written: bool = True

    @property
    def down_count(self) -> int:
        """Return the number of VMs that are down or may go down.

        It includes VMs whose order had no answer and may take effect late.
        """
        return len(self.record.ordered) - len(self.record.back)


class WaveStore:
    """Reads and writes the records of waves."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller

    @staticmethod
    def _key(wave: Wave) -> str:
        return f"{WAVES_PREFIX}{wave.number}"

    def read(self, wave: Wave) -> WaveRecord | None:
        """Return the record of a wave, None if it cannot be read."""
        item = self._controller.ports.store.get(self._key(wave))
        if isinstance(item, Failure):
            return WaveRecord() if item.is_a(STORE_KEY_MISSING) else None
        record = decode(item.value, WaveRecord)
        return WaveRecord() if isinstance(record, Failure) else record

    def write(self, state: RunningWave) -> bool:
        """Write the record and the status that the operator reads.

        :returns: whether the store has confirmed the write
        """
        controller = self._controller
        ports = controller.ports
        answer = ports.store.commit(
            [Condition(LEADER_KEY, controller.grant.fence)],
            [
                Write(self._key(state.wave), encode(state.record)),
                Write(
                    f"{ports.wave_status_prefix}{state.wave.number}",
                    ports.encode_wave_status(state.is_completed),
                ),
            ],
        )
        state.is_written = isinstance(answer, int)
        if not state.is_written:
            controller.log("wave not written", wave=state.wave.number)
        return state.is_written
