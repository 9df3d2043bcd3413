"""Tests of the log lines about runs that a takeover holds or an owner gives up."""

import json
from itertools import pairwise

from plantainyard.batch.records import (
    encode_progress,
    make_progress_key,
)
from plantainyard.batch.values import StepProgress, TaskProgress
from plantainyard.dispatch import count_held_runs
from plantainyard.entry import unit_log
from plantainyard.entry.instance import Instance
from plantainyard.entry.tests.harness import (
    BODY,
    JOB,
    call,
    own_units,
    run_instance,
    wait_until,
)
from plantainyard.entry.topics import PROGRESS
from standins.platform import StoreState

LOST = "r9@1"

INTERVAL_S = 0.2
"""Time between two lines here, so that an actor that gets no turn for a second on a
busy machine leaves lines enough."""


def record_counts(monkeypatch) -> list[float]:
    """Return a list that receives the time of each count of held runs."""
    counted_at: list[float] = []

    def count_and_record(dispatcher, now):
        counted_at.append(now)
        return count_held_runs(dispatcher, now)

    monkeypatch.setattr(unit_log, "count_held_runs", count_and_record)
    return counted_at


def pop_events(instance: Instance, events: list[dict]) -> list[dict]:
    """Append the queued log lines of an instance to `events`."""
    lines = instance.log.lines
    while not lines.empty():
        line = lines.get_nowait()
        events += [] if line is None else [json.loads(line)]
    return events


def test_a_takeover_logs_what_it_holds_until_it_is_given_up(monkeypatch):
    # Guards against tasks that a successor holds for seconds, while they run nowhere,
    # without a trace of how many and how long.
    monkeypatch.setattr(unit_log, "HELD_RUNS_INTERVAL_S", INTERVAL_S)
    counted_at = record_counts(monkeypatch)
    store = StoreState()
    events: list[dict] = []
    with run_instance(store) as instance:
        settings = instance.settings._replace(longest_lease_s=1.2)
        instance.settings = settings
        assert call(instance, "POST", f"/jobs/{JOB}", BODY)[0] == 200
        progress = StepProgress(frozenset(), {0: TaskProgress(4, LOST)})
        store.put(PROGRESS, make_progress_key(JOB, 0, 0), encode_progress(progress))
        own_units(instance, 5, 0)
        wait_until(
            lambda: (
                pop_events(instance, events)
                and any(event.get("runs") == 0 for event in events)
            )
        )
    held = [event for event in events if event["event"] == "runs_held"]
    assert len(held) >= 3
    assert len(counted_at) == len(held)
    assert min(b - a for a, b in pairwise(counted_at)) >= INTERVAL_S
    assert (held[0]["runs"], held[0]["without_entry"], held[0]["unit"]) == (1, 1, 0)
    assert 1.2 <= held[0]["longest_bound_s"] < 4.0
    assert held[1]["longest_bound_s"] < held[0]["longest_bound_s"]
    (given_up,) = [event for event in events if event["event"] == "run_given_up"]
    expected = {"job": JOB, "task": [0, 0, 0], "run": 4, "runner": LOST}
    assert given_up.items() >= {"why": "lease expired"}.items()
    assert {name: given_up[name] for name in expected} == expected
