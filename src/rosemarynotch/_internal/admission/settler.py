"""Settling the portions of one process with the store."""

import random
import threading
from typing import Callable

from rosemarynotch._internal.admission.ledger import Ledger
from rosemarynotch._internal.admission.portions import PortionStore
from rosemarynotch._internal.admission.reclaimable import GoneWatch
from rosemarynotch._internal.admission.reclaimable import HolderKey
from rosemarynotch._internal.admission.schedule import Schedule
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.records import LimitRecord
from rosemarynotch._internal.reference.records import Record

__all__ = ["Settler"]

# Delay after a failed write, and between writes while above a limit.
RETRY_S = 0.5
# Processes that see the same evidence write after a random delay, so that
# the later ones see what the first one has written.
SPREAD_S = 0.3


class Settler:
    """Writes what a process wants into limit records and adopts the result.

    Settling is serialized, so that a process has one write at a time.

    :param short_teams: () -> teams with requests that wait for a permit
    :param notify: (member, team) sends the hint to read a record again
    :param on_grown: called after permits became free
    """

    def __init__(
        self,
        ledger: Ledger,
        portions: PortionStore,
        gone: GoneWatch,
        schedule: Schedule,
        rng: random.Random,
        short_teams: Callable[[], tuple[str, ...]],
        notify: Callable[[str, str], None],
        on_grown: Callable[[], None],
    ) -> None:
        self._ledger = ledger
        self._portions = portions
        self._gone = gone
        self._schedule = schedule
        self._rng = rng
        self._short_teams = short_teams
        self._notify = notify
        self._on_grown = on_grown
        self._lock = threading.RLock()
        self._gone_holders: frozenset[HolderKey] = frozenset()

    def waiting(self) -> bool:
        """Tell whether a holder seems gone, but not for long enough."""
        return self._gone.waiting()

    def poll(self, longest_run_s: float) -> bool:
        """Settle the teams whose record has changed, and look for the gone.

        :returns: whether the store answered
        """
        revisions = self._portions.revisions()
        if isinstance(revisions, Failure):
            return False
        for team in self._ledger.older_than(revisions):
            self._schedule.add(team)
        self.step()
        self._look_for_gone(longest_run_s)
        return True

    def step(self) -> None:
        """Settle the teams that are due."""
        for team in self._schedule.take_due():
            self.settle(team)

    def settle(self, team: str) -> Record | Failure:
        """Settle the portion of a team with its record."""
        with self._lock:
            short = team in self._short_teams()
            before = self._ledger.record(team)
            gone = frozenset(
                (holder.key, holder.incarnation)
                for holder in self._gone_holders
            )
            change = self._ledger.plan(team, short, gone)
            settled = self._portions.change(team, change)
            grown = False
            if not isinstance(settled, Failure):
                grown = self._ledger.adopt(team, settled)
            elif not self._portions.is_unresolved(team):
                grown = self._ledger.adopt(team, None)
        if grown:
            self._on_grown()
        if isinstance(settled, Failure):
            self._schedule.add(team, RETRY_S)
            return settled
        waits = short and settled.value.unassigned_requests
        if waits or not self._ledger.is_settled(team):
            self._schedule.add(team, RETRY_S)
        self._send_hints(team, before, settled.value)
        return settled

    def _send_hints(
        self, team: str, before: LimitRecord, after: LimitRecord
    ) -> None:
        """Hint to holders that got more, and to entries that may claim.

        A control that leads gets hints too: it would find what it was given
        only with its next poll.
        """
        entries = self._ledger.entries()
        for name, portion in after.portions.items():
            old = before.portions.get(name)
            if old is None or old.requests < portion.requests:
                self._notify(name, team)
        if after.unassigned_requests > before.unassigned_requests:
            for name in entries:
                if name not in after.portions:
                    self._notify(name, team)

    def _look_for_gone(self, longest_run_s: float) -> None:
        by_team = self._ledger.portions_of_others()
        holders = {
            HolderKey(key, incarnation)
            for others in by_team.values()
            for key, incarnation in others
        }
        if not holders:
            return
        gone = self._gone.gone(holders, longest_run_s)
        self._gone_holders = gone
        keys = {(holder.key, holder.incarnation) for holder in gone}
        for team, others in by_team.items():
            if others & keys:
                self._schedule.add(team, self._rng.random() * SPREAD_S)
