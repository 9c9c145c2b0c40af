"""Limit records: how a team's limit is divided over holders (rule R1)."""

import random
from typing import Callable

import attrs

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import Ran
from rosemarynotch._internal.exceptions import STORE_CONFLICT
from rosemarynotch._internal.exceptions import STORE_KEY_MISSING
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.records import LimitRecord
from rosemarynotch._internal.models.records import Portion
from rosemarynotch._internal.reference.records import LIMITS_PREFIX
from rosemarynotch._internal.reference.records import Record
from rosemarynotch._internal.reference.records import RecordStore
from rosemarynotch._internal.utils.clock import Clock

__all__ = [
    "Ask",
    "assigned",
    "held_by",
    "is_set_aside",
    "PortionStore",
    "settle",
    "Situation",
]

ATTEMPTS = 12
RETRY_DELAY_S = 0.02
# The portion of an earlier incarnation is kept as "<name>#<incarnation>"
# until it is reclaimed.
SET_ASIDE_MARK = "#"


@attrs.frozen(kw_only=True)
class Ask:
    """A holder that is short of a team's portions.

    :ivar portion: what it had when it asked, as far as is known
    """

    holder: str
    incarnation: str
    portion: int


@attrs.frozen(kw_only=True)
class Situation:
    """What a holder knows when it settles its portion of a team's limit.

    :ivar limit_requests: the limit of the document in force
    :ivar fair: this holder's part of an equal division
    :ivar trim: give up what is idle beyond the fair part
    :ivar gone: keys and incarnations whose portions may be reclaimed
    """

    holder: str
    incarnation: str
    running: int
    limit_requests: int
    config_version: int
    fair: int = 0
    short: bool = False
    trim: bool = False
    closing: bool = False
    asks: tuple[Ask, ...] = ()
    gone: frozenset[tuple[str, str]] = frozenset()


def assigned(record: LimitRecord) -> int:
    """Return the sum of all portions."""
    return sum(portion.requests for portion in record.portions.values())


def held_by(record: LimitRecord, holder: str, incarnation: str) -> int:
    """Return the portion of one incarnation of a holder."""
    portion = record.portions.get(holder)
    if portion is None or portion.incarnation != incarnation:
        return 0
    return portion.requests


def is_set_aside(key: str) -> bool:
    """Tell whether a portion belongs to an incarnation that ended."""
    return SET_ASIDE_MARK in key


