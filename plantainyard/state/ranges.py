"""Sets of task numbers stored as ranges.

The waiting tasks of a large job form few contiguous ranges, so a set takes memory
for each range and not for each number.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from itertools import chain

__all__ = [
    "Ranges",
    "add_number",
    "has_number",
    "iter_numbers",
    "list_ranges",
    "remove_number",
]


class Ranges:
    """A set of integers as sorted, disjoint half-open ranges.

    Parameters
    ----------
    pairs : iterable of (int, int)
        Sorted, disjoint ranges; the stop of each is excluded.

    Attributes
    ----------
    starts, stops : list of int
        Bounds of the ranges, in ascending order.
    count : int
        Number of integers in the set.
    """

    __slots__ = ("count", "starts", "stops")

    def __init__(self, pairs: Iterable[tuple[int, int]] = ()) -> None:
        pairs = [(start, stop) for start, stop in pairs if start < stop]
        self.starts = [start for start, _ in pairs]
        self.stops = [stop for _, stop in pairs]
        self.count = sum(self.stops) - sum(self.starts)


def has_number(ranges: Ranges, number: int) -> bool:
    """Return whether `number` is in `ranges`, in logarithmic time."""
    index = bisect_right(ranges.starts, number) - 1
    return index >= 0 and number < ranges.stops[index]


def remove_number(ranges: Ranges, number: int) -> bool:
    """Remove `number` from `ranges`; return whether it was contained.

    Examples
    --------
    >>> numbers = Ranges([(0, 5)])
    >>> remove_number(numbers, 2), list_ranges(numbers)
    (True, [(0, 2), (3, 5)])
    """
    index = bisect_right(ranges.starts, number) - 1
    if index < 0 or number >= ranges.stops[index]:
        return False
    start, stop = ranges.starts[index], ranges.stops[index]
    kept = [(a, b) for a, b in ((start, number), (number + 1, stop)) if a < b]
    ranges.starts[index : index + 1] = [a for a, _ in kept]
    ranges.stops[index : index + 1] = [b for _, b in kept]
    ranges.count -= 1
    return True


def add_number(ranges: Ranges, number: int) -> bool:
    """Add `number` to `ranges`; return whether it was new.

    Examples
    --------
    >>> numbers = Ranges([(0, 2), (3, 5)])
    >>> add_number(numbers, 2), list_ranges(numbers)
    (True, [(0, 5)])
    """
    if has_number(ranges, number):
        return False
    index = bisect_right(ranges.starts, number)
    joins_left = index > 0 and ranges.stops[index - 1] == number
    joins_right = index < len(ranges.starts) and ranges.starts[index] == number + 1
    first = index - joins_left
    last = index + joins_right
    start = ranges.starts[first] if joins_left else number
    stop = ranges.stops[index] if joins_right else number + 1
    ranges.starts[first:last] = [start]
    ranges.stops[first:last] = [stop]
    ranges.count += 1
    return True


def iter_numbers(ranges: Ranges) -> Iterator[int]:
    """Lazily yield the numbers in ascending order."""
    return chain.from_iterable(map(range, ranges.starts, ranges.stops))


def list_ranges(ranges: Ranges) -> list[tuple[int, int]]:
    """Return the (start, stop) pairs in ascending order."""
    return list(zip(ranges.starts, ranges.stops, strict=True))
