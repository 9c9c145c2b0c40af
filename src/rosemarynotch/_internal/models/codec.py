"""Encoding of records and messages as msgpack."""

from typing import Any
from typing import TypeVar
import zlib

import msgspec

from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.exceptions import RECORD_MALFORMED

__all__ = ["decode", "decode_compressed", "encode", "encode_compressed"]

T = TypeVar("T")


def encode(value: Any) -> bytes:
    """Encode an attrs instance or a plain value."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[T]) -> T | Failure:
    """Decode a value of the given type.

    :returns: the value, or RECORD_MALFORMED
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (ValueError, RecursionError) as error:
        return RECORD_MALFORMED.with_reason(str(error))


def encode_compressed(value: Any) -> bytes:
    """Encode and compress a large record."""
    return zlib.compress(encode(value))


def decode_compressed(data: bytes, kind: type[T]) -> T | Failure:
    """Decode a record written by :func:`encode_compressed`.

    :returns: the value, or RECORD_MALFORMED
    """
    try:
        plain = zlib.decompress(data)
    except zlib.error as error:
        return RECORD_MALFORMED.with_reason(str(error))
    return decode(plain, kind)