def settle(record: LimitRecord, now: Situation) -> LimitRecord:
    """Return the record that a holder wants to write.

    The holder's portion is not lowered below what it has running, and the
    sum of portions does not grow beyond the limit.
    """
    record = _with_limit(record, now)
    record = _without_gone(_with_predecessor_aside(record, now), now)
    mine = held_by(record, now.holder, now.incarnation)
    idle = max(0, mine - now.running)
    excess = assigned(record) - record.limit_requests
    if now.closing:
        return _with_portion(record, now, mine - idle)
    if excess > 0:
        # Each holder lowers in proportion, rounded up, so that repeated
        # writes of all holders reach the limit.
        part = -(-excess * mine // assigned(record))
        return _with_portion(record, now, mine - min(idle, part))
    if now.trim and mine > now.fair:
        return _with_portion(record, now, max(mine - idle, now.fair))
    if now.asks and idle and not now.short:
        return _with_gift(record, now, mine, idle)
    claim = min(_wanted(record, now, mine), record.unassigned_requests)
    return _with_portion(record, now, mine + claim)


def _with_limit(record: LimitRecord, now: Situation) -> LimitRecord:
    older = record.config_version < now.config_version
    if older and record.limit_requests != now.limit_requests:
        return attrs.evolve(
            record,
            limit_requests=now.limit_requests,
            config_version=now.config_version,
        )
    return record


def _with_predecessor_aside(
    record: LimitRecord, now: Situation
) -> LimitRecord:
    portion = record.portions.get(now.holder)
    if portion is None or portion.incarnation == now.incarnation:
        return record
    portions = dict(record.portions)
    del portions[now.holder]
    key = now.holder + SET_ASIDE_MARK + portion.incarnation
    portions[key] = portion
    return attrs.evolve(record, portions=portions)


def _without_gone(record: LimitRecord, now: Situation) -> LimitRecord:
    portions = {
        key: portion
        for key, portion in record.portions.items()
        if (key, portion.incarnation) not in now.gone
    }
    return attrs.evolve(record, portions=portions)


def _with_portion(
    record: LimitRecord, now: Situation, requests: int
) -> LimitRecord:
    portions = dict(record.portions)
    portions.pop(now.holder, None)
    if requests > 0:
        portions[now.holder] = Portion(
            incarnation=now.incarnation, requests=requests
        )
    return attrs.evolve(record, portions=portions)


def _with_gift(
    record: LimitRecord, now: Situation, mine: int, idle: int
) -> LimitRecord:
    """Move half of what is idle to the first holder that still asks."""
    for ask in now.asks:
        other = record.portions.get(ask.holder)
        theirs = held_by(record, ask.holder, ask.incarnation)
        replaced = other is not None and other.incarnation != ask.incarnation
        if replaced or theirs > ask.portion:
            continue
        gift = max(1, idle // 2)
        record = _with_portion(record, now, mine - gift)
        portion = Portion(incarnation=ask.incarnation, requests=theirs + gift)
        return attrs.evolve(
            record, portions={**record.portions, ask.holder: portion}
        )
    return record


def _wanted(record: LimitRecord, now: Situation, mine: int) -> int:
    wanted = max(0, now.fair - mine)
    if now.short:
        # Half of the remainder leaves something for others that are short.
        wanted = max(wanted, 1, record.unassigned_requests // 2)
    return wanted


class PortionStore:
    """Changes limit records by compare-and-swap.

    A write whose answer was lost may take effect even after a later read.
    It expects the revision that it replaces, so it can no longer take effect
    once the record has a newer revision. Until then, every change writes,
    even if it changes nothing.
    """

    def __init__(
        self, records: RecordStore, clock: Clock, rng: random.Random
    ) -> None:
        self._records = records
        self._clock = clock
        self._rng = rng
        self._unresolved: dict[str, int] = {}

    def is_unresolved(self, team: str) -> bool:
        """Tell whether a write may still take effect."""
        return team in self._unresolved

    def revisions(self) -> dict[str, int] | Failure:
        """Return the revisions of all limit records by team."""
        found = self._records.store.keys(LIMITS_PREFIX)
        if isinstance(found, Failure):
            return found
        return {
            item.key.removeprefix(LIMITS_PREFIX): item.revision
            for item in found
        }

    def change(
        self, team: str, change: Callable[[LimitRecord], LimitRecord]
    ) -> Record | Failure:
        """Change a limit record, again after each conflict.

        :returns: the record after the change, or a Failure; see
            :meth:`is_unresolved`
        """
        key = LIMITS_PREFIX + team
        for attempt in range(ATTEMPTS):
            record = self._read(key)
            if isinstance(record, Failure):
                return record
            value = change(record.value)
            expected = self._unresolved.get(team, -1)
            if value == record.value and record.revision > expected:
                self._unresolved.pop(team, None)
                return record
            written = self._records.store.put(
                key, codec.encode(value), record.revision
            )
            if not isinstance(written, Failure):
                self._unresolved.pop(team, None)
                return Record(value=value, revision=written)
            if not written.is_a(STORE_CONFLICT):
                if written.ran is not Ran.NO:
                    self._unresolved[team] = max(expected, record.revision)
                return written
            delay_s = self._rng.random() * RETRY_DELAY_S * (attempt + 1)
            self._clock.sleep(delay_s)
        return STORE_CONFLICT.because(f"{key}: gave up after conflicts")

    def _read(self, key: str) -> Record | Failure:
        read = self._records.read(key, LimitRecord)
        if isinstance(read, Failure) and read.is_a(STORE_KEY_MISSING):
            empty = LimitRecord(limit_requests=0, config_version=0)
            return Record(value=empty, revision=0)
        return read
