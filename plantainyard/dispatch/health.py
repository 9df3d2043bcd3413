"""Health of runners: which ones fail or slow down, and which of them are avoided.

Guards against two kinds of runners that lose work, and against mistaking others for
them. A runner that fails what it starts, or takes several times as long as others,
looks free and attracts new work. Jobs that fail everywhere would suspend sound runners,
if each failed run counted against its runner. Both are decided relative to the other
tasks of the same step, and never for more than a share of the runners.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch.events import Action, RunnerSlow, RunnerTrusted
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.model import Phase, Runner, Task
from plantainyard.dispatch.policy import HealthPolicy
from plantainyard.dispatch.rates import (
    Comparison,
    StepKey,
    StepRecord,
    compare_runs,
    estimate_share,
    get_step_key,
    track_end,
    track_progress,
)

__all__ = [
    "Evidence",
    "Health",
    "RunnerHealth",
    "Slowdown",
    "blame",
    "choose_avoided",
    "evaluate_health",
    "is_slow",
    "measure_slowdown",
    "observe_end",
    "observe_failure",
    "observe_progress",
    "record_move",
    "record_start",
    "should_move_off",
    "suspend_failing",
]

EVALUATION_INTERVAL_S = 0.2
"""Time between evaluations; the fastest evidence takes 0.3 s of work."""

EVIDENCE_S = 8.0
"""Time for which a comparison counts."""

HALF_LIFE_S = 2.0
"""Age at which a comparison has half its weight, so that a change shows within
seconds."""

MAX_EVIDENCE = 16
"""Comparisons kept for a runner, the newest of each run."""

MAX_FAILURES = 8
"""Failed runs kept for a runner; two without a success in between suspend it."""

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

RECORD_S = 30.0
"""Time after the last report of its runs for which a step's record is kept."""

REPEATED_FAILURE_FACTOR = 0.25
"""Factor on the blame for a task that had failed before, which says little about the
runner."""

MOVE_S = 1.0
"""Time that a move costs: the stop, its report, the stored assignment, the start and
the restore."""

MOVE_INTERVAL_S = 10.0
"""Shortest time between two moves of one task off slow runners."""

MOVE_SPEED = 0.85
"""Expected share of full speed at the new runner: the least at which a task is
placed."""


class Evidence(NamedTuple):
    """A comparison of one run at a runner.

    Attributes
    ----------
    at : float
        When it was made.
    ratio : float
        Factor by which the run takes longer than its siblings elsewhere.
    weight : float
        How much it counts.
    """

    at: float
    ratio: float
    weight: float


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


class _Failure(NamedTuple):
    """A failed run at a runner: its step, and a factor on its blame."""

    record: StepRecord
    factor: float


@dataclass(slots=True, eq=False)
class RunnerHealth:
    """What is known about one runner incarnation.

    Attributes
    ----------
    failures : deque
        Failed runs since the last success.
    blamed : float
        Part of the runner's failure score that they contribute.
    failing_until : float
        Until then it should be quarantined; zero if it isn't failing.
    accused, accused_from : tuple, float
        The failed runs that led to that, and the least blame for them that upholds it.
    evidence : dict
        Newest comparison of each run, oldest first.
    is_slow : bool
        Whether it counts as slow until tasks or a probe show otherwise.
    ratio : float
        How slow it was by the last evidence of that.
    slow_since, slow_at : float
        When it was found slow, and when a task was last seen to be slow.
    probe, probe_at : tuple or None, float
        The run that probes the runner, and when it was assigned.
    """

    failures: deque[_Failure] = field(
        default_factory=lambda: deque(maxlen=MAX_FAILURES)
    )
    blamed: float = 0.0
    failing_until: float = 0.0
    accused: tuple[_Failure, ...] = ()
    accused_from: float = 0.0
    evidence: dict[tuple[TaskKey, int], Evidence] = field(default_factory=dict)
    is_slow: bool = False
    ratio: float = 1.0
    slow_since: float = 0.0
    slow_at: float = 0.0
    probe: tuple[TaskKey, int] | None = None
    probe_at: float = 0.0


