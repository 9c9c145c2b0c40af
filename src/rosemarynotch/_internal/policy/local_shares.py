"""Share table that divides pools equally among entries (baseline)."""

from typing import Callable

__all__ = ["LocalShares"]


class LocalShares:
    """Gives each entry an equal part of a pool, without team slots (baseline).

    Only the order policy of the dispatcher decides between teams, and only
    between those with requests at the same entry. The interface is that of
    :class:`~rosemarynotch._internal.policy.shares.ShareTable`.

    :param pool_slots: returns the slots of a pool's serving VMs
    :param entries: returns the names of all entries
    """

    def __init__(
        self,
        pool_slots: Callable[[str], float],
        entries: Callable[[], list[str]],
    ) -> None:
        self._pool_slots = pool_slots
        self._entries = entries

    def slots(self, pool: str, team: str) -> float:
        """Return 0; no slots are reserved for a team."""
        return 0.0

    def spare_slots(self, pool: str) -> float:
        """Return this entry's part of the pool."""
        return self._pool_slots(pool) / max(1, len(self._entries()))

    def slot_range(self, pool: str) -> tuple[float, float]:
        """Return an empty range; no target is preferred."""
        return 0.0, 0.0

    def update(self, own) -> None:
        """Do nothing; this entry's demand is not used."""

    def record_heartbeat(self, heartbeat) -> None:
        """Do nothing; the demand of other entries is not used."""

    def record_sent_heartbeat(self, heartbeat) -> None:
        """Do nothing; sent counters are not used."""
