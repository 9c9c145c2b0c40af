"""Compact form of heartbeats.

Heartbeats are most of what a process sends, and their size is mostly demand
rows. So names of pools and teams are sent once and then referred to by
number, and a row is sent only when it has changed; when many have, those
with large changes and those sent long ago go first. Receivers keep the last
row. What a receiver misses is repeated by the next complete heartbeat.
"""

from typing import Callable
import zlib

import attrs
import msgspec

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import RECORD_MALFORMED
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.messages import DemandRow
from rosemarynotch._internal.models.messages import Heartbeat

__all__ = ["HeartbeatDecoder", "HeartbeatEncoder"]

# A change of the demand that goes before smaller ones.
CHANGE_REQUESTS = 2
CHANGE_PART = 0.25
# Rows in a heartbeat. As the period grows with the number of members, this
# bounds what a process spends on heartbeats; 16 rows took 3.9 KB/s with 60
# members. When more rows change, they take turns.
ROWS_LIMIT = 8
# A heartbeat with all names and rows repairs what was lost on the way. One
# is also sent when a connection is new.
COMPLETE_BEATS = 64
# Compression of shorter heartbeats gains nothing.
COMPRESS_BYTES = 128
DEFLATE = {"level": 9, "wbits": -15}
# Far more than all rows of 122 pools and 45 teams.
LARGEST_BYTES = 1024 * 1024

Key = tuple[str, str]
# Pool and team by number, queued, running, worth in thousandths, slot time
# in milliseconds.
_WireRow = tuple[int, int, int, int, int, int]


class _Layout(msgspec.Struct, array_like=True):
    """A heartbeat as it is sent.

    Fields may be added at the end, with a default. Receivers ignore fields
    that they do not know. Programs from before ``alarms`` refuse it, so it is
    sent only while there are any.

    :ivar store_age_ms: age of the store contact
    :ivar complete: whether all names and rows are here
    :ivar first_number: number of the first of ``names``
    """

    sender: str
    incarnation: str
    sequence: int
    members_revision: int
    config_version: int
    fleet_revision: int
    store_age_ms: int
    complete: bool
    first_number: int
    names: list[str]
    rows: list[_WireRow]
    running_by_vm: dict[str, int]
    short_teams: tuple[str, ...]
    ejected_vms: tuple[str, ...]
    alarms: tuple[str, ...] = ()


# The first byte of an encoded heartbeat.
PLAIN = b"\0"
DEFLATED = b"\1"
# An age beyond what matters; an infinite age has no number.
LARGEST_AGE_S = 1e6


class HeartbeatEncoder:
    """Encodes the heartbeats of this process; used by one thread.

    :meth:`send_complete` may be called by any thread.
    """

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._sent: dict[Key, tuple[DemandRow, int]] = {}
        self._beat = 0
        self._complete = True

    def send_complete(self) -> None:
        """Let the next heartbeat be complete, for a new receiver."""
        self._complete = True

    def sent_rows(self) -> tuple[DemandRow, ...]:
        """Return the rows as receivers know them after the last encoding."""
        return tuple(row for row, _ in self._sent.values())

    def encode(self, heartbeat: Heartbeat) -> bytes:
        """Encode a heartbeat."""
        complete = self._complete or self._beat % COMPLETE_BEATS == 0
        self._complete = False
        self._beat += 1
        known_count = 0 if complete else len(self._numbers)
        rows = [
            (
                self._number(row.pool),
                self._number(row.team),
                row.queued_requests,
                row.running_requests,
                round(1000 * row.served_worth),
                round(1000 * row.slot_s),
            )
            for row in self._choose(heartbeat.demand, complete)
        ]
        plain = (
            heartbeat.sender,
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.members_revision,
            heartbeat.config_version,
            heartbeat.fleet_revision,
            round(1000 * min(LARGEST_AGE_S, heartbeat.store_age_s)),
            complete,
            known_count,
            list(self._numbers)[known_count:],
            rows,
            heartbeat.running_by_vm,
            heartbeat.short_teams,
            heartbeat.ejected_vms,
        )
        if heartbeat.alarms:
            plain += (heartbeat.alarms,)
        data = codec.encode(plain)
        if len(data) < COMPRESS_BYTES:
            return PLAIN + data
        packer = zlib.compressobj(**DEFLATE)
        return DEFLATED + packer.compress(data) + packer.flush()

    def _number(self, name: str) -> int:
        return self._numbers.setdefault(name, len(self._numbers))

    def _choose(
        self, demand: tuple[DemandRow, ...], complete: bool
    ) -> list[DemandRow]:
        rows = {(row.pool, row.team): row for row in demand}
        for key, (row, _) in self._sent.items():
            if key not in rows:
                # The owner omits what is idle; receivers have to know.
                rows[key] = attrs.evolve(
                    row, queued_requests=0, running_requests=0
                )
        changed = []
        for key, row in rows.items():
            last, beat = self._sent.get(key, (None, 0))
            if complete or row != last:
                large = last is None or _has_changed_much(row, last)
                changed.append((not large, beat, key))
        if not complete:
            changed = sorted(changed)[:ROWS_LIMIT]
        for _, _, key in changed:
            self._sent[key] = (rows[key], self._beat)
        return [rows[key] for _, _, key in changed]


