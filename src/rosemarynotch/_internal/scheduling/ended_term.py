"""What a process knows of its last term as the leader."""

from collections.abc import Mapping

import attrs

__all__ = ["EndedTerm"]


@attrs.frozen(kw_only=True)
class EndedTerm:
    """When the leases on workers end that were granted up to a term.

    In an outage of the store, the leader often loses its term and leads again
    in the next one. It then need not assume that leases were granted up to its
    new term: no other leader can have granted any.

    :ivar lease_ends_s: time on the local steady clock, by worker; workers
        that it lacks have no leases
    """

    term: int
    lease_ends_s: Mapping[str, float]

    def known_lease_ends_s(self, term: int) -> Mapping[str, float] | None:
        """Return when earlier leases end, as seen from a later term.

        :returns: None if another leader may have granted leases since
        """
        return self.lease_ends_s if term == self.term + 1 else None
