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
    ``HANDED``
        Another unit has it.
    """

    WAITING = "waiting"
    STORING = "storing"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    HANDED = "handed"

    OUT = frozenset({STORING, ORDERED, RUNNING, STOPPING})


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
    settled_at : float or None
        When it was known that the run is at the runner, or will be refused there; None
        while a start is unanswered. A report that was asked for later and doesn't list
        the run proves that it isn't there.
    listed : bool
        A report of the life that it was ordered at has listed the run.
    next_order_at : float
        When to repeat an order that wasn't answered.
    order_out : bool
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
    avoided : set of str
        Runners that failed or refused it.
    percent, moved_at : int, float
        How far the run is, and when that last changed.
    pace, pace_before : int
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
    settled_at: float | None = None
    listed: bool = False
    next_order_at: float = 0.0
    order_out: bool = False
    starts_sent: int = 0
    failures: int = 0
    checkpoint: str = ""
    waiting_since: float = 0.0
    not_before: float = 0.0
    avoided: set[str] = field(default_factory=set)
    percent: int = -1
    moved_at: float = 0.0
    pace: int = 100
    pace_before: int = 100
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
    done : int
        Number of finished tasks.
    searched : bool
        No runner was a place for its next task when all were looked through last.
    waits_for, explained_at : str, float
        Why its tasks wait, one of `timing.TimePart` or empty, and when that was found.
    """

    job: "Job"
    occurrence: int
    number: int
    spec: Step
    tasks: list[Task] = field(default_factory=list)
    done: int = 0
    searched: bool = False
    waits_for: str = ""
    explained_at: float = 0.0


@dataclass(slots=True, eq=False)
class Job:
    """One job.

    Attributes
    ----------
    submission : Submission
        What was accepted.
    deadline : float
        Time until which the latency objective is met, on the dispatcher's clock.
    useless_at : float
        Time from which its result is of no use to its caller.
    taken_at : float
        When the dispatcher took it in.
    left_ms : tuple of float
        By step, the estimated time from its start to the job's end.
    steps : dict
        Steps by (occurrence, number); an occurrence is added when it is due.
    begun : bool
        A task of it is known to have started.
    cancelled : bool
        Nothing of it may start any more.
    ended : str
        Final state, or empty.
    times : dict
        Seconds of its tasks since this owner took over, by `timing.TimePart`.
    lost : dict
        Runs since then that ended otherwise than done, by how they ended.
    """

    submission: Submission
    deadline: float
    left_ms: tuple[float, ...]
    taken_at: float = 0.0
    useless_at: float = 0.0
    begun: bool = False
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    cancelled: bool = False
    ended: str = ""
    times: dict[str, float] = field(default_factory=dict)
    lost: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Runner:
    """One life of a runner.

    Attributes
    ----------
    incarnation : str
        Its name.
    entry : RunnerEntry or None
        None for a life that only a predecessor's records name.
    listed : bool
        Its entry is in the store.
    tasks : dict
        Tasks whose run is or may be there, and those that are being stopped.
    cpu, memory, gpu : int
        Room taken by them.
    backfill_cpu : int
        Processor time that its backfilling tasks ask for.
    serving_cpu : int
        Part of `cpu` that serving tasks ask for.
    known : bool
        It has reported since this dispatcher took over.
    answering : bool
        It isn't silent: one of its last reports came.
    misses : int
        Reports in a row that didn't come.
    clock_ms, clock_at : int, float
        Its clock at its last answer, and when that came.
    lease_bound : float
        Time after which nothing that was sent so far can still be running there.
    seen, stored_seen : int
        Number of the last end that was taken in, and of the last whose meaning is in
        the store.
    hold_out : bool
        A report is being waited for.
    hold_at : float
        When to ask for the next one.
    bad : float
        Failures of tasks since its last success.
    leaves_at : float
        When it may be gone, once it is draining.
    quarantined_until : float
        No tasks with limited attempts until then.
    paces : dict
        Share of full speed by backfilling image; full where it isn't named.
    paced_at, harmed_since : float
        When a report was last learnt from; since when a serving task is over its target
        (zero: none is).
    bases : dict
        By serving job, the margin (target over tail) that it has by its own load, as
        this runner's last report shows it.
    recent_free : deque of int
        Processor time that wasn't reserved, at the last ticks.
    loads : dict
        By backfilling image, the part of the processors that it would use at full
        speed.
    rooms : dict
        By serving image, the pressure that backfilling work may add in all.
    spare : dict
        By backfilling image, the load that more work of it may add, as far as it was
        asked for since `loads` and `rooms` were measured.
    """

    incarnation: str
    entry: RunnerEntry | None
    listed: bool = True
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    cpu: int = 0
    memory: int = 0
    gpu: int = 0
    backfill_cpu: int = 0
    serving_cpu: int = 0
    known: bool = False
    answering: bool = False
    misses: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    lease_bound: float = 0.0
    seen: int = 0
    stored_seen: int = 0
    hold_out: bool = False
    hold_at: float = 0.0
    bad: float = 0.0
    leaves_at: float = 0.0
    quarantined_until: float = 0.0
    paces: dict[str, int] = field(default_factory=dict)
    paced_at: float = 0.0
    harmed_since: float = 0.0
    bases: dict[str, float] = field(default_factory=dict)
    recent_free: deque[int] = field(default_factory=lambda: deque(maxlen=GAP_TICKS))
    loads: dict[str, float] = field(default_factory=dict)
    rooms: dict[str, float] = field(default_factory=dict)
    spare: dict[str, float] = field(default_factory=dict)
