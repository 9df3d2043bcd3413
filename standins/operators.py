"""Operators' calls to a site over HTTP, and the workers' evidence of their effects."""

import uuid
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from result import Err, Ok, Result

from plantainyard.errors import CallError
from standins.callers import CallerResult, call_operator, wait_until
from standins.site import Site, describe_site, list_control_addresses

__all__ = [
    "apply_configuration",
    "call_site",
    "count_done",
    "create_job",
    "create_service",
    "find_contradictions",
    "list_runs",
    "wait_job",
    "wait_runners",
]

TIMEOUT_S = 60.0


def call_site(
    site: Site, method: str, body: Mapping[str, Any], domain: str = ""
) -> Result[dict[str, Any], CallError]:
    """Call an operators' method at an instance of the site, or of one domain."""
    return call_operator(list_control_addresses(site, domain), site.token, method, body)


def create_service(
    site: Site, runners: Mapping[str, int] | None = None
) -> dict[str, Any]:
    """Create the deployment's service and return the response.

    Raises
    ------
    result.UnwrapError
        If the service isn't accepted.
    """
    plan = site.deployment
    body = {
        "request_id": str(uuid.uuid4()),
        "name": plan.service,
        "team": plan.team,
        "runners": dict(runners or {d.name: d.runners for d in plan.domains}),
        "size": plan.runner_size._asdict(),
        "workload": plan.service,
        "slots": plan.slots,
        "connections": plan.connections,
    }
    return call_site(site, "CreateService", body).unwrap()


def create_job(
    site: Site,
    tasks: int,
    run_s: float,
    domain: str = "",
    request_id: str = "",
    via: str = "",
) -> Result[str, CallError]:
    """Create a batch job and return its id.

    Parameters
    ----------
    site : Site
        Site that gets the job.
    tasks : int
        Number of tasks of one core each.
    run_s : float
        Run time of each task in seconds.
    domain : str
        Failure domain in which the tasks must run; empty for any.
    request_id : str
        Id of an earlier call that is repeated; a new id by default.
    via : str
        Failure domain whose instances are called; empty for any.
    """
    body = {
        "request_id": request_id or str(uuid.uuid4()),
        "name": "statements",
        "team": site.deployment.team,
        "task_count": tasks,
        "size": {"cores": 1, "memory_gb": 1},
        "run_s": run_s,
        "constraints": {"domains": [domain] if domain else []},
        "workload": "statements",
    }
    return call_site(site, "CreateJob", body, via).map(lambda r: r["job"]["job_id"])


def apply_configuration(
    site: Site, changes: Mapping[str, Any], domain: str = ""
) -> Result[int, CallError]:
    """Apply changes to the current configuration and return the new version."""
    current = call_site(site, "GetConfiguration", {}, domain)
    if isinstance(current, Err):
        return current
    body = {
        "request_id": str(uuid.uuid4()),
        "base_version": str(current.ok_value.get("version", "0")),
        "changes": dict(changes),
    }
    result = call_site(site, "ApplyConfiguration", body, domain)
    return result.map(lambda r: int(r.get("version", 0)))


def count_done(site: Site, job: str, domain: str = "") -> int:
    """Return the number of the job's completed tasks as the instances report it."""
    result = call_site(site, "DescribeJob", {"job_id": job}, domain)
    if not isinstance(result, Ok):
        return 0
    counts = result.ok_value.get("job", {}).get("counts", {})
    return int(counts.get("done", 0))


def wait_job(site: Site, job: str, tasks: int, limit_s: float = TIMEOUT_S) -> None:
    """Wait until all tasks of a job are done.

    Raises
    ------
    TimeoutError
        If they aren't within `limit_s`.
    """
    wait_until(lambda: count_done(site, job) == tasks, f"{job} to be done", limit_s)


def wait_runners(site: Site, limit_s: float = TIMEOUT_S) -> None:
    """Wait until all runners of the deployment run at the workers.

    Raises
    ------
    TimeoutError
        If they don't within `limit_s`.
    """
    expected = sum(d.runners for d in site.deployment.domains)
    wait_until(lambda: _count_runners(site) >= expected, "all runners", limit_s)


def list_runs(site: Site, job: str = "") -> list[dict[str, Any]]:
    """Return the attempts that the workers ran, of all jobs or of one."""
    return [
        run
        for part in describe_site(site)
        for run in part["runs"]
        if not job or run["task"].startswith(f"{job}/")
    ]


def find_contradictions(site: Site, results: Iterable[CallerResult]) -> list[str]:
    """Return the callers' results that contradict the counts of the runners.

    Notes
    -----
    A request with the outcome done must have run once, a refused one never, and any
    other at most once.
    """
    runs: Counter[str] = Counter()
    for part in describe_site(site):
        for runner in part["runners"]:
            runs.update(runner["runs"])
    allowed = {"done": (1,), "refused": (0,), "failed": (0, 1), "unknown": (0, 1)}
    return [
        f"{result.request_id}: {result.outcome}, ran {runs[result.request_id]} times"
        for result in results
        if runs[result.request_id] not in allowed.get(result.outcome, ())
    ]


def _count_runners(site: Site) -> int:
    parts = describe_site(site)
    runners = {runner["name"] for part in parts for runner in part["runners"]}
    running = {
        f"{run['task']}#{run['attempt']}"
        for part in parts
        for run in part["runs"]
        if run["ended"] is None
    }
    return len(runners & running)
