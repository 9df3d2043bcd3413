"""The largest of many amounts of resources, to tell at once what fits nowhere.

Guards against an owner that does nothing but search while work accumulates: each of
hundreds of waiting steps would examine all runners, several times a second, and fall
behind the further the more of them wait.
"""

from collections.abc import Iterable

from plantainyard.batch.values import Resources

__all__ = ["find_maxima", "fits_any"]


def find_maxima(sizes: Iterable[Resources]) -> list[Resources]:
    """Return the amounts than which no other one is at least as large in each respect.

    Notes
    -----
    The cost is proportional to the number of amounts and of those that are returned,
    which are few: runners have few sizes, and what is free in one respect mostly is in
    the others.

    Examples
    --------
    >>> sizes = [Resources(1, 5, 0), Resources(2, 5, 0), Resources(3, 1, 0)]
    >>> find_maxima(sizes)
    [Resources(cpu=3, memory=1, gpu=0), Resources(cpu=2, memory=5, gpu=0)]
    """
    maxima: list[Resources] = []
    for size in sorted(set(sizes), reverse=True):
        if not fits_any(size, maxima):
            maxima.append(size)
    return maxima


def fits_any(wanted: Resources, sizes: Iterable[Resources]) -> bool:
    """Return whether one of some amounts is at least as large in each respect."""
    return any(
        wanted.cpu <= size.cpu
        and wanted.memory <= size.memory
        and wanted.gpu <= size.gpu
        for size in sizes
    )
