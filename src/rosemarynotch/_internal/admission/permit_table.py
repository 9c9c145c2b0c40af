"""Portions and running requests of one process, by team."""

import threading
from typing import Callable
from typing import Iterable

from rosemarynotch._internal.admission.holding import Holding
from rosemarynotch._internal.admission.holding import Limit
from rosemarynotch._internal.admission.portions import HolderState
from rosemarynotch._internal.admission.portions import portion_of
from rosemarynotch._internal.admission.portions import PortionRequest
from rosemarynotch._internal.admission.portions import reconcile
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.messages import Heartbeat
from rosemarynotch._internal.models.records import LimitRecord
from rosemarynotch._internal.models.records import Member
from rosemarynotch._internal.reference.records import Record
from rosemarynotch._internal.utils.clock import Clock

__all__ = ["PermitTable"]

# Time for which a team counts as short after it was refused a permit.
SHORTAGE_S = 1.0


class PermitTable:
    """Holds the permits of all teams under one lock.

    No method calls the store or a callback.

    :param claims: whether to claim the fair portion without being short
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
        self._passive = False

    def teams(self) -> list[str]:
        """Return the names of all teams."""
        with self._lock:
            return list(self._teams)

    def try_acquire(self, team: str) -> bool:
        """Take a permit, if one is free."""
        with self._lock:
            holding = self._teams.get(team)
            if holding is None or self._is_releasing():
                return False
            if holding.running < holding.usable:
                holding.running += 1
                return True
            holding.refused_s = self._clock.monotonic_s()
            return False

    def release(self, team: str) -> bool:
        """Return a permit; tell whether the portion has to be lowered."""
        with self._lock:
            holding = self._teams[team]
            holding.running -= 1
            return holding.exceeds_limit() or self._is_releasing()

    def has_unassigned(self, team: str) -> bool:
        """Tell whether some of the limit is not assigned to any holder."""
        with self._lock:
            holding = self._teams.get(team)
            return holding is not None and (
                holding.record.unassigned_requests > 0
            )

    def running(self, team: str) -> int:
        """Return the number of permits in use."""
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
        since_s = self._clock.monotonic_s() - SHORTAGE_S
        with self._lock:
            return {
                name
                for name, holding in self._teams.items()
                if holding.refused_s >= since_s
            }

    def record(self, team: str) -> LimitRecord:
        """Return the newest known limit record of a team."""
        with self._lock:
            return self._teams.setdefault(team, Holding()).record

    def entries(self) -> tuple[str, ...]:
        """Return the entries among which the limits are divided."""
        return self._entries

    def teams_with_newer_record(self, revisions: dict[str, int]) -> list[str]:
        """Return the teams whose stored record is newer than the known one."""
        with self._lock:
            return [
                name
                for name, holding in self._teams.items()
                if revisions.get(name, 0) > holding.revision
            ]

    def holders_by_team(self) -> dict[str, set[tuple[str, str]]]:
        """Return the keys and incarnations of other holders by team."""
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
        """Tell whether this process has no portion in any record."""
        with self._lock:
            return not any(
                holding.own_portion(self._me)
                for holding in self._teams.values()
            )

    def follow_document(self, document: Document, version: int) -> list[str]:
        """Adopt the limits of a document.

        Lowered limits apply at once, before the records are written.

        :returns: the teams whose record has to be updated
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
        """Adopt the current entries; tell whether they have changed."""
        with self._lock:
            entries = tuple(entries)
            changed = entries != self._entries
            joined = set(entries) - set(self._entries) - {self._me.name}
            if joined and self._entries:
                for holding in self._teams.values():
                    holding.trim = True
            self._entries = entries
            return changed

    def record_short_holder(self, heartbeat: Heartbeat) -> list[str]:
        """Record the requests of a holder that is short of permits.

        :returns: those of its short teams that have idle permits here
        """
        teams = []
        with self._lock:
            for team in heartbeat.short_teams:
                holding = self._teams.get(team)
                if holding is None or holding.running >= holding.usable:
                    continue
                held = holding.record.portions.get(heartbeat.sender)
                holding.portion_requests[heartbeat.sender] = PortionRequest(
                    holder=heartbeat.sender,
                    incarnation=heartbeat.incarnation,
                    portion=held.requests if held is not None else 0,
                )
                teams.append(team)
        return teams

    def restart(self, me: Member) -> None:
        """Continue as a new incarnation, which has no portions yet."""
        with self._lock:
            self._me = me
            for holding in self._teams.values():
                holding.usable = 0
                holding.portion_requests = {}

    def close(self) -> None:
        """Grant no more permits and give up portions as requests end."""
        with self._lock:
            self._closing = True

    def set_passive(self, passive: bool) -> None:
        """Set whether to grant no permits and give up portions for now."""
        with self._lock:
            self._passive = passive

    def is_passive_and_empty(self) -> bool:
        """Tell whether this process is passive and has no portion."""
        return self._passive and self.holds_nothing()

    def prepare_change(
        self, team: str, short: bool, reclaimable: frozenset[tuple[str, str]]
    ) -> Callable[[LimitRecord], LimitRecord]:
        """Return the change to make to a team's limit record.

        The change lowers the number of usable permits at once. Only
        :meth:`adopt` raises it, after the store has confirmed the record.
        """
        with self._lock:
            holding = self._teams.setdefault(team, Holding())
            portion_requests, holding.portion_requests = (
                tuple(holding.portion_requests.values()),
                {},
            )
            trim, holding.trim = holding.trim, False

        def change(record: LimitRecord) -> LimitRecord:
            with self._lock:
                limit = self._limit(team)
                me = self._me
                updated = reconcile(
                    record,
                    HolderState(
                        holder=me.name,
                        incarnation=me.incarnation,
                        running=holding.running,
                        limit_requests=limit.requests,
                        config_version=limit.config_version,
                        fair=self._fair_portion(limit.requests),
                        short=short,
                        trim=trim,
                        releasing=self._is_releasing(),
                        portion_requests=portion_requests,
                        reclaimable=reclaimable,
                    ),
                )
                own = portion_of(updated, me.name, me.incarnation)
                holding.usable = min(holding.usable, own)
            return updated

        return change

    def adopt(self, team: str, stored: Record | None) -> bool:
        """Set the number of usable permits from a confirmed record.

        :param stored: the record, or None to return to the last confirmed
            one after a write that is known to have no effect
        :returns: whether permits became free
        """
        with self._lock:
            holding = self._teams[team]
            before = holding.usable
            if stored is not None and stored.revision >= holding.revision:
                holding.record = stored.value
                holding.revision = stored.revision
            holding.usable = holding.allowed(self._me, self._limit(team))
            return holding.usable > before

    def is_reconciled(self, team: str) -> bool:
        """Tell whether the record has the current limit and keeps to it."""
        with self._lock:
            holding = self._teams[team]
            outdated = holding.is_outdated(self._limit(team))
            return not outdated and not holding.exceeds_limit()

    def _is_releasing(self) -> bool:
        return self._closing or self._passive

    def _limit(self, team: str) -> Limit:
        return Limit(self._limits.get(team, 0), self._version)

    def _fair_portion(self, limit_requests: int) -> int:
        """Return this entry's portion if the limit were divided equally.

        The portions of all entries add up to the limit.
        """
        if not self._claims or self._me.name not in self._entries:
            return 0
        part, rest = divmod(limit_requests, len(self._entries))
        return part + (self._entries.index(self._me.name) < rest)
