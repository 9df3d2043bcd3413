"""Time of a job along its critical path: a few parts that make up the whole.

The end of a late job doesn't show why it was late, and task-seconds don't tell which of
its tasks held it up. The last task of each step did: the path goes back from the task
that ended last to the one that its step had waited for, and so on. Each moment between
the job's arrival and its end belongs to one part.
"""

from collections import defaultdict

from plantainyard.batch.values import JobState
from plantainyard.dispatch.model import Job, Phase, StepRun, Task
from plantainyard.dispatch.state import Dispatcher
from plantainyard.dispatch.timing import TimePart

__all__ = ["PathPart", "record_path_time", "summarize_path"]


class PathPart:
    """Names of the parts besides the reasons for a wait; see `timing.TimePart`.

    Notes
    -----
    ``INTAKE``
        From the job's acceptance until this owner read it, or took over.
    ``PLANNING``
        From the end of the steps that the task waits for to the first search for a
        place.
    ``STORING``
        Assigned, until the record of that was stored.
    ``ORDERED``
        From then on, until a runner has confirmed that the task runs.
    ``RUNNING``
        Until its end was reported.
    ``STOPPING``
        From a stop until the run has ended.
    ``RESTARTED``
        All of these for runs that were lost.
    ``ELSEWHERE``
        Handed over to another unit.
    ``ENDING``
        From the end of the last task until its record could be stored, behind an
        earlier commit.
    """

    INTAKE = "intake"
    PLANNING = "planning"
    STORING = "storing"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    RESTARTED = "restarted"
    ELSEWHERE = "elsewhere"
    ENDING = "ending"


_PARTS = {
    Phase.STORING: PathPart.STORING,
    Phase.ORDERED: PathPart.ORDERED,
    Phase.RUNNING: PathPart.RUNNING,
    Phase.STOPPING: PathPart.STOPPING,
    Phase.HANDED_OVER: PathPart.ELSEWHERE,
}

_RUN_PARTS = frozenset(_PARTS.values()) - {PathPart.ELSEWHERE}
"""Parts that are lost time if the run isn't done."""


def record_path_time(state: Dispatcher, task: Task, phase: str) -> None:
    """Add the time since a task's last change of phase; called before the next one.

    Parameters
    ----------
    state : Dispatcher
        Provides the time.
    task : Task
        The task, still in its old phase.
    phase : str
        Its new phase.
    """
    if task.phase == Phase.DONE:
        return
    since = task.phase_since or _find_turn(state, task.step)
    task.phase_since = state.now
    if task.phase == Phase.WAITING:
        planned_at = max(since, task.waiting_since or state.now)
        _add(task, PathPart.PLANNING, planned_at - since)
        reason = task.step.wait_reason or TimePart.WAITING_TURN
        _add(task, reason, state.now - planned_at)
    else:
        _add(task, _PARTS[task.phase], state.now - since)
    if phase == Phase.WAITING:
        lost_s = sum(task.path_s.pop(part, 0.0) for part in _RUN_PARTS)
        _add(task, PathPart.RESTARTED, lost_s)
    if phase == Phase.DONE:
        task.step.ended_at = state.now
        task.step.path_s = task.path_s


def _add(task: Task, part: str, seconds: float) -> None:
    if seconds > 0:
        task.path_s[part] = task.path_s.get(part, 0.0) + seconds


def _find_turn(state: Dispatcher, step: StepRun) -> float:
    """Return since when the tasks of a step wait for nothing but a place."""
    ends = [earlier.ended_at for earlier in _list_earlier(step)]
    return max(state.took_over_at, step.opened_at, *ends)


def _list_earlier(step: StepRun) -> list[StepRun]:
    """Return the steps that a step waited for and whose end this owner has seen."""
    steps = step.job.steps
    found = (steps.get((step.occurrence, number)) for number in step.spec.after)
    return [earlier for earlier in found if earlier is not None and earlier.ended_at]


def summarize_path(job: Job, intake_s: float, now: float) -> dict[str, float]:
    """Return the parts of the time from a job's acceptance to the storing of its end.

    Parameters
    ----------
    job : Job
        A job that has ended.
    intake_s : float
        Time from its acceptance until this owner read it.
    now : float
        The dispatcher's clock.

    Notes
    -----
    A job that was cancelled or has failed has no path, as its last task didn't end it,
    and neither has a scheduled one.
    """
    steps = [step for step in job.steps.values() if step.ended_at]
    is_completed = job.final_state == JobState.COMPLETED
    if not is_completed or job.submission.times or not steps:
        return {}
    total: dict[str, float] = defaultdict(float, {PathPart.INTAKE: max(0.0, intake_s)})
    total[PathPart.ENDING] += now - max(map(_get_end, steps))
    while steps:
        last = max(steps, key=_get_end)
        for part, seconds in last.path_s.items():
            total[part] += seconds
        steps = _list_earlier(last)
    return {part: round(s, 3) for part, s in sorted(total.items()) if s >= 0.0005}


def _get_end(step: StepRun) -> float:
    return step.ended_at
