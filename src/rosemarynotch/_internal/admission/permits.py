"""Permits of one process under the upper limits of teams (rule R1)."""

import random
import threading
from typing import Callable
from typing import TYPE_CHECKING

from rosemarynotch._internal.admission.permit_table import PermitTable
from rosemarynotch._internal.admission.portions import PortionStore
from rosemarynotch._internal.admission.reclaimable import ReclaimableHolders
from rosemarynotch._internal.admission.reconciler import Reconciler
from rosemarynotch._internal.admission.schedule import Schedule
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import ConfigInForce
    from rosemarynotch._internal.configuration import MembersView
    from rosemarynotch._internal.configuration import PauseGuard

__all__ = ["Permits"]

# Interval between polls. A poll lists the revisions of all limit records and
# reads only the records that have changed.
POLL_S = 10.0
# Interval between polls of a passive process that has no portion. A poll
# finds a portion that another holder transferred to the process just before
# it became passive.
PASSIVE_POLL_S = 60.0
# Interval between polls while a holder is missing but may not be reclaimed
# yet.
RECLAIM_POLL_S = 2.0
# Processes that learn of the same change reconcile after a random delay, so
# that later ones see what the first one has written.
JITTER_S = 0.3
# Reconciliations per second of all entries together after the same change.
# Each takes a read and perhaps a write, out of the 2,000 reads and several
# hundred writes per second that the store allows for all clients.
RECONCILIATIONS_PER_S = 500
# Delay before a portion is lowered, so that requests that end shortly after
# each other share one write. Also the delay before unassigned permits are
# claimed.
LOWERING_DELAY_S = 0.1


