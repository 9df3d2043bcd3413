"""Recorded patterns of load and faults, and the outcomes they must have."""

import pytest

from bench.dispatch.accounts import measure_day
from bench.dispatch.customers import CUSTOMERS
from bench.dispatch.experiment import RECORDED
from bench.dispatch.patterns import load_pattern
from bench.dispatch.play import play_day

SHORT = sorted(p for p in RECORDED.glob("*.jsonl") if p.stem != "calm")


@pytest.mark.parametrize("path", SHORT, ids=lambda path: path.stem)
def test_a_recorded_pattern_has_its_outcome(path):
    # Each pattern is one of the days on which users lost work, or waited for it in
    # vain: a burst, hopeless jobs, cancels, bad runners, a store or an owner that is
    # away. Whatever comes, no task is at work twice, no runner is over its room, every
    # job ends, and each kind of jobs earns what its users ask for at the least.
    pattern = load_pattern(path)
    day = play_day(CUSTOMERS[pattern.customer], pattern, seed=1)
    assert day.site.broken == []
    found = measure_day(day)._asdict()
    short = {n: found[n] for n, least in pattern.outcome.items() if found[n] < least}
    assert short == {}
