"""Slow runners: the evidence that a runner is slow, and the probe tasks that end it.

A runner whose tasks take several times as long as others looks free and attracts new
work. Its tasks are compared with their siblings of the same step at other runners.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainyard.dispatch.actions import Action, RunnerSlow, RunnerTrusted
from plantainyard.dispatch.health_state import (
    Evidence,
    Health,
    RunnerHealth,
    get_runner,
)
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.policy import HealthPolicy
from plantainyard.dispatch.rates import Comparison, compare_runs

__all__ = [
    "BACKFILL_WEIGHT",
    "EVIDENCE_S",
    "MAX_EVIDENCE",
    "MAX_RATIO",
    "PROBE_AFTER_S",
    "Slowdown",
    "awaits_probe",
    "compare_changed",
    "evaluate_speed",
    "is_slow",
    "measure_slowdown",
    "record_start",
]

EVIDENCE_S = 8.0
"""Time for which a comparison counts."""

HALF_LIFE_S = 2.0
"""Age at which a comparison has half its weight, so that a change shows within
seconds."""

MAX_EVIDENCE = 16
"""Comparisons kept for a runner, the newest of each run."""

MIN_SLOW_TASKS = 2.0
"""Weight of slow tasks from which a runner counts as slow; run times of sound runners'
tasks reach 2.5 times their step's median."""

BACKFILL_WEIGHT = 2 / 3
"""Weight of a backfill task, so that three of them are needed: the speed that its
neighbours leave it is only estimated."""

PRIOR_WEIGHT = 0.3
"""Weight of the assumption that a runner is as fast as others."""

MAX_RATIO = 20.0
"""Bound on a single ratio, so that one stalled run doesn't outweigh all others."""

TRUST_SHARE = 0.75
"""Share of `HealthPolicy.slow_ratio` below which a runner's tasks count as fast again,
so that a runner near the ratio doesn't alternate."""

PROBE_AFTER_S = 4.0
"""Time without signs of slowness after which a slow runner gets a probe task; such a
condition lasts about 6 s."""

PROBE_S = 4.0
"""Time after which a probe task without comparable siblings counts as passed."""


class Slowdown(NamedTuple):
    """How much slower than others a runner is.

    Attributes
    ----------
    ratio : float
        Smoothed factor.
    tasks, slow_tasks : float
        Weight of the compared tasks, and of those that were slow.
    age_s : float
        Age of the newest comparison; infinite if there is none.
    """

    ratio: float
    tasks: float
    slow_tasks: float
    age_s: float


def measure_slowdown(
    evidence: Iterable[Evidence], slow_ratio: float, now: float
) -> Slowdown:
    """Return how much slower than others a runner is, by its recent tasks.

    Notes
    -----
    Addresses runners that slow down for seconds: the ratio is a geometric mean in which
    newer comparisons weigh more.
    """
    recent = [item for item in evidence if now - item.at <= EVIDENCE_S]
    weights = [e.weight * 0.5 ** ((now - e.at) / HALF_LIFE_S) for e in recent]
    logs = sum(
        weight * math.log(min(max(e.ratio, 1 / MAX_RATIO), MAX_RATIO))
        for weight, e in zip(weights, recent, strict=True)
    )
    return Slowdown(
        math.exp(logs / (sum(weights) + PRIOR_WEIGHT)),
        sum(e.weight for e in recent),
        sum(e.weight for e in recent if e.ratio >= slow_ratio),
        now - max((e.at for e in recent), default=-math.inf),
    )


def is_slow(slowdown: Slowdown, slow_ratio: float) -> bool:
    """Return whether a runner with this slowdown is slow.

    Notes
    -----
    Addresses steps whose tasks differ: one long task doesn't make its runner slow, nor
    do processors that are a quarter slower than others.
    """
    return slowdown.ratio >= slow_ratio and slowdown.slow_tasks >= MIN_SLOW_TASKS


def record_start(health: Health, task: Task, runner: Runner, now: float) -> None:
    """Make the first task that is assigned to a slow runner after a pause its probe."""
    found = health.runners.get(runner.incarnation)
    if found is None or not found.is_slow or task.step.spec.long_running:
        return
    if found.probe is None and now - found.slow_at >= PROBE_AFTER_S:
        found.probe = (task.key, task.run)
        found.probe_at = now
        if runner.incarnation in health.avoided:
            runner.slowdown = found.ratio


