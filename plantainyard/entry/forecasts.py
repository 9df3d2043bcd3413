"""Forecasts on the wire between instances, of this version and of others.

Unknown fields are ignored and missing ones have their defaults. A load without
forecasts comes from a version, or an owner, that doesn't compute them.
"""

import math
from typing import Any

from plantainyard.dispatch.load import Load, QueueForecast
from plantainyard.dispatch.run_times import RunTimePrior
from plantainyard.dispatch.unit_forecasts import UnitForecast

__all__ = ["decode_forecast", "decode_queues", "encode_forecast", "encode_queues"]


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
        rows = tuple(_decode_row(row) for row in body["queues"])
        age_s = float(body.get("measured_s_ago", 0.0))
    except (TypeError, ValueError):
        return {}
    return {"queues": rows, "measured_s_ago": age_s}


def encode_forecast(forecast: UnitForecast) -> dict[str, Any]:
    """Return the JSON form of the answer to a query for a forecast."""
    rows = [_encode_row(row) for row in forecast.lowest]
    return {**forecast._asdict(), "lowest": rows}


def decode_forecast(data: dict[str, Any]) -> UnitForecast:
    """Decode the answer to a query for a forecast.

    Raises
    ------
    TypeError, ValueError, KeyError
        If it isn't a forecast.
    """
    return UnitForecast(
        open_jobs=int(data["open_jobs"]),
        lowest=tuple(_decode_row(row) for row in data["lowest"]),
        age_s=float(data["age_s"]),
        own_age_s=float(data["own_age_s"]),
        free_size=int(data["free_size"]),
        has_unused=bool(data["has_unused"]),
        run_times=tuple(_decode_prior(row) for row in data.get("run_times", ())),
    )


def _decode_prior(values: Any) -> RunTimePrior:
    step, *figures = values
    mean, variance, declared_variance = map(float, figures)
    if not (math.isfinite(mean) and variance > 0 and declared_variance > 0):
        raise ValueError(f"not a run time: {values!r}")
    return RunTimePrior(int(step), mean, variance, declared_variance)


def _encode_row(row: QueueForecast) -> dict[str, Any]:
    """Return the fields of a forecast that differ from their defaults."""
    defaults = QueueForecast(row.queue, row.open_jobs)._asdict()
    return {
        name: value
        for name, value in row._asdict().items()
        if name in ("queue", "open_jobs") or value != defaults[name]
    }


def _decode_row(data: Any) -> QueueForecast:
    if not isinstance(data, dict):
        raise TypeError(f"not a forecast: {data!r}")
    row = QueueForecast(**{k: v for k, v in data.items() if k in QueueForecast._fields})
    return QueueForecast(
        str(row.queue),
        int(row.open_jobs),
        float(row.wait_s),
        float(row.stretch_ratio),
        bool(row.backfill),
        tuple(float(wait_s) for wait_s in row.waits_s),
        tuple(float(wait_s) for wait_s in row.late_waits_s),
    )
