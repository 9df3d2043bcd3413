"""Handlers of calls that accept or cancel work.

A call for another failure domain is forwarded to a live instance of that domain,
which appends the record to its own log.
"""

from collections.abc import Callable, Iterable, Iterator
from functools import partial
from itertools import groupby
from typing import Any

from result import Err, Ok, Result

from plantainyard import state as log_state
from plantainyard.api import (
    ApiError,
    ErrorCode,
    iter_service_jobs,
    read_job,
)
from plantainyard.api import operators_pb2 as schema
from plantainyard.clients import InstanceState
from plantainyard.metrics import add_count
from plantainyard.node.values import read_shares
from plantainyard.placement import check_possible
from plantainyard.work import Job, Size, WorkerInfo

from .home_domains import (
    allot_tasks,
    choose_home_domain,
    list_eligible_domains,
    make_job_id_stem,
    parse_home_domain,
    qualify_request_id,
)
from .node import (
    Node,
    build_append_error,
    build_unreachable_error,
    find_peer,
    forward_call,
    list_instances,
    query,
    read_config,
    submit_and_wait,
)

__all__ = ["cancel_jobs", "create_job", "create_service", "list_workers"]

_DRY_RUN_OFFSET = -1
_RETRY_AFTER_S = 2.0


def list_workers(node: Node) -> list[WorkerInfo]:
    """Return the workers that the platform doesn't list as terminated."""
    return [
        i.worker
        for i in list_instances(node)
        if i.worker is not None and i.state != InstanceState.TERMINATED
    ]


def create_job(
    node: Node, request: schema.CreateJobRequest
) -> Result[schema.CreateJobResponse, ApiError]:
    """Accept a batch job in its home domain, forwarding the call there if needed."""
    job = read_job(request, make_job_id_stem(request.request_id))
    workers = list_workers(node)
    listed = [i.worker for i in list_instances(node) if i.worker is not None]
    if not listed:
        return Err(_build_unread_list_error())
    home = choose_home_domain(request.request_id, list_eligible_domains(job, listed))
    if home is None:
        failing = check_possible(job, listed) or "constraints"
        return Err(_build_infeasible_error("size", f"no worker meets: {failing}"))
    qualified_id = qualify_request_id(request.request_id, home)
    if home != node.settings.instance.domain:
        forwarded = schema.CreateJobRequest()
        forwarded.CopyFrom(request)
        forwarded.request_id = qualified_id
        return _forward(node, home, "CreateJob", forwarded, schema.CreateJobResponse())
    job = job._replace(id=f"{make_job_id_stem(qualified_id)}.{home}")
    accepted = _accept(node, qualified_id, job, workers, request.dry_run)
    return accepted.map(lambda part: schema.CreateJobResponse(job=part))


def create_service(
    node: Node, request: schema.CreateServiceRequest
) -> Result[schema.CreateServiceResponse, ApiError]:
    """Accept a service: one part in each of its failure domains.

    Notes
    -----
    Each part is a separate record in the log of its domain. If one of them is refused
    or its outcome is unknown, the error says so, and a retry with the same request id
    completes the remaining parts.
    """
    workers = list_workers(node)
    if not workers:
        return Err(_build_unread_list_error())
    stem = make_job_id_stem(request.request_id)
    parts = list(iter_service_jobs(request, stem))
    unknown = {d for d in request.runners if not any(w.domain == d for w in workers)}
    if unknown:
        field = f"runners.{min(unknown)}"
        return Err(_build_infeasible_error(field, "no such failure domain"))
    accepted: list[schema.AcceptedJob] = []
    for part in parts:
        result = _accept_part(node, request, part, workers)
        if isinstance(result, Err):
            return Err(
                _mark_partial_success(result.err_value, [a.domain for a in accepted])
            )
        accepted.append(result.ok_value)
    return Ok(schema.CreateServiceResponse(jobs=accepted))


def _accept_part(
    node: Node,
    request: schema.CreateServiceRequest,
    part: Job,
    workers: list[WorkerInfo],
) -> Result[schema.AcceptedJob, ApiError]:
    (domain,) = part.constraints.domains
    if domain == node.settings.instance.domain:
        qualified_id = qualify_request_id(request.request_id, domain)
        return _accept(node, qualified_id, part, workers, request.dry_run)
    forwarded = schema.CreateServiceRequest()
    forwarded.CopyFrom(request)
    for other in [d for d in forwarded.runners if d != domain]:
        del forwarded.runners[other]
    result = _forward(
        node, domain, "CreateService", forwarded, schema.CreateServiceResponse()
    )
    return result.map(lambda response: response.jobs[0])


