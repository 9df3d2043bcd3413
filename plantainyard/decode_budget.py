"""Bound on the bodies that a process decodes at the same time, and on their rate."""

import contextlib
import threading
from collections.abc import Iterator
from typing import NamedTuple

from plantainyard.clock import read_clock
from plantainyard.decoding import count_outside_texts

__all__ = [
    "CONTROL_LIMITS",
    "DecodeBudget",
    "DecodeLimits",
    "control_budget",
    "estimate_cost",
]

OBJECT_COST = 256
"""Cost of decoding an object, in bytes of a list of numbers: a step without fields
takes as long as 180 to 280 of them."""


class DecodeLimits(NamedTuple):
    """Limits of the bodies that are decoded.

    The cost of a body is about its length; see `estimate_cost`.

    Attributes
    ----------
    free_cost : int
        Cost up to which a body is decoded at once, whatever else is being decoded. A
        job of a few steps costs 1,000 to 6,000.
    cost_at_once : int
        Maximum cost of all other bodies that are being decoded: two of the largest
        jobs. More at once are done no sooner, as the interpreter runs one thread.
    waiting : int
        Maximum number of threads that wait for their turn, of the 24 that serve
        callers.
    wait_s : float
        Longest wait in seconds; callers wait about three for their answer.
    cost_per_s : int or None
        Maximum cost of these bodies in each second: half of the largest job. An owner
        whose tick takes 0.24 s with 16,000 tasks at runners answers nobody else. None
        for no limit.
    burst : int
        Maximum cost of these bodies after a time without any.
    """

    free_cost: int = 16_384
    cost_at_once: int = 524_288
    waiting: int = 4
    wait_s: float = 1.0
    cost_per_s: int | None = 131_072
    burst: int = 524_288


CONTROL_LIMITS = DecodeLimits(
    free_cost=65_536, cost_at_once=2_000_000, waiting=12, cost_per_s=None
)
"""Limits of the control port, whose callers have the token: two bodies of the default
`limits.body_bytes` at once, and no rate, as instances replicate by such calls. Four of
the 16 threads serve others, such as health checks, while twelve wait."""


class DecodeBudget:
    """The cost of the bodies that are being decoded.

    Parameters
    ----------
    limits : DecodeLimits, optional
        Limits.

    Notes
    -----
    Guards against a process that runs out of memory, or answers nobody else, because
    all of its threads decode large bodies: values take up to 30 times the length of
    their body, and each thread that decodes delays all others by 5 ms a turn.
    """

    def __init__(self, limits: DecodeLimits = DecodeLimits()) -> None:  # noqa: B008
        self._limits = limits
        self._changed = threading.Condition()
        self._in_use = 0
        self._waiting = 0
        # Cost that was spent lately; it decreases by `cost_per_s`.
        self._spent = 0.0
        self._spent_at = read_clock()

    @contextlib.contextmanager
    def reserve(self, body: bytes) -> Iterator[bool]:
        """Reserve the cost of decoding a body for the duration of the context.

        Parameters
        ----------
        body : bytes
            The encoded body.

        Yields
        ------
        bool
            Whether the body may be decoded; otherwise too many others are.
        """
        free_cost = self._limits.free_cost
        # An upper bound that takes a tenth of the time for an ordinary body.
        if len(body) + OBJECT_COST * body.count(b"{") <= free_cost:
            yield True
            return
        cost = estimate_cost(body)
        if cost <= free_cost:
            yield True
            return
        # A body that costs more than all may have together is decoded alone.
        cost = min(cost, self._limits.cost_at_once)
        if not self._acquire(cost):
            yield False
            return
        try:
            yield True
        finally:
            self._release(cost)

    def count_waiting(self) -> int:
        """Return the number of threads that wait for their turn."""
        return self._waiting

    def _acquire(self, cost: int) -> bool:
        limits = self._limits
        with self._changed:
            if self._waiting >= limits.waiting or not self._may_spend(cost):
                return False
            self._waiting += 1
            fits = self._changed.wait_for(
                lambda: self._in_use + cost <= limits.cost_at_once, limits.wait_s
            )
            self._waiting -= 1
            if fits:
                self._in_use += cost
                self._spent += cost
        return fits

    def _may_spend(self, cost: int) -> bool:
        limits, now = self._limits, read_clock()
        if limits.cost_per_s is None:
            return True
        elapsed_s, self._spent_at = now - self._spent_at, now
        self._spent = max(0.0, self._spent - elapsed_s * limits.cost_per_s)
        return self._spent + cost <= limits.burst

    def _release(self, cost: int) -> None:
        with self._changed:
            self._in_use -= cost
            self._changed.notify_all()


def estimate_cost(body: bytes) -> int:
    """Return the estimated cost of decoding a body, in bytes of a list of numbers.

    Examples
    --------
    >>> estimate_cost(b'{"steps":[{}]}')
    526
    """
    return len(body) + OBJECT_COST * count_outside_texts(body, b"{")


control_budget = DecodeBudget(CONTROL_LIMITS)
"""The bodies of operators and instances that this process is decoding."""
