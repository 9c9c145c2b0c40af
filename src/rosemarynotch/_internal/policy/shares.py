"""Slots of this entry, from the demand of all entries."""

import collections
import math
import threading
from typing import Callable

import attrs

from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.policy.allocation import EqualSplit
from rosemarynotch._internal.policy.allocation import PoolDemand
from rosemarynotch._internal.policy.allocation import SharePolicy
from rosemarynotch._internal.policy.allocation import TeamDemand
from rosemarynotch._internal.policy.allocation import WeightedMaxMin
from rosemarynotch._internal.policy.turns import SlotTurns
from rosemarynotch._internal.policy.usage import EntryUsage
from rosemarynotch._internal.policy.usage import Key
from rosemarynotch._internal.policy.usage import WINDOW_S
from rosemarynotch._internal.utils.clock import Clock

__all__ = [
    "EqualSplit",
    "PoolDemand",
    "SharePolicy",
    "ShareTable",
    "TeamDemand",
    "WeightedMaxMin",
]

BUCKET_S = 1.0
# Rows of an entry that is not heard are used for this time, then its equal
# part of each pool is left to it.
LAST_KNOWN_S = 30.0
# The allocation is computed at most this often, and takes at most one part
# in COMPUTE_PART of the time.
COMPUTE_S = 0.2
COMPUTE_PART = 100
# Slot-seconds with the mean worth of the pool that are added to what a team
# used, so that its first few answers do not decide its weight.
PRIOR_SLOT_S = 2.0


