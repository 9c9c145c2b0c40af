"""Permits under the upper limits of teams (rule R1)."""

import random
import threading
from typing import Callable
from typing import TYPE_CHECKING

from rosemarynotch._internal.admission.ledger import Ledger
from rosemarynotch._internal.admission.portions import PortionStore
from rosemarynotch._internal.admission.reclaimable import GoneWatch
from rosemarynotch._internal.admission.schedule import Schedule
from rosemarynotch._internal.admission.settler import Settler
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

if TYPE_CHECKING:
    from rosemarynotch._internal.configuration import InForce
    from rosemarynotch._internal.configuration import MembersView
    from rosemarynotch._internal.configuration import PauseGuard

__all__ = ["Permits"]

# One listing of revisions; records are read only if they have changed.
POLL_S = 10.0
# Time between polls of a resting process that holds nothing. It finds what
# another holder gave it just before it began to rest.
RESTING_POLL_S = 60.0
# Time between polls while a holder seems gone.
WATCH_POLL_S = 2.0
# Processes that learn the same news settle after a random delay, so that
# the later ones see what the first one has written.
SPREAD_S = 0.3
# What all entries together settle in a second after the same news; each
# takes a read and perhaps a write of the 2,000 reads and several hundred
# writes a second that the store allows to everyone.
SETTLE_RATE = 500
# Requests that end shortly after each other share one write.
LOWER_DELAY_S = 0.1


class Permits:
    """This process's portions of the teams' limits.

    :param me: the holder, already registered as a member
    :param in_force: the document that sets the limits
    :param guard: suspends admission after a pause
    :param notify: (member, team) sends the hint to read a record again
    :param claims_fair_portion: whether to claim a fair part without being
        short, as entries do
    """

    def __init__(
        self,
        records: RecordStore,
        me: Member,
        in_force: "InForce",
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
        self._is_first = True
        self._short_source: Callable[[], tuple[str, ...]] = tuple
        self._listeners: tuple[Callable[[], None], ...] = ()
        self._schedule = Schedule(clock)
        self._ledger = Ledger(me, clock, claims_fair_portion)
        self._settler = Settler(
            self._ledger,
            PortionStore(records, clock, rng),
            GoneWatch(records, members, clock),
            self._schedule,
            rng,
            self.short_teams,
            notify,
            self._call_listeners,
        )
        in_force.add_listener(self.note_document)
        members.add_listener(self.note_members)
        self.note_members()
        self.note_document()

    def try_acquire(self, team: str) -> bool:
        """Take a permit for a request of a team, if there is one."""
        if self._guard.suspended():
            return False
        if self._ledger.take(team):
            return True
        if self._ledger.is_claimable(team):
            self._schedule.add(team, LOWER_DELAY_S)
        return False

    def release(self, team: str) -> None:
        """Give a permit back after its request has ended.

        Listeners are not called: the one who releases knows of it.
        """
        if self._ledger.give_back(team):
            self._schedule.add(team, LOWER_DELAY_S)

    def running(self, team: str) -> int:
        """Return the number of permits that are taken."""
        return self._ledger.running(team)

    def portion(self, team: str) -> int:
        """Return the number of requests that may run in this process."""
        return self._ledger.usable(team)

    def short_teams(self) -> tuple[str, ...]:
        """Return the teams that were refused a permit or wait for one."""
        waiting = set(self._short_source())
        return tuple(sorted(waiting | self._ledger.refused_teams()))

    def largest_holder(self, team: str) -> str:
        """Return the other entry with the largest portion, or ""."""
        portions = self._ledger.record(team).portions
        held = {
            name: portions[name].requests
            for name in self._ledger.entries()
            if name != self._me and name in portions
        }
        return max(held, key=lambda name: (held[name], name), default="")

    def add_listener(self, callback: Callable[[], None]) -> None:
        """Call back, without arguments, when a portion has grown."""
        self._listeners += (callback,)

    def set_short_teams_source(
        self, source: Callable[[], tuple[str, ...]]
    ) -> None:
        """Set what knows the teams whose requests wait for a permit.

        It is called without a lock of this object being held.
        """
        self._short_source = source

    def note_document(self) -> None:
        """Follow the limits of the document in force."""
        current = self._in_force.current
        longest_ms = max(
            (queue.longest_run_ms for queue in current.document.queues),
            default=0,
        )
        # Requests that started under an earlier document may still run.
        self._longest_run_s = max(self._longest_run_s, longest_ms / 1000)
        is_first, self._is_first = self._is_first, not current.version
        teams = self._ledger.follow_document(current.document, current.version)
        # The first document is news for this process alone.
        self._settle_soon(teams, 1 if is_first else self._entries_count())

    def note_members(self) -> None:
        """Follow the entries that divide the limits.

        When an entry has joined, the others give up what is idle beyond
        their fair parts, so that it gets one before it has requests.
        """
        names = [member.name for member in self._members.entries()]
        if self._ledger.follow_entries(names):
            self._settle_soon(self._ledger.names(), self._entries_count())

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Consider the teams that another holder is short of."""
        if heartbeat.short_teams:
            self._settle_soon(self._ledger.note_asks(heartbeat))

    def note_limit_changed(self, team: str) -> None:
        """Read a limit record again soon."""
        self._schedule.add(team)

    def set_passive(self, resting: bool) -> None:
        """Give up what is idle, or hold portions again.

        A process that takes part in no heartbeats is not asked for what it
        does not use.
        """
        self._ledger.set_passive(resting)
        self._settle_soon(self._ledger.names())

    def start(self) -> None:
        """Start the thread that settles with the store."""
        threading.Thread(target=self._run, name="permits", daemon=True).start()

    def restart(self, me: Member) -> None:
        """Go on as a new incarnation that holds nothing (rule R2).

        Requests that still run count against both incarnations.
        """
        self._ledger.restart(me)
        self._settle_soon(self._ledger.names())

    def revalidate(self) -> None | Failure:
        """Read all limit records of this holder again (rule R2)."""
        failure = None
        for name in self._ledger.names():
            settled = self._settler.settle(name)
            if isinstance(settled, Failure):
                failure = settled
        return failure

    def stop(self) -> bool:
        """Give the portions back, after the last request has ended.

        :returns: whether the store has confirmed it for all teams; call
            again otherwise
        """
        self._ledger.close()
        self._schedule.stop()
        return self.revalidate() is None and self._ledger.holds_nothing()

    def poll(self) -> bool:
        """Look for changed records and for holders that are gone.

        :returns: whether the store answered
        """
        return self._settler.poll(self._longest_run_s)

    def poll_wait_s(self) -> float:
        """Return the time until the next poll."""
        if self._settler.waiting():
            return WATCH_POLL_S
        return RESTING_POLL_S if self._ledger.rests_idle() else POLL_S

    def step(self) -> None:
        """Settle the teams that are due."""
        self._settler.step()

    def _entries_count(self) -> int:
        return len(self._ledger.entries())

    def _settle_soon(self, teams: list[str], processes: int = 1) -> None:
        """Settle teams after a delay that spreads the calls of processes."""
        spread_s = max(SPREAD_S, len(teams) * processes / SETTLE_RATE)
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
            # A process that rests no longer does not wait for a poll that
            # was due late.
            due_s = self._clock.monotonic_s() + self.poll_wait_s()
            poll_due_s = min(poll_due_s, due_s)