@dataclass(slots=True, eq=False)
class Health:
    """State of the unit's runner health; a successor starts without it.

    Attributes
    ----------
    steps : dict
        Records of the steps with recent runs.
    changed : set
        Steps with rates that weren't compared yet.
    runners : dict
        By runner incarnation.
    max_avoided : int
        Number of runners that may be avoided, by the last evaluation.
    avoided : set of str
        Runner incarnations that are quarantined or avoided as slow.
    evaluated_at : float
        When the last evaluation was.
    """

    steps: dict[StepKey, StepRecord] = field(default_factory=dict)
    changed: set[StepKey] = field(default_factory=set)
    runners: dict[str, RunnerHealth] = field(default_factory=dict)
    max_avoided: int = 0
    avoided: set[str] = field(default_factory=set)
    evaluated_at: float = -math.inf


def blame(step: StepRecord, runner: str) -> float:
    """Return how much the failed runs of a step speak against a runner, from 0 to 1.

    Parameters
    ----------
    step : StepRecord
        The step.
    runner : str
        Incarnation of the runner.

    Notes
    -----
    Addresses jobs that can never succeed and fail at one runner after the other: if a
    task has also failed at another runner, and none has completed elsewhere, it is the
    job that fails. Otherwise the blame is the share of the tasks that haven't failed,
    among those that haven't failed at this runner; it is 1 if there are none.
    """
    here = step.failed_at.get(runner)
    if not here:
        return 0.0
    failed_elsewhere = len(step.failed_at) > 1
    done_elsewhere = step.done_count > step.done_at.get(runner, 0)
    if failed_elsewhere and not done_elsewhere:
        return 0.0
    others = step.size - len(here)
    if others <= 0:
        return 1.0
    return max(0.0, 1 - (len(step.failed) - len(here)) / others)


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
    if track_progress(_get_record(health, task), task, runner, now):
        health.changed.add(get_step_key(task))


def observe_end(health: Health, task: Task, runner: Runner, now: float) -> None:
    """Learn from a completed run, which also clears its runner of earlier failures."""
    found = health.runners.get(runner.incarnation)
    if found is not None:
        found.failures.clear()
        found.blamed = 0.0
    if track_end(_get_record(health, task), task, runner, now):
        health.changed.add(get_step_key(task))


def observe_failure(health: Health, task: Task, runner: Runner, now: float) -> None:
    """Learn from a failed run of a task whose failures aren't counted yet."""
    record = _get_record(health, task)
    record.seen_at = now
    record.failed.add(task.key.number)
    record.failed_at.setdefault(runner.incarnation, set()).add(task.key.number)
    found = _get_runner(health, runner)
    factor = REPEATED_FAILURE_FACTOR if task.failures else 1.0
    found.failures.append(_Failure(record, factor))
    _update_blame(found, runner)


def _update_blame(found: RunnerHealth, runner: Runner) -> None:
    """Update a runner's failure score; the siblings' ends may change the blame."""
    blamed = _sum_blame(found.failures, runner)
    runner.failure_score = max(0.0, runner.failure_score + blamed - found.blamed)
    found.blamed = blamed


def _sum_blame(failures: Iterable[_Failure], runner: Runner) -> float:
    return sum(f.factor * blame(f.record, runner.incarnation) for f in failures)


def suspend_failing(health: Health, runner: Runner, limits: Limits, now: float) -> None:
    """Quarantine a runner that fails its tasks, if not too many are avoided already.

    Notes
    -----
    Addresses runners that fail at once whatever they start, ten times within an
    evaluation's interval. Failures of a single step are left to the next evaluation, as
    reports of its siblings may show by then that it is the job that fails. If the bound
    is reached, that evaluation also decides which runners are the worst.
    """
    if runner.failure_score < limits.quarantine_after:
        return
    found = _get_runner(health, runner)
    if found.failures and len({id(f.record) for f in found.failures}) < 2:
        return
    _accuse(found, runner, limits, now)
    avoided = health.avoided
    if runner.incarnation in avoided or len(avoided) < health.max_avoided:
        avoided.add(runner.incarnation)
        runner.quarantined_until = found.failing_until


def _accuse(found: RunnerHealth, runner: Runner, limits: Limits, now: float) -> None:
    found.failing_until = now + limits.quarantine_s
    found.accused = tuple(found.failures)
    found.accused_from = limits.quarantine_after - runner.failure_score + found.blamed


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


