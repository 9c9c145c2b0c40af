"""Envelope of the messages between processes.

A message is one frame: a msgpack array of protocol version, kind, request
id and body. The version comes first, so that it can be read even if the rest
of the message has another layout.
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
    "pack_heartbeat_id",
    "Kind",
    "Message",
    "MESSAGE_LIMIT_BYTES",
    "REQUEST_LIMIT_BYTES",
    "unpack_heartbeat_id",
]

NUMBER_BITS = 32
# Fits two bodies of the largest size. No process sends a larger message.
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
# The same for requests and heartbeats: the largest body of a caller with its
# header, or the longest lists of a heartbeat.
REQUEST_LIMIT_BYTES = 1024 * 1024


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

    :ivar request_id: chosen by the sender of a request and repeated in the
        answer; for heartbeats see :func:`pack_heartbeat_id`
    """

    kind: Kind
    request_id: int = 0
    body: bytes = b""


_LAYOUT = tuple[int, Kind, int, bytes]


def pack_heartbeat_id(number: int, acked: int) -> int:
    """Return the request id of a heartbeat.

    :param number: number of this heartbeat
    :param acked: number of the last heartbeat received from the receiver of
        this one, or 0
    """
    return (number << NUMBER_BITS) | acked


def unpack_heartbeat_id(request_id: int) -> tuple[int, int]:
    """Return the number of a heartbeat and that of the acknowledged one."""
    return request_id >> NUMBER_BITS, request_id & ((1 << NUMBER_BITS) - 1)


def encode_message(message: Message) -> bytes:
    """Encode a message with the protocol version of this program."""
    return msgspec.msgpack.encode(
        (PROTOCOL_VERSION, message.kind, message.request_id, message.body)
    )


def decode_message(data: bytes | memoryview) -> Message | Failure:
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


def _version_failure(data: bytes | memoryview) -> Failure | None:
    try:
        plain = msgspec.msgpack.decode(data)
    except msgspec.DecodeError:
        return None
    if isinstance(plain, list) and plain and plain[0] != PROTOCOL_VERSION:
        return PEER_VERSION.with_reason(f"protocol version {plain[0]!r}")
    return None
