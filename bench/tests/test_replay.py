import pytest

from bench.generator import SCENARIOS, generate_trace, load_trace, write_trace
from bench.replay import replay
from plantainyard.placement import load_weights

WEIGHTS = load_weights("bench/weights/accra.toml")


def cut(scenario, seed, horizon_s):
    header, *records = generate_trace("accra", scenario, seed)
    return [{**header, "horizon_s": horizon_s}, *records]


@pytest.mark.parametrize("scenario", sorted(SCENARIOS))
def test_promises_of_the_trace_hold(scenario):
    result = replay(cut(scenario, 11, 150.0), "own", WEIGHTS)
    assert result["done"] > 0
    assert result["broken_promises"] == []


def test_bad_worker_and_bad_jobs_are_told_apart():
    # A worker's disk fails: everything that starts there ends within seconds. At the
    # same time some jobs are broken and fail anywhere. The user must see the worker
    # quarantined and the broken jobs given up, but no sound job given up.
    trace = cut("bad", 3, 300.0)
    faults = [r for r in trace if r["kind"] == "fault" and r["fault"] == "bad"]
    result = replay(trace, "first-fit", WEIGHTS)
    judged = replay(trace, "own", WEIGHTS)
    assert judged["given_up"] > 0
    assert judged["given_up_wrongly"] == 0
    assert set(judged["quarantines"]) <= set(faults[0]["workers"])
    assert judged["starts"] < result["starts"]


def test_replay_of_a_written_trace_repeats(tmp_path):
    trace = cut("mixed", 4, 60.0)
    path = tmp_path / "trace.jsonl"
    write_trace(path, trace)
    first = replay(trace, "own", WEIGHTS)
    assert replay(load_trace(str(path), 0), "own", WEIGHTS) == first
