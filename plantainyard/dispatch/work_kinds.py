"""Kinds of work of jobs, by which waits are forecast.

Neither long-running jobs nor scheduled ones have a forecast. Jobs whose tasks require a
label wait for a few runners, of which the unit's rate says nothing, and jobs of both
kinds of tasks wait for two kinds of capacity; these have none either.
"""

from plantainyard.batch.values import Submission
from plantainyard.dispatch.throughput import WorkKind

__all__ = [
    "find_kind",
]


def find_kind(submission: Submission) -> WorkKind | None:
    """Return the kind of a job's work, or None if there is no forecast for it."""
    if submission.times or submission.piece:
        return None
    if any(step.long_running or step.requires for step in submission.steps):
        return None
    kinds = {step.backfill for step in submission.steps}
    return WorkKind(submission.service, kinds.pop()) if len(kinds) == 1 else None
