"""The key that identifies a task."""

from typing import NamedTuple

__all__ = ["TaskKey"]


class TaskKey(NamedTuple):
    """The key of a task: its job, occurrence and step, and its number in the step."""

    job_id: str
    occurrence: int
    step: int
    number: int
