"""Handlers of calls that list jobs, describe one job and list teams."""

import math
from collections.abc import Iterable, Iterator
from functools import partial
from itertools import islice
from typing import Any

from result import Err, Ok, Result

from plantainyard import state as log_state
from plantainyard.api import ApiError, ErrorCode, write_constraints, write_size
from plantainyard.api import operators_pb2 as schema
from plantainyard.node.values import read_quotas
from plantainyard.placement import explain
from plantainyard.work import Size

from .home_domains import parse_home_domain
from .node import (
    Node,
    build_unreachable_error,
    find_peer,
    forward_call,
    list_instances,
    list_peers,
    mark_relayed,
    query,
    read_config,
)

__all__ = ["describe_job", "list_jobs", "list_teams"]

_DEFAULT_PAGE_SIZE = 100
_DEFAULT_PLACES = 100
_MAX_PAGE_SIZE = 1000
_UNKNOWN_AGE_S = 1e9
"""Age reported for a domain that can't be queried at all."""


def list_jobs(
    node: Node, request: schema.ListJobsRequest
) -> Result[schema.ListJobsResponse, ApiError]:
    """List the matching jobs of all reachable domains, sorted by id."""
    own = node.settings.instance.domain
    wanted = {request.domain} if request.domain else _list_domains(node)
    size = request.page_size or _DEFAULT_PAGE_SIZE
    jobs, ages = [], []
    if own in wanted:
        jobs += query(node.domain, _summarize_all)
        ages.append(schema.DomainAge(domain=own, age_s=query(node.domain, _read_age)))
    for domain in sorted(wanted - {own}):
        remote = _list_remote(node, domain, request)
        if remote is None:
            ages.append(schema.DomainAge(domain=domain, age_s=_UNKNOWN_AGE_S))
        else:
            jobs += remote.jobs
            ages += remote.ages
    matching = sorted(
        (job for job in jobs if _matches(job, request)), key=lambda job: job.job_id
    )
    page = list(islice((j for j in matching if j.job_id > request.page_token), size))
    more = bool(page) and page[-1].job_id != matching[-1].job_id
    token = page[-1].job_id if more else ""
    return Ok(schema.ListJobsResponse(jobs=page, next_page_token=token, ages=ages))


def _list_domains(node: Node) -> set[str]:
    own = node.settings.instance.domain
    return {own, *(instance.domain for instance in list_instances(node))}


def _list_remote(
    node: Node, domain: str, request: schema.ListJobsRequest
) -> schema.ListJobsResponse | None:
    peer = find_peer(node, domain)
    if peer is None:
        return None
    forwarded = schema.ListJobsRequest()
    forwarded.CopyFrom(request)
    forwarded.domain = domain
    forwarded.page_size = _MAX_PAGE_SIZE
    answer = forward_call(node, peer, "ListJobs", forwarded, schema.ListJobsResponse())
    return None if isinstance(answer, Err) else answer.ok_value


def _matches(job: schema.JobSummary, request: schema.ListJobsRequest) -> bool:
    return (
        (not request.team or job.team == request.team)
        and (not request.kind or job.kind == request.kind)
        and (not request.state or job.state == request.state)
        and job.name.startswith(request.name_prefix)
    )


def _read_age(actor: Any, now: float) -> float:
    return log_state.get_staleness(actor.stream.reader, now)


def _summarize_all(actor: Any, _: float) -> list[schema.JobSummary]:
    state = actor.node.domain
    entries = [*state.jobs.values(), *state.completed.values()]
    return [_summarize(actor, entry) for entry in entries]


def _summarize(
    actor: Any, entry: log_state.JobState | log_state.JobSummary
) -> schema.JobSummary:
    counts = log_state.count_tasks(entry)
    task_counts = schema.TaskCounts(
        waiting=counts.waiting + counts.failed,
        assigned=counts.assigned,
        done=counts.done,
        cancelled=counts.cancelled,
    )
    domain = actor.node.settings.instance.domain
    if isinstance(entry, log_state.JobSummary):
        final_state = (
            schema.JOB_STATE_CANCELLED if counts.cancelled else schema.JOB_STATE_DONE
        )
        return schema.JobSummary(
            job_id=entry.id,
            name=entry.name,
            team=entry.team,
            kind=_get_kind(entry.latency_critical),
            state=final_state,
            domain=domain,
            counts=task_counts,
        )
    task_counts.failures = sum(failure.failures for failure in entry.failures.values())
    job = entry.job
    return schema.JobSummary(
        job_id=job.id,
        name=job.name,
        team=job.team,
        kind=_get_kind(job.latency_critical),
        state=_determine_state(entry),
        domain=domain,
        counts=task_counts,
        reason=_find_reason(actor, job.id),
        urgent=job.urgent,
    )


def _get_kind(latency_critical: bool) -> schema.JobKind:
    return schema.JOB_KIND_SERVICE if latency_critical else schema.JOB_KIND_BATCH


def _determine_state(entry: log_state.JobState) -> schema.JobState:
    if entry.cancelled:
        return schema.JOB_STATE_CANCELLED
    return (
        schema.JOB_STATE_RUNNING if entry.assigned_count else schema.JOB_STATE_WAITING
    )


def _find_reason(actor: Any, job_id: str) -> str:
    reasons = (term.plan.wait_reasons.get(job_id) for term in actor.node.terms.values())
    return next((found.reason for found in reasons if found is not None), "")


