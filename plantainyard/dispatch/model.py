"""State of jobs, steps, tasks and runners from the dispatcher's point of view."""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Step, Submission
from plantainyard.dispatch.load import Need
from plantainyard.platform.entries import RunnerEntry, split_incarnation

__all__ = ["GAP_TICKS", "Job", "Phase", "Runner", "StepRun", "Task", "UnansweredStart"]


GAP_TICKS = 20
"""Number of ticks for which a gap must have been unreserved before a long-running task
may occupy it permanently: 2 s, within which the next short job usually arrives. The
platform counts a task as forgotten only after 3 s."""


class Phase:
    """Phases of a task.

    Notes
    -----
    ``WAITING``
        The task has no active run.
    ``STORING``
        A run is assigned to a runner; the record of that is being stored.
    ``ORDERED``
        The start was sent, possibly by a predecessor, and isn't confirmed yet.
    ``RUNNING``
        The runner has confirmed the run.
    ``STOPPING``
        The run is being stopped; its end isn't known yet.
    ``DONE``
        The task has completed.
    ``HANDED_OVER``
        Another unit is responsible for the task.
    ``ACTIVE``
        Set of the phases in which a run may be at a runner.
    """

    WAITING = "waiting"
    STORING = "storing"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    HANDED_OVER = "handed"

    ACTIVE = frozenset({STORING, ORDERED, RUNNING, STOPPING})


class UnansweredStart(NamedTuple):
    """A copy of a start of which it isn't known which incarnation carries it out.

    Attributes
    ----------
    run : int
        The run that it starts.
    sent_at, end : float
        When it was sent at the latest, and when it can't be carried out any more.
    began : bool or None
        Whether another incarnation than the addressed one has carried it out. False if
        the addressed one was there when it should have arrived, so that another can
        only do so later; None if neither is known.
    """

    run: int
    sent_at: float
    end: float
    began: bool | None = None


