"""Progress of the runs of a step, and how it compares between runners.

Guards against runners that slow down unnoticed: the run times of one step's tasks are
alike, so a runner where they take several times as long as elsewhere is slow, whatever
the job has declared.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.dispatch.model import Runner, Task
from plantainyard.dispatch.pacing import SERVING_UTILIZATION

__all__ = [
    "Comparison",
    "StepKey",
    "StepRecord",
    "Track",
    "compare_runs",
    "estimate_share",
    "get_step_key",
    "track_end",
    "track_progress",
]

MIN_WORK_S = 0.3
"""Work, in seconds at full speed, from which a run's progress is judged; reports come
at least once a second."""

WINDOW_S = 1.0
"""Work after which progress is measured anew, so that a change of speed shows."""

MAX_WINDOW_S = 4.0
"""The same for a run that has gained less than `WINDOW_PERCENT` by then."""

WINDOW_PERCENT = 5
"""Progress, in percent, from which its rounding to whole percents matters little."""

MIN_ELAPSED_S = 0.02
"""Smallest time that a run is taken to have lasted: reports are rounded to that."""

MIN_SHARE = 0.05
"""Smallest share of its processor time that a task is assumed to get."""

StepKey = tuple[str, int, int]
"""Job, occurrence and number of a step."""


@dataclass(slots=True, eq=False)
class Track:
    """Progress of a run at one runner.

    Attributes
    ----------
    task, run : TaskKey, int
        The run.
    incarnation : str
        Its runner.
    backfill : bool
        Whether it uses the processor time that others leave.
    base_percent, total_s : int, float
        Progress when the run was first seen, and the work since, in seconds at full
        speed.
    percent, work_s : int, float
        The same for the current window.
    at : float
        When the work was last updated.
    gained : int
        Progress in the window that `rate` is computed from.
    rate : float
        Progress in percent per second at full speed; 0 until it is known.
    is_new : bool
        Whether the rate has changed since it was last compared.
    """

    task: TaskKey
    run: int
    incarnation: str
    backfill: bool
    base_percent: int
    percent: int
    at: float
    total_s: float = 0.0
    work_s: float = 0.0
    gained: int = 0
    rate: float = 0.0
    is_new: bool = False


@dataclass(slots=True, eq=False)
class StepRecord:
    """What is known about the runs of one step.

    Attributes
    ----------
    size : int
        Number of its tasks.
    tracks : dict
        Newest run of each task that has one, by the task's number.
    done_count, done_at : int, dict
        Number of completed tasks, in all and by runner incarnation.
    failed, failed_at : set, dict
        Numbers of the tasks that failed, in all and by runner incarnation.
    moved_at : dict
        When a task was last moved, by its number.
    seen_at : float
        When one of its runs was last reported.
    """

    size: int
    tracks: dict[int, Track] = field(default_factory=dict)
    done_count: int = 0
    done_at: dict[str, int] = field(default_factory=dict)
    failed: set[int] = field(default_factory=set)
    failed_at: dict[str, set[int]] = field(default_factory=dict)
    moved_at: dict[int, float] = field(default_factory=dict)
    seen_at: float = 0.0


class Comparison(NamedTuple):
    """The speed of a run relative to those of its siblings at other runners.

    Attributes
    ----------
    track : Track
        The run.
    ratio : float
        Factor by which it takes longer.
    """

    track: Track
    ratio: float


def get_step_key(task: Task) -> StepKey:
    """Return the key of a task's step, which is the same in all units."""
    return task.key[:3]


def estimate_share(task: Task, runner: Runner) -> float:
    """Return the share of full speed that a task is expected to have at its runner.

    Notes
    -----
    Guards against runners that count as slow because their backfill tasks are slowed on
    purpose, or share what the reserved processors leave.
    """
    if not task.step.spec.backfill:
        return 1.0
    pace = task.pace if task.pace >= 0 else task.previous_pace
    return max(0.0, pace / 100) * _find_cpu_share(runner)


