"""Types of the records in the log's streams and functions that create them.

A record is one JSON object in a stream; its ``type`` determines its other fields.
Every record may carry an ``append_id``, which is unique for each submitted record
and lets a writer find its record in the log after the answer to the append was
lost, and an ``as_of``, the next offset that the writer knew when it submitted the
record.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

from plantainyard.work import Job, TaskKey, encode_job, format_task, parse_task

__all__ = [
    "AbandonRecord",
    "AcceptRecord",
    "AssignItem",
    "AssignRecord",
    "CancelRecord",
    "ClaimRecord",
    "ConfigRecord",
    "GroupRecord",
    "MoveRecord",
    "Outcome",
    "Record",
    "RecordType",
    "ResultItem",
    "ResultsRecord",
    "SnapshotRecord",
    "make_abandon",
    "make_accept",
    "make_assign",
    "make_cancel",
    "make_claim",
    "make_config",
    "make_group",
    "make_move",
    "make_results",
    "make_snapshot",
    "parse_assign_item",
]


class RecordType:
    """Values of a record's ``type``."""

    ABANDON = "abandon"
    ACCEPT = "accept"
    ASSIGN = "assign"
    CANCEL = "cancel"
    CLAIM = "claim"
    CONFIG = "config"
    CONFIG_SNAPSHOT = "config_snapshot"
    GROUP = "group"
    MOVE = "move"
    RESULTS = "results"
    SNAPSHOT = "snapshot"


class Outcome:
    """Values of an attempt's outcome in a ``results`` record.

    Notes
    -----
    ``EVICTED``
        The attempt was stopped by a command. The detail is the checkpoint, empty if
        there is none. An attempt that provably never started has this outcome too,
        with the checkpoint that it was assigned with as the detail.
    ``LAPSED``
        The lease has certainly expired and the worker reported no result. The
        checkpoint that the attempt was assigned with is lost, because the attempt
        may have resumed from it.
    """

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    LAPSED = "lapsed"


class AssignItem(NamedTuple):
    """The assignment of one attempt of a task to a worker.

    Attributes
    ----------
    attempt : int
        Number of the attempt, starting at one.
    incarnation : int
        The worker's current incarnation, -1 if it is not known.
    """

    task: TaskKey
    attempt: int
    worker: str
    incarnation: int = -1


class ResultItem(NamedTuple):
    """The end of one attempt; `outcome` is one of the values of `Outcome`."""

    task: TaskKey
    attempt: int
    outcome: str
    detail: str = ""


class _Common(TypedDict):
    append_id: NotRequired[str]
    as_of: NotRequired[int]


class AcceptRecord(_Common):
    """Accepts a job; `allotment` maps each rack to its number of tasks."""

    type: Literal["accept"]
    request_id: str
    job: dict[str, Any]
    allotment: dict[str, int]


class AbandonRecord(_Common):
    """Makes any later record with the same request id void."""

    type: Literal["abandon"]
    request_id: str


class CancelRecord(_Common):
    """Cancels jobs: no more tasks are started, and running tasks are stopped."""

    type: Literal["cancel"]
    request_id: str
    jobs: list[str]


class ClaimRecord(_Common):
    """Claims a rack, replacing the claim at `base`; an empty holder releases it."""

    type: Literal["claim"]
    rack: str
    holder: str
    base: int
    workers: NotRequired[list[str]]
    established: NotRequired[bool]


class AssignRecord(_Common):
    """Assigns attempts that the rack's owner is about to start."""

    type: Literal["assign"]
    rack: str
    term: int
    items: list[list[Any]]


class ResultsRecord(_Common):
    """Ends attempts, as recorded by the rack's owner in its `term`."""

    type: Literal["results"]
    rack: str
    term: int
    items: list[list[Any]]


class MoveRecord(_Common):
    """Moves unassigned tasks from the owner's rack to another rack."""

    type: Literal["move"]
    rack: str
    term: int
    tasks: list[str]
    to_rack: str


class ConfigRecord(_Common):
    """Changes configuration on top of version `base`; null deletes a key."""

    type: Literal["config"]
    request_id: str
    base: int
    changes: dict[str, Any]


class SnapshotRecord(_Common):
    """Holds the folded state up to and including offset `covers`."""

    type: Literal["snapshot", "config_snapshot"]
    covers: int
    state: dict[str, Any]


class GroupRecord(_Common):
    """Holds several records of one append, folded in order at the same offset."""

    type: Literal["group"]
    records: list[dict[str, Any]]


