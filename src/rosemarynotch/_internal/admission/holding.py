"""Permits that one process holds under the limit of one team."""

import attrs

from rosemarynotch._internal.admission.portions import assigned_requests
from rosemarynotch._internal.admission.portions import portion_of
from rosemarynotch._internal.admission.portions import PortionRequest
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
    """Permits of one team in this process.

    Guarded by the lock of the permit table.

    :ivar running: permits in use
    :ivar usable: requests that may run; never above the recorded portion
    :ivar record: the newest limit record that was read or written
    :ivar revision: the revision of ``record``
    :ivar refused_s: time at which a permit was last refused
    :ivar trim: whether to give up idle permits beyond the fair portion
    :ivar portion_requests: requests of holders that are short, by name
    """

    running: int = 0
    usable: int = 0
    record: LimitRecord = LimitRecord(limit_requests=0, config_version=0)
    revision: int = 0
    refused_s: float = -float("inf")
    trim: bool = False
    portion_requests: dict[str, PortionRequest] = attrs.field(factory=dict)

    def own_portion(self, me: Member) -> int:
        """Return the recorded portion of this process."""
        return portion_of(self.record, me.name, me.incarnation)

    def exceeds_limit(self) -> bool:
        """Tell whether the sum of portions exceeds a lowered limit."""
        return assigned_requests(self.record) > self.record.limit_requests

    def is_outdated(self, limit: Limit) -> bool:
        """Tell whether the record has the limit of an older document."""
        older = self.record.config_version < limit.config_version
        return older and self.record.limit_requests != limit.requests

    def allowed(self, me: Member, limit: Limit) -> int:
        """Return the number of requests that this process may run.

        While the sum of portions exceeds a lowered limit, a request may
        start only if it fits under the limit beside the portions of all
        other holders. The total number running thus never rises while it is
        above the limit. Until the record has the lowered limit, nothing may
        start, because others may still claim under the earlier limit.
        """
        lowered = limit.requests < self.record.limit_requests
        if lowered and self.is_outdated(limit):
            return 0
        own = self.own_portion(me)
        others = assigned_requests(self.record) - own
        return min(own, max(0, self.record.limit_requests - others))
