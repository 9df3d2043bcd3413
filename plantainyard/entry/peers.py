"""Calls between instances: the owner's word on jobs, counts and loads."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple
from urllib.parse import quote
from wsgiref.types import StartResponse, WSGIEnvironment

from result import Err

from plantainyard.batch.pending import Pending, count_pending
from plantainyard.batch.replica import describe_state
from plantainyard.clock import read_clock
from plantainyard.dispatch import Load, list_arrived
from plantainyard.entry.claims import OwnerReply, OwnerStatus
from plantainyard.entry.copies import UnitCopy
from plantainyard.entry.instance import Instance
from plantainyard.entry.readers import read_ahead
from plantainyard.entry.reserves import is_strong
from plantainyard.entry.responses import OK, send_json
from plantainyard.errors import ErrorKind
from plantainyard.transport import build_peer, build_pool, call_json

__all__ = [
    "JobLookup",
    "PendingCount",
    "build_peer_app",
    "count_pending_in_copy",
    "fetch_interference",
    "fetch_job",
    "fetch_load",
    "fetch_owner_status",
    "fetch_pending",
    "look_up_job",
]

OWNER_S = 0.4
"""Longest wait for an owner's answer; between regions it takes 30 ms."""

ASK_OWNER_S = 0.3
"""The same for the question whether it is there, of which three in a row count."""

MAX_COUNT_AGE_S = 3.5
"""Age of what an owner has read from which it doesn't count any more. A read that waits
a second and finds nothing proves what was so when it began, so an owner that follows
well is up to two seconds behind its proofs, and more after a lost answer."""

_pool = build_pool(pools=64, connections_per_peer=4)


class JobLookup(NamedTuple):
    """What is known of a job.

    Attributes
    ----------
    state : str
        What its caller is told; empty where there is no such job here.
    moved : int or None
        The unit that it was handed to, which knows more.
    """

    state: str
    moved: int | None = None


class PendingCount(NamedTuple):
    """An owner's word on a queue's jobs for which no task has started.

    Attributes
    ----------
    pending : Pending
        As its copy of the unit shows them.
    age_s : float
        Since when its copy may lack submissions.
    """

    pending: Pending
    age_s: float


def count_pending_in_copy(copy: UnitCopy, queue: str) -> PendingCount:
    """Count in a copy of a unit."""
    age_s = round(read_clock() - copy.intake.synced_at, 3)
    return PendingCount(count_pending(copy.replica, queue), age_s)


def look_up_job(copy: UnitCopy, job_id: str) -> JobLookup:
    """Return what a copy says of a job."""
    view = copy.replica.jobs.get(job_id)
    if view is None or view.submission is None:
        return JobLookup("")
    moved = None if view.final_state else view.handed_to
    return JobLookup(describe_state(view), moved)


def fetch_job(instance: Instance, unit: int, job_id: str) -> JobLookup | None:
    """Return the owner's word on a job, or None if no owner answers."""
    if unit in instance.owned:
        return _look_up_surely(instance.copies[unit], job_id)
    path = f"/units/{unit}/jobs/{job_id}"
    body = _ask(instance, unit, "peer.describe", path, "state", str)
    if body is None:
        return None
    moved = body.get("moved")
    return JobLookup(body["state"], moved if isinstance(moved, int) else None)


def fetch_pending(instance: Instance, unit: int, queue: str) -> PendingCount | None:
    """Return what a unit's owner says of a queue's waiting jobs, or None.

    Notes
    -----
    Guards against a count that leaves out all that was accepted since the owner lost
    the store: it goes on answering other instances, which have lost nothing.
    """
    owned = instance.owned.get(unit)
    if owned is not None:
        # First: what arrives meanwhile may be told twice, and never by nobody.
        arrived = list_arrived(owned.context.dispatcher, queue)
        counted = count_pending_in_copy(instance.copies[unit], queue)
        if counted.age_s > MAX_COUNT_AGE_S:
            return None
        arrived |= counted.pending.arrived
        return counted._replace(pending=counted.pending._replace(arrived=arrived))
    path = f"/units/{unit}/pending/{quote(queue)}"
    body = _ask(instance, unit, "peer.pending", path, "pending", dict)
    if body is None:
        return None
    try:
        return _unpack_counted(body)
    except (TypeError, ValueError, KeyError) as error:
        instance.log.write("peer_silent", unit=unit, why=repr(error))
        return None


def _pack_counted(counted: PendingCount) -> dict[str, Any]:
    told = counted.pending._asdict()
    rows = {k: sorted(v) if isinstance(v, frozenset) else v for k, v in told.items()}
    return {"pending": rows, "age_s": counted.age_s}


def _unpack_counted(body: dict[str, Any]) -> PendingCount:
    told: dict[str, Any] = {
        name: frozenset(value) if isinstance(value, list) else value
        for name, value in body["pending"].items()
        if name in Pending._fields
    }
    return PendingCount(Pending(**told), float(body["age_s"]))


