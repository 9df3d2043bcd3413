"""Validation of submissions, independent of the state of the fleet."""

from graphlib import CycleError, TopologicalSorter

from plantainyard.batch.limits import (
    MAX_IMAGES,
    MAX_SPEC_BYTES,
    MAX_STEP_TASKS,
    MAX_STEPS,
    MAX_TASKS,
)
from plantainyard.batch.values import Step, Submission

__all__ = [
    "DEFAULT_RECORD_BYTES",
    "find_cycle",
    "is_in_dependency_order",
    "validate_submission",
]

DEFAULT_RECORD_BYTES = 262_144
"""Maximum size of a record in bytes if the platform's settings don't give it."""

MIN_TARGET_MS = 0.001
"""Smallest target of a tail latency, in milliseconds; zero stands for none."""

TASK_RECORD_BYTES = 200
"""Size of the progress of one task in bytes that the limit of a step allows for: twice
the usual one."""


def validate_submission(
    submission: Submission, record_bytes: int = DEFAULT_RECORD_BYTES
) -> str:
    """Return the reason for rejecting `submission`, or an empty string if it is valid.

    Parameters
    ----------
    submission : Submission
        The job.
    record_bytes : int
        Maximum size of a record of the store in bytes.

    Notes
    -----
    Guards against a job that stops its unit for all others: one whose progress fits
    into no record, or whose tasks take all memory or processor time of their owner. The
    cost is proportional to the number of steps and dependencies.

    Examples
    --------
    >>> from plantainyard.batch.values import Step, Submission
    >>> validate_submission(Submission("a", "q", "s", "", (Step(size=0),)))
    'steps[0]: count is below 1'
    """
    if len(submission.spec.encode()) > MAX_SPEC_BYTES:
        return f"spec is longer than {MAX_SPEC_BYTES} bytes"
    steps = submission.steps
    occurrences = max(1, submission.times)
    if not 1 <= len(steps) * occurrences <= MAX_STEPS:
        return f"a job has 1 to {MAX_STEPS} steps over all occurrences"
    if len({step.image for step in steps if step.image}) > MAX_IMAGES:
        return f"a job names at most {MAX_IMAGES} images"
    max_size = min(MAX_STEP_TASKS, record_bytes // TASK_RECORD_BYTES)
    errors = (
        f"steps[{number}]: {error}"
        for number, step in enumerate(steps)
        if (error := _validate_step(step, len(steps), max_size))
    )
    if error := next(errors, ""):
        return error
    if sum(step.size for step in steps) * occurrences > MAX_TASKS:
        return f"a job has at most {MAX_TASKS} tasks over all steps and occurrences"
    return find_cycle(steps)


def _validate_step(step: Step, step_count: int, max_size: int) -> str:
    if step.size < 1:
        return "count is below 1"
    if step.size > max_size:
        return f"a step has at most {max_size} tasks"
    if min(step.resources) < 0:
        return "a resource is below 0"
    if 0 < step.target_ms < MIN_TARGET_MS:
        return f"targetMs is below {MIN_TARGET_MS}"
    if step.after and (min(step.after) < 0 or max(step.after) >= step_count):
        return "after names a step that isn't there"
    return ""


def is_in_dependency_order(steps: tuple[Step, ...]) -> bool:
    """Return whether each step waits only for earlier ones, so that none is cyclic.

    Notes
    -----
    The platform documents that `after` names earlier steps. Sorting a job with 64,000
    dependencies takes 8 ms, during which all other threads wait; this takes 1 ms.
    """
    return all(max(step.after, default=-1) < n for n, step in enumerate(steps))


def find_cycle(steps: tuple[Step, ...]) -> str:
    """Return an error message if the dependencies form a cycle, or an empty string."""
    if is_in_dependency_order(steps):
        return ""
    sorter = TopologicalSorter({n: step.after for n, step in enumerate(steps)})
    try:
        sorter.prepare()
    except CycleError as error:
        return f"steps {sorted(set(error.args[1]))} wait for each other"
    return ""