class HeartbeatDecoder:
    """Decodes the heartbeats of all other members; used by one thread."""

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}

    def decode(
        self, data: bytes, accepts: Callable[[Heartbeat], bool]
    ) -> Heartbeat | None:
        """Decode a heartbeat and complete its rows.

        :param accepts: decides without the rows. What is late or of another
            incarnation must not change the rows that are kept
        :returns: None if it is malformed or not accepted
        """
        plain = _decode(data)
        if isinstance(plain, Failure):
            return None
        name, incarnation = plain.sender, plain.incarnation
        heartbeat = Heartbeat(
            sender=name,
            incarnation=incarnation,
            sequence=plain.sequence,
            members_revision=plain.members_revision,
            config_version=plain.config_version,
            fleet_revision=plain.fleet_revision,
            store_age_s=plain.store_age_ms / 1000,
            running_by_vm=plain.running_by_vm,
            short_teams=plain.short_teams,
            ejected_vms=plain.ejected_vms,
            alarms=plain.alarms,
        )
        if not accepts(heartbeat):
            return None
        sender = self._senders.get(name)
        if sender is None or sender.incarnation != incarnation:
            sender = self._senders[name] = _Sender(incarnation)
        sender.take(
            plain.complete, plain.first_number, plain.names, plain.rows
        )
        return attrs.evolve(heartbeat, demand=tuple(sender.rows.values()))

    def keep_only(self, names) -> None:
        """Drop what is known of other senders."""
        self._senders = {
            name: sender
            for name, sender in self._senders.items()
            if name in names
        }


@attrs.define
class _Sender:
    """Names and rows that one incarnation of a member has sent."""

    incarnation: str
    names: list[str] = attrs.field(factory=list)
    rows: dict[Key, DemandRow] = attrs.field(factory=dict)

    def take(self, complete, first, names, rows) -> None:
        if complete:
            self.names, self.rows = list(names), {}
        elif first <= len(self.names):
            self.names[first:] = names
        for pool, team, queued, running, worth, slot_ms in rows:
            if max(pool, team) >= len(self.names):
                # Its names were lost; the next complete heartbeat has them.
                continue
            key = (self.names[pool], self.names[team])
            self.rows[key] = DemandRow(
                pool=key[0],
                team=key[1],
                queued_requests=queued,
                running_requests=running,
                served_worth=worth / 1000,
                slot_s=slot_ms / 1000,
            )


def _decode(data: bytes) -> _Layout | Failure:
    body = data[1:]
    if data[:1] == DEFLATED:
        unpacker = zlib.decompressobj(DEFLATE["wbits"])
        try:
            body = unpacker.decompress(body, LARGEST_BYTES)
        except zlib.error as error:
            return RECORD_MALFORMED.with_reason(str(error))
    return codec.decode(body, _Layout)


def _has_changed_much(row: DemandRow, last: DemandRow) -> bool:
    demand = row.queued_requests + row.running_requests
    before = last.queued_requests + last.running_requests
    if (demand == 0) != (before == 0):
        return True
    return abs(demand - before) > max(CHANGE_REQUESTS, CHANGE_PART * before)