def _forward(
    node: Node, domain: str, method: str, request: Any, response: Any
) -> Result[Any, ApiError]:
    peer = find_peer(node, domain)
    if peer is None:
        return Err(build_unreachable_error(node, domain))
    return forward_call(node, peer, method, request, response)


def _accept(
    node: Node, request_id: str, job: Job, workers: list[WorkerInfo], dry_run: bool
) -> Result[schema.AcceptedJob, ApiError]:
    domain = node.settings.instance.domain
    members = [w for w in workers if w.domain == domain]
    allotment, failing = allot_tasks(job, members, _find_share(node, job.team, workers))
    if failing:
        return Err(_build_infeasible_error("size", f"no worker meets: {failing}"))
    if dry_run:
        return Ok(schema.AcceptedJob(domain=domain, offset=_DRY_RUN_OFFSET))
    record = log_state.make_accept(request_id, job, allotment)
    report = submit_and_wait(node.domain, record)
    error = build_append_error(report)
    if error is not None:
        return Err(error)
    add_count(node.meter, "jobs.accepted")
    return Ok(schema.AcceptedJob(job_id=job.id, domain=domain, offset=report.offset))


def _find_share(node: Node, team: str, workers: Iterable[WorkerInfo]) -> Size | None:
    racks = len({(w.domain, w.rack) for w in workers}) or 1
    return read_shares(read_config(node).values, racks).get(team)


def _build_unread_list_error() -> ApiError:
    detail = "the platform's list is not read yet"
    return ApiError(ErrorCode.REFUSED, detail, retry_after_s=_RETRY_AFTER_S)


def _mark_partial_success(error: ApiError, done: list[str]) -> ApiError:
    """Return the error of a call that has already taken effect in the domains `done`.

    Notes
    -----
    Guards against reporting that nothing was done while a part is running: the
    operator would resubmit the work under another request id and run it twice. With
    the code ``unknown``, the operator retries with the same request id, which
    completes the remaining parts.
    """
    if not done:
        return error
    detail = f"done in {', '.join(done)}; then {error.code}: {error.detail}"
    return error._replace(
        code=ErrorCode.UNKNOWN, detail=detail, retry_after_s=_RETRY_AFTER_S
    )


def _build_infeasible_error(field: str, detail: str) -> ApiError:
    return ApiError(ErrorCode.INFEASIBLE, detail, field)


def cancel_jobs(
    node: Node, request: schema.CancelJobsRequest
) -> Result[schema.CancelJobsResponse, ApiError]:
    """Cancel jobs, with one record for each of their home domains."""
    groups = groupby(sorted(request.job_ids, key=parse_home_domain), parse_home_domain)
    cancelled: list[schema.CancelledJob] = []
    for domain, jobs in groups:
        result = _cancel_in(node, request.request_id, domain, list(jobs))
        if isinstance(result, Err):
            done = sorted({job.domain for job in cancelled})
            return Err(_mark_partial_success(result.err_value, done))
        cancelled.extend(result.ok_value)
    return Ok(schema.CancelJobsResponse(jobs=cancelled))


def _cancel_in(
    node: Node, request_id: str, domain: str, jobs: list[str]
) -> Result[list[schema.CancelledJob], ApiError]:
    if domain != node.settings.instance.domain:
        forwarded = schema.CancelJobsRequest(request_id=request_id, job_ids=jobs)
        result = _forward(
            node, domain, "CancelJobs", forwarded, schema.CancelJobsResponse()
        )
        return result.map(lambda response: list(response.jobs))
    ended = query(node.domain, partial(_find_ended, jobs))
    missing = [job for job in jobs if ended[job] is None]
    if missing:
        return Err(ApiError(ErrorCode.NOT_FOUND, missing[0], "job_ids"))
    record = log_state.make_cancel(qualify_request_id(request_id, domain), jobs)
    report = submit_and_wait(node.domain, record)
    error = build_append_error(report)
    if error is not None:
        return Err(error)
    return Ok(list(_iter_cancelled(jobs, domain, report.offset, ended.__getitem__)))


def _find_ended(jobs: list[str], actor: Any, _: float) -> dict[str, bool | None]:
    state = actor.node.domain
    found = {job: log_state.get_job(state, job) for job in jobs}
    return {
        job: None
        if entry is None
        else not isinstance(entry, log_state.JobState) or entry.cancelled
        for job, entry in found.items()
    }


def _iter_cancelled(
    jobs: list[str], domain: str, offset: int, has_ended: Callable[[str], bool | None]
) -> Iterator[schema.CancelledJob]:
    for job in jobs:
        yield schema.CancelledJob(
            job_id=job, domain=domain, offset=offset, was_over=bool(has_ended(job))
        )
