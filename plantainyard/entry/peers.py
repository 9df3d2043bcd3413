"""Queries to the owners of units, at other instances or at this one."""

from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from result import Err

from plantainyard.batch.pending import Pending, count_pending
from plantainyard.batch.replica import describe_state
from plantainyard.batch.values import JobState
from plantainyard.clock import read_clock
from plantainyard.decoding import (
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from plantainyard.dispatch import (
    Dispatcher,
    Load,
    Need,
    list_arrivals,
    measure_all_places,
)
from plantainyard.dispatch.unit_forecasts import UnitForecast, combine_forecasts
from plantainyard.entry.claims import OwnerReply, OwnerStatus
from plantainyard.entry.copies import UnitCopy
from plantainyard.entry.forecasts import (
    decode_forecast,
    decode_load,
    encode_needs,
)
from plantainyard.entry.instance import Instance
from plantainyard.entry.peer_calls import (
    build_instance_peer,
    decode_answer,
    query_owner,
)
from plantainyard.entry.readers import read_ahead
from plantainyard.entry.reserves import is_strong
from plantainyard.errors import ErrorKind
from plantainyard.transport import call_json

__all__ = [
    "NEEDS_FIELD",
    "JobLookup",
    "PendingCount",
    "count_pending_in_copy",
    "fetch_forecast",
    "fetch_interference",
    "fetch_job",
    "fetch_load",
    "fetch_owner_status",
    "fetch_pending",
    "look_up_job",
]

FORECAST_TIMEOUT_S = 0.15
"""Timeout in seconds of a query for a forecast. An answer between regions takes 30 ms;
a submission that waits longer is accepted without it."""

STATUS_TIMEOUT_S = 0.3
"""Timeout in seconds of an owner's status query. Only three consecutive queries without
an answer have an effect."""

MAX_COUNT_AGE_S = 3.5
"""Age in seconds of an owner's last complete read above which its counts aren't used. A
read that waits a second and finds nothing proves only the state at its start, so the
last read of a healthy owner is up to two seconds old, and older after a lost answer."""

NEEDS_FIELD = "needs"
"""Name of the field with the needs in the query for a load."""

_COUNTS = ("waiting", "assigned")
"""Fields of `Pending` that are numbers; the others are sets of jobs."""


class JobLookup(NamedTuple):
    """State of a job as found in one unit.

    Attributes
    ----------
    state : str
        State as reported to the caller; empty if the unit has no such job.
    moved : int or None
        Unit to which the job was handed over, and which has its later states.
    """

    state: str
    moved: int | None = None


class PendingCount(NamedTuple):
    """Count of a queue's jobs in one unit for which no task has started.

    Attributes
    ----------
    pending : Pending
        The counts according to a copy of the unit.
    age_s : float
        Age of the copy's last complete read; later submissions may be missing.
    """

    pending: Pending
    age_s: float


def count_pending_in_copy(copy: UnitCopy, queue: str) -> PendingCount:
    """Return the pending count of a queue according to a copy of a unit.

    Notes
    -----
    Guards against callers that ask for counts again and again, and occupy all threads
    of an owner with passes over its jobs: 47 ms for 10,000 of them.
    """
    age_s = read_clock() - copy.intake.synced_at
    count = copy.counts.run(queue, lambda: count_pending(copy.replica, queue))
    return PendingCount(count, age_s)


def look_up_job(copy: UnitCopy, job_id: str) -> JobLookup:
    """Return the state of a job according to a copy of its unit."""
    view = copy.replica.jobs.get(job_id)
    if view is not None and view.unreadable:
        # It was accepted, so that its caller must not be told that it is unknown.
        return JobLookup(JobState.FAILED)
    if view is None or view.submission is None:
        return JobLookup("")
    moved = None if view.final_state else view.handed_to
    return JobLookup(describe_state(view), moved)


def fetch_job(instance: Instance, unit: int, job_id: str) -> JobLookup | None:
    """Return the state of a job from its unit's owner, or None if no owner answers."""
    if unit in instance.owned:
        return _look_up_confirmed(instance.copies[unit], job_id)
    path = f"/units/{unit}/jobs/{job_id}"
    body = query_owner(instance, unit, "peer.describe", path, "state", str)
    if body is None:
        return None
    moved = body.get("moved")
    is_unit = type(moved) is int and 0 <= moved < len(instance.copies)
    return JobLookup(body["state"], moved if is_unit else None)


def fetch_pending(instance: Instance, unit: int, queue: str) -> PendingCount | None:
    """Return the pending count of a queue from a unit's owner, or None.

    Notes
    -----
    Guards against a count that omits the jobs accepted since the owner lost the store.
    Such an owner still answers other instances, which may have lost nothing.
    """
    owned = instance.owned.get(unit)
    if owned is not None:
        # Read before the copy: a job that arrives meanwhile may be listed twice, but is
        # never missed.
        arrived = list_arrivals(owned.context.dispatcher, queue)
        count = count_pending_in_copy(instance.copies[unit], queue)
        if count.age_s > MAX_COUNT_AGE_S:
            return None
        arrived |= count.pending.arrived
        return count._replace(pending=count.pending._replace(arrived=arrived))
    path = f"/units/{unit}/pending/{quote(queue)}"
    body = query_owner(instance, unit, "peer.pending", path, "pending", dict)
    if body is None:
        return None
    return decode_answer(instance, unit, "peer.pending", lambda: _decode_count(body))


def encode_count(count: PendingCount) -> dict[str, Any]:
    fields = count.pending._asdict()
    rows = {k: sorted(v) if isinstance(v, frozenset) else v for k, v in fields.items()}
    return {"pending": rows, "age_s": round(count.age_s, 3)}


def _decode_count(body: dict[str, Any]) -> PendingCount:
    rows = read_object(body["pending"], "pending")
    fields: dict[str, Any] = {
        name: _decode_pending_field(name, rows[name])
        for name in Pending._fields
        if name in rows
    }
    age_s = read_number(body["age_s"], "age_s", low=0.0)
    return PendingCount(Pending(**fields), age_s)


def _decode_pending_field(name: str, value: Any) -> int | frozenset[str]:
    if name in _COUNTS:
        return read_integer(value, name)
    return frozenset(read_text(job, name) for job in read_list(value, name))


def fetch_load(
    instance: Instance, unit: int, needs: Sequence[Need] = ()
) -> Load | None:
    """Return the load of a unit from its owner, or None if no owner answers.

    Parameters
    ----------
    instance : Instance
        The instance that asks.
    unit : int
        The unit.
    needs : sequence of Need, optional
        The needs for which the owner is asked how many places it has.
    """
    owned = instance.owned.get(unit)
    if owned is not None:
        return _measure_load(owned.context.dispatcher, needs)
    path = f"/units/{unit}/load"
    if needs:
        path += "?" + urlencode({NEEDS_FIELD: encode_needs(needs)})
    body = query_owner(instance, unit, "peer.load", path, "load", list)
    if body is None:
        return None
    return decode_answer(instance, unit, "peer.load", lambda: decode_load(body, needs))


def _measure_load(state: Dispatcher, needs: Sequence[Need]) -> Load:
    """Return the load of an owned unit with its age, and the places for needs now."""
    now = read_clock()
    runners = list(state.runners.values())
    places = measure_all_places(runners, needs, now)
    age_s = round(now - state.load_measured_at, 3)
    return state.load._replace(measured_s_ago=age_s, places=places)


def fetch_forecast(instance: Instance, unit: int, queue: str) -> UnitForecast | None:
    """Return the forecast for a queue from a unit's owner, or None if it is unknown."""
    owned = instance.owned.get(unit)
    if owned is not None:
        return combine_forecasts(owned.context.dispatcher, queue, read_clock())
    path = f"/units/{unit}/forecast/{quote(queue)}"
    body = query_owner(
        instance, unit, "peer.forecast", path, "forecast", dict, FORECAST_TIMEOUT_S
    )
    if body is None:
        return None
    return decode_answer(
        instance, unit, "peer.forecast", lambda: decode_forecast(body["forecast"])
    )


def fetch_interference(instance: Instance, unit: int) -> bytes:
    """Return the interference estimates of a unit from its owner; empty if none."""
    owned = instance.owned.get(unit)
    if owned is not None:
        learnt = owned.context.dispatcher.encoded_interference
        return learnt or instance.copies[unit].replica.interference
    body = query_owner(
        instance, unit, "peer.harms", f"/units/{unit}/harms", "harms", str
    )
    if body is None:
        return b""
    found = decode_answer(
        instance, unit, "peer.harms", lambda: read_text(body["harms"], "harms")
    )
    return (found or "").encode()


def fetch_owner_status(instance: Instance, unit: int) -> OwnerReply:
    """Return the status that the announced owner of a unit reports."""
    owner = instance.layout.owners.get(unit)
    if owner is None or owner.address == instance.peer_address():
        status = describe_claim(instance, unit)
        return OwnerReply(True, status)
    peer = build_instance_peer(instance, owner.address, STATUS_TIMEOUT_S)
    answer = call_json(peer, "peer.owner", "GET", f"/units/{unit}/owner")
    if isinstance(answer, Err):
        return OwnerReply(answer.err_value.kind == ErrorKind.REFUSED)
    body = answer.ok_value.body
    status = decode_answer(
        instance, unit, "peer.owner", lambda: _decode_status(body["owner"])
    )
    return OwnerReply(status is not None, status)


def _decode_status(values: Any) -> OwnerStatus:
    units, age_s, leaving, reserve = read_list(values, "owner")
    return OwnerStatus(
        read_integer(units, "units"),
        read_number(age_s, "confirmation_age_s"),
        read_flag(leaving, "leaving"),
        read_flag(reserve, "reserve"),
    )


def describe_claim(instance: Instance, unit: int) -> OwnerStatus | None:
    claim = instance.claims.get(unit)
    if claim is None:
        return None
    return OwnerStatus(
        units=len(instance.claims),
        confirmation_age_s=round(read_clock() - claim.confirmed_at, 3),
        leaving=instance.leaving.is_set(),
        reserve=not is_strong(instance.settings),
    )


def _look_up_confirmed(copy: UnitCopy, job_id: str) -> JobLookup | None:
    """Return the state of a job in an owned unit, or None if it can't be determined.

    Notes
    -----
    Guards against reporting an accepted job as unknown, whose record may be stored but
    not read yet. A job counts as unknown only after a read of the store.
    """
    found = look_up_job(copy, job_id)
    if not found.state:
        if isinstance(read_ahead(copy.intake), Err):
            return None
        found = look_up_job(copy, job_id)
    return found
