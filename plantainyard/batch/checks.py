"""Validation of submissions, independent of the state of the fleet."""

from plantainyard.batch.values import Step, Submission

__all__ = ["MAX_SPEC_BYTES", "MAX_STEPS", "MAX_TASKS", "validate_submission"]

MAX_SPEC_BYTES = 4_000
"""Maximum length of `spec` in bytes; the limit that the platform documents."""

MAX_STEPS = 1_000
"""Maximum number of steps in a job; bounds the work of validating one request.

The limit is far above what callers use.
"""

MAX_TASKS = 100_000
"""Maximum number of tasks over all steps of a job; bounds the memory of a request."""


def validate_submission(submission: Submission) -> str:
    """Return the reason for rejecting `submission`, or an empty string if it is valid.

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
    errors = (
        f"steps[{number}]: {error}"
        for number, step in enumerate(steps)
        if (error := _validate_step(step, len(steps)))
    )
    return next(errors, "") or _find_cycle(steps)


def _validate_step(step: Step, step_count: int) -> str:
    if step.size < 1:
        return "count is below 1"
    if min(step.resources) < 0:
        return "a resource is below 0"
    if any(not 0 <= number < step_count for number in step.after):
        return "after names a step that isn't there"
    return ""


def _find_cycle(steps: tuple[Step, ...]) -> str:
    """Return an error message if the dependencies form a cycle, or an empty string.

    Notes
    -----
    Repeatedly removes the steps that have no remaining predecessor. The worst-case cost
    is the number of steps times the number of edges.
    """
    remaining = dict(enumerate(steps))
    while remaining:
        ready = [
            n for n, step in remaining.items() if not remaining.keys() & set(step.after)
        ]
        if not ready:
            return f"steps {sorted(remaining)} wait for each other"
        for number in ready:
            del remaining[number]
    return ""
