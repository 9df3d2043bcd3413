"""Cost of the folded state of a failure domain in memory and processor time."""

import itertools
import json
import time
import tracemalloc
from collections.abc import Iterator
from typing import Any

from plantainyard.state import (
    AssignItem,
    DomainState,
    ResultItem,
    apply_record,
    encode_domain,
    make_accept,
    make_assign,
    make_claim,
    make_results,
)
from plantainyard.work import Job, Size, TaskKey

__all__ = ["run_folding"]

_SIZES = (3_000, 10_000, 30_000)
_GROUP = 200
_JOB_TASKS = 1_000
_RACK = "rack"


def run_folding() -> dict[str, Any]:
    """Fold, encode and end several numbers of running tasks; return the costs.

    Returns
    -------
    dict
        ``running``: for each number of running tasks the memory of the folded state in
        megabytes, microseconds to fold an assignment and an end, and the bytes of a
        snapshot and of the records for each task.
    """
    return {"running": [_measure(size) for size in _SIZES]}


def _measure(tasks: int) -> dict[str, float]:
    initial = list(_make_initial_records(tasks))
    assign = list(_make_assigns(tasks))
    end = list(_make_ends(tasks))
    memory = _trace_memory([*initial, *assign])
    state = DomainState()
    _fold(state, initial)
    assign_s = _fold(state, assign)
    snapshot = len(json.dumps(encode_domain(state)))
    end_s = _fold(state, end)
    records = sum(len(json.dumps(record)) for record in assign + end)
    return {
        "tasks": tasks,
        "memory_mb": memory / 1e6,
        "assign_us": assign_s / tasks * 1e6,
        "end_us": end_s / tasks * 1e6,
        "snapshot_bytes_a_task": snapshot / tasks,
        "record_bytes_a_task": records / tasks,
    }


def _trace_memory(records: list[Any]) -> int:
    tracemalloc.start()
    state = DomainState()
    _fold(state, records)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory


def _fold(state: DomainState, records: list[Any]) -> float:
    started_s = time.perf_counter()
    for record in records:
        change = apply_record(state, state.next_offset, record)
        if not change.applied:
            raise RuntimeError(f"record was not applied: {change.reason}")
    return time.perf_counter() - started_s


def _iter_tasks(tasks: int) -> Iterator[TaskKey]:
    for number in range(tasks):
        yield TaskKey(f"job-{number // _JOB_TASKS}", number % _JOB_TASKS)


def _group_tasks(tasks: int) -> Iterator[list[TaskKey]]:
    keys = _iter_tasks(tasks)
    while group := list(itertools.islice(keys, _GROUP)):
        yield group


def _make_initial_records(tasks: int) -> Iterator[Any]:
    yield make_claim(_RACK, "instance", -1, ("w1",))
    for start in range(0, tasks, _JOB_TASKS):
        count = min(_JOB_TASKS, tasks - start)
        job = Job(f"job-{start // _JOB_TASKS}", "j", "t", False, count, Size(1, 1), 1.0)
        yield make_accept(f"request-{start}", job, {_RACK: count})


def _make_assigns(tasks: int) -> Iterator[Any]:
    for group in _group_tasks(tasks):
        yield make_assign(_RACK, 0, [AssignItem(task, 1, "w1") for task in group])


def _make_ends(tasks: int) -> Iterator[Any]:
    for group in _group_tasks(tasks):
        yield make_results(_RACK, 0, [ResultItem(task, 1, "done") for task in group])
