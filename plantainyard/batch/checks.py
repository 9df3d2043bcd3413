"""Checks of a submission that need no knowledge of the fleet."""

from plantainyard.batch.values import Step, Submission

__all__ = ["MAX_SPEC_BYTES", "MAX_STEPS", "MAX_TASKS", "validate_submission"]

MAX_SPEC_BYTES = 4_000
"""Longest `spec` in bytes; the platform's documented limit."""

MAX_STEPS = 1_000
"""Steps of a job; bounds the work of one request, far above what callers use."""

MAX_TASKS = 100_000
"""Tasks of a job over all steps; bounds the memory that one request can take."""


def validate_submission(submission: Submission) -> str:
    """Return why `submission` can't be accepted, or an empty string.

    Examples
    --------
    >>> from plantainyard.batch.values import Step, Submission
    >>> validate_submission(Submission("a", "q", "s", "", (Step(size=0),)))
    'steps[0]: count is below 1'
    """
    if len(submission.spec.encode()) > MAX_SPEC_BYTES:
        return f"spec is longer than {MAX_SPEC_BYTES} bytes"
    steps = submission.steps
    if not 1 <= len(steps) <= MAX_STEPS:
        return f"a job has 1 to {MAX_STEPS} steps"
    if sum(step.size for step in steps) > MAX_TASKS:
        return f"a job has at most {MAX_TASKS} tasks"
    faults = (
        f"steps[{number}]: {fault}"
        for number, step in enumerate(steps)
        if (fault := _find_step_fault(step, len(steps)))
    )
    return next(faults, "") or _find_cycle(steps)


def _find_step_fault(step: Step, steps: int) -> str:
    if step.size < 1:
        return "count is below 1"
    if min(step.resources) < 0:
        return "a resource is below 0"
    if any(not 0 <= number < steps for number in step.after):
        return "after names a step that isn't there"
    return ""


def _find_cycle(steps: tuple[Step, ...]) -> str:
    """Return a message if the steps wait for each other, or an empty string.

    Notes
    -----
    Removes steps whose predecessors are gone until nothing changes; the cost is the
    number of steps times the number of edges at worst.
    """
    left = dict(enumerate(steps))
    while left:
        free = [n for n, step in left.items() if not left.keys() & set(step.after)]
        if not free:
            return f"steps {sorted(left)} wait for each other"
        for number in free:
            del left[number]
    return ""
