"""Bodies of submissions as callers send them."""

import json
from typing import Any

from plantainyard.batch import Resources, Step, Submission
from plantainyard.platform.configuration import Queue

__all__ = ["decode_body"]


def decode_body(
    body: bytes, job_id: str, queue: Queue, accepted_at_ms: int
) -> Submission:
    """Decode a submission.

    Parameters
    ----------
    body : bytes
        JSON.
    job_id : str
        From the request's path.
    queue : Queue
        The queue that the path names; the job keeps its limits.
    accepted_at_ms : int
        Unix milliseconds now.

    Raises
    ------
    ValueError, TypeError, KeyError, AttributeError
        If it isn't a submission; the message says why.
    """
    data = json.loads(body)
    steps = data["steps"]
    if not isinstance(steps, list):
        raise TypeError("steps is not a list")
    return Submission(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        spec=_typed(data, "spec", str, ""),
        steps=tuple(_decode_step(step) for step in steps),
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        target_latency_ms=queue.target_latency_ms,
        times=_typed(data, "times", int, 0),
        start_at_ms=_typed(data, "startAtMs", int, 0),
        interval_ms=_typed(data, "intervalMs", int, 0),
        accepted_at_ms=accepted_at_ms,
    )


def _decode_step(data: dict[str, Any]) -> Step:
    after = data.get("after", ())
    if not all(isinstance(number, int) for number in after):
        raise TypeError("after is not a list of step numbers")
    return Step(
        size=_typed(data, "count", int, 1),
        resources=Resources(
            _typed(data, "cpu", int, 0),
            _typed(data, "memMb", int, 0),
            _typed(data, "gpu", int, 0),
        ),
        estimate_ms=int(_typed(data, "estimateMs", float, 0)),
        after=tuple(after),
        saves_progress=_typed(data, "savesProgress", bool, False),
        gang=_typed(data, "gang", bool, False),
        same_rack=_typed(data, "sameRack", bool, False),
        requires=_typed(data, "requires", str, ""),
        preferred_rack=_typed(data, "preferredRack", str, ""),
        max_per_runner=_typed(data, "antiAffinity", int, 0),
        speculative=_typed(data, "speculative", bool, False),
        long_running=_typed(data, "longRunning", bool, False),
        image=_typed(data, "image", str, ""),
        target_ms=float(_typed(data, "targetMs", float, 0)),
        # On the wire the name suggests a number; it only says whether the tasks'
        # processor time is left out of the runner's capacity.
        backfill=bool(data.get("fillCount", False)),
        max_unavailable=_typed(data, "mayMiss", int, 0),
    )


def _typed(data: dict[str, Any], key: str, kind: type, default: Any) -> Any:
    value = data.get(key, default)
    allowed = (int, float) if kind is float else kind
    if kind is not bool and isinstance(value, bool) or not isinstance(value, allowed):
        raise TypeError(f"{key} is not a {kind.__name__}")
    return value
