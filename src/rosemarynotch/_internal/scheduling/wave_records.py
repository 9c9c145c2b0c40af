"""State of maintenance waves, and their records in the store."""

from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models.codec import decode
from rosemarynotch._internal.models.codec import encode
from rosemarynotch._internal.scheduling.maintenance import Wave
from rosemarynotch._internal.scheduling.maintenance import WaveRecord
from rosemarynotch._internal.scheduling.ports import CommitConflict
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
    :ivar begun_at_s: for each VM whose maintenance has begun, when this node
        learned of it
    :ivar is_status_written: whether the status has been written at least once
    :ivar is_written: whether the store has the current record
    :ivar revision: revision of the record in the store, 0 if there is none;
        the next write of it expects this revision
    """

    wave: Wave
    seen_at_s: float
    record: WaveRecord
    cordoned: dict[str, str] = attrs.field(factory=dict)
    begun_at_s: dict[str, float] = attrs.field(factory=dict)
    is_status_written: bool = False
    is_completed: bool = False
    is_written: bool = True
    revision: int = 0

    def mark_begun(self, name: str, now_s: float) -> None:
        """Record that the maintenance of an ordered VM has begun."""
        self.begun_at_s[name] = now_s
        self.cordoned.pop(name, None)
        begun = {*self.record.begun, name}
        self.record = attrs.evolve(self.record, begun=tuple(sorted(begun)))
        self.is_written = False


class WaveStore:
    """Reads and writes the records of waves.

    A write without an answer may be applied seconds later, and must not
    replace a newer record. Each write therefore expects the revision of the
    record that this leader knows. The status is written only together with
    the record, so that this condition holds for it as well.
    """

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller

    @staticmethod
    def _key(wave: Wave) -> str:
        return f"{WAVES_PREFIX}{wave.number}"

    def read(self, wave: Wave) -> tuple[WaveRecord, int] | None:
        """Return the record of a wave and its revision.

        :returns: None if it cannot be read
        """
        item = self._controller.ports.store.get(self._key(wave))
        if isinstance(item, Failure):
            return (WaveRecord(), 0) if item.is_a(STORE_KEY_MISSING) else None
        record = decode(item.value, WaveRecord)
        if isinstance(record, Failure):
            self._controller.log(
                "wave record refused", wave=wave.number, why=record.reason
            )
            record = WaveRecord()
        return record, item.revision

    def write(self, state: RunningWave) -> bool:
        """Write the record and the status that the operator reads.

        :returns: whether the store has confirmed the write
        """
        state.is_written = self._commit(state)
        if not state.is_written:
            self._controller.log("wave not written", wave=state.wave.number)
        return state.is_written

    def _commit(self, state: RunningWave) -> bool:
        controller = self._controller
        ports, fence = controller.ports, controller.grant.fence
        key = self._key(state.wave)
        writes = [
            Write(key, encode(state.record)),
            Write(
                f"{ports.wave_status_prefix}{state.wave.number}",
                ports.encode_wave_status(state.is_completed),
            ),
        ]
        for _ in range(2):
            answer = ports.store.commit(
                [Condition(LEADER_KEY, fence), Condition(key, state.revision)],
                writes,
            )
            if isinstance(answer, int):
                state.revision = answer
                return True
            if not isinstance(answer, CommitConflict):
                return False
            # An earlier write without an answer was applied. The record known
            # here is the newer one.
            revisions = {item.key: item.revision for item in answer.items}
            if revisions.get(LEADER_KEY) != fence:
                return False
            state.revision = revisions.get(key, 0)
        return False
