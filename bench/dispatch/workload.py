"""Random generation of the jobs of a day from a customer's parameters.

A job's declaration (estimates, requested processors) is separate from its actual
behavior (run times, failures): the dispatcher sees only the former, the workers use the
latter.
"""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from bench.dispatch.customers import Customer, JobKind
from bench.dispatch.patterns import Fault, Pattern
from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Resources, Step, Submission

__all__ = ["SERVICE", "Arrival", "JobBehavior", "draw_day"]

SERVICE = "service"
"""Name of the service to which all runners and jobs belong."""

RUN_TIME_SPREAD = 0.15
"""Maximum relative deviation of run times among the tasks of a step."""

TRAFFIC_PERIOD_S = 11.0
"""Period of the traffic's oscillation, in seconds."""

INITIAL_ARRIVALS_S = 3.0
"""Time within which the initial long-running jobs arrive, in seconds."""

ANTI_AFFINITY_SHARE = 0.5
"""Share of long-running jobs whose tasks must run on different runners."""


class JobBehavior(NamedTuple):
    """Actual behavior of a job, which the dispatcher doesn't know.

    Attributes
    ----------
    run_s : dict
        Run time of each task on a healthy runner.
    critical_path_s : float
        Length of its longest chain of tasks.
    always_fails : bool
        Whether every run fails.
    failure_rate : float
        Share of the runs that fail.
    core_s : float
        Total work in core-seconds.
    cancelled_at : float
        Time at which its caller cancels it; infinite for most jobs.
    load_phase : float
        Phase of the oscillation of its load, for long-running jobs.
    """

    run_s: dict[TaskKey, float]
    critical_path_s: float
    always_fails: bool
    failure_rate: float
    core_s: float
    cancelled_at: float
    load_phase: float


class Arrival(NamedTuple):
    """A job, and the time at which its caller submits it."""

    at: float
    kind: str
    submission: Submission
    behavior: JobBehavior


def draw_day(customer: Customer, pattern: Pattern, seed: int) -> list[Arrival]:
    """Return the jobs of a day in order of arrival.

    Parameters
    ----------
    customer : Customer
        Parameters of the jobs.
    pattern : Pattern
        Duration of the day, and the faults that affect the jobs themselves: bursts,
        cancellations and jobs that always fail.
    seed : int
        The same seed gives the same jobs, independent of the policy.
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
    customer: Customer, kind: JobKind, pattern: Pattern, source: random.Random
) -> Iterator[Arrival]:
    amplitude = customer.traffic_amplitude
    max_rate = kind.arrivals_per_s * (1 + amplitude)
    max_rate *= max(
        [f.factor for f in pattern.faults if f.kind == "burst"], default=1.0
    )
    at = 0.0
    while True:
        at += source.expovariate(max_rate)
        if at >= pattern.seconds:
            return
        rate = kind.arrivals_per_s * (
            1 + amplitude * math.sin(2 * math.pi * at / TRAFFIC_PERIOD_S)
        )
        if kind.backfill:
            rate *= _find_factor(pattern, "burst", at)
        if source.random() < rate / max_rate:
            yield _draw_job(customer, kind, pattern, at, source)


def _find_factor(pattern: Pattern, kind: str, at: float) -> float:
    active = [f.factor for f in _list_active(pattern, kind, at)]
    return math.prod(active)


def _list_active(pattern: Pattern, kind: str, at: float) -> list[Fault]:
    return [f for f in pattern.faults if f.kind == kind and f.at <= at < f.at + f.for_s]


def _draw_affected(
    pattern: Pattern, kind: str, at: float, source: random.Random
) -> bool:
    drawn = source.random()
    return any(drawn < fault.share for fault in _list_active(pattern, kind, at))


def _draw_job(
    customer: Customer,
    kind: JobKind,
    pattern: Pattern,
    at: float,
    source: random.Random,
) -> Arrival:
    job_id = f"{source.getrandbits(64):016x}"
    cores = _draw_log(source, kind.cores, kind.cores_spread, 3.0)
    image = f"b{source.randrange(kind.images)}" if kind.images else ""
    checkpoint_share = source.random() < kind.checkpoint_share
    count = max(1, round(_draw_log(source, kind.steps, 0.4, 2.5)))
    steps: list[Step] = []
    run_s: dict[TaskKey, float] = {}
    critical_path_s = core_s = 0.0
    for number in range(count):
        width = max(1, round(_draw_log(source, kind.width, kind.width_spread, 5.0)))
        length_s = _draw_log(source, kind.run_s, kind.run_spread, 2.5)
        if kind.tail_share and source.random() < kind.tail_share:
            length_s *= kind.tail_factor
        lengths = [
            length_s * source.uniform(1 - RUN_TIME_SPREAD, 1 + RUN_TIME_SPREAD)
            for _ in range(width)
        ]
        estimate = length_s * math.exp(source.gauss(0, kind.estimate_spread))
        steps.append(
            Step(
                width,
                Resources(round(cores * 1000), round(kind.memory_gb * 1000), 0),
                estimate_ms=round(estimate * 1000),
                after=(number - 1,) if number else (),
                saves_progress=checkpoint_share,
                image=image,
                backfill=kind.backfill,
            )
        )
        run_s |= {TaskKey(job_id, 0, number, i): s for i, s in enumerate(lengths)}
        critical_path_s += max(lengths)
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
    always_fails = _draw_affected(pattern, "poison", at, source)
    is_cancelled = _draw_affected(pattern, "cancels", at, source)
    cancelled_at = at + source.uniform(0.2, 2.0) if is_cancelled else math.inf
    behavior = JobBehavior(
        run_s,
        critical_path_s,
        always_fails,
        kind.failure_rate,
        core_s,
        cancelled_at,
        0.0,
    )
    return Arrival(at, kind.name, submission, behavior)


def _draw_serving(
    customer: Customer, pattern: Pattern, source: random.Random
) -> Iterator[Arrival]:
    serving = customer.serving
    times = [source.uniform(0, INITIAL_ARRIVALS_S) for _ in range(serving.at_start)]
    at = INITIAL_ARRIVALS_S
    while serving.arrivals_per_s > 0:
        at += source.expovariate(serving.arrivals_per_s)
        if at >= pattern.seconds:
            break
        times.append(at)
    for arrived_at in times:
        yield _draw_long_running(customer, arrived_at, source)


def _draw_long_running(customer: Customer, at: float, source: random.Random) -> Arrival:
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
        max_per_runner=1 if source.random() < ANTI_AFFINITY_SHARE else 0,
    )
    submission = Submission(
        job_id, "lasting", SERVICE, "", (step,), stretch=2.2, target_latency_ms=2500
    )
    stay_s = source.expovariate(1 / serving.mean_stay_s)
    behavior = JobBehavior(
        {}, 0.4, False, 0.0, 0.0, at + stay_s, source.uniform(0, 2 * math.pi)
    )
    return Arrival(at, "lasting", submission, behavior)


def _draw_log(
    source: random.Random, mean: float, spread: float, max_ratio: float
) -> float:
    """Return a log-normal draw of a given mean, at most `max_ratio` times the mean."""
    drawn = mean * math.exp(source.gauss(0, spread) - spread**2 / 2)
    return min(drawn, max_ratio * mean)
