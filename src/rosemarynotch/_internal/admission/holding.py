"""What one process holds of one team's limit."""

import attrs

from rosemarynotch._internal.admission.portions import Ask
from rosemarynotch._internal.admission.portions import assigned
from rosemarynotch._internal.admission.portions import held_by
from rosemarynotch._internal.models.records import LimitRecord
from rosemarynotch._internal.models.records import Member

__all__ = ["Holding", "Limit"]


@attrs.frozen
class Limit:
    """A team's limit in the document in force; 0 for a removed team."""

    requests: int
    config_version: int


@attrs.define
class Holding:
    """Permits of one team in this process; guarded by the lock of its owner.

    :ivar usable: requests that may run; never above the recorded portion
    :ivar record: the newest record that was read or written
    :ivar refused_s: when a permit was refused last
    :ivar trim: whether to give up what is idle beyond the fair part
    :ivar asks: holders that are short, by name
    """

    running: int = 0
    usable: int = 0
    record: LimitRecord = LimitRecord(limit_requests=0, config_version=0)
    revision: int = 0
    refused_s: float = -float("inf")
    trim: bool = False
    asks: dict[str, Ask] = attrs.field(factory=dict)

    def mine(self, me: Member) -> int:
        """Return the recorded portion of this process."""
        return held_by(self.record, me.name, me.incarnation)

    def is_above(self) -> bool:
        """Tell whether the portions exceed a lowered limit."""
        return assigned(self.record) > self.record.limit_requests

    def is_outdated(self, limit: Limit) -> bool:
        """Tell whether the record lacks the limit of a newer document."""
        older = self.record.config_version < limit.config_version
        return older and self.record.limit_requests != limit.requests

    def allowed(self, me: Member, limit: Limit) -> int:
        """Return what the newest record allows this process to run.

        While the portions exceed a lowered limit, a request may start only
        if it fits beside the portions of all others: the number running
        then never rises while it is above the limit. As long as the record
        does not have the lowered limit, others may still claim under the
        earlier one, and nothing may start.
        """
        lowered = limit.requests < self.record.limit_requests
        if lowered and self.is_outdated(limit):
            return 0
        mine = self.mine(me)
        others = assigned(self.record) - mine
        return min(mine, max(0, self.record.limit_requests - others))
