"""Waiting until a job has ended, with progress on standard error."""

import itertools
from collections.abc import Callable
from typing import Any

from result import Err

from plantainyard.api import operators_pb2 as schema
from plantainyard.commands.calls import Failure
from plantainyard.commands.command import (
    Invocation,
    call_method,
    print_message,
    report_failure,
)
from plantainyard.commands.exit_codes import ExitCode
from plantainyard.commands.rendering import format_counts, format_job, format_state

__all__ = ["wait_for_job"]

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 5.0
PAUSE_GROWTH = 1.5
TRANSIENT_EXIT_CODES = frozenset(
    {ExitCode.REFUSED, ExitCode.UNREACHABLE, ExitCode.INTERNAL}
)
EXIT_CODE_BY_FINAL_STATE = {
    schema.JOB_STATE_DONE: ExitCode.OK,
    schema.JOB_STATE_CANCELLED: ExitCode.ENDED_OTHERWISE,
    schema.JOB_STATE_INFEASIBLE: ExitCode.ENDED_OTHERWISE,
}


def wait_for_job(invocation: Invocation) -> ExitCode:
    """Poll a job until it has ended, the wait has timed out or Ctrl-C is pressed.

    Notes
    -----
    Waiting continues while no instance can be reached, because the job keeps running.
    """
    (job_id,) = invocation.arguments
    context, values = invocation.context, invocation.flags
    print_progress = _create_progress_printer(invocation)
    deadline = context.clock() + values.wait_s if values.wait_s else None
    request = schema.DescribeJobRequest(job_id=job_id, tasks_limit=1)
    try:
        for pause_s in _iter_pauses():
            response = call_method(invocation, "DescribeJob", request)
            if isinstance(response, Err):
                if response.err_value.exit_code not in TRANSIENT_EXIT_CODES:
                    return report_failure(invocation, response.err_value)
                print_progress(_describe_missing_response(response.err_value))
            else:
                described: schema.DescribeJobResponse = response.ok_value
                print_progress(_describe_progress(described.job))
                if described.job.state in EXIT_CODE_BY_FINAL_STATE:
                    print_message(invocation, described, format_job)
                    return EXIT_CODE_BY_FINAL_STATE[described.job.state]
            if deadline is not None and context.clock() >= deadline:
                print_progress(
                    f"{job_id} is still running; the wait ended, the job goes on"
                )
                return ExitCode.STILL_RUNNING
            context.sleep(pause_s)
    except KeyboardInterrupt:
        print(
            f"\nInterrupted: only the wait has ended; {job_id} goes on.\n"
            f"  see it:  plantainyard jobs describe {job_id}\n"
            f"  stop it: plantainyard jobs cancel {job_id}",
            file=context.err,
        )
        return ExitCode.INTERRUPTED
    return ExitCode.INTERNAL


def _iter_pauses() -> Any:
    growing = itertools.accumulate(
        itertools.repeat(PAUSE_GROWTH), initial=FIRST_PAUSE_S, func=lambda a, b: a * b
    )
    return (min(pause_s, MAX_PAUSE_S) for pause_s in growing)


def _create_progress_printer(invocation: Invocation) -> Callable[[str], None]:
    """Return a function that prints a line of progress unless it repeats the last."""
    last_printed: list[str] = []

    def print_progress(text: str) -> None:
        if last_printed[-1:] != [text]:
            last_printed[:] = [text]
            print(text, file=invocation.context.err, flush=True)

    return print_progress


def _describe_progress(job: schema.JobSummary) -> str:
    reason = f" ({job.reason})" if job.reason else ""
    return f"{format_state(job.state)}: {format_counts(job.counts)}{reason}"


def _describe_missing_response(failure: Failure) -> str:
    return f"no answer ({failure.error.detail}); asking on"
