"""Failures of whole processes, checked by the evidence of workers and runners."""

import os
import random
import signal
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest
from result import Err, Ok

from plantainyard.clients import build_peer
from plantainyard.errors import ErrorKind
from plantainyard.routing import Reason
from standins.callers import (
    build_request_id,
    call_operator,
    run_load,
    send_caller_request,
    wait_done,
    wait_until,
)
from standins.deployments import SMALL
from standins.operators import (
    apply_configuration,
    call_site,
    count_done,
    create_job,
    create_service,
    find_contradictions,
    list_runs,
    wait_job,
    wait_runners,
)
from standins.site import (
    SiteTimings,
    add_entry,
    cut_links,
    describe_site,
    find_site_violations,
    kill_entry,
    list_addresses,
    post_json,
    retire_entry,
    start_site,
    wait_ready,
)

TIMINGS = SiteTimings(lease_s=3.0, credit_s=1.5, request_max_s=2.5)
NEAR, FAR = (plan.name for plan in SMALL.domains)
SERVICE = SMALL.service
SLOW_REQUESTS = 4
DONE_SLOW = ["done"] * SLOW_REQUESTS
SLOW_BODY = b'{"work_ms": 1000}'


@pytest.fixture
def site(request):
    has_links = getattr(request, "param", True)
    with start_site(SMALL, TIMINGS, has_links) as started:
        wait_ready(started)
        create_service(started)
        wait_runners(started)
        yield started


def list_owned(site, name):
    """Return the racks that an instance owns with authority to make decisions."""
    control = [site.entries[name].control_address]
    status = call_status(site, control)
    return [r["rack"] for r in status.get("racks", []) if r.get("authority")]


def call_status(site, addresses):
    result = call_operator(addresses, site.token, "Status", {})
    return result.ok_value if isinstance(result, Ok) else {}


def find_owner(site, domain):
    def find():
        return next(
            (
                n
                for n, e in site.entries.items()
                if e.domain == domain and list_owned(site, n)
            ),
            None,
        )

    return wait_until(find, f"an owner in {domain}")


def wait_running(site, job, tasks):
    def count():
        return sum(r["ended"] is None for r in list_runs(site, job))

    wait_until(lambda: count() >= tasks, f"{tasks} tasks of {job} to run")


def has_done(site, job, tasks):
    return count_done(site, job) >= tasks


def is_cut_off(result):
    """Return whether the request was sent but its response was lost."""
    is_lost = result.error is not None and result.error.kind == ErrorKind.LOST
    return is_lost or result.reason == Reason.ANSWER_LOST


def list_outcomes(site, job):
    return sorted((r["attempt"], r["outcome"]) for r in list_runs(site, job))


def assert_promises_hold(site, load, stops_are_planned=True):
    """Check that no invariant is violated and that all results match the runs."""
    violations = find_site_violations(site)
    if not stops_are_planned:
        # The worker stops runners whose lease lapsed because their owner had failed.
        violations = violations._replace(cut_off=())
    assert not any(violations), violations
    assert not find_contradictions(site, load.results)


def test_killed_instance(site):
    """Guards against tasks or requests that run twice after their owner was killed.

    The instance that owns the rack is killed while a job and requests are running. The
    other instance of the domain takes the rack over; it learns the workers of the
    running tasks from the log, and the lent slots from the gateways.
    """
    job = create_job(site, 16, 3.0, domain=NEAR).unwrap()
    with run_load(lambda: list_addresses(site), SERVICE) as load:
        wait_running(site, job, 1)
        wait_done(load, 20)
        kill_entry(site, find_owner(site, NEAR))
        wait_job(site, job, 16)
        wait_done(load, 50)
    assert_promises_hold(site, load, stops_are_planned=False)


