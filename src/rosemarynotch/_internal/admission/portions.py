"""Limit records, which divide a team's limit among holders (rule R1).

A holder is a process that has a portion of the limit. It is short when its
requests wait for a permit.
"""

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
    "assigned_requests",
    "HolderState",
    "is_predecessor",
    "portion_of",
    "PortionRequest",
    "PortionStore",
    "reconcile",
]

ATTEMPTS = 12
RETRY_DELAY_S = 0.02
# The portion of an earlier incarnation of a holder is kept under the key
# "<name>#<incarnation>" until it is reclaimed.
PREDECESSOR_MARK = "#"


@attrs.frozen(kw_only=True)
class PortionRequest:
    """A request for a larger portion by a holder that is short.

    :ivar portion: the last known portion of the holder at its request
    """

    holder: str
    incarnation: str
    portion: int


@attrs.frozen(kw_only=True)
class HolderState:
    """The state from which a holder computes its portion of a team's limit.

    :ivar running: permits in use
    :ivar limit_requests: the limit of the document in force
    :ivar fair: this holder's portion if the limit were divided equally
    :ivar short: whether requests wait for a permit
    :ivar trim: whether to give up idle permits beyond the fair portion
    :ivar releasing: whether to give up all idle permits
    :ivar reclaimable: keys and incarnations whose portions may be reclaimed
    """

    holder: str
    incarnation: str
    running: int
    limit_requests: int
    config_version: int
    fair: int = 0
    short: bool = False
    trim: bool = False
    releasing: bool = False
    portion_requests: tuple[PortionRequest, ...] = ()
    reclaimable: frozenset[tuple[str, str]] = frozenset()


def assigned_requests(record: LimitRecord) -> int:
    """Return the sum of all portions."""
    return sum(portion.requests for portion in record.portions.values())


def portion_of(record: LimitRecord, holder: str, incarnation: str) -> int:
    """Return the portion of one incarnation of a holder."""
    portion = record.portions.get(holder)
    if portion is None or portion.incarnation != incarnation:
        return 0
    return portion.requests


def is_predecessor(key: str) -> bool:
    """Tell whether a portion belongs to an earlier incarnation."""
    return PREDECESSOR_MARK in key


def reconcile(record: LimitRecord, state: HolderState) -> LimitRecord:
    """Return the limit record that a holder should write.

    The holder's portion is not lowered below the number of its running
    requests, and the sum of all portions does not grow beyond the limit.
    """
    record = _with_limit(record, state)
    record = _without_reclaimed(
        _with_predecessor_renamed(record, state), state
    )
    own = portion_of(record, state.holder, state.incarnation)
    idle = max(0, own - state.running)
    excess = assigned_requests(record) - record.limit_requests
    if state.releasing:
        return _with_portion(record, state, own - idle)
    if excess > 0:
        # Each holder lowers its portion in proportion, rounded up, so that
        # the sum reaches the limit after repeated writes by all holders.
        part = -(-excess * own // assigned_requests(record))
        return _with_portion(record, state, own - min(idle, part))
    if state.trim and own > state.fair:
        return _with_portion(record, state, max(own - idle, state.fair))
    if state.portion_requests and idle and not state.short:
        return _with_transfer(record, state, own, idle)
    claim = min(_desired_claim(record, state, own), record.unassigned_requests)
    return _with_portion(record, state, own + claim)


def _with_limit(record: LimitRecord, state: HolderState) -> LimitRecord:
    older = record.config_version < state.config_version
    if older and record.limit_requests != state.limit_requests:
        return attrs.evolve(
            record,
            limit_requests=state.limit_requests,
            config_version=state.config_version,
        )
    return record


def _with_predecessor_renamed(
    record: LimitRecord, state: HolderState
) -> LimitRecord:
    portion = record.portions.get(state.holder)
    if portion is None or portion.incarnation == state.incarnation:
        return record
    portions = dict(record.portions)
    del portions[state.holder]
    key = state.holder + PREDECESSOR_MARK + portion.incarnation
    portions[key] = portion
    return attrs.evolve(record, portions=portions)


def _without_reclaimed(record: LimitRecord, state: HolderState) -> LimitRecord:
    portions = {
        key: portion
        for key, portion in record.portions.items()
        if (key, portion.incarnation) not in state.reclaimable
    }
    return attrs.evolve(record, portions=portions)


def _with_portion(
    record: LimitRecord, state: HolderState, requests: int
) -> LimitRecord:
    portions = dict(record.portions)
    portions.pop(state.holder, None)
    if requests > 0:
        portions[state.holder] = Portion(
            incarnation=state.incarnation, requests=requests
        )
    return attrs.evolve(record, portions=portions)


def _with_transfer(
    record: LimitRecord, state: HolderState, own: int, idle: int
) -> LimitRecord:
    """Move half of the idle permits to the first holder that is still short.

    A holder that was replaced, or whose portion has grown since its request,
    is skipped.
    """
    for request in state.portion_requests:
        other = record.portions.get(request.holder)
        held = portion_of(record, request.holder, request.incarnation)
        replaced = (
            other is not None and other.incarnation != request.incarnation
        )
        if replaced or held > request.portion:
            continue
        transferred = max(1, idle // 2)
        record = _with_portion(record, state, own - transferred)
        portion = Portion(
            incarnation=request.incarnation, requests=held + transferred
        )
        return attrs.evolve(
            record, portions={**record.portions, request.holder: portion}
        )
    return record


def _desired_claim(record: LimitRecord, state: HolderState, own: int) -> int:
    claim = max(0, state.fair - own)
    if state.short:
        # Claiming only half leaves some for other holders that are short.
        claim = max(claim, 1, record.unassigned_requests // 2)
    return claim


class PortionStore:
    """Changes limit records by compare-and-swap.

    A write whose answer was lost may take effect even after a later read.
    It is conditional on the revision that it replaces, so it cannot take
    effect once the record has a newer revision. Until then, every change
    writes the record, even if its value stays the same.
    """

    def __init__(
        self, records: RecordStore, clock: Clock, rng: random.Random
    ) -> None:
        self._records = records
        self._clock = clock
        self._rng = rng
        self._unresolved: dict[str, int] = {}

    def is_unresolved(self, team: str) -> bool:
        """Tell whether a write with a lost answer may still take effect."""
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
        """Change a limit record, retrying after conflicts.

        :returns: the record after the change, or a Failure, after which
            :meth:`is_unresolved` tells whether a write may take effect
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
        return STORE_CONFLICT.with_reason(f"{key}: conflict in every attempt")

    def _read(self, key: str) -> Record | Failure:
        read = self._records.read(key, LimitRecord)
        if isinstance(read, Failure) and read.is_a(STORE_KEY_MISSING):
            empty = LimitRecord(limit_requests=0, config_version=0)
            return Record(value=empty, revision=0)
        return read
