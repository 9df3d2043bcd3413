"""The whole state of a dispatcher."""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.values import Submission
from plantainyard.dispatch.estimates import InterferenceModel
from plantainyard.dispatch.events import Action
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.load import NO_RUNNERS_LOAD, Load
from plantainyard.dispatch.model import Job, Runner, StepRun, Task

__all__ = [
    "EMPTY_COUNTS",
    "Arrival",
    "Counts",
    "Dispatcher",
    "count_state",
    "mark_dirty",
]


class Arrival(NamedTuple):
    """A job that was handed to a unit.

    Attributes
    ----------
    queue : str
        The job's.
    received_at : float
        When it was taken in.
    """

    queue: str
    received_at: float


@dataclass(slots=True, eq=False)
class Dispatcher:
    """Jobs and runners of one unit.

    Attributes
    ----------
    limits : Limits
        Times and weights.
    wall_offset_s : float
        Unix time less the dispatcher's clock, taken once: the time of day may jump.
    jobs : dict
        Jobs that haven't ended, by id.
    ended_at : dict
        When the jobs that ended here did, by id; a repeated submission of one is
        passed over.
    runners : dict
        Lives of runners by name.
    newest_incarnations : dict
        Newest life by the runner's id.
    dirty_steps : dict
        Steps whose stored progress is out of date, by their identity.
    started_steps : dict
        Steps to be stored with the next commit that there is, because their jobs have
        begun; by their identity.
    new_final_states : dict
        Final states that aren't stored yet, by job.
    assigned : list of Task
        Tasks assigned since the last commit.
    commit_pending : bool
        A commit is on its way; the next one waits for it.
    committing_last_ends, committing_ends, committing_starts
        What it carries: acknowledged ends by life, ended jobs, tasks to start.
    plan_due : bool
        Waiting work may find a place.
    changed_runners : set of str
        Lives of runners that may have more room than at the last search for places.
    search_all : bool
        The next search looks at all runners, for whatever waits.
    actions : list of Action
        What the current step has asked for so far.
    took_over_at : float
        When this owner took over.
    renewed_at : float
        When the last renewal of the ownership that succeeded was sent.
    interference : InterferenceModel
        What is learnt of interference.
    interference_stored_at : float
        When that was last put into a commit.
    interference_expired_at : float
        When it was last looked for pairs that weren't seen.
    load, load_measured_at : Load, float
        How full the unit is, and when that was measured.
    max_short_task_cpu : int
        Processor time that long-running tasks leave at the runner where they leave
        most, when that was measured.
    other_loads : dict
        How full the other units are; empty where there is only one.
    handed_over : dict
        Units that jobs were handed to, by job.
    unconfirmed : set of str
        Those of them whose records aren't known to be stored there.
    delivered_at : dict
        When those of them that their new units are to be given time to read were stored
        there.
    confirmed : list of str
        Those that have had it, and whose record of that goes with the next commit.
    arrivals : dict of str to Arrival
        The jobs that were handed to this unit in the last seconds.
    outgoing, committing_outgoing : dict
        Submissions of jobs to be handed over once that is stored; those of them that
        the commit on its way carries.
    cancelled_outgoing : set of str
        Those of them that were cancelled meanwhile.
    pending_cancels : set of str
        Jobs and tasks that other units have, and whose cancelling isn't stored there
        yet.
    times_updated_at, moves_planned_at : float
        When the times of jobs were last added to; when it was last looked for work that
        would be better off elsewhere.
    """

    limits: Limits
    wall_offset_s: float = 0.0
    jobs: dict[str, Job] = field(default_factory=dict)
    ended_at: dict[str, float] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    newest_incarnations: dict[str, str] = field(default_factory=dict)
    dirty_steps: dict[int, StepRun] = field(default_factory=dict)
    started_steps: dict[int, StepRun] = field(default_factory=dict)
    new_final_states: dict[str, str] = field(default_factory=dict)
    assigned: list[Task] = field(default_factory=list)
    commit_pending: bool = False
    committing_last_ends: dict[str, int] = field(default_factory=dict)
    committing_ends: list[str] = field(default_factory=list)
    committing_starts: list[Task] = field(default_factory=list)
    plan_due: bool = True
    changed_runners: set[str] = field(default_factory=set)
    search_all: bool = True
    actions: list[Action] = field(default_factory=list)
    took_over_at: float = 0.0
    renewed_at: float = 0.0
    interference: InterferenceModel = field(default_factory=InterferenceModel)
    interference_stored_at: float = 0.0
    interference_expired_at: float = 0.0
    load: Load = NO_RUNNERS_LOAD
    load_measured_at: float = 0.0
    max_short_task_cpu: int = 0
    other_loads: dict[int, Load] = field(default_factory=dict)
    handed_over: dict[str, int] = field(default_factory=dict)
    unconfirmed: set[str] = field(default_factory=set)
    delivered_at: dict[str, float] = field(default_factory=dict)
    confirmed: list[str] = field(default_factory=list)
    arrivals: dict[str, Arrival] = field(default_factory=dict)
    outgoing: dict[str, Submission] = field(default_factory=dict)
    committing_outgoing: dict[str, Submission] = field(default_factory=dict)
    cancelled_outgoing: set[str] = field(default_factory=set)
    pending_cancels: set[str] = field(default_factory=set)
    times_updated_at: float = 0.0
    moves_planned_at: float = 0.0


def mark_dirty(state: Dispatcher, step: StepRun) -> None:
    """Have the step's progress stored with the next commit."""
    state.dirty_steps[id(step)] = step


class Counts(NamedTuple):
    """Numbers of a dispatcher's things, for gauges.

    Attributes
    ----------
    jobs : int
        Open jobs.
    tasks : dict
        Tasks of open jobs by phase.
    runners : dict
        Runners by ``answering``, ``silent`` and ``quarantined``.
    """

    jobs: int
    tasks: dict[str, int]
    runners: dict[str, int]


EMPTY_COUNTS = Counts(0, {}, {})


def count_state(state: Dispatcher) -> Counts:
    """Return the numbers of a dispatcher's things; reads only, at one pass."""
    jobs = list(state.jobs.values())
    tasks = Counter(t.phase for j in jobs for s in j.steps.values() for t in s.tasks)
    runners = Counter(_name_state(runner) for runner in list(state.runners.values()))
    return Counts(len(jobs), dict(tasks), dict(runners))


def _name_state(runner: Runner) -> str:
    if not runner.responsive:
        return "silent"
    return "quarantined" if runner.quarantined_until else "answering"
