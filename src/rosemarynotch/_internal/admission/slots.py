"""Use of one pool's slots by teams at this entry."""

import math

import attrs

from rosemarynotch._internal.utils.clock import Clock

__all__ = ["PoolSlots", "TeamUse"]

# Served worth of the past decides the order with this time constant, the
# period over which the shares correct deficits.
WORTH_MEMORY_S = 30.0
EPSILON = 1e-9
RUN_TIME_WEIGHT = 0.1


@attrs.define
class TeamUse:
    """What a team uses and used in a pool.

    :ivar slot_s: slot time used so far, that of running requests included
    :ivar recent_worth: served worth, which fades out
    :ivar running_worth: worth of what runs
    :ivar mean_run_s: run time of its recent requests, late ones included
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
    """Counts what runs in a pool and decides who may start.

    The dispatcher's lock guards it.

    :param pool: name of the pool
    :param shares: gives the slots of teams and the spare ones
    :param clock: lets served worth fade out
    """

    def __init__(self, pool: str, shares, clock: Clock) -> None:
        self._pool = pool
        self._shares = shares
        self._clock = clock
        self.teams: dict[str, TeamUse] = {}

    @property
    def running(self) -> int:
        """Return the number of requests that run."""
        return sum(use.running for use in self.teams.values())

    @property
    def urgent_running(self) -> int:
        """Return the number of urgent requests that run."""
        return sum(use.urgent_running for use in self.teams.values())

    def use(self, team: str) -> TeamUse:
        """Return the use of a team, brought up to the present."""
        now_s = self._clock.monotonic_s()
        use = self.teams.get(team)
        if use is None:
            use = self.teams[team] = TeamUse(updated_s=now_s)
        if now_s > use.updated_s:
            passed_s = now_s - use.updated_s
            use.updated_s = now_s
            use.slot_s += use.running * passed_s
            use.recent_worth *= math.exp(-passed_s / WORTH_MEMORY_S)
        return use

    def may_start(
        self, team: str, urgent: bool, reserve: int, spare: float
    ) -> bool:
        """Tell whether a slot is there for one more request of a team.

        :param reserve: slots that urgent work may use here at once; the
            pool's reserve is not part of the shares
        :param spare: from :meth:`spare_left`, which is the same for all teams
        """
        use = self.use(team)
        if urgent:
            urgent_running = self.urgent_running
            if urgent_running >= max(1, int(self._part() / 2)):
                return False
            if urgent_running < reserve:
                return True
        running = use.running - min(use.urgent_running, reserve)
        if running + 1 <= self._slots_of(team) + EPSILON:
            return True
        return spare + EPSILON >= 1

    def spare_left(self, reserve: int) -> float:
        """Return the spare slots that no team uses beyond its own."""
        spare = self._shares.spare_slots(self._pool)
        return spare - self._over_share(reserve)

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

        :param served: it was answered in time
        :param ended: the target has answered, so ``run_s`` is its run time
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
        """Return how long a request waits behind others of its team."""
        if not ahead:
            return 0.0
        slots = self._shares.slots(self._pool, team)
        parallel = max(1.0, slots, self.use(team).running)
        return ahead * self.use(team).mean_run_s / parallel

    def expected_run_s(self, team: str) -> float:
        """Return how long a request of a team runs.

        It is 0 while nothing of the team runs: one request is let through
        even if it seems hopeless, so that a change for the better shows.
        """
        use = self.use(team)
        return use.mean_run_s if use.running else 0.0

    def _over_share(self, reserve):
        """Return what teams run beyond their slots, the reserve left out."""
        over = sum(
            max(0.0, use.running - self._slots_of(team))
            for team, use in self.teams.items()
            if use.running
        )
        return over - min(self.urgent_running, reserve)

    def _part(self):
        """Return this entry's part of the pool."""
        slots = sum(self._slots_of(team) for team in self.teams)
        return slots + self._shares.spare_slots(self._pool)

    def _slots_of(self, team):
        return self._shares.slots(self._pool, team)