def describe_job(
    node: Node, request: schema.DescribeJobRequest
) -> Result[schema.DescribeJobResponse, ApiError]:
    """Describe one job, preferably from the owner of a rack where its tasks wait."""
    empty = schema.DescribeJobResponse()
    domain = parse_home_domain(request.job_id)
    if domain != node.settings.instance.domain:
        peer = find_peer(node, domain)
        if peer is None:
            return Err(build_unreachable_error(node, domain))
        return forward_call(node, peer, "DescribeJob", request, empty)
    limit = request.tasks_limit or _DEFAULT_PLACES
    response = query(node.domain, partial(_describe, request.job_id, limit))
    if response is None:
        return Err(ApiError(ErrorCode.NOT_FOUND, "no such job", "job_id"))
    owners = {share.owner for share in response.racks if share.waiting}
    # A relayed call is answered here, see `mark_relayed`.
    if not owners or node.name in owners or request.relayed:
        return Ok(response)
    owner = next(
        (p for p in list_peers(node) if p.is_live and p.process in owners), None
    )
    if owner is None:
        return Ok(response)
    return forward_call(node, owner, "DescribeJob", mark_relayed(request), empty)


def _describe(
    job_id: str, limit: int, actor: Any, now: float
) -> schema.DescribeJobResponse | None:
    state = actor.node.domain
    entry = log_state.get_job(state, job_id)
    if entry is None:
        return None
    summary = _summarize(actor, entry)
    age_s = _read_age(actor, now)
    if isinstance(entry, log_state.JobSummary):
        return schema.DescribeJobResponse(job=summary, age_s=age_s)
    job = entry.job
    return schema.DescribeJobResponse(
        job=summary,
        size=write_size(job.size),
        run_s=job.run_s,
        constraints=write_constraints(job.constraints),
        workload=job.workload,
        gang=job.gang,
        slots=job.slots,
        connections=job.connections,
        reasons=list(_iter_reasons(actor, entry)),
        places=list(islice(_iter_places(actor, job_id), limit)),
        racks=list(_iter_racks(state, entry)),
        age_s=age_s,
    )


def _iter_reasons(actor: Any, entry: log_state.JobState) -> Iterator[schema.Reason]:
    for rack, term in actor.node.terms.items():
        waiting = log_state.count_waiting(entry, rack)
        if not waiting:
            continue
        first = next(log_state.iter_job_waiting(entry, rack))
        found = explain(term.plan.policy, first.task)
        yield schema.Reason(
            code=found.status,
            detail=f"{found.reason}; place {found.place}",
            tasks=waiting,
            permanent=found.status in ("impossible", "given up"),
            rack=rack,
        )


def _iter_places(actor: Any, job_id: str) -> Iterator[schema.TaskPlace]:
    for rack, assigned in actor.node.domain.assigned.items():
        for task, assignment in assigned.items():
            if task.job == job_id:
                yield schema.TaskPlace(
                    number=task.number,
                    attempt=assignment.attempt,
                    worker=assignment.worker,
                    rack=rack,
                    domain=actor.node.settings.instance.domain,
                )


def _iter_racks(
    state: log_state.DomainState, entry: log_state.JobState
) -> Iterator[schema.RackShare]:
    for rack in sorted({*entry.unattempted, *entry.retries, *state.claims}):
        assigned = sum(
            1
            for task in log_state.get_assigned(state, rack)
            if task.job == entry.job.id
        )
        waiting = log_state.count_waiting(entry, rack)
        claim = log_state.find_claim(state, rack)
        if assigned or waiting:
            yield schema.RackShare(
                rack=rack,
                tasks=assigned + waiting,
                waiting=waiting,
                owner=claim.holder if claim else "",
            )


def list_teams(
    node: Node, request: schema.ListTeamsRequest
) -> Result[schema.ListTeamsResponse, ApiError]:
    """List teams with their quotas and their resource usage in this failure domain."""
    view = read_config(node)
    quotas = read_quotas(view.values)
    used = query(node.domain, _sum_usage_by_team)
    age_s = query(node.domain, _read_age)
    own = node.settings.instance.domain
    return Ok(
        schema.ListTeamsResponse(
            teams=[
                _write_team(name, quotas.get(name), used.get(name))
                for name in sorted({*quotas, *used})
            ],
            version=view.version,
            ages=[schema.DomainAge(domain=own, age_s=age_s)],
        )
    )


def _sum_usage_by_team(actor: Any, _: float) -> dict[str, tuple[Size, int, int]]:
    teams: dict[str, list[log_state.JobState]] = {}
    for entry in actor.node.domain.jobs.values():
        teams.setdefault(entry.job.team, []).append(entry)
    return {team: _sum_usage(entries) for team, entries in teams.items()}


def _sum_usage(entries: Iterable[log_state.JobState]) -> tuple[Size, int, int]:
    sizes = [(entry.job.size, entry.assigned_count) for entry in entries]
    used = Size(
        sum(size.cores * count for size, count in sizes),
        sum(size.memory_gb * count for size, count in sizes),
        sum(size.accelerators * count for size, count in sizes),
    )
    waiting = sum(log_state.count_tasks(entry).waiting for entry in entries)
    return used, sum(count for _, count in sizes), waiting


def _write_team(
    name: str, quota: Size | None, used: tuple[Size, int, int] | None
) -> schema.Team:
    size, assigned, waiting = used or (Size(0.0, 0.0), 0, 0)
    return schema.Team(
        name=name,
        has_quota=quota is not None,
        quota=_write_quota(quota),
        used=write_size(size),
        tasks_assigned=assigned,
        tasks_waiting=waiting,
        limited=[
            field
            for field, value in zip(Size._fields, quota or (), strict=False)
            if math.isfinite(value)
        ],
    )


def _write_quota(quota: Size | None) -> schema.Size | None:
    """Return the message of a quota, with 0 for an unlimited resource."""
    if quota is None:
        return None
    limited = [value if math.isfinite(value) else 0 for value in quota]
    return schema.Size(
        cores=limited[0], memory_gb=limited[1], accelerators=int(limited[2])
    )
