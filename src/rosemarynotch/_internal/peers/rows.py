"""Compact encoding of heartbeats.

Heartbeats are most of the data that a process sends, and most of their size
is demand rows. Therefore the names of pools and teams are sent once and then
referred to by number, and a row is sent only when it has changed. If many
have changed, large changes go first, then the rows sent least recently.
Receivers keep the last row. The next complete heartbeat repeats what a
receiver has missed.
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

# A change of the demand above both limits is sent before smaller ones, as is
# the beginning or end of demand.
LARGE_CHANGE_REQUESTS = 2
LARGE_CHANGE_FRACTION = 0.25
# Limit of the rows in a heartbeat that is not complete. The period grows with
# the number of members, so this bounds the data rate of heartbeats; a limit of
# 16 rows took 3.9 KB/s with 60 members. If more rows change, the others are
# sent by later heartbeats.
MAX_ROWS = 8
# One heartbeat in this many is complete: it has all names and rows, so that
# receivers get what was lost. One is also sent when a connection is new.
COMPLETE_INTERVAL_HEARTBEATS = 64
# Shorter heartbeats are not compressed, since that would not make them
# smaller.
COMPRESS_BYTES = 128
DEFLATE = {"level": 9, "wbits": -15}
# Limit of a decompressed heartbeat, far above the size of all rows of 122
# pools and 45 teams.
MAX_DECODED_BYTES = 1024 * 1024

Key = tuple[str, str]
# Pool and team by number, queued, running, worth in thousandths, slot time
# in milliseconds.
_WireRow = tuple[int, int, int, int, int, int]


class _Layout(msgspec.Struct, array_like=True):
    """Fields of an encoded heartbeat.

    New fields may be added at the end, with a default, because receivers
    ignore fields that they do not know. The exception is ``alarms``: programs
    that predate it refuse a heartbeat with it, so it is sent only while there
    are alarms.

    :ivar store_age_ms: age of the store contact
    :ivar complete: whether the heartbeat has all names and rows
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


# First byte of an encoded heartbeat.
PLAIN = b"\0"
DEFLATED = b"\1"
# Greatest age that is sent. An infinite age cannot be encoded, and greater
# ages make no difference.
MAX_AGE_S = 1e6


class HeartbeatEncoder:
    """Encodes the heartbeats of this process; used by one thread.

    :meth:`send_complete` may be called by any thread.
    """

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._sent: dict[Key, tuple[DemandRow, int]] = {}
        self._heartbeat_count = 0
        self._complete = True

    def send_complete(self) -> None:
        """Make the next heartbeat complete, for a new receiver."""
        self._complete = True

    def sent_rows(self) -> tuple[DemandRow, ...]:
        """Return the rows that receivers know after the last heartbeat."""
        return tuple(row for row, _ in self._sent.values())

    def encode(self, heartbeat: Heartbeat) -> bytes:
        """Encode a heartbeat."""
        complete = (
            self._complete
            or self._heartbeat_count % COMPLETE_INTERVAL_HEARTBEATS == 0
        )
        self._complete = False
        self._heartbeat_count += 1
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
            for row in self._select_rows(heartbeat.demand, complete)
        ]
        plain = (
            heartbeat.sender,
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.members_revision,
            heartbeat.config_version,
            heartbeat.fleet_revision,
            round(1000 * min(MAX_AGE_S, heartbeat.store_age_s)),
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

    def _select_rows(
        self, demand: tuple[DemandRow, ...], complete: bool
    ) -> list[DemandRow]:
        rows = {(row.pool, row.team): row for row in demand}
        for key, (row, _) in self._sent.items():
            if key not in rows:
                # The source omits idle rows, but receivers need to learn
                # that a row has become idle.
                rows[key] = attrs.evolve(
                    row, queued_requests=0, running_requests=0
                )
        changed = []
        for key, row in rows.items():
            last, sent_at = self._sent.get(key, (None, 0))
            if complete or row != last:
                is_large = last is None or _is_large_change(row, last)
                changed.append((not is_large, sent_at, key))
        if not complete:
            changed = sorted(changed)[:MAX_ROWS]
        for _, _, key in changed:
            self._sent[key] = (rows[key], self._heartbeat_count)
        return [rows[key] for _, _, key in changed]


class HeartbeatDecoder:
    """Decodes the heartbeats of all other members; used by one thread."""

    def __init__(self) -> None:
        self._senders: dict[str, _SenderState] = {}

    def decode(
        self, data: bytes, accepts: Callable[[Heartbeat], bool]
    ) -> Heartbeat | None:
        """Decode a heartbeat and add the rows of earlier ones.

        :param accepts: tells whether to accept a heartbeat, which is given
            without its rows. One that is late or of another incarnation must
            not change the rows that are kept
        :returns: the heartbeat, or None if it is malformed or not accepted
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
            sender = self._senders[name] = _SenderState(incarnation)
        sender.apply(
            plain.complete, plain.first_number, plain.names, plain.rows
        )
        return attrs.evolve(heartbeat, demand=tuple(sender.rows.values()))

    def retain_senders(self, names) -> None:
        """Remove the rows of all other senders."""
        self._senders = {
            name: sender
            for name, sender in self._senders.items()
            if name in names
        }


@attrs.define
class _SenderState:
    """Names and rows that one incarnation of a member has sent."""

    incarnation: str
    names: list[str] = attrs.field(factory=list)
    rows: dict[Key, DemandRow] = attrs.field(factory=dict)

    def apply(self, complete, first, names, rows) -> None:
        if complete:
            self.names, self.rows = list(names), {}
        elif first <= len(self.names):
            self.names[first:] = names
        for pool, team, queued, running, worth, slot_ms in rows:
            if max(pool, team) >= len(self.names):
                # The heartbeat with its names was lost. The next complete
                # heartbeat repeats them.
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
            body = unpacker.decompress(body, MAX_DECODED_BYTES)
        except zlib.error as error:
            return RECORD_MALFORMED.with_reason(str(error))
    return codec.decode(body, _Layout)


def _is_large_change(row: DemandRow, last: DemandRow) -> bool:
    demand = row.queued_requests + row.running_requests
    before = last.queued_requests + last.running_requests
    if (demand == 0) != (before == 0):
        return True
    return abs(demand - before) > max(
        LARGE_CHANGE_REQUESTS, LARGE_CHANGE_FRACTION * before
    )
