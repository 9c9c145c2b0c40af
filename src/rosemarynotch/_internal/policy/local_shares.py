"""Baseline of the share table: local queues with an equal split."""

from typing import Callable

__all__ = ["LocalShares"]


class LocalShares:
    """Gives each entry the same part of a pool, for any of its teams.

    The order of the dispatcher alone decides between teams, and only
    between those that wait at the same entry. It has the interface of
    :class:`~rosemarynotch._internal.policy.shares.ShareTable`.

    :param pool_slots: pool -> slots of its serving VMs
    :param entries: () -> names of all entries
    """

    def __init__(
        self,
        pool_slots: Callable[[str], float],
        entries: Callable[[], list[str]],
    ) -> None:
        self._pool_slots = pool_slots
        self._entries = entries

    def slots(self, pool: str, team: str) -> float:
        """Return 0: no team has slots of its own."""
        return 0.0

    def spare_slots(self, pool: str) -> float:
        """Return this entry's part of the pool."""
        return self._pool_slots(pool) / max(1, len(self._entries()))

    def slot_range(self, pool: str) -> tuple[float, float]:
        """Return an empty part: no target is preferred."""
        return 0.0, 0.0

    def update(self, own) -> None:
        """Ignore this entry's demand."""

    def note_heartbeat(self, heartbeat) -> None:
        """Ignore another entry's demand."""

    def record_sent_heartbeat(self, heartbeat) -> None:
        """Ignore what was sent."""
