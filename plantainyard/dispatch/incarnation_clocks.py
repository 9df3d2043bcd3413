"""Which incarnation of a runner has answered a call, by the clock in its answer.

A call is addressed to an incarnation, and a later one under the same id may carry it
out. Lists of runs say which one answers; answers to orders only carry its clock. That
clock begins anew with each incarnation, so that a later one shows less time.
"""

from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Runner

__all__ = ["CLOCK_STEP_S", "Answerer", "identify_answerer", "record_clock"]

ROUNDING_MS = 1
"""Clocks are told in whole milliseconds."""


class Answerer:
    """Who has given an answer, as far as its clock tells."""

    ADDRESSED = "addressed"
    LATER = "later"
    UNCLEAR = "unclear"


CLOCK_STEP_S = 3.0
"""Time in seconds by which the time of day may differ between machines."""


def record_clock(
    runner: Runner, clock_ms: int, sent_at: float, now: float, age_s: float = 0.0
) -> None:
    """Record the clock in an answer that the runner's incarnation has surely given.

    Parameters
    ----------
    runner : Runner
        Changed in place.
    clock_ms : int
        The runner's clock in milliseconds.
    sent_at, now : float
        When the call was sent and its answer came, on the dispatcher's clock.
    age_s : float, optional
        Age of the incarnation in seconds by the time of day.
    """
    if not runner.clock_at:
        passed_ms = max(0.0, age_s - CLOCK_STEP_S) * 1000
        first_ms = min(runner.seen_clock_ms or clock_ms, clock_ms - passed_ms)
        runner.first_clock_ms = first_ms
    runner.clock_ms = clock_ms
    runner.clock_asked_at = sent_at
    runner.clock_at = now
    runner.verified_at = max(runner.verified_at, sent_at)


def identify_answerer(
    runner: Runner, clock_ms: int | None, sent_at: float, now: float, limits: Limits
) -> str:
    """Return who has answered a call to a runner, one of `Answerer`.

    Parameters
    ----------
    runner : Runner
        The incarnation that the call was addressed to.
    clock_ms : int or None
        The clock in the answer, in milliseconds.
    sent_at, now : float
        When the call was sent and its answer came, on the dispatcher's clock.
    limits : Limits
        Provides the drift of clocks.

    Notes
    -----
    The addressed incarnation shows what it showed last, plus the time since, on a clock
    that may drift. An incarnation that began later has run for no longer than since the
    last clock was asked for. An answer that both could give is unclear, as is any from
    an incarnation that began a moment ago. How long an incarnation has run for is told
    by the first clock that was read of it, and by its start on the time of day.
    """
    if clock_ms is None or not runner.clock_at:
        return Answerer.UNCLEAR
    longest_ms = (now - runner.clock_asked_at) * (1 + limits.clock_drift) * 1000
    lowest_ms = _find_lowest_ms(runner, sent_at, limits) - ROUNDING_MS
    if not lowest_ms <= clock_ms <= runner.clock_ms + longest_ms + ROUNDING_MS:
        return Answerer.LATER
    if clock_ms > runner.first_clock_ms + longest_ms + ROUNDING_MS:
        return Answerer.ADDRESSED
    return Answerer.UNCLEAR


def _find_lowest_ms(runner: Runner, sent_at: float, limits: Limits) -> float:
    """Return the least time that the incarnation's clock may have shown at `sent_at`.

    Notes
    -----
    Answers may overtake each other, so that the last clock may be a later one.
    """
    passed_s = sent_at - runner.clock_at
    rate = 1 - limits.clock_drift if passed_s > 0 else 1 + limits.clock_drift
    return runner.clock_ms + passed_s * rate * 1000