def test_paused_instance_wakes_after_its_lease(site):
    """Guards against an owner that commands workers after its lease has lapsed.

    The owner is paused for longer than its lease. Another instance claims the rack and
    starts the remaining tasks. The first owner resumes with outdated state and must not
    start, renew or send anything on the rack.
    """
    job = create_job(site, 24, 2.0, domain=NEAR).unwrap()
    owner = find_owner(site, NEAR)
    paused = site.entries[owner]
    with run_load(
        lambda: [a for a in list_addresses(site) if a != paused.address], SERVICE
    ) as load:
        wait_running(site, job, 1)
        os.kill(paused.child.pid, signal.SIGSTOP)
        others = [n for n, e in site.entries.items() if e.domain == NEAR]
        others.remove(owner)
        wait_until(
            lambda: any(list_owned(site, name) for name in others),
            "another owner",
        )
        os.kill(paused.child.pid, signal.SIGCONT)
        wait_job(site, job, 24)
        wait_done(load, 50)
    assert_promises_hold(site, load, stops_are_planned=False)


def test_log_outage(site):
    """Guards against lost work while the log is down for longer than a lease.

    Tasks that take longer than a lease and requests are running. A job that is
    submitted during the outage must not be reported as accepted. After the outage, the
    buffered results are appended to the log.
    """
    job = create_job(site, 12, 5.0, domain=NEAR).unwrap()
    wait_running(site, job, 12)
    request_id = "statements-in-the-outage"
    with run_load(lambda: list_addresses(site), SERVICE) as load:
        wait_done(load, 20)
        post_json(site.log, "/faults", {"outage": True})
        result = create_job(site, 2, 0.5, domain=NEAR, request_id=request_id)
        assert isinstance(result, Err)
        wait_until(
            lambda: all(r["ended"] for r in list_runs(site, job)), "all tasks to end"
        )
        wait_done(load, 50)
        post_json(site.log, "/faults", {"outage": False})
        wait_job(site, job, 12)
        repeated = wait_until(
            lambda: create_job(site, 2, 0.5, domain=NEAR, request_id=request_id).ok(),
            "the repeated call",
        )
        wait_job(site, repeated, 2)
        wait_done(load, 20)
    assert list_outcomes(site, job) == [(1, "done")] * 12
    assert len(call_site(site, "ListJobs", {"kind": 1}).unwrap()["jobs"]) == 2
    assert_promises_hold(site, load)


def test_lost_answers_of_the_log(site):
    """Guards against jobs or tasks that are duplicated after a lost response.

    The log appends a record and its response is lost. The instance can't tell whether
    the append was carried out. It must neither append the record again as a new one nor
    treat it as not appended.
    """
    request_id = "statements-lost"
    with run_load(lambda: list_addresses(site), SERVICE) as load:
        post_json(site.log, "/faults", {"lose_next_answers": 2})
        job = wait_until(
            lambda: create_job(site, 16, 1.0, request_id=request_id).ok(), "a job id"
        )
        assert create_job(site, 16, 1.0, request_id=request_id).ok() == job
        for done in (1, 6, 11):
            post_json(site.log, "/faults", {"lose_next_answers": 3})
            wait_until(partial(has_done, site, job, done), f"{done} tasks done")
        wait_job(site, job, 16)
        wait_done(load, 50)
    jobs = call_site(site, "ListJobs", {"kind": 1}).unwrap()["jobs"]
    assert [found["job_id"] for found in jobs] == [job]
    assert list_outcomes(site, job) == [(1, "done")] * 16
    assert_promises_hold(site, load)


def test_domain_is_cut_off_and_healed(site):
    """Guards against reruns of tasks in a failure domain that is cut off.

    The domain is cut off from the others and from the platform. Its tasks continue and
    its callers are served there. No other domain may rerun its tasks, no matter how
    long it is unreachable. Once healed, it reports its results and applies the
    configuration that was accepted in the meantime.
    """
    job = create_job(site, 8, 5.0, domain=FAR).unwrap()
    wait_running(site, job, 8)
    with run_load(
        lambda: list_addresses(site, FAR), SERVICE, callers=2, home=FAR
    ) as far_load:
        wait_done(far_load, 10)
        cut_links(site, FAR)
        quota = {f"teams.{SMALL.team}.cores": 90}
        version = wait_until(
            lambda: apply_configuration(site, quota, NEAR).ok(), "a new version"
        )
        other = wait_until(
            lambda: create_job(site, 8, 0.5, domain=NEAR, via=NEAR).ok(), "a job near"
        )
        wait_until(lambda: count_done(site, other, NEAR) == 8, "the job near")
        wait_until(
            lambda: all(r["ended"] for r in list_runs(site, job)), "the tasks far"
        )
        wait_done(far_load, 30)
        cut_links(site, FAR, healed=True)
        wait_job(site, job, 8)
        wait_until(lambda: is_in_force(site, version), "the version everywhere")
        wait_done(far_load, 10)
    assert list_outcomes(site, job) == [(1, "done")] * 8
    assert_promises_hold(site, far_load)


