"""Demo: a whole site serves requests and jobs while an entry instance is killed.

Run it with ``python -m standins.demo --deployment=awash``. It prints each step and the
measured latency and throughput. The exit code is 0 only if all jobs were completed and
the stand-ins recorded no violation.
"""

import statistics
import sys
from collections import Counter
from collections.abc import Sequence
from functools import partial
from typing import Any

from absl import app, flags

from plantainyard.clock import read_clock
from standins.callers import Load, count_outcomes, run_load, wait_done, wait_until
from standins.deployments import ACCRA, AWASH, Deployment
from standins.operators import wait_runners
from standins.site import (
    Site,
    describe_site,
    find_site_violations,
    kill_entry,
    list_addresses,
    start_site,
    wait_ready,
)
from standins.tool import read_tool, run_tool
from standins.violations import Violations

__all__ = ["run_demo"]

CALLERS = 6
JOB_TASKS = 60
JOB_RUN_S = 2.0
JOBS = 3
REQUESTS_BEFORE = 100
REQUESTS_AFTER = 200
TIMEOUT_S = 45.0


def run_demo(deployment: Deployment) -> int:
    """Run the demo and return the exit code."""
    started_at = read_clock()
    _say(f"Starting {deployment.name}: {_describe_size(deployment)}.")
    with start_site(deployment) as site:
        wait_ready(site)
        _say(f"All instances are ready after {read_clock() - started_at:.0f} s.")
        violations, jobs_done = _run_steps(site)
    _say("All processes are stopped.")
    return 0 if jobs_done and not any(violations) else 1


def _run_steps(site: Site) -> tuple[Violations, bool]:
    _create_service(site)
    _refuse_infeasible(site)
    jobs = [_create_job(site, number) for number in range(JOBS)]
    list_entries = partial(list_addresses, site)
    with run_load(list_entries, site.deployment.service, CALLERS) as load:
        wait_done(load, REQUESTS_BEFORE, TIMEOUT_S)
        _kill_one(site)
        wait_done(load, REQUESTS_AFTER, TIMEOUT_S)
        jobs_done = _wait_jobs(site, jobs)
    _report_measures(site, load)
    violations = find_site_violations(site)
    _report_violations(violations)
    return violations, jobs_done


def _create_service(site: Site) -> None:
    plan = site.deployment
    runners = ",".join(f"{d.name}={d.runners}" for d in plan.domains)
    _run(
        site,
        "services",
        "create",
        f"--name={plan.service}",
        f"--team={plan.team}",
        f"--runners={runners}",
        f"--cores={plan.runner_size.cores}",
        f"--memory_gb={plan.runner_size.memory_gb}",
        f"--slots={plan.slots}",
        f"--connections={plan.connections}",
        f"--workload={plan.service}",
    )
    wait_runners(site, TIMEOUT_S)
    _say(f"{sum(d.runners for d in plan.domains)} runners serve {plan.service}.")


def _refuse_infeasible(site: Site) -> None:
    cores = site.deployment.capacity.cores * 2
    result = run_tool(
        site,
        "jobs",
        "create",
        "--name=too-large",
        f"--team={site.deployment.team}",
        f"--cores={cores:g}",
        "--memory_gb=1",
        "--run_s=1",
    )
    _say(f"A job of {cores:g} cores a task is refused (exit code {result.code}):")
    _say(f"    {result.errors.strip().splitlines()[-1] if result.errors else ''}")


def _create_job(site: Site, number: int) -> str:
    response = read_tool(
        site,
        "jobs",
        "create",
        f"--name=reconciliation-{number}",
        f"--team={site.deployment.team}",
        f"--tasks={JOB_TASKS}",
        "--cores=1",
        "--memory_gb=1",
        f"--run_s={JOB_RUN_S}",
        "--workload=reconciliation",
    )
    job = response["job"]
    _say(f"Job {job['job_id']} of {JOB_TASKS} tasks accepted in {job['domain']}.")
    return str(job["job_id"])


def _kill_one(site: Site) -> None:
    name = next(iter(site.entries))
    kill_entry(site, name)
    _say(f"Entry instance {name} is killed while requests and tasks run.")


def _wait_jobs(site: Site, jobs: Sequence[str]) -> bool:
    for job in jobs:
        try:
            wait_until(partial(_is_done, site, job), job, TIMEOUT_S)
        except TimeoutError as error:
            _say(f"{error}. This is what the tool says of the job:")
            _run(site, "jobs", "describe", job)
            return False
        _say(f"Job {job}: all {JOB_TASKS} tasks done.")
    return True


def _is_done(site: Site, job: str) -> bool:
    return _count_done(site, job) == JOB_TASKS


def _count_done(site: Site, job: str) -> int:
    result = read_tool(site, "jobs", "describe", job)
    return int(result.get("job", {}).get("counts", {}).get("done", 0))


def _report_measures(site: Site, load: Load) -> None:
    runs = [run for part in describe_site(site) for run in part["runs"]]
    batch = [run for run in runs if run["outcome"] == "done"]
    evicted = [run for run in runs if run["outcome"] == "evicted"]
    lapsed = [run for run in runs if run["outcome"] == "lapsed"]
    latencies = [r.latency_ms for r in load.results if r.outcome == "done"]
    percentiles = statistics.quantiles(latencies, n=100)
    outcomes = ", ".join(f"{n} {name}" for name, n in count_outcomes(load).items())
    _say(f"Requests: {outcomes}.")
    _say(f"Tail latency: p50 {percentiles[49]:.0f} ms, p99 {percentiles[98]:.0f} ms.")
    _say(f"Batch throughput: {_measure_throughput(batch):.1f} tasks a second.")
    _say(f"Evictions: {len(evicted)} (and {len(lapsed)} leases lapsed).")


def _measure_throughput(batch: Sequence[dict[str, Any]]) -> float:
    if not batch:
        return 0.0
    span_s = max(r["ended"] for r in batch) - min(r["begun"] for r in batch)
    return float(len(batch) / span_s)


def _report_violations(violations: Violations) -> None:
    if not any(violations):
        _say("The workers and runners saw nothing go wrong: no task in two places, no")
        _say("overcommitted worker, no runner above its slots, no request run twice.")
    for name, found in violations._asdict().items():
        for line in found[:5]:
            _say(f"Violation, {name}: {line}")


def _describe_size(deployment: Deployment) -> str:
    total: Counter[str] = Counter()
    for plan in deployment.domains:
        total.update(entries=plan.entries, workers=plan.workers)
    return (
        f"{total['entries']} entry instances, {total['workers']} workers in "
        f"{len(deployment.domains)} failure domains"
    )


def _run(site: Site, *arguments: str) -> None:
    result = run_tool(site, *arguments)
    if result.code:
        raise RuntimeError(f"{' '.join(arguments)}: {result.errors.strip()}")
    for line in result.output.strip().splitlines():
        _say(f"    {line}")


def _say(text: str) -> None:
    print(text, flush=True)


def main(_: list[str]) -> None:
    """Run the demo for the deployment named on the command line."""
    names = {AWASH.name: AWASH, ACCRA.name: ACCRA}
    sys.exit(run_demo(names[flags.FLAGS.deployment]))


if __name__ == "__main__":
    flags.DEFINE_enum("deployment", "awash", ["awash", "accra"], "Which site to show.")
    app.run(main)
