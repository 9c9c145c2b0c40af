"""All changes of one control pass."""

from rosemarynotch._internal.control.fleet import add_declared
from rosemarynotch._internal.control.fleet import drain_undeclared
from rosemarynotch._internal.control.fleet import follow_list
from rosemarynotch._internal.control.fleet import is_list_plausible
from rosemarynotch._internal.control.moves import begin_moves
from rosemarynotch._internal.control.moves import finish_moves
from rosemarynotch._internal.control.vm_list import VmList
from rosemarynotch._internal.control.waves import advance_drained
from rosemarynotch._internal.control.waves import advance_waves
from rosemarynotch._internal.control.waves import WaveInputs
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.records import FleetRecord
from rosemarynotch._internal.models.records import WaveState
from rosemarynotch._internal.policy.moves import Move
from rosemarynotch._internal.policy.waves import WavePolicy

__all__ = ["FleetChange"]


class FleetChange:
    """All changes of one pass, applied to whatever value is current.

    :param record: the record as this process knows it
    :param may_drain: whether drains may begin; declared VMs are added in
        any case
    :ivar used_list: whether the last call was given a record to which the
        VM list may be applied
    """

    def __init__(
        self,
        record: FleetRecord,
        document: Document,
        vm_list: VmList,
        wave_policy: WavePolicy,
        inputs: WaveInputs,
        moves: list[Move],
        may_drain: bool = True,
    ) -> None:
        self._record = record
        self._document = document
        self._list = vm_list
        self._wave_policy = wave_policy
        self._inputs = inputs
        self._moves = moves
        self._may_drain = may_drain
        self._rows = vm_list.rows
        self.used_list = False

    def is_repeated(self, idle: "FleetChange | None") -> bool:
        """Tell whether this is sure to change nothing.

        That is so if an earlier pass changed nothing and has seen the same
        record, list, document and failures, and no work goes on.
        """
        if idle is None or self._goes_on:
            return False
        return (
            idle._record is self._record
            and idle._rows is self._rows
            and idle._document is self._document
            and idle._may_drain is self._may_drain
            and idle._inputs.ejected == self._inputs.ejected
            and idle._inputs.settled == self._inputs.settled
        )

    @property
    def _goes_on(self) -> bool:
        active = any(
            wave.state in (WaveState.RUNNING, WaveState.PAUSED)
            for wave in self._record.waves.values()
        )
        return active or bool(self._moves or self._inputs.drained)

    def __call__(self, record: FleetRecord) -> FleetRecord:
        """Return the record after this pass, itself if nothing changes."""
        inputs = self._inputs
        listed = self._list.rows_for(record)
        self.used_list = bool(listed)
        if listed and is_list_plausible(record, listed):
            record = follow_list(record, listed)
        record = add_declared(record, self._document)
        if not self._may_drain:
            return advance_drained(finish_moves(record), inputs)
        record = drain_undeclared(
            record, self._document, inputs.token, inputs.ejected
        )
        record = finish_moves(record)
        record = advance_waves(
            record, self._document, self._wave_policy, inputs
        )
        record = advance_drained(record, inputs)
        return begin_moves(
            record,
            self._document,
            self._moves,
            inputs.token,
            inputs.ejected,
        )