def is_in_force(site, version):
    def read(control):
        result = call_operator([control], site.token, "GetConfiguration", {})
        return int(result.unwrap().get("version", 0)) if result.is_ok() else -1

    controls = [e.control_address for e in site.entries.values()]
    return all(read(control) >= version for control in controls)


def test_leaving_runner_gets_no_new_work(site):
    """Guards against requests to an upstream that is about to terminate.

    The runners of one worker report that they are leaving while callers send requests.
    The gateways learn this from the worker's report, and the other runners serve the
    load.
    """
    with run_load(lambda: list_addresses(site), SERVICE) as load:
        wait_done(load, 20)
        worker = next(
            run["worker"]
            for run in list_runs(site)
            if run["ended"] is None and run["worker"].startswith(NEAR)
        )
        body = {"workers": [worker], "runners_leaving": True}
        post_json(site.domains[NEAR], "/faults", body)
        wait_until(
            lambda: gets_no_requests(site, load, worker), "no more requests to it"
        )
        assert gets_no_requests(site, load, worker)
    assert_promises_hold(site, load)


def gets_no_requests(site, load, worker):
    """Return whether the worker's runners get none of the next requests."""
    before = count_requests(site, worker)
    wait_done(load, 40)
    return count_requests(site, worker) == before


def count_requests(site, worker):
    parts = describe_site(site)
    names = {
        f"{run['task']}#{run['attempt']}"
        for part in parts
        for run in part["runs"]
        if run["worker"] == worker
    }
    return sum(
        sum(runner["runs"].values())
        for part in parts
        for runner in part["runners"]
        if runner["name"] in names
    )


def send_slow(site, entry, callers):
    """Return the futures of slow requests that are in progress at a runner."""
    peer = build_peer(entry.address)
    rng = random.Random(entry.id)
    ids = [build_request_id(rng, FAR) for _ in range(SLOW_REQUESTS)]
    futures = [
        callers.submit(send_caller_request, peer, SERVICE, SLOW_BODY, i, 2400)
        for i in ids
    ]
    wait_until(lambda: set(ids) <= list_requests(site), "the slow requests to run")
    return futures


def list_requests(site):
    runners = [r for part in describe_site(site) for r in part["runners"]]
    return {name for runner in runners for name in runner["runs"]}


# Over a link, a connection that is refused by a terminated instance would look like a
# request that was cut off.
@pytest.mark.parametrize("site", [False], indirect=True, ids=["direct"])
def test_rolling_replacement_cuts_off_nothing(site):
    """Guards against requests cut off by a rolling replacement under load.

    All instances of a domain are replaced one after the other. Each new one is ready
    before an old one is asked to stop. The old one hands over its racks and credits,
    finishes the requests in progress, and exits by itself.
    """
    job = create_job(site, 24, 2.0, domain=NEAR).unwrap()
    old = [n for n, e in site.entries.items() if e.domain == NEAR]
    with (
        run_load(lambda: list_addresses(site), SERVICE) as load,
        ThreadPoolExecutor(SLOW_REQUESTS) as callers,
    ):
        wait_done(load, 20)
        for name in old:
            add_entry(site, NEAR)
            wait_ready(site)
            futures = send_slow(site, site.entries[name], callers)
            assert retire_entry(site, name) == 0
            assert [future.result().outcome for future in futures] == DONE_SLOW
            wait_done(load, 20)
        wait_job(site, job, 24)
        wait_done(load, 20)
    assert not [result for result in load.results if is_cut_off(result)]
    assert list_outcomes(site, job) == [(1, "done")] * 24
    assert_promises_hold(site, load)
