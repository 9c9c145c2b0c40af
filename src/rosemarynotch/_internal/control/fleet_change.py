"""The changes of one control pass to the fleet record."""

from rosemarynotch._internal.control.fleet import apply_vm_list
from rosemarynotch._internal.control.fleet import drain_undeclared
from rosemarynotch._internal.control.fleet import is_list_plausible
from rosemarynotch._internal.control.fleet import sync_declared
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
    """Computes the changes of one pass from the current record.

    An instance is called again with the newer value after a write conflict.

    :param record: the record known to this process when the pass began
    :param may_drain: whether new drains may begin; declared VMs are added
        regardless
    :ivar used_list: whether the VM list was applicable to the record of the
        last call
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
        self._vm_list = vm_list
        self._wave_policy = wave_policy
        self._inputs = inputs
        self._moves = moves
        self._may_drain = may_drain
        self._rows = vm_list.rows
        self.used_list = False

    def is_noop(self, last_noop: "FleetChange | None") -> bool:
        """Return whether this change is known to have no effect.

        This holds if an earlier pass without effect had the same record,
        list, document and failures, and there are no waves, moves or drained
        VMs to process.

        :param last_noop: the last change without effect, if any
        """
        if last_noop is None or self._has_work:
            return False
        return (
            last_noop._record is self._record
            and last_noop._rows is self._rows
            and last_noop._document is self._document
            and last_noop._may_drain is self._may_drain
            and last_noop._inputs.ejected == self._inputs.ejected
            and last_noop._inputs.lasting_failures
            == self._inputs.lasting_failures
        )

    @property
    def _has_work(self) -> bool:
        active = any(
            wave.state in (WaveState.RUNNING, WaveState.PAUSED)
            for wave in self._record.waves.values()
        )
        return active or bool(self._moves or self._inputs.drained)

    def __call__(self, record: FleetRecord) -> FleetRecord:
        """Return the record after this pass, the same object if unchanged."""
        inputs = self._inputs
        listed = self._vm_list.rows_for(record)
        self.used_list = bool(listed)
        if listed and is_list_plausible(record, listed):
            record = apply_vm_list(record, listed)
        record = sync_declared(record, self._document)
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
