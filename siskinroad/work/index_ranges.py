"""A set of natural numbers, kept as sorted ranges, that mostly follow each other."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable

__all__ = ["IndexRanges"]


class IndexRanges:
    """A set of natural numbers that grows.

    Parameters
    ----------
    ranges : Iterable of tuple of int
        First and last number of each range, in order.
    """

    __slots__ = ("_firsts", "_lasts")

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        for first, last in ranges:
            self._firsts.append(first)
            self._lasts.append(last)

    def __contains__(self, number: int) -> bool:
        i = bisect_right(self._firsts, number) - 1
        return i >= 0 and number <= self._lasts[i]

    def add(self, number: int) -> None:
        """Add a number, and join the ranges that it connects."""
        if number in self:
            return
        i = bisect_right(self._firsts, number)
        joins_left = i > 0 and self._lasts[i - 1] == number - 1
        joins_right = i < len(self._firsts) and self._firsts[i] == number + 1
        if joins_left and joins_right:
            self._lasts[i - 1] = self._lasts[i]
            del self._firsts[i], self._lasts[i]
        elif joins_left:
            self._lasts[i - 1] = number
        elif joins_right:
            self._firsts[i] = number
        else:
            self._firsts.insert(i, number)
            self._lasts.insert(i, number)

    def next_absent(self, number: int) -> int:
        """Return the smallest number from ``number`` on that is not in the set."""
        i = bisect_right(self._firsts, number) - 1
        if i >= 0 and number <= self._lasts[i]:
            return self._lasts[i] + 1
        return number

    def find_absent(self, number: int, count: int) -> int:
        """Return the ``count``-th number from ``number`` on that is not in the set."""
        for first, last in zip(self._firsts, self._lasts, strict=True):
            absent = max(0, first - number)
            if absent >= count:
                break
            if last >= number:
                count -= absent
                number = last + 1
        return number + count - 1

    def as_tuple(self) -> tuple[tuple[int, int], ...]:
        """Return the first and last number of each range, in order."""
        return tuple(zip(self._firsts, self._lasts, strict=True))