class Permits:
    """Grants permits from this process's portions of the team limits.

    :param me: this process as a member; already registered
    :param in_force: the document that sets the limits
    :param guard: suspends admission after the process was paused
    :param notify: called with a member and a team to send the member a hint
        to read the team's limit record again
    :param claims_fair_portion: whether to claim the fair portion without
        being short, as entries do
    """

    def __init__(
        self,
        records: RecordStore,
        me: Member,
        in_force: "ConfigInForce",
        members: "MembersView",
        guard: "PauseGuard",
        clock: Clock,
        rng: random.Random,
        notify: Callable[[str, str], None],
        claims_fair_portion: bool = True,
    ) -> None:
        self._in_force = in_force
        self._members = members
        self._guard = guard
        self._clock = clock
        self._rng = rng
        self._me = me.name
        self._longest_run_s = 0.0
        self._has_no_document = True
        self._short_teams_source: Callable[[], tuple[str, ...]] = tuple
        self._listeners: tuple[Callable[[], None], ...] = ()
        self._schedule = Schedule(clock)
        self._table = PermitTable(me, clock, claims_fair_portion)
        self._reconciler = Reconciler(
            self._table,
            PortionStore(records, clock, rng),
            ReclaimableHolders(records, members, clock),
            self._schedule,
            rng,
            self.short_teams,
            notify,
            self._call_listeners,
        )
        in_force.add_listener(self.adopt_document)
        members.add_listener(self.adopt_entries)
        self.adopt_entries()
        self.adopt_document()

    def try_acquire(self, team: str) -> bool:
        """Take a permit for a request of a team, if one is free."""
        if self._guard.suspended():
            return False
        if self._table.try_acquire(team):
            return True
        if self._table.has_unassigned(team):
            self._schedule.add(team, LOWERING_DELAY_S)
        return False

    def release(self, team: str) -> None:
        """Return a permit after its request has ended.

        Listeners are not called, because the caller knows that a permit has
        become free.
        """
        if self._table.release(team):
            self._schedule.add(team, LOWERING_DELAY_S)

    def running(self, team: str) -> int:
        """Return the number of permits in use."""
        return self._table.running(team)

    def portion(self, team: str) -> int:
        """Return the number of requests that may run in this process."""
        return self._table.usable(team)

    def short_teams(self) -> tuple[str, ...]:
        """Return the teams that were refused a permit or wait for one."""
        waiting = set(self._short_teams_source())
        return tuple(sorted(waiting | self._table.refused_teams()))

    def largest_holder(self, team: str) -> str:
        """Return the name of the other entry with the largest portion.

        :returns: the name, or "" if no other entry has a portion
        """
        portions = self._table.record(team).portions
        held = {
            name: portions[name].requests
            for name in self._table.entries()
            if name != self._me and name in portions
        }
        return max(held, key=lambda name: (held[name], name), default="")

    def add_listener(self, callback: Callable[[], None]) -> None:
        """Register a callback for when a portion has grown."""
        self._listeners += (callback,)

    def set_short_teams_source(
        self, source: Callable[[], tuple[str, ...]]
    ) -> None:
        """Set the function that returns teams waiting for a permit.

        It is called without holding a lock of this object.
        """
        self._short_teams_source = source

    def adopt_document(self) -> None:
        """Adopt the limits of the document in force."""
        current = self._in_force.current
        longest_ms = max(
            (queue.longest_run_ms for queue in current.document.queues),
            default=0,
        )
        # Requests that started under an earlier document may still run.
        self._longest_run_s = max(self._longest_run_s, longest_ms / 1000)
        is_first, self._has_no_document = (
            self._has_no_document,
            not current.version,
        )
        teams = self._table.follow_document(current.document, current.version)
        # A change of the document reaches all entries at the same time, but
        # only this process has just received its first one.
        self._schedule_reconciliation(
            teams, 1 if is_first else self._entries_count()
        )

    def adopt_entries(self) -> None:
        """Adopt the entries among which the limits are divided.

        When an entry has joined, the others give up idle permits beyond
        their fair portions, so that it gets a portion before it has requests.
        """
        names = [member.name for member in self._members.entries()]
        if self._table.follow_entries(names):
            self._schedule_reconciliation(
                self._table.teams(), self._entries_count()
            )

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Schedule the teams for which the sender is short of permits."""
        if heartbeat.short_teams:
            self._schedule_reconciliation(
                self._table.record_short_holder(heartbeat)
            )

    def handle_limit_changed(self, team: str) -> None:
        """Schedule reading a team's limit record again."""
        self._schedule.add(team)

    def set_passive(self, passive: bool) -> None:
        """Set whether to give up idle permits or to hold portions again.

        A process that exchanges no heartbeats has to give up idle permits by
        itself, because others cannot ask it for them.
        """
        self._table.set_passive(passive)
        self._schedule_reconciliation(self._table.teams())

    def start(self) -> None:
        """Start the thread that reconciles portions with the store."""
        threading.Thread(target=self._run, name="permits", daemon=True).start()

    def restart(self, me: Member) -> None:
        """Continue as a new incarnation without portions (rule R2).

        Requests that still run count against both incarnations.
        """
        self._table.restart(me)
        self._schedule_reconciliation(self._table.teams())

    def revalidate(self) -> None | Failure:
        """Read all limit records again, as after a pause (rule R2).

        :returns: None, or the last failure
        """
        failure = None
        for name in self._table.teams():
            stored = self._reconciler.reconcile(name)
            if isinstance(stored, Failure):
                failure = stored
        return failure

    def stop(self) -> bool:
        """Give up all portions; call after the last request has ended.

        :returns: whether the store has confirmed it for all teams; if not,
            call again
        """
        self._table.close()
        self._schedule.stop()
        return self.revalidate() is None and self._table.holds_nothing()

    def poll(self) -> bool:
        """Look for changed records and for holders to reclaim from.

        :returns: whether the store answered
        """
        return self._reconciler.poll(self._longest_run_s)

    def poll_wait_s(self) -> float:
        """Return the time until the next poll."""
        if self._reconciler.has_pending():
            return RECLAIM_POLL_S
        return PASSIVE_POLL_S if self._table.is_passive_and_empty() else POLL_S

    def step(self) -> None:
        """Reconcile the teams that are due."""
        self._reconciler.step()

    def _entries_count(self) -> int:
        return len(self._table.entries())

    def _schedule_reconciliation(
        self, teams: list[str], processes: int = 1
    ) -> None:
        """Schedule teams after random delays that spread the store calls.

        :param processes: number of processes that learn of the same change
        """
        spread_s = max(
            JITTER_S, len(teams) * processes / RECONCILIATIONS_PER_S
        )
        for team in teams:
            self._schedule.add(team, self._rng.random() * spread_s)

    def _call_listeners(self) -> None:
        for callback in self._listeners:
            callback()

    def _run(self) -> None:
        poll_due_s = self._clock.monotonic_s()
        while self._schedule.wait(poll_due_s):
            if self._clock.monotonic_s() >= poll_due_s:
                self.poll()
                poll_due_s = self._clock.monotonic_s() + self.poll_wait_s()
            self.step()
            # A process that is no longer passive must not wait for a poll
            # that was scheduled with the long interval.
            due_s = self._clock.monotonic_s() + self.poll_wait_s()
            poll_due_s = min(poll_due_s, due_s)
