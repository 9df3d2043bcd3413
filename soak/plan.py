"""Plan of the faults of a run; it depends only on the seed and the run's size."""

import random
from typing import NamedTuple

__all__ = ["Fault", "FaultKind", "make_plan"]

GAP_S = (0.2, 1.8)
"""Shortest and longest time between two faults, which is shorter than the duration of
most faults, so that they overlap."""


EVACUATION_GAP_S = (1.0, 8.0)
"""Shortest and longest time between the beginnings of two evacuations."""

EVACUATION_S = (4.0, 9.0)
"""Shortest and longest duration of an evacuation; the bound is 5 s."""


FOREIGN_GAP_S = (0.3, 3.0)
"""Shortest and longest time between two records that aren't written in order."""


SILENT_GAP_S = (1.5, 5.0)
"""Shortest and longest time between two restarts of runners that fall silent."""

OTHERS_SHARE = 4
"""One in so many of the other faults happens beside such restarts. A new owner waits
for the longest lease at a silent runner, so that owners must last for some seconds."""

SILENT_S = (3.0, 11.0)
"""Shortest and longest time for which they stay silent. Relays deliver what they held
back, and the platform carries calls out up to 12 s late."""

TAKES_CALLS_S = (-0.5, 1.5)
"""Shortest and longest time from the restart of a runner until it is cut off."""

UNREAD_S = (0.5, 3.0)
"""Shortest and longest time until the entry of a new incarnation is written."""


class FaultKind:
    """Kinds of faults.

    Notes
    -----
    ``KILL``, ``STOP``, ``PAUSE``
        An instance gets SIGKILL, SIGTERM, or SIGSTOP and later SIGCONT.
    ``CUT_STORE``, ``CUT_RUNNER``
        All traffic between one instance and the store, or between all instances and
        one runner, is held back in both directions.
    ``STORE_DOWN``, ``LOSE_ANSWERS``, ``DROP_HISTORY``
        The store refuses all calls; or it carries appends out without responding; or
        it drops all but the newest record of each key.
    ``NEW_INCARNATION``
        A runner restarts without any state of its previous incarnation.
    ``STRAY_RECORD``
        Another writer stores a record that can't be read.
    ``LATE_HEARTBEAT``
        A runner restarts, and the store carries out its heartbeat of before late.
    ``EVACUATE``
        Operators request that nothing more is started in a failure domain.
    ``UNREAD_RESTART``
        A runner restarts, and its entry isn't written for a while.
    ``LOST_ENTRY``
        A runner's entry is away.
    """

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    CUT_STORE = "cut store"
    CUT_RUNNER = "cut runner"
    STORE_DOWN = "store down"
    LOSE_ANSWERS = "lose answers"
    DROP_HISTORY = "drop history"
    NEW_INCARNATION = "new life"
    STRAY_RECORD = "stray record"
    LATE_HEARTBEAT = "late heartbeat"
    EVACUATE = "evacuate"
    UNREAD_RESTART = "unread restart"
    LOST_ENTRY = "lost entry"

    DISTURBING = (
        KILL,
        STOP,
        PAUSE,
        CUT_STORE,
        CUT_RUNNER,
        STORE_DOWN,
        LOSE_ANSWERS,
        DROP_HISTORY,
        NEW_INCARNATION,
    )
    FOREIGN = (STRAY_RECORD, STRAY_RECORD, LATE_HEARTBEAT)
    SILENT = (UNREAD_RESTART, LOST_ENTRY)
    ALL = (*DISTURBING, STRAY_RECORD, LATE_HEARTBEAT, EVACUATE, *SILENT)


class Fault(NamedTuple):
    """One fault.

    Attributes
    ----------
    at : float
        Seconds since the start of the callers.
    kind : str
        One of `FaultKind`.
    target : int
        Number of the affected instance or runner, if the kind has one.
    for_s : float
        Duration in seconds, for kinds that don't end by themselves.
    """

    at: float
    kind: str
    target: int
    for_s: float


