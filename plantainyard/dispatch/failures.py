"""Attribution of an unexpected exception to the job that was being worked on."""

from itertools import chain
from traceback import walk_tb
from typing import Any

from plantainyard.batch.replica import JobView
from plantainyard.batch.values import Submission
from plantainyard.dispatch.model import Job, StepRun, Task

__all__ = ["find_failed_job"]


def find_failed_job(error: BaseException) -> str:
    """Return the id of the job that was being worked on when an exception was raised.

    Returns
    -------
    str
        Id of the stored job, which is unique for each piece and hop; empty if no frame
        of the traceback works on a job.

    Notes
    -----
    The innermost frame with a variable that belongs to a job decides: loops over jobs
    and their steps keep the current one in a variable. No code of the dispatcher has to
    name the job in advance, so that this costs nothing until an exception is raised.
    """
    frames = [frame for frame, _ in walk_tb(error.__traceback__)]
    values = chain.from_iterable(list(f.f_locals.values()) for f in reversed(frames))
    return next((job_id for value in values if (job_id := _find_job_id(value))), "")


def _find_job_id(value: Any) -> str:
    match value:
        case Submission():
            return value.record_id
        case JobView(submission=Submission() as submission):
            return submission.record_id
        case Job():
            return value.submission.record_id
        case StepRun():
            return value.job.submission.record_id
        case Task():
            return value.step.job.submission.record_id
    return ""