Record = (
    AbandonRecord
    | AcceptRecord
    | AssignRecord
    | CancelRecord
    | ClaimRecord
    | ConfigRecord
    | GroupRecord
    | MoveRecord
    | ResultsRecord
    | SnapshotRecord
)


def make_accept(
    request_id: str, job: Job, allotment: Mapping[str, int]
) -> AcceptRecord:
    """Return the record that accepts `job`.

    Parameters
    ----------
    request_id : str
        Id of the call that submitted the job; an id is accepted only once.
    job : Job
        The job to accept.
    allotment : Mapping of str to int
        Number of tasks for each rack; the sum must be the job's task count. Racks
        get contiguous ranges of task numbers in the order of their sorted names.
    """
    return {
        "type": "accept",
        "request_id": request_id,
        "job": encode_job(job),
        "allotment": dict(allotment),
    }


def make_abandon(request_id: str) -> AbandonRecord:
    """Return the record that makes later records with `request_id` void."""
    return {"type": "abandon", "request_id": request_id}


def make_cancel(request_id: str, jobs: Iterable[str]) -> CancelRecord:
    """Return the record that cancels `jobs`."""
    return {"type": "cancel", "request_id": request_id, "jobs": list(jobs)}


def make_claim(
    rack: str,
    holder: str,
    base: int,
    workers: Iterable[str] = (),
    established: bool = False,
) -> ClaimRecord:
    """Return the record by which `holder` claims `rack`.

    Parameters
    ----------
    rack, holder : str
        The rack and the claiming instance; an empty holder releases the rack.
    base : int
        Offset of the rack's current claim, -1 if it has none.
    workers : iterable of str
        Workers whose acceptance gives the holder its authority over the rack.
    established : bool
        Whether the writer holds the claim at `base`, had authority under it, and no
        longer acts under it. No earlier holder can then have authority any more.
    """
    return {
        "type": "claim",
        "rack": rack,
        "holder": holder,
        "base": base,
        "workers": sorted(workers),
        "established": established,
    }


def make_assign(rack: str, term: int, items: Iterable[AssignItem]) -> AssignRecord:
    """Return the record that assigns `items` in the rack's `term`."""
    return {
        "type": "assign",
        "rack": rack,
        "term": term,
        "items": [[format_task(item.task), *item[1:]] for item in items],
    }


def parse_assign_item(item: Sequence[Any]) -> AssignItem:
    """Return an item written by `make_assign`; ignore fields of later versions."""
    text, attempt, worker, *rest = item
    return AssignItem(parse_task(text), attempt, worker, *rest[:1])


def make_results(rack: str, term: int, items: Iterable[ResultItem]) -> ResultsRecord:
    """Return the record that ends the attempts in `items`.

    Parameters
    ----------
    rack : str
        The rack in which the attempts were assigned.
    term : int
        The writer's term. The record is void in any other term; the workers then
        report the results again to the next owner.
    items : iterable of ResultItem
        The ended attempts.
    """
    return {
        "type": "results",
        "rack": rack,
        "term": term,
        "items": [[format_task(i.task), i.attempt, i.outcome, i.detail] for i in items],
    }


def make_move(
    rack: str, term: int, tasks: Iterable[TaskKey], to_rack: str
) -> MoveRecord:
    """Return the record by which the owner of `rack` moves `tasks` to `to_rack`."""
    return {
        "type": "move",
        "rack": rack,
        "term": term,
        "tasks": [format_task(task) for task in tasks],
        "to_rack": to_rack,
    }


def make_config(request_id: str, base: int, changes: Mapping[str, Any]) -> ConfigRecord:
    """Return the record that changes configuration on top of version `base`.

    Parameters
    ----------
    request_id : str
        Id of the call that requests the change; an id is applied only once.
    base : int
        Version that the operator has read, -1 for none.
    changes : Mapping of str to JSON value
        New values; None deletes a key.
    """
    return {
        "type": "config",
        "request_id": request_id,
        "base": base,
        "changes": dict(changes),
    }


def make_snapshot(
    covers: int, state: Mapping[str, Any], type: str = RecordType.SNAPSHOT
) -> SnapshotRecord:
    """Return the record that holds the encoded `state` up to offset `covers`."""
    return {"type": type, "covers": covers, "state": dict(state)}  # type: ignore[typeddict-item]


def make_group(records: Sequence[Mapping[str, Any]]) -> GroupRecord:
    """Return one record that contains all of `records`."""
    return {"type": "group", "records": [dict(record) for record in records]}