def make_plan(
    seed: int,
    seconds: float,
    instances: int,
    runners: int,
    domains: int = 0,
    silent_restarts: bool = False,
) -> list[Fault]:
    """Return the faults of a run, ordered by time; evacuations if there are domains.

    If `silent_restarts` is set, runners restart and fall silent, and one in
    `OTHERS_SHARE` of the other faults remains.

    Examples
    --------
    >>> make_plan(7, 10.0, 3, 4, 2) == make_plan(7, 10.0, 3, 4, 2)
    True
    """
    source = random.Random(seed)
    plan: list[Fault] = []
    at = source.uniform(*GAP_S)
    while at < seconds:
        kind = source.choice(FaultKind.DISTURBING)
        on_runner = kind in (FaultKind.CUT_RUNNER, FaultKind.NEW_INCARNATION)
        target = source.randrange(runners if on_runner else instances)
        plan.append(Fault(at, kind, target, source.uniform(0.3, 4.0)))
        at += source.uniform(*GAP_S)
    plan += _draw_foreign(seed, seconds, runners)
    plan += _draw_evacuations(seed, seconds, domains) if domains else []
    if silent_restarts:
        restarts = _draw_silent_restarts(seed, seconds, runners)
        plan = sorted(plan)[::OTHERS_SHARE] + restarts
    return sorted(plan)


def _draw_foreign(seed: int, seconds: float, runners: int) -> list[Fault]:
    """Return records out of order or of other writers, from a source of their own."""
    source = random.Random(f"foreign {seed}")
    plan: list[Fault] = []
    at = source.uniform(*FOREIGN_GAP_S)
    while at < seconds:
        kind = source.choice(FaultKind.FOREIGN)
        stray = kind == FaultKind.STRAY_RECORD
        target = source.getrandbits(16) if stray else source.randrange(runners)
        plan.append(Fault(at, kind, target, source.uniform(0.3, 4.0)))
        at += source.uniform(*FOREIGN_GAP_S)
    return plan


def _draw_silent_restarts(seed: int, seconds: float, runners: int) -> list[Fault]:
    """Return restarts of runners that fall silent, from a source of their own.

    Notes
    -----
    Some are cut off when they restart, others take calls before that while their entry
    isn't written. It is written late or after the silence, or is away in between.
    """
    source = random.Random(f"silent restarts {seed}")
    plan: list[Fault] = []
    at = source.uniform(*SILENT_GAP_S)
    while at < seconds:
        runner, silent_s = source.randrange(runners), source.uniform(*SILENT_S)
        cut_at = at + source.uniform(*TAKES_CALLS_S)
        plan.append(Fault(cut_at, FaultKind.CUT_RUNNER, runner, silent_s))
        unread_s = source.choice((source.uniform(*UNREAD_S), cut_at - at + silent_s))
        plan.append(Fault(at, FaultKind.UNREAD_RESTART, runner, unread_s))
        if source.random() < 0.3:
            lost_at = cut_at + source.uniform(1.0, 3.0)
            for_s = cut_at + silent_s - lost_at + 1.0
            plan.append(Fault(lost_at, FaultKind.LOST_ENTRY, runner, for_s))
        at += source.uniform(*SILENT_GAP_S)
    return plan


def _draw_evacuations(seed: int, seconds: float, domains: int) -> list[Fault]:
    """Return evacuations from a random source of their own.

    Notes
    -----
    The other faults of a seed stay as they are whether there are evacuations or not.
    """
    source = random.Random(f"evacuations {seed}")
    plan: list[Fault] = []
    at = source.uniform(*EVACUATION_GAP_S)
    while at < seconds:
        for_s = source.uniform(*EVACUATION_S)
        plan.append(Fault(at, FaultKind.EVACUATE, source.randrange(domains), for_s))
        at += source.uniform(*EVACUATION_GAP_S)
    return plan
