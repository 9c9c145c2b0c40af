"""The portions and running requests of one process, by team."""

import threading
from typing import Callable
from typing import Iterable

from rosemarynotch._internal.admission.holding import Holding
from rosemarynotch._internal.admission.holding import Limit
from rosemarynotch._internal.admission.portions import Ask
from rosemarynotch._internal.admission.portions import held_by
from rosemarynotch._internal.admission.portions import settle
from rosemarynotch._internal.admission.portions import Situation
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import LimitRecord
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.reference.records import Record
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["Ledger"]

# A team counts as short for this time after a permit was refused.
SHORT_S = 1.0


class Ledger:
    """Local numbers of all teams under one lock.

    No method calls the store or a callback.

    :param claims_fair_portion: whether to claim a fair part without being
        short
    """

    def __init__(
        self, me: Member, clock: Clock, claims_fair_portion: bool
    ) -> None:
        self._me = me
        self._clock = clock
        self._claims = claims_fair_portion
        self._lock = threading.Lock()
        self._teams: dict[str, Holding] = {}
        self._limits: dict[str, int] = {}
        self._version = 0
        self._entries: tuple[str, ...] = ()
        self._closing = False
        self._resting = False

    def names(self) -> list[str]:
        """Return all teams."""
        with self._lock:
            return list(self._teams)

    def take(self, team: str) -> bool:
        """Take a permit."""
        with self._lock:
            holding = self._teams.get(team)
            if holding is None or self._lets_go():
                return False
            if holding.running < holding.usable:
                holding.running += 1
                return True
            holding.refused_s = self._clock.monotonic_s()
            return False

    def give_back(self, team: str) -> bool:
        """Give a permit back; tell whether the portion has to be lowered."""
        with self._lock:
            holding = self._teams[team]
            holding.running -= 1
            return holding.is_above() or self._lets_go()

    def is_claimable(self, team: str) -> bool:
        """Tell whether a part of the limit is assigned to no holder."""
        with self._lock:
            holding = self._teams.get(team)
            return holding is not None and (
                holding.record.unassigned_requests > 0
            )

    def running(self, team: str) -> int:
        """Return the number of permits that are taken."""
        with self._lock:
            holding = self._teams.get(team)
            return holding.running if holding is not None else 0

    def usable(self, team: str) -> int:
        """Return the number of requests that may run."""
        with self._lock:
            holding = self._teams.get(team)
            return holding.usable if holding is not None else 0

    def refused_teams(self) -> set[str]:
        """Return the teams that were refused a permit recently."""
        since_s = self._clock.monotonic_s() - SHORT_S
        with self._lock:
            return {
                name
                for name, holding in self._teams.items()
                if holding.refused_s >= since_s
            }

    def record(self, team: str) -> LimitRecord:
        """Return the newest record of a team."""
        with self._lock:
            return self._teams.setdefault(team, Holding()).record

    def entries(self) -> tuple[str, ...]:
        """Return the entries that divide the limits."""
        return self._entries

    def older_than(self, revisions: dict[str, int]) -> list[str]:
        """Return the teams whose record has a newer revision."""
        with self._lock:
            return [
                name
                for name, holding in self._teams.items()
                if revisions.get(name, 0) > holding.revision
            ]

    def portions_of_others(self) -> dict[str, set[tuple[str, str]]]:
        """Return keys and incarnations of other holders by team."""
        with self._lock:
            return {
                name: {
                    (key, portion.incarnation)
                    for key, portion in holding.record.portions.items()
                    if portion.incarnation != self._me.incarnation
                }
                for name, holding in self._teams.items()
            }

    def holds_nothing(self) -> bool:
        """Tell whether no record has a portion of this process."""
        with self._lock:
            return not any(
                holding.mine(self._me) for holding in self._teams.values()
            )

    def follow_document(self, document: Document, version: int) -> list[str]:
        """Take the limits of a document, lowered ones at once.

        :returns: the teams whose record has to follow
        """
        with self._lock:
            if version < self._version:
                return []
            self._version = version
            self._limits = {
                team.name: team.limit_requests for team in document.teams
            }
            outdated = []
            for name in self._limits:
                self._teams.setdefault(name, Holding())
            for name, holding in self._teams.items():
                limit = self._limit(name)
                if holding.is_outdated(limit):
                    allowed = holding.allowed(self._me, limit)
                    holding.usable = min(holding.usable, allowed)
                    outdated.append(name)
            return outdated

    def follow_entries(self, entries: Iterable[str]) -> bool:
        """Take the entries; tell whether they have changed."""
        with self._lock:
            entries = tuple(entries)
            changed = entries != self._entries
            joined = set(entries) - set(self._entries) - {self._me.name}
            if joined and self._entries:
                for holding in self._teams.values():
                    holding.trim = True
            self._entries = entries
            return changed

    def note_asks(self, heartbeat: Heartbeat) -> list[str]:
        """Note a holder that is short; return the teams with idle permits."""
        able = []
        with self._lock:
            for team in heartbeat.short_teams:
                holding = self._teams.get(team)
                if holding is None or holding.running >= holding.usable:
                    continue
                held = holding.record.portions.get(heartbeat.sender)
                holding.asks[heartbeat.sender] = Ask(
                    holder=heartbeat.sender,
                    incarnation=heartbeat.incarnation,
                    portion=held.requests if held is not None else 0,
                )
                able.append(team)
        return able

    def restart(self, me: Member) -> None:
        """Hold nothing, as a new incarnation."""
        with self._lock:
            self._me = me
            for holding in self._teams.values():
                holding.usable = 0
                holding.asks = {}

    def close(self) -> None:
        """Admit nothing more and let portions go as requests end."""
        with self._lock:
            self._closing = True

    def set_passive(self, resting: bool) -> None:
        """Admit nothing for now and let portions go, or stop doing so."""
        with self._lock:
            self._resting = resting

    def rests_idle(self) -> bool:
        """Tell whether this process rests and holds nothing."""
        return self._resting and self.holds_nothing()

    def plan(
        self, team: str, short: bool, gone: frozenset[tuple[str, str]]
    ) -> Callable[[LimitRecord], LimitRecord]:
        """Return the change that settles a team's record.

        The change lowers the local number at once; it is raised only by
        :meth:`adopt`, after the store has confirmed the record.
        """
        with self._lock:
            holding = self._teams.setdefault(team, Holding())
            asks, holding.asks = tuple(holding.asks.values()), {}
            trim, holding.trim = holding.trim, False

        def change(record: LimitRecord) -> LimitRecord:
            with self._lock:
                limit = self._limit(team)
                me = self._me
                wanted = settle(
                    record,
                    Situation(
                        holder=me.name,
                        incarnation=me.incarnation,
                        running=holding.running,
                        limit_requests=limit.requests,
                        config_version=limit.config_version,
                        fair=self._fair(limit.requests),
                        short=short,
                        trim=trim,
                        closing=self._lets_go(),
                        asks=asks,
                        gone=gone,
                    ),
                )
                mine = held_by(wanted, me.name, me.incarnation)
                holding.usable = min(holding.usable, mine)
            return wanted

        return change

    def adopt(self, team: str, settled: Record | None) -> bool:
        """Set the local number from a confirmed record.

        :param settled: None to go back to the last confirmed record, after
            a write that certainly has no effect
        :returns: whether permits became free
        """
        with self._lock:
            holding = self._teams[team]
            before = holding.usable
            if settled is not None and settled.revision >= holding.revision:
                holding.record = settled.value
                holding.revision = settled.revision
            holding.usable = holding.allowed(self._me, self._limit(team))
            return holding.usable > before

    def is_settled(self, team: str) -> bool:
        """Tell whether the record has the limit and all portions fit."""
        with self._lock:
            holding = self._teams[team]
            outdated = holding.is_outdated(self._limit(team))
            return not outdated and not holding.is_above()

    def _lets_go(self) -> bool:
        return self._closing or self._resting

    def _limit(self, team: str) -> Limit:
        return Limit(self._limits.get(team, 0), self._version)

    def _fair(self, limit_requests: int) -> int:
        """Return this entry's part of an equal division; parts sum up."""
        if not self._claims or self._me.name not in self._entries:
            return 0
        part, rest = divmod(limit_requests, len(self._entries))
        return part + (self._entries.index(self._me.name) < rest)
