"""What operators ask of a site over HTTP, and what its workers show for it."""

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
    "ask_site",
    "count_done",
    "create_job",
    "create_service",
    "find_contradictions",
    "list_runs",
    "wait_job",
    "wait_runners",
]

WAIT_S = 60.0


def ask_site(
    site: Site, method: str, body: Mapping[str, Any], domain: str = ""
) -> Result[dict[str, Any], CallError]:
    """Call an operators' method at the instances of the site, or of one domain."""
    return call_operator(list_control_addresses(site, domain), site.token, method, body)


def create_service(
    site: Site, runners: Mapping[str, int] | None = None
) -> dict[str, Any]:
    """Create the deployment's service and return the answer.

    Raises
    ------
    result.UnwrapError
        If it is not accepted.
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
    return ask_site(site, "CreateService", body).unwrap()


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
        The site.
    tasks : int
        Number of tasks of one core each.
    run_s : float
        Run time of each.
    domain : str
        The only failure domain where it may run; empty for any.
    request_id : str
        Given to repeat a call; a new one by default.
    via : str
        Failure domain whose instances are asked; empty for any.
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
    return ask_site(site, "CreateJob", body, via).map(lambda a: a["job"]["job_id"])


def apply_configuration(
    site: Site, changes: Mapping[str, Any], domain: str = ""
) -> Result[int, CallError]:
    """Change the configuration on top of its present version; return the new one."""
    current = ask_site(site, "GetConfiguration", {}, domain)
    if isinstance(current, Err):
        return current
    body = {
        "request_id": str(uuid.uuid4()),
        "base_version": str(current.ok_value.get("version", "0")),
        "changes": dict(changes),
    }
    answer = ask_site(site, "ApplyConfiguration", body, domain)
    return answer.map(lambda a: int(a.get("version", 0)))


def count_done(site: Site, job: str, domain: str = "") -> int:
    """Return the number of the job's tasks that are done, as the instances say."""
    answer = ask_site(site, "DescribeJob", {"job_id": job}, domain)
    if not isinstance(answer, Ok):
        return 0
    counts = answer.ok_value.get("job", {}).get("counts", {})
    return int(counts.get("done", 0))


def wait_job(site: Site, job: str, tasks: int, limit_s: float = WAIT_S) -> None:
    """Wait until all tasks of a job are done.

    Raises
    ------
    TimeoutError
        If they are not within `limit_s`.
    """
    wait_until(lambda: count_done(site, job) == tasks, f"{job} to be done", limit_s)


def wait_runners(site: Site, limit_s: float = WAIT_S) -> None:
    """Wait until all runners of the deployment run at the workers.

    Raises
    ------
    TimeoutError
        If they do not within `limit_s`.
    """
    wanted = sum(d.runners for d in site.deployment.domains)
    wait_until(lambda: _count_runners(site) >= wanted, "all runners", limit_s)


def list_runs(site: Site, job: str = "") -> list[dict[str, Any]]:
    """Return all attempts that the workers ran, or those of one job."""
    return [
        run
        for part in describe_site(site)
        for run in part["runs"]
        if not job or run["task"].startswith(f"{job}/")
    ]


def find_contradictions(site: Site, answers: Iterable[CallerResult]) -> list[str]:
    """Return the answers to callers that the runners' counts speak against.

    Notes
    -----
    A request that was answered as done ran once, one that was refused never ran,
    and no other ran more than once.
    """
    runs: Counter[str] = Counter()
    for part in describe_site(site):
        for runner in part["runners"]:
            runs.update(runner["runs"])
    allowed = {"done": (1,), "refused": (0,), "failed": (0, 1), "unknown": (0, 1)}
    return [
        f"{answer.request_id}: {answer.outcome}, ran {runs[answer.request_id]} times"
        for answer in answers
        if runs[answer.request_id] not in allowed.get(answer.outcome, ())
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
