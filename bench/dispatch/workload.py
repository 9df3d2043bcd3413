"""The jobs of a day, drawn from a customer's figures with a seed.

What a job says of itself (estimates, declared processors) is kept apart from what is
true of it (run times, failures): the dispatcher sees the first, the workers the second.
"""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from bench.dispatch.customers import Customer, Kind
from bench.dispatch.patterns import Fault, Pattern
from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Resources, Step, Submission

__all__ = ["SERVICE", "Arrival", "Truth", "draw_day"]

SERVICE = "service"
"""Name of the one service."""

ESTIMATE_SPREAD = 0.5
"""Spread of the logarithm of an estimate around the true run time."""

UNEVEN = 0.15
"""Spread of the run times of one step's tasks."""

WAVE, WAVE_S = 0.15, 11.0
"""Part by which traffic swings, and the time of a swing."""

START_S = 3.0
"""Time within which the long-running jobs of the beginning come."""

APART = 0.5
"""Share of long-running jobs whose tasks must be on runners of their own."""


class Truth(NamedTuple):
    """What is true of a job.

    Attributes
    ----------
    run_s : dict
        Run time of each task on a sound runner.
    chain_s : float
        Its longest chain of work.
    hopeless : bool
        Every run of it fails.
    fails : float
        Share of the runs that fail.
    core_s : float
        All of its work.
    leaves_at : float
        When its caller cancels it; infinite for most.
    swing_at : float
        Phase of its load's swing, for long-running jobs.
    """

    run_s: dict[TaskKey, float]
    chain_s: float
    hopeless: bool
    fails: float
    core_s: float
    leaves_at: float
    swing_at: float


class Arrival(NamedTuple):
    """A job, and when its caller sends it."""

    at: float
    kind: str
    submission: Submission
    truth: Truth


def draw_day(customer: Customer, pattern: Pattern, seed: int) -> list[Arrival]:
    """Return the jobs of a day in the order in which they come.

    Parameters
    ----------
    customer : Customer
        Whose jobs.
    pattern : Pattern
        Its bursts, cancels and hopeless jobs concern the jobs themselves.
    seed : int
        The same jobs for the same seed, whatever the policy.
    """
    jobs = [
        job
        for number, kind in enumerate(customer.kinds)
        for job in _draw_kind(
            customer, kind, pattern, random.Random(f"{seed} {number}")
        )
    ]
    jobs += _draw_serving(customer, pattern, random.Random(f"{seed} serving"))
    return sorted(jobs, key=lambda job: job.at)


def _draw_kind(
    customer: Customer, kind: Kind, pattern: Pattern, source: random.Random
) -> Iterator[Arrival]:
    most = kind.per_s * (1 + WAVE)
    most *= max([f.factor for f in pattern.faults if f.kind == "burst"], default=1.0)
    at = 0.0
    while True:
        at += source.expovariate(most)
        if at >= pattern.seconds:
            return
        rate = kind.per_s * (1 + WAVE * math.sin(2 * math.pi * at / WAVE_S))
        if kind.backfill:
            rate *= _find_factor(pattern, "burst", at)
        if source.random() < rate / most:
            yield _draw_job(customer, kind, pattern, at, source)


def _find_factor(pattern: Pattern, kind: str, at: float) -> float:
    active = [f.factor for f in _list_active(pattern, kind, at)]
    return math.prod(active)


def _list_active(pattern: Pattern, kind: str, at: float) -> list[Fault]:
    return [f for f in pattern.faults if f.kind == kind and f.at <= at < f.at + f.for_s]


def _draw_share(pattern: Pattern, kind: str, at: float, source: random.Random) -> bool:
    drawn = source.random()
    return any(drawn < fault.share for fault in _list_active(pattern, kind, at))


