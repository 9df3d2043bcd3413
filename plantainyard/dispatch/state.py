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
    at : float
        When it was taken in.
    """

    queue: str
    at: float


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
    ended : dict
        When the jobs that ended here did, by id; a repeated submission of one is
        passed over.
    runners : dict
        Lives of runners by name.
    incarnations : dict
        Newest life by the runner's id.
    dirty : dict
        Steps whose stored progress is out of date, by their identity.
    begun : dict
        Steps to be stored with the next commit that there is, because their jobs have
        begun; by their identity.
    ending : dict
        Final states that aren't stored yet, by job.
    assigned : list of Task
        Tasks assigned since the last commit.
    commit_out : bool
        A commit is on its way; the next one waits for it.
    committing_seen, committing_ends, committing_starts
        What it carries: acknowledged ends by life, ended jobs, tasks to start.
    plan_due : bool
        Waiting work may find a place.
    changed : set of str
        Lives of runners that may have more room than at the last search for places.
    search_all : bool
        The next search looks at all runners, for whatever waits.
    actions : list of Action
        What the current step has asked for so far.
    began_at : float
        When this owner took over.
    renewed_at : float
        When the last renewal of the ownership that succeeded was sent.
    interference : InterferenceModel
        What is learnt of interference.
    interference_stored_at : float
        When that was last put into a commit.
    interference_expired_at : float
        When it was last looked for pairs that weren't seen.
    load, load_at : Load, float
        How full the unit is, and when that was measured.
    lasting_room : int
        Processor time that long-running tasks leave at the runner where they leave
        most, when that was measured.
    loads : dict
        How full the other units are; empty where there is only one.
    moved : dict
        Units that jobs were handed to, by job.
    unconfirmed : set of str
        Those of them whose records aren't known to be stored there.
    delivered : dict
        When those of them that their new units are to be given time to read were stored
        there.
    settled : list of str
        Those that have had it, and whose record of that goes with the next commit.
    arrived : dict of str to Arrival
        The jobs that were handed to this unit in the last seconds.
    handing, committing_handing : dict
        Submissions of jobs to be handed over once that is stored; those of them that
        the commit on its way carries.
    cancelled_handing : set of str
        Those of them that were cancelled meanwhile.
    cancels_out : set of str
        Jobs and tasks that other units have, and whose cancelling isn't stored there
        yet.
    timed_at, moved_at : float
        When the times of jobs were last added to; when it was last looked for work that
        would be better off elsewhere.
    """

    limits: Limits
    wall_offset_s: float = 0.0
    jobs: dict[str, Job] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    incarnations: dict[str, str] = field(default_factory=dict)
    dirty: dict[int, StepRun] = field(default_factory=dict)
    begun: dict[int, StepRun] = field(default_factory=dict)
    ending: dict[str, str] = field(default_factory=dict)
    assigned: list[Task] = field(default_factory=list)
    commit_out: bool = False
    committing_seen: dict[str, int] = field(default_factory=dict)
    committing_ends: list[str] = field(default_factory=list)
    committing_starts: list[Task] = field(default_factory=list)
    plan_due: bool = True
    changed: set[str] = field(default_factory=set)
    search_all: bool = True
    actions: list[Action] = field(default_factory=list)
    began_at: float = 0.0
    renewed_at: float = 0.0
    interference: InterferenceModel = field(default_factory=InterferenceModel)
    interference_stored_at: float = 0.0
    interference_expired_at: float = 0.0
    load: Load = NO_RUNNERS_LOAD
    load_at: float = 0.0
    lasting_room: int = 0
    loads: dict[int, Load] = field(default_factory=dict)
    moved: dict[str, int] = field(default_factory=dict)
    unconfirmed: set[str] = field(default_factory=set)
    delivered: dict[str, float] = field(default_factory=dict)
    settled: list[str] = field(default_factory=list)
    arrived: dict[str, Arrival] = field(default_factory=dict)
    handing: dict[str, Submission] = field(default_factory=dict)
    committing_handing: dict[str, Submission] = field(default_factory=dict)
    cancelled_handing: set[str] = field(default_factory=set)
    cancels_out: set[str] = field(default_factory=set)
    timed_at: float = 0.0
    moved_at: float = 0.0


def mark_dirty(state: Dispatcher, step: StepRun) -> None:
    """Have the step's progress stored with the next commit."""
    state.dirty[id(step)] = step


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
    if not runner.answering:
        return "silent"
    return "quarantined" if runner.quarantined_until else "answering"
