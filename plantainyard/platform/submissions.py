"""Decoding of the job submissions that callers send."""

from typing import Any

from plantainyard.batch import Resources, Step, Submission
from plantainyard.batch.limits import MAX_DURATION_MS, MAX_NAME, MAX_STEPS
from plantainyard.decoding import (
    DecodeError,
    check_containers,
    convert_errors,
    parse_json,
    read_flag,
    read_integer,
    read_integers,
    read_list,
    read_number,
    read_object,
    read_text,
)
from plantainyard.platform.configuration import Queue

__all__ = ["check_body", "decode_body"]

MAX_CONTAINERS = 4 * MAX_STEPS
"""Maximum number of objects and arrays in a body: twice as many as a job of `MAX_STEPS`
steps with one `after` each has."""


def check_body(body: bytes) -> None:
    """Raise `DecodeError` if a body can't be a submission, before it is parsed."""
    with convert_errors("not a submission"):
        check_containers(body, MAX_CONTAINERS)


def decode_body(
    body: bytes, job_id: str, queue: Queue, accepted_at_ms: int
) -> Submission:
    """Decode the body of a submission.

    Parameters
    ----------
    body : bytes
        Request body in JSON.
    job_id : str
        Id of the job, from the path of the request.
    queue : Queue
        The queue that the path addresses; its limits are copied into the submission.
    accepted_at_ms : int
        Current time in Unix milliseconds.

    Raises
    ------
    DecodeError
        If the body is not a submission; the message gives the reason.
    """
    with convert_errors("not a submission"):
        data = read_object(parse_json(body), "the body")
        steps = _read_steps(data)
        return Submission(
            job_id=job_id,
            queue=queue.name,
            service=queue.service,
            spec=read_text(data.get("spec", ""), "spec"),
            steps=tuple(_decode_step(step, n) for n, step in enumerate(steps)),
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            stretch=queue.stretch,
            target_latency_ms=queue.target_latency_ms,
            times=read_integer(data.get("times", 0), "times"),
            start_at_ms=read_integer(data.get("startAtMs", 0), "startAtMs"),
            interval_ms=read_integer(
                data.get("intervalMs", 0), "intervalMs", high=MAX_DURATION_MS
            ),
            accepted_at_ms=accepted_at_ms,
        )


def _read_steps(data: dict[str, Any]) -> list[Any]:
    """Return the steps of a job that are not decoded yet.

    Notes
    -----
    Guards against the time and memory of decoding steps that are then rejected for
    their number: 0.3 s and 32 MB for 87,000 of them.
    """
    steps = read_list(data.get("steps"), "steps")
    if len(steps) > MAX_STEPS:
        raise DecodeError(f"steps has more than {MAX_STEPS} items")
    return steps


def _decode_step(value: Any, number: int) -> Step:
    data = read_object(value, f"steps[{number}]")
    after = read_integers(data.get("after", []), "after")
    return Step(
        size=read_integer(data.get("count", 1), "count"),
        resources=Resources(
            read_integer(data.get("cpu", 0), "cpu"),
            read_integer(data.get("memMb", 0), "memMb"),
            read_integer(data.get("gpu", 0), "gpu"),
        ),
        estimate_ms=int(_read_duration_ms(data, "estimateMs")),
        # A step that is named twice is waited for once.
        after=tuple(dict.fromkeys(after)),
        saves_progress=read_flag(data.get("savesProgress", False), "savesProgress"),
        gang=read_flag(data.get("gang", False), "gang"),
        same_rack=read_flag(data.get("sameRack", False), "sameRack"),
        requires=read_text(data.get("requires", ""), "requires", MAX_NAME),
        preferred_rack=read_text(
            data.get("preferredRack", ""), "preferredRack", MAX_NAME
        ),
        max_per_runner=read_integer(data.get("antiAffinity", 0), "antiAffinity"),
        speculative=read_flag(data.get("speculative", False), "speculative"),
        long_running=read_flag(data.get("longRunning", False), "longRunning"),
        image=read_text(data.get("image", ""), "image", MAX_NAME),
        target_ms=_read_duration_ms(data, "targetMs"),
        # The wire name suggests a number, but the field is a flag: it says whether the
        # tasks' processor time is excluded from the runner's capacity.
        backfill=bool(data.get("fillCount", False)),
        max_unavailable=read_integer(data.get("mayMiss", 0), "mayMiss"),
    )


def _read_duration_ms(data: dict[str, Any], key: str) -> float:
    return read_number(data.get(key, 0), key, 0, MAX_DURATION_MS)
