"""State of jobs, steps, tasks and runners as the dispatcher sees them."""

from collections import deque
from dataclasses import dataclass, field

from plantainyard.batch.tasks import TaskKey
from plantainyard.batch.values import Step, Submission
from plantainyard.platform.entries import RunnerEntry

__all__ = ["Job", "Phase", "Runner", "StepRun", "Task"]


GAP_TICKS = 20
"""Ticks for which a gap must have been free before a long-running task takes it for
good: two seconds, in which the next short job usually comes. The platform allows three
before it counts a task as forgotten."""


class Phase:
    """Names of the phases of a task.

    Notes
    -----
    ``WAITING``
        No run is out.
    ``STORING``
        A run is assigned to a runner; the record of it is on its way to the store.
    ``ORDERED``
        The start was sent, or may have been by a predecessor.
    ``RUNNING``
        The runner has it.
    ``STOPPING``
        It has to go; its end isn't known yet.
    ``DONE``
        Finished.
    ``HANDED_OVER``
        Another unit has it.
    """

    WAITING = "waiting"
    STORING = "storing"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    HANDED_OVER = "handed"

    ACTIVE = frozenset({STORING, ORDERED, RUNNING, STOPPING})


@dataclass(slots=True, eq=False)
class Task:
    """One task.

    Attributes
    ----------
    key : TaskKey
        Its name.
    step : StepRun
        The step it belongs to.
    phase : str
        One of `Phase`.
    run : int
        Highest run number assigned so far.
    incarnation : str
        Life of the runner where that run is or may be; empty while none is out.
    resolved_at : float or None
        When it was known that the run is at the runner, or will be refused there; None
        while a start is unanswered. A report that was asked for later and doesn't list
        the run proves that it isn't there.
    seen_in_report : bool
        A report of the life that it was ordered at has listed the run.
    next_order_at : float
        When to repeat an order that wasn't answered.
    order_pending : bool
        An order about it is on its way.
    starts_sent : int
        How often the start of the newest run was sent.
    failures : int
        Runs that ended as failed.
    checkpoint : str
        Newest known.
    waiting_since : float
        Since when it could have been started.
    not_before : float
        Earliest time of the next start.
    avoided_runners : set of str
        Runners that failed or refused it.
    percent, progress_at : int, float
        How far the run is, and when that last changed.
    pace, previous_pace : int
        Share of full speed that it was ordered to work at, and the one before that.
    slowed_at : float
        When that was last lowered.
    unit : int or None
        The unit that has it, while it is handed to one.
    """

    key: TaskKey
    step: "StepRun"
    phase: str = Phase.WAITING
    run: int = 0
    incarnation: str = ""
    resolved_at: float | None = None
    seen_in_report: bool = False
    next_order_at: float = 0.0
    order_pending: bool = False
    starts_sent: int = 0
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


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one occurrence of a job.

    Attributes
    ----------
    job : Job
        The job.
    occurrence, number : int
        Which one.
    spec : Step
        What was submitted.
    tasks : list of Task
        All of them, by index.
    done_count : int
        Number of finished tasks.
    no_place_found : bool
        No runner was a place for its next task when all were looked through last.
    wait_reason, wait_reason_at : str, float
        Why its tasks wait, one of `timing.TimePart` or empty, and when that was found.
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


@dataclass(slots=True, eq=False)
class Job:
    """One job.

    Attributes
    ----------
    submission : Submission
        What was accepted.
    deadline : float
        Time until which the latency objective is met, on the dispatcher's clock.
    useful_until : float
        Time from which its result is of no use to its caller.
    received_at : float
        When the dispatcher took it in.
    remaining_ms : tuple of float
        By step, the estimated time from its start to the job's end.
    steps : dict
        Steps by (occurrence, number); an occurrence is added when it is due.
    started : bool
        A task of it is known to have started.
    cancelled : bool
        Nothing of it may start any more.
    final_state : str
        Final state, or empty.
    task_time_s : dict
        Seconds of its tasks since this owner took over, by `timing.TimePart`.
    lost_runs : dict
        Runs since then that ended otherwise than done, by how they ended.
    """

    submission: Submission
    deadline: float
    remaining_ms: tuple[float, ...]
    received_at: float = 0.0
    useful_until: float = 0.0
    started: bool = False
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    cancelled: bool = False
    final_state: str = ""
    task_time_s: dict[str, float] = field(default_factory=dict)
    lost_runs: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Runner:
    """One life of a runner.

    Attributes
    ----------
    incarnation : str
        Its name.
    entry : RunnerEntry or None
        None for a life that only a predecessor's records name.
    registered : bool
        Its entry is in the store.
    tasks : dict
        Tasks whose run is or may be there, and those that are being stopped.
    reserved_cpu, reserved_memory, reserved_gpu : int
        Room taken by them.
    backfill_cpu : int
        Processor time that its backfilling tasks ask for.
    serving_cpu : int
        Part of `reserved_cpu` that serving tasks ask for.
    has_reported : bool
        It has reported since this dispatcher took over.
    responsive : bool
        It isn't silent: one of its last reports came.
    missed_reports : int
        Reports in a row that didn't come.
    clock_ms, clock_at : int, float
        Its clock at its last answer, and when that came.
    lease_bound : float
        Time after which nothing that was sent so far can still be running there.
    last_end, last_stored_end : int
        Number of the last end that was taken in, and of the last whose meaning is in
        the store.
    report_pending : bool
        A report is being waited for.
    next_report_at : float
        When to ask for the next one.
    failure_score : float
        Failures of tasks since its last success.
    leaves_at : float
        When it may be gone, once it is draining.
    quarantined_until : float
        No tasks with limited attempts until then.
    paces : dict
        Share of full speed by backfilling image; full where it isn't named.
    sampled_at, over_target_since : float
        When a report was last learnt from; since when a serving task is over its target
        (zero: none is).
    base_margins : dict
        By serving job, the margin (target over tail) that it has by its own load, as
        this runner's last report shows it.
    recent_unreserved : deque of int
        Processor time that wasn't reserved, at the last ticks.
    backfill_loads : dict
        By backfilling image, the part of the processors that it would use at full
        speed.
    serving_headroom : dict
        By serving image, the pressure that backfilling work may add in all.
    spare_load : dict
        By backfilling image, the load that more work of it may add, as far as it was
        asked for since `backfill_loads` and `serving_headroom` were measured.
    """

    incarnation: str
    entry: RunnerEntry | None
    registered: bool = True
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    reserved_cpu: int = 0
    reserved_memory: int = 0
    reserved_gpu: int = 0
    backfill_cpu: int = 0
    serving_cpu: int = 0
    has_reported: bool = False
    responsive: bool = False
    missed_reports: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    lease_bound: float = 0.0
    last_end: int = 0
    last_stored_end: int = 0
    report_pending: bool = False
    next_report_at: float = 0.0
    failure_score: float = 0.0
    leaves_at: float = 0.0
    quarantined_until: float = 0.0
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
