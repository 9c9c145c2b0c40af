"""Queues, slots and order of one pool."""

import math
from typing import Callable
from typing import Iterator

from rosemarynotch._internal.admission.grants import Grant
from rosemarynotch._internal.admission.slots import PoolSlots
from rosemarynotch._internal.admission.waiting import PoolQueues
from rosemarynotch._internal.admission.waiting import Waiter
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.policy.ordering import OrderPolicy
from rosemarynotch._internal.policy.ordering import TeamCandidate
from rosemarynotch._internal.policy.routing import Candidate
from rosemarynotch._internal.policy.routing import own_slots
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["PoolState", "PoolTable", "untried_targets"]


def shareable_slots(fleet, document: Document, pool: str) -> int:
    """Return the slots of a pool that teams share: all but the reserve.

    :param fleet: serving VMs by pool
    """
    slots = sum(vm.slots for _, vm in fleet.serving(pool))
    spec = document.pool(pool)
    reserve = spec.urgent_reserve_slots if spec is not None else 0
    return max(0, slots - reserve)


class PoolState:
    """What waits for a pool and what uses it, at this entry.

    The dispatcher's lock guards it.

    :ivar short_teams: teams whose next request here waits for a permit
    """

    def __init__(
        self, name: str, shares, order: OrderPolicy, clock: Clock
    ) -> None:
        self.name = name
        self.queues = PoolQueues()
        self.slots = PoolSlots(name, shares, clock)
        self.short_teams: set[str] = set()
        self._order = order
        self._shares = shares

    def take(self, waiter: Waiter) -> None:
        """Take a request that starts out of its queue.

        The next one of its team is short only if it is refused a permit too,
        which the search for the next start shows.
        """
        self.queues.remove(waiter)
        self.short_teams.discard(waiter.request.team)

    def drop(self, waiter: Waiter) -> None:
        """Take a refused request out of its queue.

        Others of its team may still wait for a permit.
        """
        self.queues.remove(waiter)
        if not self.queues.queued(waiter.request.team):
            self.short_teams.discard(waiter.request.team)

    def note_own_slots(self, serving, targets: list[Candidate]) -> None:
        """Tell the targets how many of their slots are this entry's own.

        :param serving: name and record of the VMs that serve the pool
        """
        start, end = self._shares.slot_range(self.name)
        own = own_slots([(vm, rec.slots) for vm, rec in serving], start, end)
        for target in targets:
            target.own_slots = own.get(target.vm, 0.0)

    def valid_heads(
        self,
        urgent: bool,
        refuse: Callable[[Waiter], Failure | None],
        drop: Callable[[Waiter, Failure], None],
    ) -> list[Waiter]:
        """Return the first request of each team, without refused ones.

        :param refuse: tells why a request must not start any more
        :param drop: takes a refused request out of its queue
        """
        while True:
            heads = self.queues.heads(urgent)
            refused = False
            for head in heads:
                refusal = refuse(head)
                if refusal is not None:
                    drop(head, refusal)
                    refused = True
            if not refused:
                return heads

    def startable(
        self, heads: list[Waiter], document: Document, entries_count: int
    ) -> dict[str, Waiter]:
        """Return, by team, the requests for which a slot is there.

        :param entries_count: entries that divide the urgent reserve
        """
        spec = document.pool(self.name)
        reserve = spec.urgent_reserve_slots if spec else 0
        reserve = math.ceil(reserve / max(1, entries_count))
        spare = self.slots.spare_left(reserve)
        return {
            head.request.team: head
            for head in heads
            if self.slots.may_start(
                head.request.team, head.queue.urgent, reserve, spare
            )
        }

    def choose(self, heads: dict[str, Waiter], document: Document) -> str:
        """Return the team that goes next."""
        if len(heads) == 1:
            return next(iter(heads))
        turns = []
        for team, head in heads.items():
            use = self.slots.use(team)
            spec = document.team(team)
            worth = use.recent_worth + use.running_worth
            share = spec.share if spec else 0.0
            turns.append(TeamCandidate(team, head.arrival, share, worth))
        return self._order.choose(self.name, turns).team

    def demand(self) -> list[DemandRow]:
        """Return demand and service by team since the start."""
        return [self._row(team) for team in self.slots.teams]

    def _row(self, team: str) -> DemandRow:
        use = self.slots.use(team)
        return DemandRow(
            pool=self.name,
            team=team,
            queued_requests=self.queues.queued(team),
            running_requests=use.running,
            served_worth=use.served_worth,
            slot_s=use.slot_s,
        )


class PoolTable:
    """The pools that this entry has used.

    The dispatcher's lock guards it.
    """

    def __init__(self, shares, order: OrderPolicy, clock: Clock) -> None:
        self._shares = shares
        self._order = order
        self._clock = clock
        self._pools: dict[str, PoolState] = {}

    def __iter__(self) -> Iterator[PoolState]:
        return iter(self._pools.values())

    def get(self, name: str) -> PoolState:
        """Return a pool, a new one at its first use."""
        pool = self._pools.get(name)
        if pool is None:
            pool = PoolState(name, self._shares, self._order, self._clock)
            self._pools[name] = pool
        return pool

    def has_waiting(self) -> bool:
        """Tell whether a request waits in any pool."""
        return any(pool.queues for pool in self)

    def freed_by(self, grant: Grant) -> list[PoolState]:
        """Return the pools that may start a request after one has ended.

        Its slot is free in its own pool, its permit in all where the team
        waits for one. The pool whose request is urgent or has waited for
        longest comes first; with the own pool always first, a team with few
        permits would never get to its requests in other pools.
        """
        team = grant.team
        own = self._pools[grant.pool]
        others = [
            pool
            for pool in self._pools.values()
            if pool is not own and team in pool.short_teams
        ]
        if not others:
            return [own]
        if not own.queues.queued(team):
            return [*others, own]
        return sorted([*others, own], key=lambda pool: pool.queues.rank(team))

    def short_teams(self) -> tuple[str, ...]:
        """Return the teams with a request that waits for a permit."""
        short = set().union(*(pool.short_teams for pool in self))
        return tuple(sorted(short))


def untried_targets(tried, serving, targets):
    """Return the targets to choose from for a request.

    A target that has refused the request is used again only when the pool
    has no other that serves.
    """
    if not tried or all(name in tried for name, _ in serving):
        return targets
    return [target for target in targets if target.vm not in tried]
