"""Slots of this entry, computed from the demand of all entries."""

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
from rosemarynotch._internal.policy.fractional_slots import FractionalSlots
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
# Demand rows of an entry without heartbeats are used for this long. After
# that, an equal part of each pool is kept free for the entry.
ROW_EXPIRY_S = 30.0
# Minimum time between computations of the allocation, in seconds and as a
# multiple of the duration of the last one. The factor limits computations to
# 1 % of the time.
MIN_COMPUTE_INTERVAL_S = 0.2
COMPUTE_INTERVAL_FACTOR = 100
# Slot-seconds with the mean worth of the pool that are added to the slot time
# used by a team, so that its first few answers do not determine its weight.
PRIOR_SLOT_S = 2.0


class ShareTable:
    """Computes this entry's slots from the demand rows of all entries.

    Every entry computes the same allocation from nearly the same rows. Of
    each team's slots it uses the fraction that equals its part of the team's
    demand.

    :param name: name of this entry
    :param policy: allocates the slots of a pool to teams
    :param pool_slots: returns the slots of a pool's serving VMs
    :param team_share: returns a team's share, 0 for an unknown team
    :param entries: returns the names of all entries
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
        self._uses_sent_counters = False
        self._usage_by_entry: dict[str, EntryUsage] = {name: EntryUsage()}
        self._buckets: collections.deque = collections.deque()
        self._due_worth: collections.Counter = collections.Counter()
        self._bucket: collections.Counter = collections.Counter()
        self._bucket_start_s = clock.monotonic_s()
        self._computed_s = -math.inf
        self._next_compute_s = -math.inf
        self._target_slots: dict[Key, float] = {}
        self._fractional_slots = FractionalSlots(clock.monotonic_s())
        self._slots: dict[Key, int] = {}
        self._spare_slots: dict[str, float] = {}
        self._slot_ranges: dict[str, tuple[float, float]] = {}

    def slots(self, pool: str, team: str) -> float:
        """Return how many requests of a team may run at this entry.

        The number is whole. Fractions of slots are assigned by time, so that
        the slot time used by the team is correct on average.
        """
        with self._lock:
            return float(self._slots.get((pool, team), 0))

    def spare_slots(self, pool: str) -> float:
        """Return how many requests may run at this entry beyond slots().

        The limit applies to the sum over all teams of the requests that a
        team runs in excess of its slots.
        """
        with self._lock:
            spare = self._spare_slots.get(pool)
        if spare is None:
            return self._pool_slots(pool) / max(1, len(self._entries()))
        return spare

    def slot_range(self, pool: str) -> tuple[float, float]:
        """Return the range of the pool's slots that belongs to this entry.

        The slots of a pool are numbered, and the ranges of all entries follow
        each other in order of the entries' names. Thus entries that have the
        same rows use different slots.
        """
        with self._lock:
            found = self._slot_ranges.get(pool)
        if found is not None:
            return found
        names = sorted({*self._entries(), self._name})
        part = self._pool_slots(pool) / len(names)
        start = names.index(self._name) * part
        return start, start + part

    def update(self, own: tuple[DemandRow, ...]) -> None:
        """Record the demand of this entry and recompute its slots."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            entry = self._usage_by_entry[self._name]
            entry.set_rows(own, now_s)
            if not self._uses_sent_counters:
                entry.add_samples(own, now_s)
            if now_s >= self._next_compute_s:
                self._compute(now_s)
                took_s = self._clock.monotonic_s() - now_s
                wait_s = max(
                    MIN_COMPUTE_INTERVAL_S, COMPUTE_INTERVAL_FACTOR * took_s
                )
                self._next_compute_s = now_s + wait_s
            self._slots = self._fractional_slots.assign(
                self._target_slots, entry.rows, now_s
            )

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record the demand of another entry."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            entry = self._usage_of(heartbeat.sender, heartbeat.incarnation)
            entry.set_rows(heartbeat.demand, now_s)
            entry.add_samples(heartbeat.demand, now_s)

    def record_sent_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record this entry's counters as other entries know them.

        The present counters of an entry are newer than those it has from
        others. If each entry used its present ones, its teams would appear
        to have been served more than the others', each entry would use less
        than its part, and slots would remain unused.
        """
        with self._lock:
            self._uses_sent_counters = True
            now_s = self._clock.monotonic_s()
            self._usage_by_entry[self._name].add_samples(
                heartbeat.demand, now_s
            )

    def _usage_of(self, name: str, incarnation: str) -> EntryUsage:
        entry = self._usage_by_entry.get(name)
        if entry is None or entry.incarnation != incarnation:
            # The counters of a new incarnation start from 0.
            entry = self._usage_by_entry[name] = EntryUsage(incarnation)
        return entry

    def _compute(self, now_s: float) -> None:
        """Allocate the slots of all pools and set those of this entry."""
        names = set(self._entries()) | {self._name}
        self._usage_by_entry = {
            name: entry
            for name, entry in self._usage_by_entry.items()
            if name in names
        }
        reporting = [
            entry
            for name, entry in self._usage_by_entry.items()
            if name == self._name
            or now_s - entry.received_at_s <= ROW_EXPIRY_S
        ]
        by_pool: dict[str, dict[str, float]] = {}
        for entry in reporting:
            for (pool, team), row in entry.rows.items():
                teams = by_pool.setdefault(pool, {})
                teams[team] = teams.get(team, 0.0) + _demand(row)
        elapsed_s = min(now_s - self._computed_s, BUCKET_S)
        self._computed_s = now_s
        self._rotate_buckets(now_s)
        self._target_slots, self._spare_slots, self._slot_ranges = {}, {}, {}
        for pool, teams in by_pool.items():
            slots = self._pool_slots(pool) * len(reporting) / len(names)
            used = {
                team: self._total_used(reporting, (pool, team), now_s)
                for team in teams
            }
            allocation = self._compute_pool(
                pool, slots, teams, used, elapsed_s
            )
            self._slot_ranges[pool] = self._own_range(pool, teams, allocation)
            self._spare_slots[pool] /= len(reporting)

    @staticmethod
    def _total_used(reporting, key: Key, now_s: float) -> tuple[float, float]:
        used = [entry.used(key, now_s) for entry in reporting]
        return sum(item[0] for item in used), sum(item[1] for item in used)

    def _compute_pool(self, pool, slots, teams, used, elapsed_s):
        """Set this entry's slots and return the allocation of all entries."""
        demand = PoolDemand(
            slots=slots, teams=self._team_demands(pool, teams, used)
        )
        allocation = self._policy.allocate(demand)
        due = self._policy.allocate(_without_deficit(demand))
        for team in demand.teams:
            due_worth = due[team.team] * team.worth_per_slot_s * elapsed_s
            self._due_worth[(pool, team.team)] += due_worth
            self._bucket[(pool, team.team)] += due_worth
        own = self._usage_by_entry[self._name].rows
        for team, total in teams.items():
            row = own.get((pool, team))
            if row is not None and total:
                part = _demand(row) / total
                self._target_slots[(pool, team)] = allocation[team] * part
        self._spare_slots[pool] = max(0.0, slots - sum(allocation.values()))
        return allocation

    def _own_range(self, pool, teams, allocation) -> tuple[float, float]:
        """Return start and end of this entry's range of slots."""
        spare = self._spare_slots[pool] / len(self._usage_by_entry)
        start = 0.0
        for name in sorted(self._usage_by_entry):
            rows = self._usage_by_entry[name].rows
            part = spare + sum(
                allocation[team] * _demand(rows.get((pool, team))) / total
                for team, total in teams.items()
                if total
            )
            if name == self._name:
                return start, start + part
            start += part
        return start, start

    def _team_demands(self, pool, teams, used) -> tuple[TeamDemand, ...]:
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

    def _rotate_buckets(self, now_s: float) -> None:
        """Close the current bucket and drop buckets outside the window."""
        if now_s - self._bucket_start_s < BUCKET_S:
            return
        self._buckets.append((now_s, self._bucket))
        self._bucket, self._bucket_start_s = collections.Counter(), now_s
        while self._buckets and self._buckets[0][0] < now_s - WINDOW_S:
            _, old = self._buckets.popleft()
            self._due_worth.subtract(old)
        # Keeps positive values only; drops teams that are no longer active.
        self._due_worth = +self._due_worth


def _demand(row: DemandRow | None) -> int:
    return row.queued_requests + row.running_requests if row else 0


def _deficit(due: float, worth: float) -> float:
    """Return the fraction of the due worth that a team was not served.

    :param due: scaled to the total worth served, since a pool never has all
        of its slots in use
    """
    return (due - worth) / due if due > 0 else 0.0


def _without_deficit(demand: PoolDemand) -> PoolDemand:
    return attrs.evolve(
        demand,
        teams=tuple(attrs.evolve(team, deficit=0.0) for team in demand.teams),
    )
