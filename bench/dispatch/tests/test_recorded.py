"""Recorded patterns of load and faults, and the scores that they must reach."""

import pytest

from bench.dispatch.accounts import measure_day
from bench.dispatch.customers import CUSTOMERS
from bench.dispatch.experiment import RECORDED_DIR
from bench.dispatch.patterns import load_pattern
from bench.dispatch.play import simulate_day

PATHS = sorted(p for p in RECORDED_DIR.glob("*.jsonl") if p.stem != "calm")


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
def test_recorded_pattern_reaches_its_outcome(path):
    # Guards against lost or endlessly waiting work under a burst, jobs that always
    # fail, cancellations, faulty runners, or an unavailable store or owner. No task may
    # run twice at the same time, no runner may exceed its capacity, every job must end,
    # and each kind of jobs must reach its minimum score.
    pattern = load_pattern(path)
    day = simulate_day(CUSTOMERS[pattern.customer], pattern, seed=1)
    assert day.site.violations == []
    scores = measure_day(day)._asdict()
    below = {n: scores[n] for n, low in pattern.outcome.items() if scores[n] < low}
    assert below == {}
