"""Decoding of the job submissions that callers send."""

import json
from typing import Any

from plantainyard.batch import Resources, Step, Submission
from plantainyard.platform.configuration import Queue

__all__ = ["decode_body"]


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
    ValueError, TypeError, KeyError, AttributeError
        If the body is not a valid submission; the message gives the reason.
    """
    data = json.loads(body)
    steps = data["steps"]
    if not isinstance(steps, list):
        raise TypeError("steps is not a list")
    return Submission(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        spec=_get_typed(data, "spec", str, ""),
        steps=tuple(_decode_step(step) for step in steps),
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        target_latency_ms=queue.target_latency_ms,
        times=_get_typed(data, "times", int, 0),
        start_at_ms=_get_typed(data, "startAtMs", int, 0),
        interval_ms=_get_typed(data, "intervalMs", int, 0),
        accepted_at_ms=accepted_at_ms,
    )


def _decode_step(data: dict[str, Any]) -> Step:
    after = data.get("after", ())
    if not all(isinstance(number, int) for number in after):
        raise TypeError("after is not a list of step numbers")
    return Step(
        size=_get_typed(data, "count", int, 1),
        resources=Resources(
            _get_typed(data, "cpu", int, 0),
            _get_typed(data, "memMb", int, 0),
            _get_typed(data, "gpu", int, 0),
        ),
        estimate_ms=int(_get_typed(data, "estimateMs", float, 0)),
        after=tuple(after),
        saves_progress=_get_typed(data, "savesProgress", bool, False),
        gang=_get_typed(data, "gang", bool, False),
        same_rack=_get_typed(data, "sameRack", bool, False),
        requires=_get_typed(data, "requires", str, ""),
        preferred_rack=_get_typed(data, "preferredRack", str, ""),
        max_per_runner=_get_typed(data, "antiAffinity", int, 0),
        speculative=_get_typed(data, "speculative", bool, False),
        long_running=_get_typed(data, "longRunning", bool, False),
        image=_get_typed(data, "image", str, ""),
        target_ms=float(_get_typed(data, "targetMs", float, 0)),
        # The wire name suggests a number, but the field is a flag: it says whether the
        # tasks' processor time is excluded from the runner's capacity.
        backfill=bool(data.get("fillCount", False)),
        max_unavailable=_get_typed(data, "mayMiss", int, 0),
    )


def _get_typed(data: dict[str, Any], key: str, kind: type, default: Any) -> Any:
    value = data.get(key, default)
    allowed = (int, float) if kind is float else kind
    if kind is not bool and isinstance(value, bool) or not isinstance(value, allowed):
        raise TypeError(f"{key} is not a {kind.__name__}")
    return value
