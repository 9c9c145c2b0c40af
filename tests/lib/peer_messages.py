"""What clients of the peer port send, in the framing of ZeroMQ.

Source: rfc.zeromq.org/spec/23.
"""

__all__ = ["ANSWER_BYTES", "EMPTY_PART", "frame_message", "HELLO"]

MAX_SHORT_BYTES = 255
# Greeting and first command of a socket.
HELLO = (
    b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
) + b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
# Length of the server's greeting and of the beginning of its first command.
# Messages that arrive before it is sent close the connection.
ANSWER_BYTES = 66
# A part without data, which others follow.
EMPTY_PART = b"\x01\x00"


def frame_message(data: bytes) -> bytes:
    """Return a message of one part."""
    if len(data) > MAX_SHORT_BYTES:
        return b"\x02" + len(data).to_bytes(8, "big") + data
    return b"\x00" + len(data).to_bytes(1, "big") + data
