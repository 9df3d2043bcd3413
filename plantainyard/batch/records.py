"""The stored form of submissions and of the progress of steps.

Every record replaces the previous record of its key, so the newest record of each key
is sufficient, and reading a record again or in a different order is harmless.
"""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from plantainyard.batch.checks import find_cycle
from plantainyard.batch.values import (
    FinalStates,
    PieceResult,
    Resources,
    Step,
    StepProgress,
    Submission,
    TaskProgress,
)
from plantainyard.decoding import (
    MAX_INTEGER,
    DecodeError,
    convert_errors,
    parse_decimal,
    parse_json,
    read_flag,
    read_integer,
    read_integers,
    read_list,
    read_number,
    read_object,
    read_text,
    read_truncated,
)

__all__ = [
    "CANCEL_VALUE",
    "DELIVERED_VALUE",
    "RecordKind",
    "StoredKey",
    "decode_progress",
    "decode_result",
    "decode_submission",
    "encode_progress",
    "encode_result",
    "encode_submission",
    "make_cancel_key",
    "make_delivery_key",
    "make_end_key",
    "make_failure_key",
    "make_handover_key",
    "make_progress_key",
    "make_result_key",
    "make_submission_key",
    "parse_key",
]

CANCEL_VALUE = b"1"
"""Value of the record that requests the cancellation of a job."""


DELIVERED_VALUE = b"1"
"""Value of the record that confirms the delivery of a job to its new unit."""


class RecordKind:
    """Key prefixes of the kinds of records about jobs."""

    SUBMISSION = "j"
    CANCEL = "c"
    END = "e"
    HANDOVER = "h"
    DELIVERY = "d"
    PROGRESS = "p"
    FAILURE = "f"
    RESULT = "r"


class StoredKey(NamedTuple):
    """The parts of a record's key.

    Attributes
    ----------
    kind : str
        One of `RecordKind`.
    job_id : str
        The job; a task that was handed over on its own has an id of its own.
    place : tuple of int
        Occurrence and step of a progress record; empty for all other kinds.
    """

    kind: str
    job_id: str
    place: tuple[int, ...] = ()


_DEFAULTS = Step(size=1)._asdict()

MAX_STORED_TASKS = 100_000
"""Maximum number of tasks of a stored step: earlier versions accepted so many."""

MAX_DONE_DIGITS = MAX_STORED_TASKS // 4
"""Maximum number of hexadecimal digits of the set of finished tasks."""

PIECE_FIELDS = 3
"""Number of figures that name a single task: occurrence, step and number."""

_PIECE_DEFAULTS = {
    name: Submission._field_defaults[name]
    for name in ("whole_step", "home", "failures", "checkpoint")
}
"""Values of the fields of a submission that are left out if they have them."""

_FIELD_LIMITS = {
    "priority": {"low": -MAX_INTEGER},
    "size": {"high": MAX_STORED_TASKS},
}
"""Ranges of the fields that have other limits than those of their readers."""

_FIELD_READERS: dict[type, Callable[..., Any]] = {
    str: read_text,
    bool: read_flag,
    int: read_truncated,
    float: read_number,
}
"""Reader of a field's value by the type of the field."""


def make_submission_key(job_id: str) -> str:
    """Return the key of a job's submission."""
    return f"{RecordKind.SUBMISSION}/{job_id}"


def make_cancel_key(job_id: str) -> str:
    """Return the key of the request to cancel a job."""
    return f"{RecordKind.CANCEL}/{job_id}"


def make_end_key(job_id: str) -> str:
    """Return the key of a job's final state."""
    return f"{RecordKind.END}/{job_id}"


def make_handover_key(job_id: str) -> str:
    """Return the key of the number of the unit that a job was handed over to."""
    return f"{RecordKind.HANDOVER}/{job_id}"


def make_delivery_key(job_id: str) -> str:
    """Return the key of the confirmation that a job or a task reached its new unit."""
    return f"{RecordKind.DELIVERY}/{job_id}"


