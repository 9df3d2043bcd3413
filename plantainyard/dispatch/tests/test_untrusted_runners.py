"""Entries, reports, answers and records with extreme figures, beside a sound runner."""

import json
import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from plantainyard.batch.replica import (
    BOUNDS_KEY,
    FENCES_KEY,
    Fences,
    LeaseBounds,
    encode_bounds,
    encode_fences,
)
from plantainyard.decoding import MAX_INTEGER
from plantainyard.dispatch import (
    EntryChanged,
    LeasesReported,
    LoadsReceived,
    OrderAnswered,
    OrderKind,
    PredecessorEnded,
    ReportReceived,
)
from plantainyard.dispatch.load import Load
from plantainyard.dispatch.tests.test_untrusted_jobs import POLICY
from plantainyard.dispatch.tests.world import World, make_step
from plantainyard.platform.entries import RunnerEntry, decode_entry
from plantainyard.platform.runner_messages import (
    OrderOutcome,
    OrderResult,
    decode_report,
    parse_task,
)
from plantainyard.transport import HttpResponse

AMOUNTS = st.sampled_from([0, 1, 1000, 64_000, 10**12, MAX_INTEGER])
SIGNED = AMOUNTS | AMOUNTS.map(lambda amount: -amount)
NAMES = st.sampled_from(["", "a", "r1-1", "ä\u0000\U0001f600"])
TIMES = st.sampled_from([0.0, 0.5, 60.0, 1e12, float(MAX_INTEGER)])
RUN_NAMES = ["plain.0.0.0", "odd.0.0.0", "a" * 16 + f".{MAX_INTEGER}.0.0"]

ENTRIES = st.fixed_dictionaries(
    {
        "service": st.just("tollgate") | NAMES,
        "address": st.just("10.0.0.9:80"),
        "zone": NAMES,
        "state": st.sampled_from(["ready", "draining"]),
        "capacity": st.fixed_dictionaries(
            {"cpu": AMOUNTS, "memMb": AMOUNTS, "gpu": AMOUNTS}
        ),
        "labels": st.lists(NAMES, max_size=3),
        "clockMs": AMOUNTS,
        "coldLeftMs": SIGNED,
        "born": AMOUNTS,
    },
    optional={"remainingMs": SIGNED, "machine": NAMES},
)
RUNS = st.tuples(
    st.sampled_from(RUN_NAMES), AMOUNTS, NAMES, st.integers(0, 100), TIMES
).map(list)
ENDS = st.tuples(
    AMOUNTS, st.sampled_from(RUN_NAMES), AMOUNTS, st.sampled_from(["done", "x"]), NAMES
).map(list)
REPORTS = st.fixed_dictionaries(
    {
        "clockMs": AMOUNTS,
        "running": st.lists(RUNS, max_size=3),
        "endedRuns": st.lists(ENDS, max_size=3),
    }
)
LOADS = st.builds(
    Load, TIMES, TIMES, TIMES, TIMES, AMOUNTS, st.just((3,) * 14), AMOUNTS
)


def read_entry(data: dict[str, Any]) -> RunnerEntry:
    entry = decode_entry("odd", json.dumps(data).encode())
    assert entry is not None
    return entry


def answer_oddly(world: World, entry: RunnerEntry, report: dict[str, Any]) -> None:
    """Let a runner answer the owner's first request for a report."""
    body = json.dumps(report | {"born": entry.started_at_ms}).encode()
    order: Any = entry
    found = decode_report(HttpResponse(200, {}, body), order)
    assert isinstance(found, Ok)
    world.send_event(ReportReceived(entry.incarnation, found.ok_value, world.now))


def make_world() -> World:
    """Return a world with a sound runner and both kinds of tasks on it."""
    world = World(1, policy=POLICY)
    world.runners["r0"].durations = {"serve": 0.0, "plain": 0.3}
    world.submit("serve", make_step(long_running=True, cpu=10, target_ms=5.0))
    world.submit("fill", make_step(backfill=True, cpu=10))
    world.run(0.3)
    return world


@given(ENTRIES, st.lists(REPORTS, min_size=1, max_size=3), st.randoms())
@settings(deadline=None, max_examples=150)
def test_a_runner_with_extreme_figures_stops_no_other(
    data: dict[str, Any], reports: list[dict[str, Any]], rng: random.Random
) -> None:
    # Guards against an entry or a report that can be read, and with which the owner
    # can't calculate, so that nothing of its unit starts any more.
    world = make_world()
    entry = read_entry(data)
    world.send_event(EntryChanged("odd", entry))
    for number, report in enumerate(reports):
        world.run(0.1)
        answer_oddly(world, entry, report)
        world.submit(f"plain{number}", make_step(cpu=10, estimate_ms=300))
        result = OrderResult(OrderOutcome.DONE, rng.choice((0, MAX_INTEGER)))
        key = parse_task(RUN_NAMES[0])
        world.send_event(
            OrderAnswered(OrderKind.START, key, 1, entry.incarnation, result, world.now)
        )
    world.run(0.5)
    world.restart_owner()
    world.send_event(EntryChanged("odd", entry))
    world.send_event(EntryChanged("odd", None))
    world.run(25.0)
    assert world.final_state("plain0") == "completed"


@given(st.dictionaries(st.sampled_from(["r0@0", "odd@1", "x"]), TIMES), TIMES, LOADS)
@settings(deadline=None, max_examples=60)
def test_records_and_messages_with_extreme_figures_stop_no_runner(
    times: dict[str, float], seconds: float, load: Load
) -> None:
    # Guards against a record of a predecessor, or a message of another owner, that can
    # be read, and with which the owner can't calculate.
    world = make_world()
    bounds = LeaseBounds(world.owners, times, times, seconds)
    world.store(BOUNDS_KEY, encode_bounds(bounds))
    world.store(FENCES_KEY, encode_fences(Fences(0, frozenset(times))))
    world.restart_owner(seconds)
    world.send_event(LeasesReported(dict(times)))
    world.send_event(PredecessorEnded(seconds))
    world.send_event(LoadsReceived({1: load, 2: load._replace(gap=0)}, world.now))
    world.submit("plain", make_step(cpu=10, estimate_ms=300))
    world.run(3.0)
    assert world.final_state("plain") == "completed"
