"""Queues, slots and serving order of the pools at one entry."""

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
    """Return the slots of a pool that teams share.

    These are all slots of its serving VMs except the urgent reserve.

    :param fleet: serving VMs by pool
    """
    slots = sum(vm.slots for _, vm in fleet.serving(pool))
    spec = document.pool(pool)
    reserve = spec.urgent_reserve_slots if spec is not None else 0
    return max(0, slots - reserve)


class PoolState:
    """Queued and running requests of this entry for one pool.

    Guarded by the dispatcher's lock.

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

    def remove_started(self, waiter: Waiter) -> None:
        """Remove a request that starts from its queue.

        The team no longer counts as short. If its next request is refused a
        permit, the search for the next start marks it as short again.
        """
        self.queues.remove(waiter)
        self.short_teams.discard(waiter.request.team)

    def drop(self, waiter: Waiter) -> None:
        """Remove a refused request from its queue.

        The team stays short while it has other requests queued, because
        they may wait for a permit.
        """
        self.queues.remove(waiter)
        if not self.queues.queued(waiter.request.team):
            self.short_teams.discard(waiter.request.team)

    def set_own_slots(self, serving, targets: list[Candidate]) -> None:
        """Set on each target how many of its slots belong to this entry.

        :param serving: names and records of the VMs that serve the pool
        """
        start, end = self._shares.slot_range(self.name)
        own = own_slots(
            [(vm, record.slots) for vm, record in serving], start, end
        )
        for target in targets:
            target.own_slots = own.get(target.vm, 0.0)

    def valid_heads(
        self,
        urgent: bool,
        refuse: Callable[[Waiter], Failure | None],
        drop: Callable[[Waiter, Failure], None],
    ) -> list[Waiter]:
        """Return the first request of each team, dropping refused ones.

        :param refuse: returns why a request must not start, or None
        :param drop: removes a refused request from its queue
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
        """Return the requests for which a slot is free, by team.

        :param entries_count: entries that divide the urgent reserve
        """
        spec = document.pool(self.name)
        reserve = spec.urgent_reserve_slots if spec else 0
        reserve = math.ceil(reserve / max(1, entries_count))
        spare = self.slots.unused_spare_slots(reserve)
        return {
            head.request.team: head
            for head in heads
            if self.slots.may_start(
                head.request.team, head.queue.urgent, reserve, spare
            )
        }

    def choose(self, heads: dict[str, Waiter], document: Document) -> str:
        """Return the team whose request starts next."""
        if len(heads) == 1:
            return next(iter(heads))
        candidates = []
        for team, head in heads.items():
            use = self.slots.use(team)
            spec = document.team(team)
            worth = use.recent_worth + use.running_worth
            share = spec.share if spec else 0.0
            candidates.append(TeamCandidate(team, head.arrival, share, worth))
        return self._order.choose(self.name, candidates).team

    def demand(self) -> list[DemandRow]:
        """Return demand and service by team since process start."""
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

    Guarded by the dispatcher's lock.
    """

    def __init__(self, shares, order: OrderPolicy, clock: Clock) -> None:
        self._shares = shares
        self._order = order
        self._clock = clock
        self._pools: dict[str, PoolState] = {}

    def __iter__(self) -> Iterator[PoolState]:
        return iter(self._pools.values())

    def get(self, name: str) -> PoolState:
        """Return the state of a pool, which is created at its first use."""
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

        The slot becomes free in the pool of the ended request, the permit in
        every pool where the team waits for one. They are ordered by the
        team's first request: urgent before others, then the one that has
        waited longest. If the pool of the ended request always came first, a
        team with few permits might never start requests in other pools.
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
    """Return the targets to which a request may be sent.

    A target that has refused the request is used again only if all serving
    VMs of the pool have refused it.
    """
    if not tried or all(name in tried for name, _ in serving):
        return targets
    return [target for target in targets if target.vm not in tried]