def make_failure_key(job_id: str) -> str:
    """Return the key of the number of owners that a job has made fail."""
    return f"{RecordKind.FAILURE}/{job_id}"


def make_progress_key(job_id: str, occurrence: int, step: int) -> str:
    """Return the key of the progress of a step in one occurrence of a job."""
    return f"{RecordKind.PROGRESS}/{job_id}/{occurrence}/{step}"


def make_result_key(job_id: str) -> str:
    """Return the key of what has become of a task that was handed over on its own."""
    return f"{RecordKind.RESULT}/{job_id}"


def parse_key(key: str) -> StoredKey:
    """Return the parts of a key that was built by one of the functions above.

    Raises
    ------
    DecodeError
        If the occurrence or the step in the key is not a number.

    Examples
    --------
    >>> parse_key(make_progress_key("5c0e", 0, 2))
    StoredKey(kind='p', job_id='5c0e', place=(0, 2))
    """
    kind, _, rest = key.partition("/")
    job_id, *parts = rest.split("/")
    numbers = [parse_decimal(part) for part in parts]
    place = tuple(number for number in numbers if number is not None)
    if len(place) < len(parts):
        raise DecodeError("the key names no occurrence or no step")
    return StoredKey(kind, job_id, place)


def encode_submission(submission: Submission) -> bytes:
    """Return the stored form of `submission`; see `decode_submission`.

    Notes
    -----
    Versions before refuse fields that they don't know. What only some tasks that were
    handed over have is therefore left out for all others.
    """
    data = {
        name: value
        for name, value in submission._asdict().items()
        if name not in _PIECE_DEFAULTS or value != _PIECE_DEFAULTS[name]
    }
    data["steps"] = [_pack_step(step) for step in submission.steps]
    return _dump(data)


def decode_submission(value: bytes) -> Submission:
    """Return the submission from its stored form; see `encode_submission`.

    Raises
    ------
    DecodeError
        If the value is not an encoded submission.
    """
    with convert_errors("submission"):
        data = read_object(parse_json(value), "submission")
        steps = tuple(_unpack_step(s) for s in read_list(data["steps"], "steps"))
        piece = _read_integers(data.get("piece", []), "piece")
        home = data.get("home")
        given = {
            "steps": steps,
            "piece": piece,
            "home": None if home is None else read_integer(home, "home"),
        }
        submission = Submission(**{**_read_fields(Submission, data), **given})
        _check_references(submission)
        return submission


def _check_references(submission: Submission) -> None:
    """Raise `DecodeError` if a submission names a step or a task that it lacks."""
    steps, piece = submission.steps, submission.piece
    named = set[int]().union(*(step.after for step in steps))
    if not steps or not named <= set(range(len(steps))):
        raise DecodeError("a step is missing")
    if cycle := find_cycle(steps):
        raise DecodeError(cycle)
    if not piece:
        return
    if len(piece) != PIECE_FIELDS or piece[1] >= len(steps):
        raise DecodeError("piece names no task")


def encode_progress(progress: StepProgress) -> bytes:
    """Return the stored form of `progress`; see `decode_progress`.

    Notes
    -----
    Finished tasks are encoded as a hexadecimal bit set, so a step with many tasks takes
    a quarter of a byte for each finished task.
    """
    done = sum(1 << index for index in progress.done)
    tasks = {str(index): _pack_task(task) for index, task in progress.tasks.items()}
    started = {"begun": True} if progress.started else {}
    unseen = {"unseen": dict(progress.unseen_s)} if progress.unseen_s else {}
    sent = {"sent_to": dict(progress.recipients)} if progress.recipients else {}
    return _dump({"done": f"{done:x}", "tasks": tasks, **started, **unseen, **sent})


