"""Learned run times as a stored record, and as part of the state dump.

The record hands what an owner has learned to its successor.
"""

import json
import math
from typing import Any

from plantainyard.decoding import (
    convert_errors,
    parse_json,
    read_integer,
    read_list,
    read_number,
    read_text,
)
from plantainyard.dispatch.run_times import (
    MAX_LOG,
    MIN_LOG,
    RunTimeEntry,
    RunTimes,
    round_figure,
)

__all__ = ["decode_run_times", "describe_run_times", "encode_run_times"]


def encode_run_times(run_times: RunTimes, wall_offset_s: float) -> bytes:
    """Return the stored form of the entries.

    Parameters
    ----------
    run_times : RunTimes
        The entries.
    wall_offset_s : float
        Unix time minus the dispatcher's clock: a successor has another clock, and an
        entry's age must not begin anew with each owner.
    """
    rows = []
    for key, entry in run_times.entries.items():
        learned_at = round(entry.learned_at + wall_offset_s, 1)
        rows.append([*key, *map(round_figure, entry[:-1]), learned_at])
    return json.dumps(rows, separators=(",", ":")).encode()


def decode_run_times(value: bytes, wall_offset_s: float, now: float) -> RunTimes:
    """Return what `encode_run_times` stored.

    Raises
    ------
    DecodeError
        If the bytes are not such a record.
    """
    with convert_errors("run times"):
        return _decode_entries(parse_json(value), wall_offset_s, now)


def _decode_entries(rows: Any, wall_offset_s: float, now: float) -> RunTimes:
    run_times = RunTimes()
    for queue, number, *values in read_list(rows, "run times"):
        steps, mean, variance, declared_steps, error, learned_at = (
            read_number(figure, "figure") for figure in values
        )
        entry = RunTimeEntry(
            steps, mean, variance, declared_steps, error, learned_at - wall_offset_s
        )
        if not _is_valid(entry):
            raise ValueError(f"invalid run times of step {number} in {queue!r}")
        # The clocks of two instances differ, and the stored figures are rounded.
        entry = entry._replace(
            mean=min(MAX_LOG, max(MIN_LOG, entry.mean)),
            learned_at=min(now, entry.learned_at),
        )
        key = read_text(queue, "queue"), read_integer(number, "step")
        run_times.entries[key] = entry
    return run_times


def _is_valid(entry: RunTimeEntry) -> bool:
    amounts = entry.variance, entry.declared_steps, entry.error
    return (
        all(map(math.isfinite, entry))
        and entry.steps > 0
        and all(amount >= 0 for amount in amounts)
    )


def describe_run_times(run_times: RunTimes, now: float) -> list[dict[str, Any]]:
    """Return the entries as JSON values; may be called from any thread."""
    return [
        {
            "queue": queue,
            "step": number,
            "steps_learned": round(entry.steps, 2),
            "median_ms": round(math.exp(entry.mean), 1),
            "spread": round(entry.variance**0.5, 3),
            "declared_error": round(entry.error**0.5, 3),
            "age_s": round(now - entry.learned_at, 1),
        }
        for (queue, number), entry in list(run_times.entries.items())
    ]
