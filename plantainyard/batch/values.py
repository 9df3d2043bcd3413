"""Values that describe a job, its steps and how far their tasks are."""

from typing import NamedTuple

__all__ = [
    "FinalStates",
    "JobState",
    "Resources",
    "Step",
    "StepProgress",
    "Submission",
    "TaskProgress",
]


class JobState:
    """Names of the states that a caller is told."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class FinalStates:
    """Names of the states in which a job stays for good."""

    ALL = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Resources(NamedTuple):
    """An amount of a runner's capacity.

    Attributes
    ----------
    cpu : int
        Thousandths of a core.
    memory : int
        Megabytes.
    gpu : int
        Whole accelerators.
    """

    cpu: int = 0
    memory: int = 0
    gpu: int = 0


class Step(NamedTuple):
    """One step of a job: a number of alike tasks.

    Attributes
    ----------
    size : int
        Number of tasks.
    resources : Resources
        What each task asks for.
    estimate_ms : int
        The submitter's rough estimate of a task's run time.
    after : tuple of int
        Earlier steps whose tasks must all have finished first.
    saves_progress : bool
        Tasks write checkpoints and can resume.
    gang : bool
        Tasks work only while all of them are present.
    same_rack : bool
        Tasks are slower when spread over racks.
    requires : str
        Label that the runner must have; empty for none.
    preferred_rack : str
        Rack near the data; elsewhere tasks take longer.
    max_per_runner : int
        At most so many tasks of the step on one runner; zero for no limit.
    speculative : bool
        Copies of a task may run in parallel.
    long_running : bool
        Tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_ms : float
        Upper bound for the tail latency of a serving task; zero for none.
    backfill : bool
        The tasks' processor time comes from what others leave unused.
    max_unavailable : int
        Tasks of a long-running step that the scheduler may take away at a time.
    """

    size: int
    resources: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    preferred_rack: str = ""
    max_per_runner: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    backfill: bool = False
    max_unavailable: int = 0


class Submission(NamedTuple):
    """A job as it was accepted, with the part of its queue's configuration it needs.

    Attributes
    ----------
    job_id : str
        Chosen by the submitter.
    queue : str
        Name of the queue.
    service : str
        Service whose runners run the tasks.
    spec : str
        Opaque text for the runners.
    steps : tuple of Step
        At least one.
    priority : int
        Zero comes first.
    max_attempts : int
        Runs of a task that may fail before the job does.
    stretch : float
        The latency objective is this many times the longest chain of work, ...
    target_latency_ms : float
        ... and this much more.
    times : int
        Number of scheduled occurrences; zero for a job that runs at once.
    start_at_ms, interval_ms : int
        First due time in Unix milliseconds, and the time between occurrences.
    accepted_at_ms : int
        Unix milliseconds at the instance that accepted it; for ages after a change
        of owner only.
    hops : int
        Units that passed the job on.
    piece : tuple of int
        Occurrence, step and number of the one task that was passed on; empty for a
        whole job.
    first_run : int
        Highest run number of that task before.
    """

    job_id: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    times: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    accepted_at_ms: int = 0
    hops: int = 0
    piece: tuple[int, ...] = ()
    first_run: int = 0

    @property
    def record_id(self) -> str:
        """Return what the job is stored under; pieces of one job differ, hop by hop."""
        if not self.piece:
            return self.job_id
        place = ".".join(map(str, self.piece))
        return f"{self.job_id}+{place}+{self.hops}"


class TaskProgress(NamedTuple):
    """What is stored of a task that isn't done.

    Attributes
    ----------
    run : int
        Highest run number ordered so far.
    runner : str
        Life of the runner that the run was ordered at; empty if none is out.
    failures : int
        Runs that ended as failed.
    checkpoint : str
        Newest known checkpoint; empty for none.
    unit : int or None
        The unit that the task was handed to.
    """

    run: int = 0
    runner: str = ""
    failures: int = 0
    checkpoint: str = ""
    unit: int | None = None


class StepProgress(NamedTuple):
    """What is stored of one step of one occurrence.

    Attributes
    ----------
    done : frozenset of int
        Indices of finished tasks.
    tasks : dict of int to TaskProgress
        The tasks that were ordered at least once and aren't done.
    started : bool
        A task of the job is known to have started.
    """

    done: frozenset[int]
    tasks: dict[int, TaskProgress]
    started: bool = False