def decode_progress(value: bytes) -> StepProgress:
    """Return the progress from its stored form; see `encode_progress`.

    Examples
    --------
    >>> tasks = {1: TaskProgress(2, "r@7", 1, "")}
    >>> progress = StepProgress(frozenset({0, 5}), tasks, False, {1: 2.5}, {2: "r"})
    >>> decode_progress(encode_progress(progress)) == progress
    True
    """
    with convert_errors("progress"):
        data = read_object(parse_json(value), "progress")
        tasks = read_object(data["tasks"], "tasks")
        unseen = read_object(data.get("unseen", {}), "unseen")
        sent = read_object(data.get("sent_to", {}), "sent_to")
        return StepProgress(
            _unpack_done(read_text(data["done"], "done", MAX_DONE_DIGITS)),
            {_read_number(k): _unpack_task(task) for k, task in tasks.items()},
            bool(data.get("begun")),
            {_read_number(k): read_number(v, "unseen") for k, v in unseen.items()},
            {_read_number(k): read_text(v, "sent_to") for k, v in sent.items()},
        )


def _unpack_done(digits: str) -> frozenset[int]:
    bits = f"{int(digits, 16):b}"
    return frozenset(n for n, bit in enumerate(reversed(bits)) if bit == "1")


def _pack_task(task: TaskProgress) -> list[Any]:
    """Return the fields of a task, without the number of handovers if it is zero."""
    return list(task if task.handovers else task[:-1])


def _unpack_task(values: Any) -> TaskProgress:
    run, runner, failures, checkpoint, *rest = read_list(values, "task")
    unit = rest[0] if rest else None
    handovers = rest[1] if len(rest) > 1 else 0
    return TaskProgress(
        read_integer(run, "run"),
        read_text(runner, "runner"),
        read_integer(failures, "failures"),
        read_text(checkpoint, "checkpoint"),
        None if unit is None else read_integer(unit, "unit"),
        read_integer(handovers, "handovers"),
    )


def encode_result(result: PieceResult) -> bytes:
    """Return the stored form of a task's result; see `decode_result`."""
    return _dump(result._asdict())


def decode_result(value: bytes) -> PieceResult:
    """Return a task's result from its stored form; see `encode_result`.

    Raises
    ------
    DecodeError
        If the value is not an encoded result.

    Examples
    --------
    >>> result = PieceResult("completed", 3, 1, "c")
    >>> decode_result(encode_result(result)) == result
    True
    """
    with convert_errors("result"):
        data = read_object(parse_json(value), "result")
        state = read_text(data["state"], "state")
        if state not in FinalStates.ALL:
            raise DecodeError("not a final state")
        return PieceResult(
            state,
            read_integer(data["run"], "run"),
            read_integer(data["failures"], "failures"),
            read_text(data["checkpoint"], "checkpoint"),
        )


def _read_number(key: str) -> int:
    number = parse_decimal(key)
    if number is None:
        raise DecodeError("a task has no number")
    return number


def _read_integers(value: Any, name: str) -> tuple[int, ...]:
    return tuple(read_integers(value, name))


def _read_fields(kind: type, data: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a named tuple that are single values, each of its type."""
    fields = kind.__annotations__
    if unknown := data.keys() - fields.keys():
        raise DecodeError(f"unknown field {min(unknown)!r}")
    return {
        name: _FIELD_READERS[fields[name]](value, name, **_FIELD_LIMITS.get(name, {}))
        for name, value in data.items()
        if fields[name] in _FIELD_READERS
    }


def _pack_step(step: Step) -> dict[str, Any]:
    data = step._asdict()
    return {k: v for k, v in data.items() if v != _DEFAULTS[k] or k == "size"}


def _unpack_step(data: Any) -> Step:
    fields = _read_fields(Step, read_object(data, "step"))
    resources = Resources(*_read_integers(data.get("resources", []), "resources"))
    after = _read_integers(data.get("after", []), "after")
    return Step(**{**fields, "resources": resources, "after": after})


def _dump(data: Any) -> bytes:
    return json.dumps(data, separators=(",", ":")).encode()
