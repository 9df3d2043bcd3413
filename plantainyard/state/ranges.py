"""Sets of task numbers kept as ranges.

A job of many tasks has few distinct stretches of waiting ones, so a set costs
memory for each stretch and not for each number.
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
        Sorted, disjoint ranges, the stop not included.

    Attributes
    ----------
    starts, stops : list of int
        Bounds of the ranges.
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
    """Tell whether `number` is in `ranges`, in time logarithmic in its length."""
    index = bisect_right(ranges.starts, number) - 1
    return index >= 0 and number < ranges.stops[index]


def remove_number(ranges: Ranges, number: int) -> bool:
    """Take `number` out of `ranges`; tell whether it was there.

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
    """Put `number` into `ranges`; tell whether it was new.

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
    """Yield the numbers in ascending order, lazily."""
    return chain.from_iterable(map(range, ranges.starts, ranges.stops))


def list_ranges(ranges: Ranges) -> list[tuple[int, int]]:
    """Return the (start, stop) pairs in ascending order."""
    return list(zip(ranges.starts, ranges.stops, strict=True))