def _find_cpu_share(runner: Runner) -> float:
    assert runner.entry is not None
    used = runner.reserved_cpu - (1 - SERVING_UTILIZATION) * runner.serving_cpu
    unused = runner.entry.capacity.cpu - used
    return min(1.0, max(MIN_SHARE, unused / max(1, runner.backfill_cpu)))


def track_progress(record: StepRecord, task: Task, runner: Runner, now: float) -> bool:
    """Update a run's track from its row in a report; return whether its rate is new.

    Notes
    -----
    A run that may have begun earlier than this owner knows, or that resumed from a
    checkpoint, is measured from its first row on. The rate counts one percent more than
    was reported, as reports are rounded down.
    """
    record.seen_at = now
    track = _find_track(record, task, runner, now)
    if track is None:
        return False
    _add_work(track, estimate_share(task, runner), now)
    gained = task.percent - track.percent
    if gained < 0 or task.percent >= 100 or track.work_s < MIN_WORK_S:
        return False
    track.gained = gained
    track.rate = (gained + 1) / track.work_s
    track.is_new = True
    is_full = track.work_s >= WINDOW_S and gained >= WINDOW_PERCENT
    if is_full or track.work_s >= MAX_WINDOW_S:
        track.percent, track.work_s = task.percent, 0.0
    return True


def track_end(record: StepRecord, task: Task, runner: Runner, now: float) -> bool:
    """Update a run's track when the run has completed; return whether its rate is new.

    Notes
    -----
    The rate of a completed run is that of the whole run.
    """
    record.seen_at = now
    record.done_count += 1
    at = runner.incarnation
    record.done_at[at] = record.done_at.get(at, 0) + 1
    track = _find_track(record, task, runner, now)
    if track is None:
        return False
    _add_work(track, estimate_share(task, runner), now)
    if not track.total_s:
        return False
    track.gained = 100 - track.base_percent
    track.rate = track.gained / max(MIN_ELAPSED_S, track.total_s)
    track.is_new = track.gained > 0
    return track.is_new


def _find_track(
    record: StepRecord, task: Task, runner: Runner, now: float
) -> Track | None:
    """Return the track of a task's newest run; None if its progress isn't known."""
    track = record.tracks.get(task.key.number)
    if track is not None and track.run == task.run:
        return track
    is_fresh = task.starts_sent == 1 and not task.checkpoint
    start = task.resolved_at if is_fresh else None
    if start is None and not 0 <= task.percent < 100:
        return None
    percent = 0 if start is not None else task.percent
    track = Track(
        task.key,
        task.run,
        runner.incarnation,
        task.step.spec.backfill,
        percent,
        percent,
        now if start is None else start,
    )
    record.tracks[task.key.number] = track
    return track


def _add_work(track: Track, share: float, now: float) -> None:
    work_s = max(0.0, now - track.at) * share
    track.at = now
    track.work_s += work_s
    track.total_s += work_s


def compare_runs(record: StepRecord) -> list[Comparison]:
    """Return the runs whose rates are new, compared with the step's other runners.

    Notes
    -----
    The reference is the median over the other runners of the median of their runs, so
    that many runs at one runner count no more than one. The cost is that of sorting the
    step's runs; it is paid at most once for each evaluation.
    """
    new = [track for track in record.tracks.values() if track.is_new]
    if not new:
        return []
    rates = _find_median_rates(record.tracks.values())
    comparisons = []
    for track in new:
        track.is_new = False
        reference = _find_reference(rates, track.incarnation)
        if reference:
            comparisons.append(Comparison(track, reference / track.rate))
    return comparisons


def _find_median_rates(tracks: Iterable[Track]) -> dict[str, float]:
    rates: dict[str, list[float]] = {}
    for track in tracks:
        if track.rate and track.gained >= WINDOW_PERCENT:
            rates.setdefault(track.incarnation, []).append(track.rate)
    return {runner: median(values) for runner, values in rates.items()}


def _find_reference(rates: Mapping[str, float], runner: str) -> float:
    """Return the median rate of all runners but one; 0 if there are none."""
    others = [rate for other, rate in rates.items() if other != runner]
    return median(others) if others else 0.0
