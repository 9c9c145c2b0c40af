"""Compact collections for items that are numbered from 0."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import overload
from typing import TypeVar

__all__ = ["IndexSet", "LazySequence"]

T = TypeVar("T")


class IndexSet:
    """A set of the numbers below a limit, which takes one bit for each."""

    __slots__ = ("_bits", "_count", "_limit")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._bits = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, number: int) -> bool:
        return bool(self._bits >> number & 1)

    def __iter__(self) -> Iterator[int]:
        return _iterate_bits(self._bits)

    @property
    def is_full(self) -> bool:
        """Return whether all numbers are in the set."""
        return self._count == self._limit

    def add(self, number: int) -> bool:
        """Add a number; return whether the set lacked it.

        :raises IndexError: if the number is not below the limit
        """
        if not 0 <= number < self._limit:
            raise IndexError(f"{number} is not below {self._limit}")
        if number in self:
            return False
        self._bits |= 1 << number
        self._count += 1
        return True

    def fill(self) -> None:
        """Add all numbers."""
        self._bits = (1 << self._limit) - 1
        self._count = self._limit

    def missing(self, limit: int | None = None) -> Iterator[int]:
        """Return the numbers that the set lacks, in ascending order.

        :param limit: only numbers below this one
        """
        if limit is None or limit > self._limit:
            limit = self._limit
        return _iterate_bits(~self._bits & ((1 << limit) - 1))


def _iterate_bits(bits: int) -> Iterator[int]:
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


class LazySequence(Sequence[T]):
    """A sequence whose items are created when they are first used.

    An item that was dropped is created anew, so only items whose state equals
    that of a new one may be dropped.

    :param length: number of items
    :param make: called with the owner and the number of an item
    :param owner: object that the items belong to
    """

    __slots__ = ("_items", "_length", "_make", "_owner")

    def __init__(
        self, length: int, make: Callable[[Any, int], T], owner: Any
    ) -> None:
        self._length = length
        self._make = make
        self._owner = owner
        self._items: dict[int, T] = {}

    def __len__(self) -> int:
        return self._length

    @overload
    def __getitem__(self, number: int) -> T: ...

    @overload
    def __getitem__(self, number: slice) -> list[T]: ...

    def __getitem__(self, number):
        if isinstance(number, slice):
            return [self[each] for each in range(self._length)[number]]
        item = self._items.get(number)
        if item is None:
            number = range(self._length)[number]
            item = self._items.get(number)
            if item is None:
                item = self._items[number] = self._make(self._owner, number)
        return item

    @property
    def held(self) -> list[T]:
        """Return the items that exist, in the order of their creation."""
        return list(self._items.values())

    @property
    def held_count(self) -> int:
        """Return how many items exist."""
        return len(self._items)

    def peek(self, number: int) -> T | None:
        """Return an item if it exists."""
        return self._items.get(number)

    def drop(self, number: int) -> None:
        """Drop an item if it exists."""
        self._items.pop(number, None)
