"""Health of runners: which ones fail or slow down, and which of them are avoided.

Guards against two kinds of runners that lose work, and against mistaking others for
them. A runner that fails what it starts, or takes several times as long as others,
looks free and attracts new work. Jobs that fail everywhere would suspend sound runners,
if each failed run counted against its runner. Both are decided relative to the other
tasks of the same step, and never for more than a share of the runners.
"""

import math
from collections.abc import Mapping

from plantainyard.dispatch.actions import Action
from plantainyard.dispatch.failing_runners import evaluate_failures
from plantainyard.dispatch.health_state import (
    Health,
    RunnerHealth,
    get_record,
    get_runner,
)
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Runner, Task
from plantainyard.dispatch.policy import HealthPolicy
from plantainyard.dispatch.rates import get_step_key, track_end, track_progress
from plantainyard.dispatch.slow_runners import (
    MAX_RATIO,
    awaits_probe,
    compare_changed,
    evaluate_speed,
)

__all__ = [
    "choose_avoided",
    "evaluate_health",
    "observe_end",
    "observe_progress",
]

EVALUATION_INTERVAL_S = 0.2
"""Time between evaluations; the fastest evidence takes 0.3 s of work."""

RECORD_S = 30.0
"""Time after the last report of its runs for which a step's record is kept."""


def choose_avoided(
    severities: Mapping[str, float], answering: int, max_share: float
) -> set[str]:
    """Return the runners to quarantine or avoid, the worst first.

    Parameters
    ----------
    severities : mapping
        Failing and slow runners with how bad they are.
    answering : int
        Number of runners that answer.
    max_share : float
        Maximum share of these that are avoided.

    Notes
    -----
    Addresses false signals about most of the runners, which must not leave the work
    without places.
    """
    worst = sorted(severities, key=lambda r: (-severities[r], r))
    return set(worst[: count_avoidable(answering, max_share)])


def count_avoidable(answering: int, max_share: float) -> int:
    """Return how many of the answering runners may be avoided; one always remains."""
    return max(0, min(int(max_share * answering), answering - 1))


def observe_progress(health: Health, task: Task, runner: Runner, now: float) -> None:
    """Learn from a task's row in a report."""
    if task.step.spec.long_running:
        return
    if track_progress(get_record(health, task), task, runner, now):
        health.changed.add(get_step_key(task))


def observe_end(health: Health, task: Task, runner: Runner, now: float) -> None:
    """Learn from a completed run, which also clears its runner of earlier failures."""
    found = health.runners.get(runner.incarnation)
    if found is not None:
        found.failures.clear()
        found.blamed = 0.0
    if track_end(get_record(health, task), task, runner, now):
        health.changed.add(get_step_key(task))


def evaluate_health(
    health: Health,
    runners: Mapping[str, Runner],
    limits: Limits,
    now: float,
) -> list[Action]:
    """Decide which runners are failing or slow, and which of them are avoided.

    Notes
    -----
    Called with each tick. The cost is a pass over the steps with new reports, and one
    over the runners with failures or comparisons.
    """
    policy = limits.policy.health
    if policy is None:
        _reset(health, runners)
        return []
    if now - health.evaluated_at < EVALUATION_INTERVAL_S:
        return []
    _follow_runners(health, runners, now)
    health.evaluated_at = now
    compare_changed(health, runners, now)
    actions: list[Action] = []
    for incarnation, found in health.runners.items():
        evaluate_failures(found, runners[incarnation], limits, now)
        actions += evaluate_speed(found, runners[incarnation], policy, now)
    _apply_bound(health, runners, policy, now)
    _forget_steps(health, now)
    return actions


def _follow_runners(health: Health, runners: Mapping[str, Runner], now: float) -> None:
    """Forget the runners that are gone, and take over earlier quarantines."""
    for key in [key for key in health.runners if key not in runners]:
        del health.runners[key]
    if health.evaluated_at == -math.inf:
        for runner in runners.values():
            if runner.quarantined_until > now:
                get_runner(health, runner).failing_until = runner.quarantined_until


def _reset(health: Health, runners: Mapping[str, Runner]) -> None:
    """Forget everything once the part is switched off."""
    if health.evaluated_at == -math.inf:
        return
    for runner in runners.values():
        runner.slowdown = 1.0
    for fresh in (health.steps, health.changed, health.runners, health.avoided):
        fresh.clear()
    health.evaluated_at = -math.inf


def _apply_bound(
    health: Health, runners: Mapping[str, Runner], policy: HealthPolicy, now: float
) -> None:
    """Quarantine or avoid the worst runners, within the bound, and no others."""
    answering = {
        key for key, r in runners.items() if r.responsive and r.entry is not None
    }
    severities = {
        key: severity
        for key, found in health.runners.items()
        if key in answering
        if (severity := _find_severity(found, runners[key]))
    }
    share = policy.max_suspended_share
    health.max_avoided = count_avoidable(len(answering), share)
    health.avoided = choose_avoided(severities, len(answering), share)
    for key, found in health.runners.items():
        runner = runners[key]
        is_avoided = key in health.avoided
        runner.quarantined_until = found.failing_until if is_avoided else 0.0
        is_costly = is_avoided and found.is_slow and not awaits_probe(found, now)
        runner.slowdown = max(1.0, found.ratio) if is_costly else 1.0


def _find_severity(found: RunnerHealth, runner: Runner) -> float:
    """Return how bad a runner is; a failing one is worse than any that is slow."""
    if found.failing_until:
        return MAX_RATIO + runner.failure_score
    return found.ratio if found.is_slow else 0.0


def _forget_steps(health: Health, now: float) -> None:
    old = [k for k, r in health.steps.items() if now - r.seen_at > RECORD_S]
    for key in old:
        del health.steps[key]
