"""Complete state of a dispatcher."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import PieceResult, Resources, Submission
from plantainyard.dispatch.actions import Action, RunGivenUp
from plantainyard.dispatch.estimates import InterferenceModel
from plantainyard.dispatch.headroom import Headroom
from plantainyard.dispatch.health_state import Health
from plantainyard.dispatch.limits import Limits
from plantainyard.dispatch.load import NO_RUNNERS_LOAD, Load, Need, Places
from plantainyard.dispatch.model import Job, Runner, StepRun, Task
from plantainyard.dispatch.reservations import Room
from plantainyard.dispatch.run_times import RunTimes
from plantainyard.dispatch.throughput import Throughput

__all__ = [
    "Arrival",
    "Dispatcher",
    "get_fence",
    "inherit_restart",
    "mark_dirty",
    "record_given_up",
]


class Arrival(NamedTuple):
    """A job that was handed over to this unit.

    Attributes
    ----------
    queue : str
        Queue of the job.
    received_at : float
        When the dispatcher received it.
    """

    queue: str
    received_at: float


@dataclass(slots=True, eq=False)
class Dispatcher:
    """State of one unit's jobs and runners.

    Attributes
    ----------
    limits : Limits
        Time limits and thresholds.
    now : float
        Time of the event that is being applied.
    wall_offset_s : float
        Unix time minus the dispatcher's clock, read once because the time of day may
        jump.
    jobs : dict
        Jobs that haven't ended, by id.
    ended_jobs : dict
        Jobs that have ended in this unit, by id; repeated submissions of them are
        ignored. Only the keys are used.
    runners : dict
        Runner incarnations by name.
    newest_incarnations : dict
        Newest incarnation by the runner's id.
    departed : dict
        Runners that have left, by id, for as long as calls to them may be late.
    dirty_steps : dict
        Steps whose stored progress is out of date, by object id.
    started_steps : dict
        Steps that are stored with the next commit, but cause none, because their jobs
        have started; by object id.
    new_final_states : dict
        Final states that no commit contains yet, by job.
    assigned : list of Task
        Tasks assigned since the last commit.
    unstored_ends : set of str
        Runner incarnations with reported ends that no commit contains yet.
    unverified : list of tuple
        Tasks, and their runs, whose assignments are stored and whose starts wait for an
        answer of their runner; see `verified_starts`.
    verifying : dict of str to None
        Runner incarnations that are to be asked for such an answer, in order.
    commit_pending : bool
        Whether a commit is being stored; the next one waits for it.
    commit_requested_at : float
        When the last commit was requested.
    committing_last_ends, committing_ends, committing_starts
        Contents of that commit: the last end by runner incarnation, the jobs that end,
        and the tasks to start.
    plan_due : bool
        Whether waiting tasks may find a place.
    changed_runners : set of str
        Runner incarnations that may have more capacity than at the last search for
        places.
    search_all : bool
        Whether the next search considers all runners for all waiting tasks.
    actions : list of Action
        Actions requested so far by the current call of `step`.
    fence : int
        Fencing token of the ownership; incarnations that replaced others get higher
        ones.
    wanted_fence, committing_fence, stored_fence : int
        Highest token that is needed, the one in the commit that is being stored, and
        the one that is stored, so that a successor begins above it.
    committing_restarts, stored_restarts : frozenset of str
        Incarnations that may have longer leases than their owners grant, because they
        replaced others: in the commit that is being stored, and as stored.
    inherited_restarts : frozenset of str
        Those that predecessors have stored.
    unseen_tasks, unseen_stored_at : list of Task, float
        Tasks with a bound until their run was seen, and when inherited bounds were last
        stored; see `unseen_runs`.
    inherited_starts_s : mapping or None
        What the last predecessor stored of starts under way; see `LeaseBounds`.
    predecessor_inherited_until : float
        When all leases that owners before the last predecessor have granted have ended;
        infinite if that isn't known.
    unanswered_tasks : dict of TaskKey to Task
        Tasks with starts that may still be carried out; see `unanswered_starts`.
    committing_seen : list of tuple
        Tasks, and their runs, that are stored as seen by the commit in progress.
    epoch : int
        Number of this ownership, by which a successor recognizes its bounds.
    stored_bounds, committing_bounds : frozenset of str, frozenset of str or None
        Runner incarnations whose bounds may be stored, and those in the commit that is
        being stored; None if it doesn't contain the bounds.
    listed_starts : frozenset of str or None
        Ids of the runners with starts under way in the bounds that were stored last;
        None if this owner has stored none.
    has_listed_end : bool
        The bounds that were stored last say that no lease of an earlier owner is left.
    bounds_due_at, bounds_checked_at : float
        When to store the bounds again, and when it was last checked whether they have
        changed; see `inherited_bounds`.
    took_over_at : float
        When this owner took over.
    has_predecessor : bool
        The unit has been owned before.
    inherited_until : float
        When all leases that earlier owners have granted have ended.
    renewed_at : float
        When the last successful renewal of the ownership was sent.
    evacuated_domains : frozenset of str
        Failure domains in which nothing may be started.
    evacuations_read_at : float
        When the last complete reading of the evacuations began.
    interference : InterferenceModel
        Estimates of interference between tasks.
    interference_stored_at : float
        When the model was last included in a commit.
    encoded_interference, interference_encoded_at : bytes, float
        The model as other owners get it, and when it was encoded.
    interference_expired_at : float
        When pairs that were no longer observed were last removed from the model.
    run_times : RunTimes
        Run times that were learned from ended tasks.
    load, load_measured_at : Load, float
        Load of the unit, and when it was measured.
    other_loads : dict
        Loads of the other units; empty if there is only one unit.
    other_loads_at : float
        When these loads were requested.
    needs : dict
        Needs that owners of other units are asked about, and when each was last wanted.
    own_places : dict
        Places of this unit by need, as far as measured with its current load.
    own_maxima : dict
        The same of the largest amounts of resources beside lasting tasks, by service
        and by whether tasks last.
    throughput : Throughput
        What the unit has completed in the last seconds; empty without `admission`.
    handed_over : dict
        Unit that each job was handed over to, by job.
    unconfirmed : set of str
        Jobs among these whose records may not be stored in the new unit yet.
    delivered_at : dict
        When the records of jobs were stored in their new units, for jobs that those
        units may not have read yet.
    confirmed : list of str
        Jobs that their new units have read; the next commit records that.
    arrivals : dict of str to Arrival
        Jobs that were recently handed over to this unit.
    outgoing, committing_outgoing : dict
        Submissions to be sent to other units once the handover is stored; those whose
        handover the commit in progress contains.
    cancelled_outgoing : set of str
        Jobs among these that were cancelled in the meantime.
    unit : int
        Number of this unit.
    set_aside : dict
        Jobs on which an exception was raised, until they are tried again; they are not
        among `jobs`.
    held_results : dict
        Results of tasks in other units whose jobs are set aside, by the task's id.
    pieces : dict
        Tasks in other units by the id under which those have them: one, or a gang.
    pending_cancels : set of str
        Jobs and tasks in other units whose cancellation isn't stored there yet.
    health : Health
        What is known about failing and slow runners.
    times_updated_at, moves_planned_at : float
        When the times of jobs were last updated; when moves of tasks to better places
        were last planned.
    room : Room
        Runners reserved for large tasks, and tasks that give way to these.
    headroom : Headroom
        What long-running tasks that never ran may take beside finite work.
    """

    limits: Limits
    now: float = 0.0
    wall_offset_s: float = 0.0
    jobs: dict[str, Job] = field(default_factory=dict)
    ended_jobs: dict[str, float] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    newest_incarnations: dict[str, str] = field(default_factory=dict)
    departed: dict[str, "DepartedRunner"] = field(default_factory=dict)
    dirty_steps: dict[int, StepRun] = field(default_factory=dict)
    started_steps: dict[int, StepRun] = field(default_factory=dict)
    new_final_states: dict[str, str] = field(default_factory=dict)
    assigned: list[Task] = field(default_factory=list)
    unverified: list[tuple[Task, int]] = field(default_factory=list)
    verifying: dict[str, None] = field(default_factory=dict)
    unstored_ends: set[str] = field(default_factory=set)
    commit_pending: bool = False
    commit_requested_at: float = 0.0
    committing_last_ends: dict[str, int] = field(default_factory=dict)
    committing_ends: list[str] = field(default_factory=list)
    committing_starts: list[Task] = field(default_factory=list)
    plan_due: bool = True
    changed_runners: set[str] = field(default_factory=set)
    search_all: bool = True
    actions: list[Action] = field(default_factory=list)
    fence: int = 0
    wanted_fence: int = 0
    committing_fence: int = 0
    stored_fence: int = 0
    committing_restarts: frozenset[str] = frozenset()
    stored_restarts: frozenset[str] = frozenset()
    inherited_restarts: frozenset[str] = frozenset()
    unseen_tasks: list[Task] = field(default_factory=list)
    unseen_stored_at: float = 0.0
    inherited_starts_s: Mapping[str, float] | None = None
    predecessor_inherited_until: float = math.inf
    unanswered_tasks: dict[TaskKey, Task] = field(default_factory=dict)
    committing_seen: list[tuple[Task, int]] = field(default_factory=list)
    epoch: int = 0
    stored_bounds: frozenset[str] = frozenset()
    committing_bounds: frozenset[str] | None = None
    listed_starts: frozenset[str] | None = None
    has_listed_end: bool = False
    bounds_due_at: float = 0.0
    bounds_checked_at: float = 0.0
    took_over_at: float = 0.0
    has_predecessor: bool = False
    inherited_until: float = 0.0
    renewed_at: float = 0.0
    evacuated_domains: frozenset[str] = frozenset()
    evacuations_read_at: float = -math.inf
    interference: InterferenceModel = field(default_factory=InterferenceModel)
    interference_stored_at: float = 0.0
    encoded_interference: bytes = b""
    interference_encoded_at: float = 0.0
    interference_expired_at: float = 0.0
    run_times: RunTimes = field(default_factory=RunTimes)
    load: Load = NO_RUNNERS_LOAD
    load_measured_at: float = 0.0
    other_loads: dict[int, Load] = field(default_factory=dict)
    other_loads_at: float = 0.0
    needs: dict[Need, float] = field(default_factory=dict)
    own_places: dict[Need, Places] = field(default_factory=dict)
    own_maxima: dict[tuple[str, bool], list[Resources]] = field(default_factory=dict)
    throughput: Throughput = field(default_factory=Throughput)
    handed_over: dict[str, int] = field(default_factory=dict)
    unconfirmed: set[str] = field(default_factory=set)
    delivered_at: dict[str, float] = field(default_factory=dict)
    confirmed: list[str] = field(default_factory=list)
    arrivals: dict[str, Arrival] = field(default_factory=dict)
    outgoing: dict[str, Submission] = field(default_factory=dict)
    committing_outgoing: dict[str, Submission] = field(default_factory=dict)
    cancelled_outgoing: set[str] = field(default_factory=set)
    unit: int = 0
    set_aside: dict[str, Job] = field(default_factory=dict)
    held_results: dict[str, PieceResult] = field(default_factory=dict)
    pieces: dict[str, list[Task]] = field(default_factory=dict)
    pending_cancels: set[str] = field(default_factory=set)
    health: Health = field(default_factory=Health)
    times_updated_at: float = 0.0
    moves_planned_at: float = 0.0
    room: Room = field(default_factory=Room)
    headroom: Headroom = field(default_factory=Headroom)


def mark_dirty(state: Dispatcher, step: StepRun) -> None:
    """Mark a step whose progress is to be stored with the next commit."""
    state.dirty_steps[id(step)] = step


def get_fence(state: Dispatcher, runner: Runner) -> int:
    """Return the fencing token of the calls to a runner.

    Notes
    -----
    Guards against a successor whose calls are refused: only tokens that are stored are
    used, and a successor begins above them.
    """
    return min(runner.fence, state.stored_fence)


def inherit_restart(state: Dispatcher, runner: Runner) -> None:
    """Record what predecessors have stored of the earlier incarnations of a runner."""
    if runner.incarnation in state.inherited_restarts:
        runner.earlier_calls_end = math.inf


def record_given_up(state: Dispatcher, task: Task, why: str) -> None:
    """Record that a task's run is about to be given up; see `GiveUpReason`."""
    given_up = RunGivenUp(task.key, task.run, task.incarnation, why)
    state.actions.append(given_up)


class DepartedRunner(NamedTuple):
    """What is remembered of a runner that has left, in case it comes back.

    Attributes
    ----------
    incarnation : str
        Its last incarnation.
    fence : int
        Highest fencing token of the calls to it.
    until : float
        When no call to it can be carried out any more.
    """

    incarnation: str
    fence: int
    until: float
