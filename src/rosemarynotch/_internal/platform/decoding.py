"""Decoding of messages into the types of the schema."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec
from msgspec import Raw

__all__ = ["decode_body", "decode_rows"]

T = TypeVar("T")
_DECODERS: dict[type, msgspec.json.Decoder] = {}


def decode_body(data: bytes, kind: type[T]) -> T:
    """Decode JSON and validate it.

    :raises ValueError: with the name of the invalid field
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError:
        raise ValueError("JSON is nested too deeply") from None


def decode_rows(
    rows: Iterable[Raw], kind: type[T], refused: list[str]
) -> list[T]:
    """Decode rows independently of each other.

    :param refused: list to which the reason for each invalid row is added
    :returns: the valid rows
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = _DECODERS[kind] = msgspec.json.Decoder(kind)
    name = getattr(kind, "__name__", str(kind))
    found = []
    for row in rows:
        try:
            found.append(decoder.decode(row))
        except (ValueError, RecursionError) as error:
            refused.append(f"{name}: {error}")
    return found
