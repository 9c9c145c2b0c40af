"""Slots of pools for teams at this entry."""

__all__ = ["ShareTable"]


class ShareTable:
    """An equal split over entries and teams, without exchange of demand."""

    def __init__(self, in_force, fleet, members, clock) -> None:
        self._in_force = in_force
        self._fleet = fleet
        self._members = members

    def slots(self, pool: str, team: str) -> float:
        """Return the slots of a team."""
        teams = self._in_force.current.document.teams
        return self.spare_slots(pool) / max(1, len(teams))

    def spare_slots(self, pool: str) -> float:
        """Return the slots that any team may use."""
        slots = sum(vm.slots for _, vm in self._fleet.serving(pool))
        return slots / max(1, len(self._members.entries()))

    def update(self, own) -> None:
        """Take this entry's demand."""

    def note_heartbeat(self, heartbeat) -> None:
        """Take another entry's demand."""
