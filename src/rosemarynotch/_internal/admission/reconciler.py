"""Reconciles the portions of one process with the store."""

import random
import threading
from typing import Callable

from rosemarynotch._internal.admission.permit_table import PermitTable
from rosemarynotch._internal.admission.portions import PortionStore
from rosemarynotch._internal.admission.reclaimable import HolderKey
from rosemarynotch._internal.admission.reclaimable import ReclaimableHolders
from rosemarynotch._internal.admission.schedule import Schedule
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.records import LimitRecord
from rosemarynotch._internal.reference.records import Record

__all__ = ["Reconciler"]

# Delay after a failed write, and between writes while the portions exceed a
# limit.
RETRY_S = 0.5
# Processes that find the same portion to reclaim write after a random delay,
# so that later ones see what the first one has written.
JITTER_S = 0.3


class Reconciler:
    """Updates limit records in the store and adopts the result.

    Calls are serialized, so that a process has one write at a time.

    :param holders: finds the holders whose portions may be reclaimed
    :param short_teams: returns the teams with requests that wait for a
        permit
    :param notify: called with a member and a team to send the member a hint
        to read the team's limit record again
    :param on_permits_freed: called after permits have become free
    """

    def __init__(
        self,
        table: PermitTable,
        portions: PortionStore,
        holders: ReclaimableHolders,
        schedule: Schedule,
        rng: random.Random,
        short_teams: Callable[[], tuple[str, ...]],
        notify: Callable[[str, str], None],
        on_permits_freed: Callable[[], None],
    ) -> None:
        self._table = table
        self._portions = portions
        self._holders = holders
        self._schedule = schedule
        self._rng = rng
        self._short_teams = short_teams
        self._notify = notify
        self._on_permits_freed = on_permits_freed
        self._lock = threading.RLock()
        self._reclaimable: frozenset[HolderKey] = frozenset()

    def has_pending(self) -> bool:
        """Tell whether a holder is missing and has not been reclaimed yet."""
        return self._holders.has_pending()

    def poll(self, longest_run_s: float) -> bool:
        """Reconcile changed records and look for portions to reclaim.

        :returns: whether the store answered
        """
        revisions = self._portions.revisions()
        if isinstance(revisions, Failure):
            return False
        for team in self._table.teams_with_newer_record(revisions):
            self._schedule.add(team)
        self.step()
        self._find_reclaimable(longest_run_s)
        return True

    def step(self) -> None:
        """Reconcile the teams that are due."""
        for team in self._schedule.pop_due():
            self.reconcile(team)

    def reconcile(self, team: str) -> Record | Failure:
        """Reconcile the portion of a team with its limit record.

        :returns: the record as it is in the store, or a failure
        """
        with self._lock:
            short = team in self._short_teams()
            before = self._table.record(team)
            reclaimable = frozenset(
                (holder.key, holder.incarnation)
                for holder in self._reclaimable
            )
            change = self._table.prepare_change(team, short, reclaimable)
            stored = self._portions.change(team, change)
            grown = False
            if not isinstance(stored, Failure):
                grown = self._table.adopt(team, stored)
            elif not self._portions.is_unresolved(team):
                grown = self._table.adopt(team, None)
        if grown:
            self._on_permits_freed()
        if isinstance(stored, Failure):
            self._schedule.add(team, RETRY_S)
            return stored
        can_claim = short and stored.value.unassigned_requests
        if can_claim or not self._table.is_reconciled(team):
            self._schedule.add(team, RETRY_S)
        self._send_hints(team, before, stored.value)
        return stored

    def _send_hints(
        self, team: str, before: LimitRecord, after: LimitRecord
    ) -> None:
        """Notify holders whose portion has grown and entries that may claim.

        A leading control process is notified as well; otherwise it would
        find a larger portion only with its next poll.
        """
        entries = self._table.entries()
        for name, portion in after.portions.items():
            old = before.portions.get(name)
            if old is None or old.requests < portion.requests:
                self._notify(name, team)
        if after.unassigned_requests > before.unassigned_requests:
            for name in entries:
                if name not in after.portions:
                    self._notify(name, team)

    def _find_reclaimable(self, longest_run_s: float) -> None:
        by_team = self._table.holders_by_team()
        holders = {
            HolderKey(key, incarnation)
            for others in by_team.values()
            for key, incarnation in others
        }
        if not holders:
            return
        reclaimable = self._holders.reclaimable(holders, longest_run_s)
        self._reclaimable = reclaimable
        keys = {(holder.key, holder.incarnation) for holder in reclaimable}
        for team, others in by_team.items():
            if others & keys:
                self._schedule.add(team, self._rng.random() * JITTER_S)
