"""Loads and forecasts on the wire between instances, of this version and of others.

Unknown fields are ignored and missing ones have their defaults. A load without
forecasts comes from a version, or an owner, that doesn't compute them; one without
places comes from a version that isn't asked for any.
"""

import json
from collections.abc import Sequence
from typing import Any

from plantainyard.batch.values import Resources
from plantainyard.decoding import (
    FAILURES,
    convert_errors,
    parse_json,
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from plantainyard.dispatch.load import Load, Need, Places, QueueForecast
from plantainyard.dispatch.run_times import MAX_LOG, MIN_LOG, RunTimePrior
from plantainyard.dispatch.unit_forecasts import UnitForecast

__all__ = [
    "decode_forecast",
    "decode_load",
    "decode_needs",
    "decode_queues",
    "encode_forecast",
    "encode_load",
    "encode_needs",
    "encode_queues",
]

MIN_VARIANCE = 1e-9
"""Smallest variance with which a run time can be weighed."""


def encode_load(load: Load) -> dict[str, Any]:
    """Return the JSON form of a load.

    Older versions decode only the five figures of the first field.
    """
    figures = [load.reserved, load.backfill, load.waiting]
    figures += [load.waiting_backfill, load.gap]
    slot_fields = {"slots": list(load.slots), "ending": load.ending}
    places = {"places": [list(found) for found in (load.places or {}).values()]}
    return {"load": figures, "room": slot_fields, **places, **encode_queues(load)}


def decode_load(body: dict[str, Any], needs: Sequence[Need] = ()) -> Load:
    """Decode the answer to a query for a load; see `encode_load`.

    Parameters
    ----------
    body : dict
        The answer.
    needs : sequence of Need, optional
        The needs that the owner was asked about.

    Raises
    ------
    ValueError, TypeError, LookupError
        If it isn't a load.
    """
    figures = [read_number(v, "load", low=0.0) for v in read_list(body["load"], "load")]
    reserved, backfill, waiting, waiting_backfill, gap = figures
    room = read_object(body.get("room", {}), "room")
    slots = read_list(room.get("slots", []), "slots")
    return Load(
        reserved,
        backfill,
        waiting,
        waiting_backfill,
        int(gap),
        tuple(read_integer(number, "slots") for number in slots),
        int(read_number(room.get("ending", 0), "ending", low=0.0)),
        places=_decode_places(body.get("places"), needs),
        **decode_queues(body),
    )


def _decode_places(value: Any, needs: Sequence[Need]) -> dict[Need, Places] | None:
    """Return the places by need; None if the owner's version isn't asked for them."""
    if value is None:
        return None
    rows = [
        Places(*(read_integer(count, "places") for count in read_list(row, "places")))
        for row in read_list(value, "places")
    ]
    # The owner may be of a version that understands fewer needs.
    return dict(zip(needs, rows, strict=True)) if len(rows) == len(needs) else {}


def encode_needs(needs: Sequence[Need]) -> str:
    """Return the text form of needs in the query for a load; see `decode_needs`."""
    rows = [[*need[:2], list(need.resources), *need[3:]] for need in needs]
    return json.dumps(rows, separators=(",", ":"))


def decode_needs(text: str) -> tuple[Need, ...]:
    """Decode the needs in the query for a load.

    Raises
    ------
    DecodeError
        If the text isn't a list of needs.

    Examples
    --------
    >>> needs = Need("s", "b", Resources(1, 2, 3), 1, True, ("job", 0, 1)), Need("s")
    >>> decode_needs(encode_needs(needs)) == needs
    True
    """
    with convert_errors("needs"):
        return tuple(
            _decode_need(row) for row in read_list(parse_json(text.encode()), "needs")
        )


def _decode_need(value: Any) -> Need:
    service, requires, resources, limit, long_running, step = read_list(value, "need")
    figures = [read_integer(v, "resources") for v in read_list(resources, "resources")]
    position = read_list(step, "step")
    return Need(
        read_text(service, "service"),
        read_text(requires, "requires"),
        Resources(*figures),
        read_integer(limit, "limit"),
        read_flag(long_running, "long_running"),
        (
            *(read_text(name, "step") for name in position[:1]),
            *(read_integer(number, "step") for number in position[1:]),
        ),
    )


def encode_queues(load: Load) -> dict[str, Any]:
    """Return the JSON fields with the forecasts of a load; none if it has none."""
    if load.queues is None:
        return {}
    rows = [_encode_row(row) for row in load.queues]
    return {"queues": rows, "measured_s_ago": load.measured_s_ago}


def decode_queues(body: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of `Load` that hold forecasts; none if there are no forecasts.

    Notes
    -----
    Guards against a load that is ignored, so that no job is handed over to its unit,
    because a later version forecasts in another form.
    """
    if body.get("queues") is None:
        return {}
    try:
        rows = tuple(_decode_row(row) for row in read_list(body["queues"], "queues"))
        age_s = read_number(body.get("measured_s_ago", 0.0), "measured_s_ago")
    except FAILURES:
        return {}
    return {"queues": rows, "measured_s_ago": age_s}


def encode_forecast(forecast: UnitForecast) -> dict[str, Any]:
    """Return the JSON form of the answer to a query for a forecast."""
    rows = [_encode_row(row) for row in forecast.lowest]
    return {**forecast._asdict(), "lowest": rows}


def decode_forecast(value: Any) -> UnitForecast:
    """Decode the answer to a query for a forecast.

    Raises
    ------
    ValueError, TypeError, LookupError
        If it isn't a forecast.
    """
    data = read_object(value, "forecast")
    run_times = read_list(data.get("run_times", []), "run_times")
    return UnitForecast(
        open_jobs=read_integer(data["open_jobs"], "open_jobs"),
        lowest=tuple(_decode_row(row) for row in read_list(data["lowest"], "lowest")),
        age_s=read_number(data["age_s"], "age_s"),
        own_age_s=read_number(data["own_age_s"], "own_age_s"),
        free_size=read_integer(data["free_size"], "free_size"),
        has_unused=read_flag(data["has_unused"], "has_unused"),
        run_times=tuple(_decode_prior(row) for row in run_times),
    )


def _decode_prior(values: Any) -> RunTimePrior:
    with convert_errors("not a run time"):
        step, mean, variance, declared_variance = read_list(values, "figures")
        return RunTimePrior(
            read_integer(step, "step"),
            read_number(mean, "mean", MIN_LOG, MAX_LOG),
            read_number(variance, "variance", MIN_VARIANCE),
            read_number(declared_variance, "declared_variance", MIN_VARIANCE),
        )


def _encode_row(row: QueueForecast) -> dict[str, Any]:
    """Return the fields of a forecast that differ from their defaults."""
    defaults = QueueForecast(row.queue, row.open_jobs)._asdict()
    return {
        name: value
        for name, value in row._asdict().items()
        if name in ("queue", "open_jobs") or value != defaults[name]
    }


def _decode_row(value: Any) -> QueueForecast:
    data = read_object(value, "forecast of a queue")
    return QueueForecast(
        read_text(data["queue"], "queue"),
        read_integer(data["open_jobs"], "open_jobs"),
        read_number(data.get("wait_s", 0.0), "wait_s"),
        read_number(data.get("stretch_ratio", 0.0), "stretch_ratio"),
        read_flag(data.get("backfill", False), "backfill"),
        _decode_waits(data.get("waits_s", [])),
        _decode_waits(data.get("late_waits_s", [])),
    )


def _decode_waits(values: Any) -> tuple[float, ...]:
    return tuple(read_number(wait_s, "wait") for wait_s in read_list(values, "waits"))