def fetch_load(instance: Instance, unit: int) -> Load | None:
    """Return how full a unit is, or None if no owner answers."""
    owned = instance.owned.get(unit)
    if owned is not None:
        return owned.context.dispatcher.load
    body = _ask(instance, unit, "peer.load", f"/units/{unit}/load", "load", list)
    if body is None:
        return None
    try:
        return Load(*body["load"], **body.get("room", {}))
    except TypeError as error:
        instance.log.write("peer_silent", unit=unit, why=repr(error))
        return None


def fetch_interference(instance: Instance, unit: int) -> bytes:
    """Return what a unit's owner has stored last of interference; empty for nothing."""
    if unit in instance.owned:
        return instance.copies[unit].replica.interference
    body = _ask(instance, unit, "peer.harms", f"/units/{unit}/harms", "harms", str)
    return b"" if body is None else str(body["harms"]).encode()


def fetch_owner_status(instance: Instance, unit: int) -> OwnerReply:
    """Return what the announced owner of a unit says of itself."""
    owner = instance.layout.owners.get(unit)
    if owner is None or owner.address == instance.peer_address():
        status = _describe_claim(instance, unit)
        return OwnerReply(True, status)
    peer = build_peer(f"http://{owner.address}", _pool, ASK_OWNER_S)
    answer = call_json(peer, "peer.owner", "GET", f"/units/{unit}/owner")
    if isinstance(answer, Err):
        return OwnerReply(answer.err_value.kind == ErrorKind.REFUSED)
    try:
        return OwnerReply(True, OwnerStatus(*answer.ok_value.body["owner"]))
    except (TypeError, KeyError) as error:
        instance.log.write("peer_silent", unit=unit, why=repr(error))
        return OwnerReply(False)


def _describe_claim(instance: Instance, unit: int) -> OwnerStatus | None:
    claim = instance.claims.get(unit)
    if claim is None:
        return None
    return OwnerStatus(
        units=len(instance.claims),
        confirmation_age_s=round(read_clock() - claim.confirmed_at, 3),
        leaving=instance.leaving.is_set(),
        reserve=not is_strong(instance.settings),
    )


def _ask(
    instance: Instance, unit: int, step: str, path: str, field: str, kind: type
) -> dict[str, Any] | None:
    """Return an owner's answer if it has a `field` of a `kind`; log why not else."""
    owner = instance.layout.owners.get(unit)
    if owner is None or owner.address == instance.peer_address():
        return None
    peer = build_peer(f"http://{owner.address}", _pool, OWNER_S)
    answer = call_json(peer, step, "GET", path)
    if isinstance(answer, Err):
        detail = answer.err_value.detail
        instance.log.write("peer_silent", unit=unit, address=owner.address, why=detail)
        return None
    body = answer.ok_value.body
    if not isinstance(body.get(field), kind):
        why = f"no {field} in the answer to {step}"
        instance.log.write("peer_silent", unit=unit, address=owner.address, why=why)
        return None
    return body


def _look_up_surely(copy: UnitCopy, job_id: str) -> JobLookup | None:
    """Return what an owner knows; that there is no such job only if the store says so.

    Notes
    -----
    Guards against an accepted job that is told to be unknown: its record may be stored
    and not read yet.
    """
    found = look_up_job(copy, job_id)
    if not found.state:
        if isinstance(read_ahead(copy.intake), Err):
            return None
        found = look_up_job(copy, job_id)
    return found


def build_peer_app(
    instance: Instance,
) -> Callable[[WSGIEnvironment, StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the port for other instances."""

    def serve(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        answer = _answer(instance, environ.get("PATH_INFO", ""))
        return send_json(start, OK if answer else "404 Not Found", answer or {})

    return serve


def _pack_load(load: Load) -> dict[str, Any]:
    """Return a load as told; instances of before know the first five figures only."""
    figures = [load.reserved, load.backfill, load.waiting]
    figures += [load.waiting_backfill, load.gap]
    room = {"slots": list(load.slots), "ending": load.ending}
    return {"load": figures, "room": room}


def _answer(instance: Instance, path: str) -> dict[str, Any] | None:
    """Return the answer to a call about a unit that this instance owns."""
    parts = path.strip("/").split("/")
    if len(parts) < 3 or parts[0] != "units" or not parts[1].isdigit():
        return None
    unit, topic, rest = int(parts[1]), parts[2], parts[3:]
    if topic == "owner":
        status = _describe_claim(instance, unit)
        return None if status is None else {"owner": list(status)}
    # Only an owner is ahead of the store's readers.
    if unit not in instance.owned:
        return None
    if topic == "jobs" and rest:
        found = fetch_job(instance, unit, rest[0])
        return None if found is None else found._asdict()
    if topic == "pending" and rest:
        counted = fetch_pending(instance, unit, "/".join(rest))
        return None if counted is None else _pack_counted(counted)
    if topic == "harms":
        return {"harms": fetch_interference(instance, unit).decode(errors="replace")}
    if topic == "load":
        load = fetch_load(instance, unit)
        return None if load is None else _pack_load(load)
    return None
