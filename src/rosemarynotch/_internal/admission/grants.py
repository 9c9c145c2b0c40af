"""The right to send one request to one target."""

from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Answer

if TYPE_CHECKING:
    from rosemarynotch._internal.admission.ends import GrantEnds

__all__ = ["Grant"]


@attrs.define(eq=False)
class Grant:
    """A slot, a permit and a target for one request.

    The holder calls :meth:`finish` or :meth:`hold` once; later calls have
    no effect.

    :ivar is_held: guarded by the dispatcher's lock
    :ivar has_ended: the late answer came before :meth:`hold`; guarded alike
    :ivar vm: name of the target VM
    :ivar address: host and port of the target
    """

    vm: str
    address: str
    pool: str
    team: str
    urgent: bool
    worth: float
    started_s: float
    _ends: "GrantEnds"
    is_open: bool = True
    is_held: bool = False
    has_ended: bool = False

    def finish(self, outcome: Answer | Failure, run_ms: float) -> None:
        """Free the slot and the permit: the request does not run any more.

        :param outcome: an answer counts as served
        :param run_ms: time for which the target ran the request
        """
        if self.is_open:
            self.is_open = False
            self._ends.finish(self, outcome, run_ms)

    def hold(self, duration_ms: float) -> None:
        """Keep slot and permit: the request may run for this time yet."""
        if self.is_open:
            self.is_open = False
            self._ends.hold(self, duration_ms)

    def end_hold(self) -> None:
        """Free slot and permit early: the target has answered after all."""
        self._ends.end_hold(self)
