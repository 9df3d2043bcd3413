"""Names of tasks."""

from typing import NamedTuple

__all__ = ["TaskKey"]


class TaskKey(NamedTuple):
    """A task: the job, the occurrence, the step and the number in it."""

    job_id: str
    occurrence: int
    step: int
    number: int