def compare_changed(health: Health, runners: Mapping[str, Runner], now: float) -> None:
    """Add the comparisons of the steps with new rates to the evidence."""
    for key in health.changed:
        for comparison in compare_runs(health.steps[key]):
            runner = runners.get(comparison.track.incarnation)
            if runner is not None:
                _add_evidence(get_runner(health, runner), comparison, now)
    health.changed = set()


def _add_evidence(found: RunnerHealth, comparison: Comparison, now: float) -> None:
    track = comparison.track
    key = (track.task, track.run)
    # The newest come last, also those that replace an earlier comparison of their run.
    found.evidence.pop(key, None)
    weight = BACKFILL_WEIGHT if track.backfill else 1.0
    found.evidence[key] = Evidence(now, comparison.ratio, weight)
    if len(found.evidence) > MAX_EVIDENCE:
        del found.evidence[next(iter(found.evidence))]


def evaluate_speed(
    found: RunnerHealth, runner: Runner, policy: HealthPolicy, now: float
) -> list[Action]:
    """Update whether a runner is slow; return the action that records a change."""
    evidence = found.evidence.values()
    if not found.is_slow and all(e.ratio < policy.slow_ratio for e in evidence):
        return []
    slowdown = measure_slowdown(evidence, policy.slow_ratio, now)
    if is_slow(slowdown, policy.slow_ratio):
        return _mark_slow(found, runner, slowdown, now)
    if not found.is_slow:
        return []
    newest = [e.at for e in evidence if e.ratio >= policy.slow_ratio]
    found.slow_at = max([found.slow_at, *newest])
    why = _find_trust(found, runner, slowdown, policy, now)
    if not why:
        return []
    since_s = round(now - found.slow_since, 3)
    found.is_slow = False
    found.probe = None
    found.evidence.clear()
    trusted = RunnerTrusted(runner.incarnation, why, round(slowdown.ratio, 2), since_s)
    return [trusted]


def _mark_slow(
    found: RunnerHealth, runner: Runner, slowdown: Slowdown, now: float
) -> list[Action]:
    found.ratio = slowdown.ratio
    found.slow_at = now - slowdown.age_s
    if found.is_slow:
        return []
    found.is_slow = True
    found.slow_since = now
    found.probe = None
    slow = RunnerSlow(
        runner.incarnation,
        round(slowdown.ratio, 2),
        round(slowdown.slow_tasks, 2),
        round(slowdown.tasks, 2),
        round(slowdown.age_s, 3),
    )
    return [slow]


class _Trust:
    """Why a runner is trusted again."""

    TASKS = "tasks"
    PROBE = "probe"


def _find_trust(
    found: RunnerHealth,
    runner: Runner,
    slowdown: Slowdown,
    policy: HealthPolicy,
    now: float,
) -> str:
    """Return why a slow runner may be trusted again, or an empty text."""
    fast = [e for e in found.evidence.values() if e.at > found.slow_at]
    is_fast = slowdown.ratio < TRUST_SHARE * policy.slow_ratio
    if is_fast and sum(e.weight for e in fast) >= MIN_SLOW_TASKS:
        return _Trust.TASKS
    if found.probe is None:
        return ""
    key, run = found.probe
    judged = found.evidence.get(found.probe)
    if judged is not None and judged.at > found.probe_at:
        if judged.ratio < policy.slow_ratio:
            return _Trust.PROBE
        found.probe = None
        return ""
    task = runner.tasks.get(key)
    if task is not None and task.run == run and task.phase != Phase.STOPPING:
        return _Trust.PROBE if now - found.probe_at >= PROBE_S else ""
    return _judge_ended_probe(found)


def _judge_ended_probe(found: RunnerHealth) -> str:
    """Return whether a probe without comparable siblings passed: nothing has failed."""
    found.probe = None
    return "" if found.failures else _Trust.PROBE


def awaits_probe(found: RunnerHealth, now: float) -> bool:
    """Return whether the next finite task at a slow runner is to be its probe."""
    return found.probe is None and now - found.slow_at >= PROBE_AFTER_S
