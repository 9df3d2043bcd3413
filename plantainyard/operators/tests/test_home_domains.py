"""Choice of the home domain and division of tasks among racks."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.operators.home_domains import (
    allot_tasks,
    choose_home_domain,
    list_eligible_domains,
    qualify_request_id,
)
from plantainyard.work import Constraints, Job, Size, WorkerInfo

WORKERS = [
    WorkerInfo(f"w{n}", "", f"r{n % 2}", f"d{n % 3}", f"rack{n % 5}", Size(8 * n, 64))
    for n in range(1, 11)
]


def _job(cores=1, tasks=10, **more):
    return Job("j", "j", "t", False, tasks, Size(cores, 1), 1.0, **more)


@settings(derandomize=True, deadline=None)
@given(st.text("abc0123", min_size=8, max_size=20))
def test_retry_of_a_request_finds_the_same_home_domain(request_id):
    # Guards against accepting the same work in two domains when the response is lost
    # and the operator retries at an instance in another domain: the home domain must
    # follow from the request id alone.
    allowed = list_eligible_domains(_job(), WORKERS)
    home = choose_home_domain(request_id, allowed)
    assert home in allowed
    named = qualify_request_id(request_id, home)
    assert choose_home_domain(named, allowed) == home
    assert qualify_request_id(named, home) == named


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 80), st.integers(1, 500), st.booleans())
def test_all_tasks_are_allotted_where_they_fit(cores, tasks, gang):
    # Guards against tasks lost or added by rounding, and against racks that can't
    # run them.
    allotment, failing = allot_tasks(_job(cores, tasks, gang=gang), WORKERS)
    if failing:
        assert not allotment
        return
    assert sum(allotment.values()) == tasks
    assert not gang or len(allotment) == 1
    for rack in allotment:
        assert any(w.rack == rack and w.capacity.cores >= cores for w in WORKERS)


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        (Constraints(domains=("d1",)), ["d1"]),
        (Constraints(regions=("r9",)), []),
        (Constraints(accelerator="gpu"), []),
    ],
)
def test_eligible_domains_meet_the_constraints(limits, expected):
    # Guards against a home domain in which no worker may run the job.
    assert list_eligible_domains(_job(constraints=limits), WORKERS) == expected
