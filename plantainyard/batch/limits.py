"""Limits of jobs: what exceeds them is rejected when it is submitted.

They bound what one job costs the owner of its unit in memory, in processor time and in
the size of its records. `docs/callers.md` states them for callers.
"""

__all__ = [
    "MAX_DURATION_MS",
    "MAX_IMAGES",
    "MAX_NAME",
    "MAX_SPEC_BYTES",
    "MAX_STEPS",
    "MAX_STEP_TASKS",
    "MAX_STRETCH",
    "MAX_TASKS",
]

MAX_SPEC_BYTES = 4_000
"""Maximum length of `spec` in bytes; the limit that the platform documents."""

MAX_STEPS = 1_000
"""Maximum number of steps of a job, over all of its occurrences. Each search for places
passes over those that wait."""

MAX_STEP_TASKS = 1_000
"""Maximum number of tasks in a step, whose progress is one record of the store."""

MAX_TASKS = 2_000
"""Maximum number of tasks of a job, over all of its steps and occurrences. Each end of
a task passes over those of its job."""

MAX_IMAGES = 32
"""Maximum number of images that the steps of a job name. How each of them disturbs the
others is estimated."""

MAX_NAME = 255
"""Maximum length of the names of queues, services, labels, images and the like."""

MAX_DURATION_MS = 366 * 24 * 3_600 * 1_000
"""Maximum of durations in milliseconds: a year."""

MAX_STRETCH = 1e6
"""Maximum of a queue's factor between the length of a job and its objective."""