@dataclass(slots=True, eq=False)
class Task:
    """A task and its newest run.

    Attributes
    ----------
    key : TaskKey
        Identifier of the task.
    step : StepRun
        Step that the task belongs to.
    phase : str
        One of `Phase`.
    run : int
        Highest run number assigned so far.
    unverified_since : float
        Time from which on its runner has to be asked, and to answer, before the start
        of that run is sent or repeated; see `verified_starts`.
    incarnation : str
        Runner incarnation that has or may have that run; empty without an active run.
    resolved_at : float or None
        When it became certain that the run has reached the runner or will be refused
        there; None while a start is unanswered. A report requested later that doesn't
        list the run proves that the run isn't there.
    seen_in_report : bool
        Whether the incarnation that the run was ordered at has listed it in a report.
    next_order_at : float
        When to repeat an unanswered order.
    order_pending : bool
        Whether an order about the run hasn't been answered yet.
    starts_sent : int
        Number of times that the start of the newest run was sent.
    start_until_ms : int
        End of the lease in that start, on the runner's clock; 0 if it is unknown.
    late_start_ms : float
        The same for a start that was sent to an earlier incarnation, which the newest
        may carry out and compares with its own clock; 0 if there is none, and infinite
        if its lease is unknown.
    late_start_end : float
        When nothing of that start can be running any more unless the incarnation has
        answered since; 0 if there is none.
    unseen_end : float
        When nothing of the run can be running any more. No lease beyond it is granted
        at its runner until it is stored that the run was seen; 0 if there is no such
        bound.
    unanswered : list of UnansweredStart
        Copies of its starts that may still be carried out, oldest first.
    recipient : str
        Id of the runner that they were sent to; see `unanswered_starts`.
    failures : int
        Number of failed runs.
    checkpoint : str
        Newest known checkpoint.
    waiting_since : float
        Time since which the task has been ready to start.
    not_before : float
        Earliest time of the next start.
    avoided_runners : set of str
        Runners at which the task failed or was refused.
    percent, progress_at : int, float
        Progress of the run, and when it last changed.
    pace, previous_pace : int
        Percentage of full speed that was ordered last, and the one before it.
    slowed_at : float
        When the pace was last lowered.
    unit : int or None
        Unit that the task is handed over to, if any.
    handovers : int
        Number of times that it was handed over to owners that report back.
    worked_s, worked_until : float
        Time that the run has taken at full pace up to `worked_until`, which is zero
        before that is first measured; see `run_times`.
    first_percent : int
        Progress of the run at the beginning of that time; -1 if it isn't known.
    is_completed : bool
        Whether an earlier run, or another member of the gang, has completed the task.
        It is done as soon as its newest run has surely ended or is refused.
    phase_since, path_s : float, dict
        Time of its last change of phase, and its time before by part; see
        `critical_path`.
    """

    key: TaskKey
    step: "StepRun"
    phase: str = Phase.WAITING
    run: int = 0
    unverified_since: float = 0.0
    incarnation: str = ""
    resolved_at: float | None = None
    seen_in_report: bool = False
    next_order_at: float = 0.0
    order_pending: bool = False
    starts_sent: int = 0
    start_until_ms: int = 0
    late_start_ms: float = 0.0
    late_start_end: float = 0.0
    unseen_end: float = 0.0
    unanswered: list[UnansweredStart] = field(default_factory=list)
    recipient: str = ""
    failures: int = 0
    checkpoint: str = ""
    waiting_since: float = 0.0
    not_before: float = 0.0
    avoided_runners: set[str] = field(default_factory=set)
    percent: int = -1
    progress_at: float = 0.0
    pace: int = 100
    previous_pace: int = 100
    slowed_at: float = 0.0
    unit: int | None = None
    handovers: int = 0
    worked_s: float = 0.0
    worked_until: float = 0.0
    first_percent: int = -1
    is_completed: bool = False
    phase_since: float = 0.0
    path_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one occurrence of a job.

    Attributes
    ----------
    job : Job
        Job that the step belongs to.
    occurrence, number : int
        Occurrence of the job, and index of the step in it.
    spec : Step
        The step as submitted.
    tasks : list of Task
        All tasks of the step, by index.
    done_count : int
        Number of completed tasks.
    no_place_found : bool
        Whether the last search of all runners found no place for the next task.
    wait_reason, wait_reason_at : str, float
        Why its tasks wait, one of `timing.TimePart` or empty, and when that was
        determined.
    placed_at : float
        When a task of it was last assigned to a runner.
    reserved_runners : int
        Number of runners that are reserved for its tasks.
    need : Need or None
        What its tasks need of a runner; None until it is asked for.
    opened_at : float
        When this owner has added the step.
    ended_at, path_s : float, dict
        When the last of its tasks so far was done, and the time of that task by part;
        see `critical_path`.
    """

    job: "Job"
    occurrence: int
    number: int
    spec: Step
    tasks: list[Task] = field(default_factory=list)
    done_count: int = 0
    no_place_found: bool = False
    wait_reason: str = ""
    wait_reason_at: float = 0.0
    placed_at: float = 0.0
    reserved_runners: int = 0
    need: Need | None = None
    opened_at: float = 0.0
    ended_at: float = 0.0
    path_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Job:
    """A job that this unit is responsible for.

    Attributes
    ----------
    submission : Submission
        The submission as accepted.
    deadline : float
        Latest end that meets the latency objective, on the dispatcher's clock.
    useful_until : float
        Time after which the result is of no use to the caller.
    received_at : float
        When the dispatcher received the job.
    accepted_at : float
        When the job was accepted, on the dispatcher's clock.
    remaining_ms : tuple of float
        By step, the estimated time from its start to the end of the job.
    estimates_ms : tuple of float
        By step, the estimated run time of its tasks according to learned run times;
        empty if the declared figures are in force.
    measured_ms : dict
        By step, the run times of its tasks that were measured, by occurrence and index.
    steps : dict
        Steps by (occurrence, number); an occurrence is added when it is due.
    started : bool
        Whether a task of the job is known to have started.
    cancelled : bool
        Whether the job was cancelled; none of its tasks may start any more.
    final_state : str
        Final state; empty until the job has ended.
    task_time_s : dict
        Task-seconds since this owner took over, by `timing.TimePart`.
    lost_runs : dict
        Number of runs since then that didn't complete, by outcome.
    exceptions : int
        Number of exceptions that were raised while this owner worked on the job.
    set_aside_until : float
        Until then nothing is done about the job; 0 unless it is set aside.
    """

    submission: Submission
    deadline: float
    remaining_ms: tuple[float, ...]
    received_at: float = 0.0
    useful_until: float = 0.0
    accepted_at: float = 0.0
    estimates_ms: tuple[float, ...] = ()
    measured_ms: dict[int, dict[tuple[int, int], float]] = field(default_factory=dict)
    started: bool = False
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    cancelled: bool = False
    final_state: str = ""
    task_time_s: dict[str, float] = field(default_factory=dict)
    lost_runs: dict[str, int] = field(default_factory=dict)
    exceptions: int = 0
    set_aside_until: float = 0.0


@dataclass(slots=True, eq=False)
class Runner:
    """One incarnation of a runner, from the start of its process to its end.

    Attributes
    ----------
    incarnation : str
        Name of the incarnation.
    entry : RunnerEntry or None
        None for an incarnation that is known only from a predecessor's records.
    registered : bool
        Whether its entry is in the store.
    missing_since : float
        When its entry was removed, if it is not registered.
    evacuated : bool
        Whether nothing may be started there because its failure domain is evacuated.
    seen_at : float
        When its entry was first read.
    seen_clock_ms : int
        The runner's clock in that entry; 0 if it is unknown.
    fence : int
        Fencing token of its calls, above that of all calls to earlier incarnations.
    earlier_calls_end : float
        When every lease has ended that a call to an earlier incarnation may have
        granted it; infinite until that is known, and zero if there is no such call.
    tasks : dict
        Tasks whose run is or may be at the runner, including those being stopped.
    reserved_cpu, reserved_memory, reserved_gpu : int
        Resources reserved for these tasks.
    backfill_cpu : int
        Processor time that its backfill tasks request.
    serving_cpu : int
        Part of `reserved_cpu` that serving tasks request.
    has_reported : bool
        Whether it has reported completely since this dispatcher took over.
    reported_at : float
        When the last complete report that it answered was requested.
    unwanted : set of TaskKey
        Tasks of which that report lists a run that isn't the newest one.
    responsive, responsive_since : bool, float
        Whether it answers report requests, and since when it has; a runner that doesn't
        is called silent.
    missed_reports, missed_at : int, float
        Number of successive report requests that failed, each sent after the failure of
        the one before, and when the last of them failed.
    clock_ms, clock_asked_at, clock_at : int, float, float
        The incarnation's clock in the last answer that it has surely given, when that
        call was sent, and when its answer came.
    first_clock_ms : float
        Its clock began at this time or before.
    verified_at : float
        When the newest call was sent that it has surely answered.
    verifying_at : float
        When the newest report was requested for which starts wait; 0 once that request
        has been answered or has failed.
    old_answers : int
        Number of successive answers to such requests that were too old to count.
    other_answered_at : float
        When another incarnation last answered a call in place of this one.
    lease_bound : float
        Time after which nothing that this owner has ordered so far can still be running
        there.
    inherited_bound : float
        The same for what its predecessors ordered.
    grant_limit : float
        Time that no lease may exceed, as a stored record says so; infinite if none
        does.
    last_end, last_stored_end : int
        Number of the last reported end of a run that was applied, and of the last one
        whose effect is stored.
    holds_end : bool
        Whether the next end isn't acknowledged because the task that it completes may
        still be started elsewhere.
    pending_reports : int
        Number of report requests that are unanswered.
    next_report_at : float
        When to send the next request.
    failure_score : float
        Weighted number of failed and refused tasks since the last success.
    leaves_at : float
        Earliest time at which a draining runner may leave; zero unless it drains.
    quarantined_until : float
        Until then the runner gets no tasks with limited attempts; zero if it isn't
        quarantined.
    slowdown : float
        Factor by which new tasks are expected to take longer there than elsewhere; 1
        unless the runner is avoided as slow, see `health`.
    paces : dict
        Percentage of full speed by backfill image; images that are missing run at full
        speed.
    sampled_at, over_target_since : float
        When the interference model last learnt from a report; since when a serving task
        has exceeded its latency target (zero if none does).
    base_margins : dict
        By serving job, its margin (target over tail latency) under its own load alone,
        according to the runner's last report.
    recent_unreserved : deque of int
        Unreserved processor time at the last ticks.
    backfill_loads : dict
        By backfill image, the share of the processors that it would use at full speed.
    serving_headroom : dict
        By serving image, the total pressure that backfill tasks may add.
    spare_load : dict
        By backfill image, the load that additional tasks of it may add; cached for the
        images queried since `backfill_loads` and `serving_headroom` were updated.
    reserved_for : StepRun or None
        Step of a large task that the runner is reserved for; see `room`.
    suspect_entry, suspect_since : RunnerEntry or None, float
        Entry of an incarnation that began earlier and may be there all the same, and
        since when there is one; see `incarnations`.
    """

    incarnation: str
    entry: RunnerEntry | None
    registered: bool = True
    missing_since: float = 0.0
    evacuated: bool = False
    seen_at: float = 0.0
    seen_clock_ms: int = 0
    fence: int = 0
    earlier_calls_end: float = 0.0
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    reserved_cpu: int = 0
    reserved_memory: int = 0
    reserved_gpu: int = 0
    backfill_cpu: int = 0
    serving_cpu: int = 0
    has_reported: bool = False
    reported_at: float = 0.0
    unwanted: set[TaskKey] = field(default_factory=set)
    responsive: bool = False
    responsive_since: float = 0.0
    missed_reports: int = 0
    missed_at: float = 0.0
    clock_ms: int = 0
    clock_asked_at: float = 0.0
    clock_at: float = 0.0
    first_clock_ms: float = 0.0
    verified_at: float = 0.0
    verifying_at: float = 0.0
    old_answers: int = 0
    other_answered_at: float = 0.0
    lease_bound: float = 0.0
    inherited_bound: float = 0.0
    grant_limit: float = math.inf
    last_end: int = 0
    last_stored_end: int = 0
    holds_end: bool = False
    pending_reports: int = 0
    next_report_at: float = 0.0
    failure_score: float = 0.0
    leaves_at: float = 0.0
    quarantined_until: float = 0.0
    slowdown: float = 1.0
    paces: dict[str, int] = field(default_factory=dict)
    sampled_at: float = 0.0
    over_target_since: float = 0.0
    base_margins: dict[str, float] = field(default_factory=dict)
    recent_unreserved: deque[int] = field(
        default_factory=lambda: deque(maxlen=GAP_TICKS)
    )
    backfill_loads: dict[str, float] = field(default_factory=dict)
    serving_headroom: dict[str, float] = field(default_factory=dict)
    spare_load: dict[str, float] = field(default_factory=dict)
    reserved_for: StepRun | None = None
    suspect_entry: RunnerEntry | None = None
    suspect_since: float = 0.0

    @property
    def runner_id(self) -> str:
        """Return the id of the runner over all its incarnations."""
        return split_incarnation(self.incarnation)[0]

    @property
    def started_at_ms(self) -> int:
        """Return the start of the incarnation in Unix milliseconds by its clock."""
        return split_incarnation(self.incarnation)[1]
