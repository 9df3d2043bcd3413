import pytest

from bench.generator import SCENARIOS, generate_trace, load_trace, write_trace
from bench.replay import replay
from plantainyard.placement import load_weights

WEIGHTS = load_weights("bench/weights/accra.toml")


def cut(scenario, seed, horizon_s):
    header, *records = generate_trace("accra", scenario, seed)
    return [{**header, "horizon_s": horizon_s}, *records]


@pytest.mark.parametrize("scenario", sorted(SCENARIOS))
def test_replay_keeps_the_promises_of_the_trace(scenario):
    result = replay(cut(scenario, 11, 150.0), "own", WEIGHTS)
    assert result["done"] > 0
    assert result["broken_promises"] == []


def test_faulty_worker_and_failing_jobs_are_distinguished():
    # On a worker with a failed disk every task fails within seconds, while some jobs
    # fail on any worker. Only faulty workers may be quarantined, and only failing jobs
    # may be abandoned.
    trace = cut("bad", 3, 300.0)
    faults = [r for r in trace if r["kind"] == "fault" and r["fault"] == "bad"]
    first_fit = replay(trace, "first-fit", WEIGHTS)
    own = replay(trace, "own", WEIGHTS)
    assert own["given_up"] > 0
    assert own["given_up_wrongly"] == 0
    assert set(own["quarantines"]) <= set(faults[0]["workers"])
    assert own["starts"] < first_fit["starts"]


def test_replay_of_a_written_trace_is_reproducible(tmp_path):
    trace = cut("mixed", 4, 60.0)
    path = tmp_path / "trace.jsonl"
    write_trace(path, trace)
    first = replay(trace, "own", WEIGHTS)
    assert replay(load_trace(str(path), 0), "own", WEIGHTS) == first
