"""Value types of declared work: sizes, constraints, jobs and services.

All packages share these immutable types. `encode_job` and `decode_job` convert jobs to
and from JSON objects. Sizes are in cores and gigabytes, times in seconds.
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
    """Restrictions on where a task may run; an empty field allows everything."""

    regions: tuple[str, ...] = ()
    domains: tuple[str, ...] = ()
    accelerator: str = ""


class Job(NamedTuple):
    """A batch job, or the part of a service in one failure domain.

    Attributes
    ----------
    id : str
        Unique; derived from the request id of the call that created the job.
    name, team : str
        Given by the operator; the job counts against the team's quota.
    latency_critical : bool
        True for a service, whose tasks are runners that don't end by themselves.
    task_count : int
        Number of tasks, numbered from zero.
    size : Size
        Declared size of one task; often very inaccurate.
    run_s : float
        Declared run time of one task in seconds; zero for a service.
    constraints : Constraints
        Hard constraints, checked again when a task starts.
    workload : str
        Kind of task; interference is estimated for each pair of workloads.
    urgent : bool
        Whether the job starts within the urgent bound, ahead of other jobs.
    gang : bool
        Whether all tasks start together or not at all.
    slots, connections : int
        For a service: the greatest numbers of requests in progress and of connections
        at one runner.
    payload : str
        Opaque to the scheduler; passed to the worker with each start.
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
    """Return `task` as text, ``job/number``.

    Examples
    --------
    >>> format_task(TaskKey("j1", 4))
    'j1/4'
    """
    return f"{task.job}/{task.number}"


def parse_task(text: str) -> TaskKey:
    """Return the task whose text, as written by `format_task`, is `text`.

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
    """Return the job that `encode_job` encoded as `data`.

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