class ShareTable:
    """Computes what this entry may run, from own and heard demand rows.

    Every entry computes the same allocation from nearly the same rows and
    takes of each team's slots the fraction that it has of the demand.

    :param name: this entry
    :param pool_slots: pool -> slots of its serving VMs
    :param team_share: team -> its share, 0 when unknown
    :param entries: () -> names of all entries
    """

    def __init__(
        self,
        name: str,
        policy: SharePolicy,
        clock: Clock,
        pool_slots: Callable[[str], float],
        team_share: Callable[[str], float],
        entries: Callable[[], list[str]],
    ) -> None:
        self._name = name
        self._policy = policy
        self._clock = clock
        self._pool_slots = pool_slots
        self._team_share = team_share
        self._entries = entries
        self._lock = threading.Lock()
        self._counts_sent = False
        self._table: dict[str, EntryUsage] = {name: EntryUsage()}
        self._buckets: collections.deque = collections.deque()
        self._due_worth: collections.Counter = collections.Counter()
        self._bucket: collections.Counter = collections.Counter()
        self._bucket_s = clock.monotonic_s()
        self._computed_s = -math.inf
        self._compute_due_s = -math.inf
        self._wanted: dict[Key, float] = {}
        self._turns = SlotTurns(clock.monotonic_s())
        self._slots: dict[Key, int] = {}
        self._spare: dict[str, float] = {}
        self._ranges: dict[str, tuple[float, float]] = {}

    def slots(self, pool: str, team: str) -> float:
        """Return how many requests of a team may run here.

        It is a whole number. Fractions are given in turns, so that the
        team's use is right on average.
        """
        with self._lock:
            return float(self._slots.get((pool, team), 0))

    def spare_slots(self, pool: str) -> float:
        """Return how many requests may run here beyond the teams' slots.

        It counts over all teams together: the sum of what each team has
        running beyond its slots may reach this number.
        """
        with self._lock:
            spare = self._spare.get(pool)
        if spare is None:
            return self._pool_slots(pool) / max(1, len(self._entries()))
        return spare

    def slot_range(self, pool: str) -> tuple[float, float]:
        """Return this entry's part of the pool's slots, laid in a row.

        The parts of all entries follow each other in order of their names,
        so that entries which know the same rows use different slots.
        """
        with self._lock:
            found = self._ranges.get(pool)
        if found is not None:
            return found
        names = sorted({*self._entries(), self._name})
        part = self._pool_slots(pool) / len(names)
        start = names.index(self._name) * part
        return start, start + part

    def update(self, own: tuple[DemandRow, ...]) -> None:
        """Take the demand of this entry and renew its slots."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            entry = self._table[self._name]
            entry.take(own, now_s)
            if not self._counts_sent:
                entry.count(own, now_s)
            if now_s >= self._compute_due_s:
                self._compute(now_s)
                cost_s = self._clock.monotonic_s() - now_s
                wait_s = max(COMPUTE_S, COMPUTE_PART * cost_s)
                self._compute_due_s = now_s + wait_s
            self._slots = self._turns.give(self._wanted, entry.rows, now_s)

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the demand of another entry."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            entry = self._entry(heartbeat.sender, heartbeat.incarnation)
            entry.take(heartbeat.demand, now_s)
            entry.count(heartbeat.demand, now_s)

    def record_sent_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the own counters as other entries know them.

        The own counters are newer than those of others. If each entry used
        them, its teams would seem to have got more than others, each would
        take less than its part, and slots would stay unused.
        """
        with self._lock:
            self._counts_sent = True
            now_s = self._clock.monotonic_s()
            self._table[self._name].count(heartbeat.demand, now_s)

    def _entry(self, name: str, incarnation: str) -> EntryUsage:
        entry = self._table.get(name)
        if entry is None or entry.incarnation != incarnation:
            # The counters of a new incarnation start from 0.
            entry = self._table[name] = EntryUsage(incarnation)
        return entry

    def _compute(self, now_s: float) -> None:
        """Allocate all pools and take this entry's fractions."""
        names = set(self._entries()) | {self._name}
        self._table = {
            name: entry for name, entry in self._table.items() if name in names
        }
        known = [
            entry
            for name, entry in self._table.items()
            if name == self._name or now_s - entry.heard_s <= LAST_KNOWN_S
        ]
        by_pool: dict[str, dict[str, float]] = {}
        for entry in known:
            for (pool, team), row in entry.rows.items():
                teams = by_pool.setdefault(pool, {})
                teams[team] = teams.get(team, 0.0) + _demand(row)
        elapsed_s = min(now_s - self._computed_s, BUCKET_S)
        self._computed_s = now_s
        self._roll(now_s)
        self._wanted, self._spare, self._ranges = {}, {}, {}
        for pool, teams in by_pool.items():
            slots = self._pool_slots(pool) * len(known) / len(names)
            used = {
                team: self._used(known, (pool, team), now_s) for team in teams
            }
            allocation = self._compute_pool(
                pool, slots, teams, used, elapsed_s
            )
            self._ranges[pool] = self._range(pool, teams, allocation)
            self._spare[pool] /= len(known)

    @staticmethod
    def _used(known, key: Key, now_s: float) -> tuple[float, float]:
        used = [entry.used(key, now_s) for entry in known]
        return sum(item[0] for item in used), sum(item[1] for item in used)

    def _compute_pool(self, pool, slots, teams, used, elapsed_s):
        """Take this entry's fractions and return the whole allocation."""
        demand = PoolDemand(
            slots=slots, teams=self._demands(pool, teams, used)
        )
        allocation = self._policy.allocate(demand)
        due = self._policy.allocate(_without_deficit(demand))
        for team in demand.teams:
            due_worth = due[team.team] * team.worth_per_slot_s * elapsed_s
            self._due_worth[(pool, team.team)] += due_worth
            self._bucket[(pool, team.team)] += due_worth
        own = self._table[self._name].rows
        for team, total in teams.items():
            row = own.get((pool, team))
            if row is not None and total:
                part = _demand(row) / total
                self._wanted[(pool, team)] = allocation[team] * part
        self._spare[pool] = max(0.0, slots - sum(allocation.values()))
        return allocation

    def _range(self, pool, teams, allocation) -> tuple[float, float]:
        """Return where this entry's part begins and ends."""
        spare = self._spare[pool] / len(self._table)
        start = 0.0
        for name in sorted(self._table):
            rows = self._table[name].rows
            part = spare + sum(
                allocation[team] * _demand(rows.get((pool, team))) / total
                for team, total in teams.items()
                if total
            )
            if name == self._name:
                return start, start + part
            start += part
        return start, start

    def _demands(self, pool, teams, used) -> tuple[TeamDemand, ...]:
        worth = sum(used_worth for used_worth, _ in used.values())
        slot_s = sum(used_slot_s for _, used_slot_s in used.values())
        mean = worth / slot_s if worth and slot_s else 1.0
        due = {team: self._due_worth[(pool, team)] for team in teams}
        total_due = sum(due.values())
        served_part = worth / total_due if total_due else 0.0
        return tuple(
            TeamDemand(
                team=team,
                demand_slots=demand,
                share=self._team_share(team),
                worth_per_slot_s=(used[team][0] + mean * PRIOR_SLOT_S)
                / (used[team][1] + PRIOR_SLOT_S),
                deficit=_deficit(due[team] * served_part, used[team][0]),
            )
            for team, demand in teams.items()
        )

    def _roll(self, now_s: float) -> None:
        """Close the current bucket and drop those outside the window."""
        if now_s - self._bucket_s < BUCKET_S:
            return
        self._buckets.append((now_s, self._bucket))
        self._bucket, self._bucket_s = collections.Counter(), now_s
        while self._buckets and self._buckets[0][0] < now_s - WINDOW_S:
            _, old = self._buckets.popleft()
            self._due_worth.subtract(old)
        # Positive values only, which drops teams that are not active.
        self._due_worth = +self._due_worth


def _demand(row: DemandRow | None) -> int:
    return row.queued_requests + row.running_requests if row else 0


def _deficit(due: float, worth: float) -> float:
    """Return the part of the due worth that a team did not get.

    :param due: scaled to what was served in total, since a pool never
        delivers all of its slots
    """
    return (due - worth) / due if due > 0 else 0.0


def _without_deficit(demand: PoolDemand) -> PoolDemand:
    return attrs.evolve(
        demand,
        teams=tuple(attrs.evolve(team, deficit=0.0) for team in demand.teams),
    )
