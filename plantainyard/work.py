"""What operators declare: sizes, constraints, jobs and services.

These are the shared value types of every package. All are immutable and turn to
and from JSON objects with `encode_job` and `decode_job`. Sizes are in cores and
gigabytes, times in seconds.
"""

from typing import Any, NamedTuple

__all__ = [
    "Constraints",
    "Job",
    "Size",
    "TaskKey",
    "WorkerInfo",
    "decode_job",
    "encode_job",
    "format_task",
    "parse_task",
]


class Size(NamedTuple):
    """Resources of a task, or capacity of a worker."""

    cores: float
    memory_gb: float
    accelerators: int = 0


class Constraints(NamedTuple):
    """Where a task may run; an empty field allows everything."""

    regions: tuple[str, ...] = ()
    domains: tuple[str, ...] = ()
    accelerator: str = ""


class Job(NamedTuple):
    """A batch job, or one domain's part of a service.

    Attributes
    ----------
    id : str
        Unique; derived from the request id of the accepting call.
    name, team : str
        Given by the operator; the team's quota is charged.
    latency_critical : bool
        True for a service, whose tasks are runners that never end by themselves.
    task_count : int
        Number of tasks, numbered from zero.
    size : Size
        Declared size of one task. Often far off.
    run_s : float
        Declared run time of one task in seconds; zero for a service.
    constraints : Constraints
        Hard filters, checked again at the moment of starting.
    workload : str
        Kind of task; harm between tasks is learnt for each pair of workloads.
    urgent : bool
        Starts within the urgent bound, ahead of other work.
    gang : bool
        All tasks start together or none does.
    slots, connections : int
        For a service: requests in progress and connections a runner can hold.
    payload : str
        Opaque to the scheduler; handed to the worker with each start.
    """

    id: str
    name: str
    team: str
    latency_critical: bool
    task_count: int
    size: Size
    run_s: float = 0.0
    constraints: Constraints = Constraints()
    workload: str = ""
    urgent: bool = False
    gang: bool = False
    slots: int = 0
    connections: int = 0
    payload: str = ""


class TaskKey(NamedTuple):
    """A task: its job and its number within the job."""

    job: str
    number: int


class WorkerInfo(NamedTuple):
    """A worker as the platform's instance list describes it."""

    id: str
    address: str
    region: str
    domain: str
    rack: str
    capacity: Size
    accelerator: str = ""
    leaving: bool = False


def format_task(task: TaskKey) -> str:
    """Return the text form of `task`, ``job/number``.

    Examples
    --------
    >>> format_task(TaskKey("j1", 4))
    'j1/4'
    """
    return f"{task.job}/{task.number}"


def parse_task(text: str) -> TaskKey:
    """Return the task that `format_task` wrote.

    Raises
    ------
    ValueError
        If `text` has no number after its last slash.

    Examples
    --------
    >>> parse_task("j1/4")
    TaskKey(job='j1', number=4)
    """
    job, _, number = text.rpartition("/")
    return TaskKey(job, int(number))


def encode_job(job: Job) -> dict[str, Any]:
    """Return `job` as a JSON object."""
    return {
        **job._asdict(),
        "size": job.size._asdict(),
        "constraints": {k: v for k, v in job.constraints._asdict().items() if v},
    }


def decode_job(data: dict[str, Any]) -> Job:
    """Return the job that `encode_job` wrote.

    Raises
    ------
    TypeError
        If a field is unknown or a required one is missing.
    """
    limits = data.get("constraints", {})
    constraints = Constraints(
        tuple(limits.get("regions", ())),
        tuple(limits.get("domains", ())),
        limits.get("accelerator", ""),
    )
    return Job(**{**data, "size": Size(**data["size"]), "constraints": constraints})
