"""Envelope of the messages between processes.

A message is one frame: a msgpack array of protocol version, kind, request
id and body. The version comes first, so that it can be read from messages
whose rest has another layout.
"""

import enum

import attrs
import msgspec

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import PEER_VERSION
from rosemarynotch._internal.exceptions import RECORD_MALFORMED
from rosemarynotch._internal.models.messages import PROTOCOL_VERSION

__all__ = [
    "decode_message",
    "encode_message",
    "join_beat",
    "Kind",
    "Message",
    "MESSAGE_LIMIT_BYTES",
    "split_beat",
]

BEAT_BITS = 32
# Two bodies of the largest size fit; anything larger is not ours.
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024


class Kind(enum.IntEnum):
    """Kinds of messages; the numbers are part of the protocol."""

    PROBE = 0
    HEARTBEAT = 1
    ACK = 2
    FORWARD = 3
    FORWARD_ANSWER = 4
    DOCUMENT_REQUEST = 5
    DOCUMENT_ANSWER = 6
    LIMIT_CHANGED = 7
    REFUSAL = 8
    METRICS_REQUEST = 9
    METRICS_ANSWER = 10


@attrs.frozen
class Message:
    """A message without its protocol version.

    :ivar request_id: chosen by the sender of a request, repeated in the
        answer; for heartbeats see :func:`join_beat`
    """

    kind: Kind
    request_id: int = 0
    body: bytes = b""


_LAYOUT = tuple[int, Kind, int, bytes]


def join_beat(beat: int, echo: int) -> int:
    """Return the request id of a heartbeat.

    :param beat: number of this heartbeat
    :param echo: number of the last heartbeat heard from the receiver, or 0
    """
    return (beat << BEAT_BITS) | echo


def split_beat(request_id: int) -> tuple[int, int]:
    """Return the number of a heartbeat and the one that it acknowledges."""
    return request_id >> BEAT_BITS, request_id & ((1 << BEAT_BITS) - 1)


def encode_message(message: Message) -> bytes:
    """Encode a message with the protocol version of this program."""
    return msgspec.msgpack.encode(
        (PROTOCOL_VERSION, message.kind, message.request_id, message.body)
    )


def decode_message(data: bytes) -> Message | Failure:
    """Decode a message.

    :returns: the message, PEER_VERSION or RECORD_MALFORMED
    """
    try:
        version, kind, request_id, body = msgspec.msgpack.decode(
            data, type=_LAYOUT
        )
    except msgspec.DecodeError as error:
        return _version_failure(data) or RECORD_MALFORMED.with_reason(
            str(error)
        )
    if version != PROTOCOL_VERSION:
        return PEER_VERSION.with_reason(f"protocol version {version}")
    return Message(kind, request_id, body)


def _version_failure(data: bytes) -> Failure | None:
    try:
        plain = msgspec.msgpack.decode(data)
    except msgspec.DecodeError:
        return None
    if isinstance(plain, list) and plain and plain[0] != PROTOCOL_VERSION:
        return PEER_VERSION.with_reason(f"protocol version {plain[0]!r}")
    return None
