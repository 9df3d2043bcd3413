"""Values that describe a job, its steps and the progress of their tasks."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

__all__ = [
    "FinalStates",
    "JobState",
    "PieceResult",
    "Resources",
    "Step",
    "StepProgress",
    "Submission",
    "TaskProgress",
    "make_piece",
]


class JobState:
    """Names of the job states that are reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class FinalStates:
    """Names of the final states of a job."""

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
    """One step of a job: a number of identical tasks.

    Attributes
    ----------
    size : int
        Number of tasks.
    resources : Resources
        The amount that each task requests.
    estimate_ms : int
        The submitter's rough estimate of a task's run time.
    after : tuple of int
        Indices of the steps whose tasks must all finish before this step starts.
    saves_progress : bool
        Tasks write checkpoints and can resume from them.
    gang : bool
        Tasks make progress only while all of them are running.
    same_rack : bool
        Tasks run more slowly when they are spread over several racks.
    requires : str
        Label that the runner must have; empty if any runner will do.
    preferred_rack : str
        Rack that is close to the data; tasks take longer on other racks.
    max_per_runner : int
        Maximum number of tasks of the step on one runner; zero for no limit.
    speculative : bool
        Several copies of a task may run in parallel.
    long_running : bool
        Tasks run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of one image have similar behaviour.
    target_ms : float
        Upper bound for the tail latency of a serving task; zero for none.
    backfill : bool
        The tasks use only processor time that other tasks leave idle.
    max_unavailable : int
        Number of tasks of a long-running step that the scheduler may stop at a time.
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
    """A job as it was accepted, with the relevant part of its queue's configuration.

    Attributes
    ----------
    job_id : str
        Id chosen by the submitter.
    queue : str
        Name of the queue.
    service : str
        Service whose runners run the tasks.
    spec : str
        Opaque text that is passed to the runners.
    steps : tuple of Step
        At least one.
    priority : int
        Zero is the highest priority.
    max_attempts : int
        Number of failed runs of a task after which the job fails.
    stretch : float
        Factor of the latency objective, which is `stretch` times the duration of the
        longest chain of dependent work, plus `target_latency_ms`.
    target_latency_ms : float
        Constant part of the latency objective, in milliseconds.
    times : int
        Number of scheduled occurrences; zero for a job that runs immediately.
    start_at_ms, interval_ms : int
        Due time of the first occurrence in Unix milliseconds, and the period between
        occurrences.
    accepted_at_ms : int
        Time of acceptance in Unix milliseconds by the clock of the accepting instance;
        used only to compute ages after a change of owner.
    hops : int
        Number of units that have handed the job over.
    piece : tuple of int
        Occurrence, step and number of the single task that was handed over; empty for
        a whole job.
    first_run : int
        Highest run number of that task before it was handed over.
    whole_step : bool
        All tasks of that step were handed over together, as they form a gang.
    home : int or None
        Unit that has the task's job and is told what becomes of the task; None for a
        whole job, and for a task that was handed over for good.
    failures : int
        Number of failed runs of the task before it was handed over.
    checkpoint : str
        Newest known checkpoint of the task.
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
    whole_step: bool = False
    home: int | None = None
    failures: int = 0
    checkpoint: str = ""

    @property
    def record_id(self) -> str:
        """Return the id of the stored job, which is unique for each piece and hop."""
        if not self.piece:
            return self.job_id
        place = ".".join(map(str, self.piece))
        return f"{self.job_id}+{place}+{self.hops}"


def make_piece(
    submission: Submission, position: tuple[int, int, int], handovers: int
) -> Submission:
    """Return the submission of a task in the form in which its new unit stores it.

    Parameters
    ----------
    submission : Submission
        The job as its unit has it.
    position : tuple of int
        Occurrence, step and number of the task.
    handovers : int
        Number of times that the task was handed over, which makes the record's id
        unique; 0 if the new unit's owner is of a version that reports nothing back and
        knows only single tasks.
    """
    occurrence, step, number = position
    whole_step = submission.steps[step].gang and handovers > 0
    return submission._replace(
        piece=(occurrence, step, 0 if whole_step else number),
        whole_step=whole_step,
        hops=submission.hops + max(1, handovers),
    )


class TaskProgress(NamedTuple):
    """The stored state of an unfinished task.

    Attributes
    ----------
    run : int
        Highest run number that has been ordered.
    runner : str
        Incarnation of the runner that was ordered to run it; empty if no run is
        outstanding.
    failures : int
        Number of failed runs.
    checkpoint : str
        Newest known checkpoint; empty if there is none.
    unit : int or None
        The unit that the task was handed over to.
    handovers : int
        Number of times that the task was handed over to owners that report back.
    """

    run: int = 0
    runner: str = ""
    failures: int = 0
    checkpoint: str = ""
    unit: int | None = None
    handovers: int = 0


class PieceResult(NamedTuple):
    """What has become of a task that was handed over, for the unit that has its job.

    Attributes
    ----------
    state : str
        Whether it is completed or failed; if it is cancelled, it was given back and
        has to run elsewhere, unless its job is cancelled, too.
    run : int
        Highest run number that has been ordered.
    failures : int
        Number of failed runs.
    checkpoint : str
        Newest known checkpoint; empty if there is none.
    """

    state: str
    run: int = 0
    failures: int = 0
    checkpoint: str = ""


class StepProgress(NamedTuple):
    """The stored progress of a step in one occurrence of a job.

    Attributes
    ----------
    done : frozenset of int
        Indices of finished tasks.
    tasks : dict of int to TaskProgress
        Unfinished tasks that were ordered at least once.
    started : bool
        A task of the job is known to have started.
    unseen_s : mapping of int to float
        For outstanding runs that aren't known to have begun: time in seconds from the
        storing of the progress until nothing of the run can be running any more.
    recipients : mapping of int to str
        For tasks without an outstanding run of which a start may still be carried out:
        the id of the runner that it was sent to.
    """

    done: frozenset[int]
    tasks: dict[int, TaskProgress]
    started: bool = False
    unseen_s: Mapping[int, float] = MappingProxyType({})
    recipients: Mapping[int, str] = MappingProxyType({})
