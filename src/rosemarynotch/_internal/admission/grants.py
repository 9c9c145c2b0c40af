"""The right to send one request to one target."""

from typing import TYPE_CHECKING

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Answer

if TYPE_CHECKING:
    from rosemarynotch._internal.admission.completion import GrantCompletion

__all__ = ["Grant"]


@attrs.define(eq=False)
class Grant:
    """A slot, a permit and a target for one request.

    The owner of the grant calls :meth:`finish` or :meth:`hold` once; later
    calls have no effect.

    :ivar vm: name of the target VM
    :ivar address: host and port of the target
    :ivar is_open: whether neither :meth:`finish` nor :meth:`hold` was called
    :ivar is_held: whether slot and permit are kept after an unknown outcome;
        guarded by the dispatcher's lock
    :ivar answered_late: whether the late answer arrived before :meth:`hold`
        was called; guarded by the dispatcher's lock
    """

    vm: str
    address: str
    pool: str
    team: str
    urgent: bool
    worth: float
    started_s: float
    _completion: "GrantCompletion"
    is_open: bool = True
    is_held: bool = False
    answered_late: bool = False

    def finish(self, outcome: Answer | Failure, run_ms: float) -> None:
        """Release the slot and the permit of a request that no longer runs.

        :param outcome: the answer, or the failure; an answer with a status
            below 500 counts as served
        :param run_ms: time for which the target ran the request
        """
        if self.is_open:
            self.is_open = False
            self._completion.finish(self, outcome, run_ms)

    def hold(self, duration_ms: float) -> None:
        """Keep slot and permit while the request may still run."""
        if self.is_open:
            self.is_open = False
            self._completion.hold(self, duration_ms)

    def end_hold(self) -> None:
        """Release the slot and the permit early, after a late answer."""
        self._completion.end_hold(self)
