"""Slots of a pool in use by teams at this entry."""

import math

import attrs

from rosemarynotch._internal.utils.clock import Clock

__all__ = ["PoolSlots", "TeamUse"]

# Time constant with which served worth decays. It is the period over which
# the shares correct deficits.
WORTH_DECAY_S = 30.0
EPSILON = 1e-9
RUN_TIME_WEIGHT = 0.1


@attrs.define
class TeamUse:
    """Present and past use of a pool by a team.

    :ivar slot_s: slot time used so far, including that of running requests
    :ivar recent_worth: served worth with exponential decay
    :ivar running_worth: total worth of running requests
    :ivar mean_run_s: moving average of run times, including late answers
    """

    running: int = 0
    urgent_running: int = 0
    running_worth: float = 0.0
    served_worth: float = 0.0
    slot_s: float = 0.0
    recent_worth: float = 0.0
    updated_s: float = 0.0
    mean_run_s: float = 0.0


class PoolSlots:
    """Counts running requests in a pool and decides which teams may start.

    Guarded by the dispatcher's lock.

    :param pool: name of the pool
    :param shares: gives the slots of each team and the spare slots
    :param clock: times slot use and the decay of served worth
    """

    def __init__(self, pool: str, shares, clock: Clock) -> None:
        self._pool = pool
        self._shares = shares
        self._clock = clock
        self.teams: dict[str, TeamUse] = {}

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return sum(use.running for use in self.teams.values())

    @property
    def urgent_running(self) -> int:
        """Return the number of running urgent requests."""
        return sum(use.urgent_running for use in self.teams.values())

    def use(self, team: str) -> TeamUse:
        """Return the use of a team, updated to the current time."""
        now_s = self._clock.monotonic_s()
        use = self.teams.get(team)
        if use is None:
            use = self.teams[team] = TeamUse(updated_s=now_s)
        if now_s > use.updated_s:
            passed_s = now_s - use.updated_s
            use.updated_s = now_s
            use.slot_s += use.running * passed_s
            use.recent_worth *= math.exp(-passed_s / WORTH_DECAY_S)
        return use

    def may_start(
        self, team: str, urgent: bool, reserve: int, spare: float
    ) -> bool:
        """Tell whether a slot is free for one more request of a team.

        Urgent requests use at most half of this entry's slots, but may use
        at least one.

        :param reserve: this entry's part of the urgent reserve, which urgent
            requests may use and which is not part of the shares
        :param spare: result of :meth:`unused_spare_slots`, the same for all
            teams
        """
        use = self.use(team)
        if urgent:
            urgent_running = self.urgent_running
            if urgent_running >= max(1, int(self._entry_slots() / 2)):
                return False
            if urgent_running < reserve:
                return True
        running = use.running - min(use.urgent_running, reserve)
        if running + 1 <= self._slots_of(team) + EPSILON:
            return True
        return spare + EPSILON >= 1

    def unused_spare_slots(self, reserve: int) -> float:
        """Return the spare slots that no request occupies."""
        spare = self._shares.spare_slots(self._pool)
        return spare - self._slots_over_share(reserve)

    def start(self, team: str, urgent: bool, worth: float) -> None:
        """Count a request that starts."""
        use = self.use(team)
        use.running += 1
        use.urgent_running += urgent
        use.running_worth += worth

    def stop(
        self,
        team: str,
        urgent: bool,
        worth: float,
        run_s: float,
        served: bool,
        ended: bool,
    ) -> None:
        """Count a request that ended or that no longer holds its slot.

        :param served: whether it was answered in time, with a status below
            500
        :param ended: whether it was served or its answer arrived late, so
            that ``run_s`` is a run time for the mean
        """
        use = self.use(team)
        use.running -= 1
        use.urgent_running -= urgent
        use.running_worth -= worth
        if served:
            use.served_worth += worth
            use.recent_worth += worth
        if ended:
            mean_s = use.mean_run_s or run_s
            use.mean_run_s = mean_s + RUN_TIME_WEIGHT * (run_s - mean_s)

    def estimated_wait_s(self, team: str, ahead: int) -> float:
        """Return the estimated wait of a request behind others of its team.

        :param ahead: number of requests ahead of it
        """
        if not ahead:
            return 0.0
        slots = self._shares.slots(self._pool, team)
        parallel = max(1.0, slots, self.use(team).running)
        return ahead * self.use(team).mean_run_s / parallel

    def expected_run_s(self, team: str) -> float:
        """Return the expected run time of a team's request.

        It is 0 while the team has no running request. One request is then
        sent even if the mean run time exceeds its deadline, so that a
        decrease of the run time can be observed.
        """
        use = self.use(team)
        return use.mean_run_s if use.running else 0.0

    def _slots_over_share(self, reserve):
        """Return the slots that teams use beyond their own and the reserve."""
        over = sum(
            max(0.0, use.running - self._slots_of(team))
            for team, use in self.teams.items()
            if use.running
        )
        return over - min(self.urgent_running, reserve)

    def _entry_slots(self):
        """Return the number of slots of the pool that this entry may use."""
        slots = sum(self._slots_of(team) for team in self.teams)
        return slots + self._shares.spare_slots(self._pool)

    def _slots_of(self, team):
        return self._shares.slots(self._pool, team)