def _draw_job(
    customer: Customer, kind: Kind, pattern: Pattern, at: float, source: random.Random
) -> Arrival:
    job_id = f"{source.getrandbits(64):016x}"
    cores = _draw_log(source, kind.cores, kind.cores_spread, 3.0)
    image = f"b{source.randrange(kind.images)}" if kind.images else ""
    saves = source.random() < kind.saves
    count = max(1, round(_draw_log(source, kind.steps, 0.4, 2.5)))
    steps: list[Step] = []
    run_s: dict[TaskKey, float] = {}
    chain_s = core_s = 0.0
    for number in range(count):
        width = max(1, round(_draw_log(source, kind.width, kind.width_spread, 5.0)))
        length_s = _draw_log(source, kind.run_s, kind.run_spread, 2.5)
        lengths = [
            length_s * source.uniform(1 - UNEVEN, 1 + UNEVEN) for _ in range(width)
        ]
        estimate = length_s * math.exp(source.gauss(0, ESTIMATE_SPREAD))
        steps.append(
            Step(
                width,
                Resources(round(cores * 1000), round(kind.memory_gb * 1000), 0),
                estimate_ms=round(estimate * 1000),
                after=(number - 1,) if number else (),
                saves_progress=saves,
                image=image,
                backfill=kind.backfill,
            )
        )
        run_s |= {TaskKey(job_id, 0, number, i): s for i, s in enumerate(lengths)}
        chain_s += max(lengths)
        core_s += cores * sum(lengths)
    submission = Submission(
        job_id,
        kind.name,
        SERVICE,
        "",
        tuple(steps),
        priority=kind.priority,
        max_attempts=kind.attempts,
        stretch=kind.stretch,
        target_latency_ms=kind.target_s * 1000,
    )
    hopeless = _draw_share(pattern, "poison", at, source)
    leaves = _draw_share(pattern, "cancels", at, source)
    leaves_at = at + source.uniform(0.2, 2.0) if leaves else math.inf
    truth = Truth(run_s, chain_s, hopeless, kind.fails, core_s, leaves_at, 0.0)
    return Arrival(at, kind.name, submission, truth)


def _draw_serving(
    customer: Customer, pattern: Pattern, source: random.Random
) -> Iterator[Arrival]:
    serving = customer.serving
    times = [source.uniform(0, START_S) for _ in range(serving.at_start)]
    at = START_S
    while serving.per_s > 0:
        at += source.expovariate(serving.per_s)
        if at >= pattern.seconds:
            break
        times.append(at)
    for came_at in times:
        yield _draw_lasting(customer, came_at, source)


def _draw_lasting(customer: Customer, at: float, source: random.Random) -> Arrival:
    serving = customer.serving
    job_id = f"{source.getrandbits(64):016x}"
    width = max(1, round(_draw_log(source, serving.width, 0.4, 2.0)))
    cores = _draw_log(source, serving.cores, serving.cores_spread, 1.6)
    image = f"s{source.randrange(serving.images)}" if serving.images else ""
    target_ms = serving.idle_tail_ms * serving.target_ratio if image else 0.0
    step = Step(
        width,
        Resources(round(cores * 1000), round(serving.memory_gb * 1000), 0),
        estimate_ms=400,
        long_running=True,
        image=image,
        target_ms=target_ms,
        max_per_runner=1 if source.random() < APART else 0,
    )
    submission = Submission(
        job_id, "lasting", SERVICE, "", (step,), stretch=2.2, target_latency_ms=2500
    )
    stays_s = source.expovariate(1 / serving.stay_s)
    truth = Truth(
        {}, 0.4, False, 0.0, 0.0, at + stays_s, source.uniform(0, 2 * math.pi)
    )
    return Arrival(at, "lasting", submission, truth)


def _draw_log(source: random.Random, mean: float, spread: float, most: float) -> float:
    """Return a draw of a given mean, at most so many times as large."""
    drawn = mean * math.exp(source.gauss(0, spread) - spread**2 / 2)
    return min(drawn, most * mean)