def should_move_off(health: Health, task: Task, runner: Runner, now: float) -> bool:
    """Return whether a task at a slow runner would end sooner at another one.

    Notes
    -----
    Addresses backfill work that is held up by a slow runner; it resumes from its
    checkpoint. The time of the stop, the start and the restore counts. A task moves at
    most once in `MOVE_INTERVAL_S`, as it may find no other place than the one it left.
    """
    spec = task.step.spec
    is_movable = spec.backfill and spec.saves_progress and not spec.gang
    if runner.slowdown <= 1.0 or not is_movable or task.phase != Phase.RUNNING:
        return False
    record = health.steps.get(get_step_key(task))
    track = record.tracks.get(task.key.number) if record else None
    share = estimate_share(task, runner)
    if record is None or track is None or track.run != task.run or not share:
        return False
    moved_at = record.moved_at.get(task.key.number, -math.inf)
    if not track.rate or now - moved_at < MOVE_INTERVAL_S:
        return False
    left_s = (100 - task.percent) / track.rate
    return MOVE_S + left_s / (runner.slowdown * MOVE_SPEED) < left_s / share


def record_move(health: Health, task: Task, now: float) -> None:
    """Record that a task is being moved."""
    record = health.steps.get(get_step_key(task))
    if record is not None:
        record.moved_at[task.key.number] = now


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
    _compare_changed(health, runners, now)
    actions: list[Action] = []
    for incarnation, found in health.runners.items():
        _evaluate_failures(found, runners[incarnation], limits, now)
        actions += _evaluate_speed(found, runners[incarnation], policy, now)
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
                _get_runner(health, runner).failing_until = runner.quarantined_until


def _reset(health: Health, runners: Mapping[str, Runner]) -> None:
    """Forget everything once the part is switched off."""
    if health.evaluated_at == -math.inf:
        return
    for runner in runners.values():
        runner.slowdown = 1.0
    for fresh in (health.steps, health.changed, health.runners, health.avoided):
        fresh.clear()
    health.evaluated_at = -math.inf


def _compare_changed(health: Health, runners: Mapping[str, Runner], now: float) -> None:
    for key in health.changed:
        for comparison in compare_runs(health.steps[key]):
            runner = runners.get(comparison.track.incarnation)
            if runner is not None:
                _add_evidence(_get_runner(health, runner), comparison, now)
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


def _evaluate_failures(
    found: RunnerHealth, runner: Runner, limits: Limits, now: float
) -> None:
    """Update the blame, and end a quarantine once it is over or was unfounded.

    Notes
    -----
    Addresses jobs that are known to fail everywhere only after they have failed at the
    second runner. A later success at the runner ends no quarantine: its task may have
    started before the runner began to fail.
    """
    _update_blame(found, runner)
    if not found.failing_until:
        if runner.failure_score >= limits.quarantine_after:
            _accuse(found, runner, limits, now)
    elif _sum_blame(found.accused, runner) < found.accused_from:
        found.failing_until = 0.0
    elif found.failing_until < now:
        found.failing_until = 0.0
        found.failures.clear()
        found.blamed = 0.0
        runner.failure_score = limits.quarantine_after / 2


def _evaluate_speed(
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
        is_costly = is_avoided and found.is_slow and not _awaits_probe(found, now)
        runner.slowdown = max(1.0, found.ratio) if is_costly else 1.0


def _find_severity(found: RunnerHealth, runner: Runner) -> float:
    """Return how bad a runner is; a failing one is worse than any that is slow."""
    if found.failing_until:
        return MAX_RATIO + runner.failure_score
    return found.ratio if found.is_slow else 0.0


def _awaits_probe(found: RunnerHealth, now: float) -> bool:
    return found.probe is None and now - found.slow_at >= PROBE_AFTER_S


def _forget_steps(health: Health, now: float) -> None:
    old = [k for k, r in health.steps.items() if now - r.seen_at > RECORD_S]
    for key in old:
        del health.steps[key]


def _get_record(health: Health, task: Task) -> StepRecord:
    key = get_step_key(task)
    record = health.steps.get(key)
    if record is None:
        record = health.steps[key] = StepRecord(task.step.spec.size)
    return record


def _get_runner(health: Health, runner: Runner) -> RunnerHealth:
    return health.runners.setdefault(runner.incarnation, RunnerHealth())
